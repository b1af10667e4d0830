package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"marblelane/internal/lab/experiment/requestcost"
)

// labRequestCost measures what a sidecar costs.
type labRequestCost struct {
	sidecarProgram
	Programs    []string `help:"A sidecar's program to measure, with a name for it; may come again. Else the one that lab run would take, as plain." name:"program" sep:"none" placeholder:"NAME=FILE"`
	With        []string `help:"A JSON object that is merged into the configuration of the program of this name; of any other name, into one of the first program under this name. May come again." sep:"none" placeholder:"NAME=FILE"`
	Routes      bool     `help:"Measure each program with its requests along a route as well, with three copies of the list service."`
	Members     int      `help:"Measure each program in a fleet with so many idle sidecars as well." placeholder:"N"`
	Base        string   `help:"Name of what the others are compared with; else the first." placeholder:"NAME"`
	Rounds      int      `help:"Rounds, each with a start of every variant." default:"16"`
	Seconds     float64  `help:"For how long a variant is driven in each round." default:"3"`
	Requests    float64  `help:"Requests a second; 0: each connection sends the next one when it has its answer." default:"0"`
	Connections int      `help:"Connections that are kept." default:"8"`
	Servers     int      `help:"Servers that answer at once." default:"8"`
	JSON        bool     `help:"Print JSON in place of the table." name:"json"`
	Quiet       bool     `help:"No progress on standard error."`
}

// idleTime is from when a sidecar is ready until its memory is measured.
const idleTime = 2 * time.Second

func (c *labRequestCost) Run(a *app) error {
	variants, done, err := c.variants(a)
	if err != nil {
		return err
	}
	defer done()
	o := requestcost.Options{Variants: variants, Baseline: c.Base, Rounds: c.Rounds,
		Length:   time.Duration(c.Seconds * float64(time.Second)),
		IdleTime: idleTime, Rate: c.Requests, Connections: c.Connections, Servers: c.Servers, IdleMembers: c.Members}
	if !c.Quiet {
		o.Progress = a.errOut
	}
	cost, err := requestcost.Measure(a.ctx, o)
	if err != nil {
		return err
	}
	return printResult(a, c.JSON, cost, requestcost.Print)
}

// variants are the programs, then what --with adds, then each program along a route, then each in a fleet.
func (c *labRequestCost) variants(a *app) (all []requestcost.Variant, done func(), err error) {
	if c.Members < 0 {
		return nil, nil, errors.New("--members: is negative")
	}
	if c.Seconds <= 0 || c.Seconds > 3600 {
		return nil, nil, fmt.Errorf("--seconds %v: is not above 0, or above 3600", c.Seconds)
	}
	done = func() {}
	for _, given := range c.Programs {
		name, file, err := parseNamedFile(given)
		if err == nil {
			err = executable(file)
		}
		if err == nil {
			file, err = filepath.Abs(file) // it is started in a folder of its own
		}
		if err != nil {
			return nil, nil, fmt.Errorf("--program %s: %w", given, err)
		}
		all = append(all, requestcost.Variant{Name: name, Program: file})
	}
	if len(all) == 0 {
		var path string
		if path, done, err = c.findProgram(a); err != nil {
			return nil, nil, err
		}
		all = append(all, requestcost.Variant{Name: "plain", Program: path})
	}
	programs := len(all)
	for _, given := range c.With {
		if all, err = applyPatch(all, given); err != nil {
			done()
			return nil, nil, fmt.Errorf("--with %s: %w", given, err)
		}
	}
	for _, v := range all[:programs] {
		if c.Routes {
			routed := v
			routed.Name, routed.WithRoutes = variantName(v.Name, "routes", programs), true
			all = append(all, routed)
		}
	}
	for _, v := range all[:programs] {
		if c.Members > 0 {
			member := v
			member.Name, member.WithMembers = variantName(v.Name, "members", programs), true
			all = append(all, member)
		}
	}
	return all, done, nil
}

func variantName(name, kind string, programs int) string {
	if programs == 1 {
		return kind
	}
	return name + "+" + kind
}

// applyPatch adds a section to the variant of its name, or a variant.
func applyPatch(variants []requestcost.Variant, arg string) ([]requestcost.Variant, error) {
	name, file, err := parseNamedFile(arg)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(text, &object); err != nil {
		return nil, fmt.Errorf("is no JSON object: %w", err)
	}
	i := slices.IndexFunc(variants, func(v requestcost.Variant) bool { return v.Name == name })
	if i < 0 {
		i = len(variants)
		variants = append(variants, requestcost.Variant{Name: name, Program: variants[0].Program})
	}
	variants[i].ConfigPatches = append(slices.Clone(variants[i].ConfigPatches), text)
	return variants, nil
}

// parseNamedFile takes NAME=FILE apart; a file alone is parseNamedFile by itself.
func parseNamedFile(arg string) (name, file string, err error) {
	name, file, ok := strings.Cut(arg, "=")
	if !ok {
		file = arg
		name = strings.TrimSuffix(filepath.Base(file), ".json")
	}
	if name == "" || file == "" {
		return "", "", errors.New("is not of the form NAME=FILE")
	}
	return name, file, nil
}
