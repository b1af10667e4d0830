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

// labRequestCost measures the CPU time and memory of sidecar variants.
type labRequestCost struct {
	sidecarProgram
	Programs    []string `help:"Sidecar program to measure, with a name for it; may be repeated. The default is the program that lab run would use, named plain." name:"program" sep:"none" placeholder:"NAME=FILE"`
	With        []string `help:"JSON object to merge into the configuration of the program of this name; an unknown name adds a variant of the first program. May be repeated." sep:"none" placeholder:"NAME=FILE"`
	Routes      bool     `help:"Also measure each program with routed requests, with three replicas of the list service."`
	Members     int      `help:"Also measure each program in a fleet with this number of idle sidecars." placeholder:"N"`
	Base        string   `help:"Name of the baseline variant; the default is the first." placeholder:"NAME"`
	Rounds      int      `help:"Number of rounds; each starts every variant once." default:"16"`
	Seconds     float64  `help:"Seconds of load on a variant in each round." default:"3"`
	Requests    float64  `help:"Requests per second; 0 sends the next request on each connection when the response has arrived." default:"0"`
	Connections int      `help:"Number of persistent connections." default:"8"`
	Servers     int      `help:"Number of servers; they respond without delay." default:"8"`
	JSON        bool     `help:"Print JSON instead of the table." name:"json"`
	Quiet       bool     `help:"Print no progress on standard error."`
}

// idleTime is the time from when a sidecar is ready until its memory is measured.
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

// variants returns the programs, then the variants that --with adds, then each program with routes, then each in a
// fleet. done removes a program that was built.
func (c *labRequestCost) variants(a *app) (all []requestcost.Variant, done func(), err error) {
	if c.Members < 0 {
		return nil, nil, errors.New("--members: must not be negative")
	}
	if c.Seconds <= 0 || c.Seconds > 3600 {
		return nil, nil, fmt.Errorf("--seconds %v: must be above 0 and at most 3600", c.Seconds)
	}
	done = func() {}
	for _, given := range c.Programs {
		name, file, err := parseNamedFile(given)
		if err == nil {
			err = executable(file)
		}
		if err == nil {
			file, err = filepath.Abs(file) // the program is started in another working directory
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

// variantName names a variant of a program: the kind alone if there is only one program.
func variantName(name, kind string, programs int) string {
	if programs == 1 {
		return kind
	}
	return name + "+" + kind
}

// applyPatch adds a configuration patch to the variant of its name. An unknown name adds a variant of the first program.
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
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	i := slices.IndexFunc(variants, func(v requestcost.Variant) bool { return v.Name == name })
	if i < 0 {
		i = len(variants)
		variants = append(variants, requestcost.Variant{Name: name, Program: variants[0].Program})
	}
	variants[i].ConfigPatches = append(slices.Clone(variants[i].ConfigPatches), text)
	return variants, nil
}

// parseNamedFile splits NAME=FILE. A file without a name is named after itself, without .json.
func parseNamedFile(arg string) (name, file string, err error) {
	name, file, ok := strings.Cut(arg, "=")
	if !ok {
		file = arg
		name = strings.TrimSuffix(filepath.Base(file), ".json")
	}
	if name == "" || file == "" {
		return "", "", errors.New("not of the form NAME=FILE")
	}
	return name, file, nil
}
