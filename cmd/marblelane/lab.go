package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"marblelane/internal/lab"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simulate"
	"marblelane/lab/scenarios"
)

type labCmd struct {
	Run   labRun   `cmd:"" help:"Play a scenario and hold it to the rules and to what it expects."`
	List  labList  `cmd:"" help:"List the scenarios that come with the program."`
	Check labCheck `cmd:"" help:"Read a scenario and print its schedule without playing it."`

	Simulate labSimulate `cmd:"" help:"Play a scenario on a simulated clock, with the real decision modules: fleets that no machine holds."`

	Compare  labCompare  `cmd:"" help:"Play two builds or two scenarios in turn on the same seeds and print the difference."`
	Scale    labScale    `cmd:"" help:"Play fleets of several sizes and print what they cost."`
	Growth   labGrowth   `cmd:"" help:"Hold what a sidecar needs in a large fleet against the growth table of the acceptance page."`
	Overhead labOverhead `cmd:"" help:"Measure what the lab itself adds to the time of an answer."`

	RouteScale   labRouteScale   `cmd:"" help:"Measure routes and rollouts with more and more sidecars."`
	ListScale    labListScale    `cmd:"" help:"Measure the list service with more and more watchers and entries."`
	RequestCost  labRequestCost  `cmd:"" help:"Measure the processor time of a sidecar per request, of variants in pairs."`
	MembersScale labMembersScale `cmd:"" help:"Measure membership with more and more members, in this process, on a simulated network."`
	MembersCold  labMembersCold  `cmd:"" help:"Measure on a simulated clock what the number of sidecars, and what they believe it to be, does to cold servers."`
	Crowd        labCrowd        `cmd:"" help:"Let more and more sidecars call a list service of fixed capacity at once, on a simulated clock."`
}

type labRun struct {
	program
	Scenario string `arg:"" help:"Name of a scenario (see list), or a file that ends in .toml."`
	Older    string `help:"The program of the sidecars that a scenario calls older; else theirs is the same, without routes." type:"path" placeholder:"FILE"`
	Seed     uint64 `help:"Seed of all that is drawn; 0: the scenario's." default:"0"`
	Report   string `help:"Folder for the report, its plots and the copies' logs." type:"path" placeholder:"DIR"`
	JSON     bool   `help:"Print the report as JSON in place of the table." name:"json"`
	Quiet    bool   `help:"No progress on standard error."`
}

func (c *labRun) Run(a *app) error {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	o := lab.Options{Seed: c.Seed, Log: a.log, Older: c.Older}
	if c.Older != "" {
		if err := executable(c.Older); err != nil {
			return fmt.Errorf("--older: %w", err)
		}
	}
	if s.Registry.Replicas == 0 {
		path, done, err := c.find(a)
		if err != nil {
			return err
		}
		defer done()
		o.Program = path
	}
	if !c.Quiet {
		o.Progress = a.errOut
		fmt.Fprintf(a.errOut, "playing %s: %s\n", s.Name, s.Title)
	}
	if c.Report != "" {
		o.Dir = filepath.Join(c.Report, "copies")
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return fmt.Errorf("--report: %w", err)
		}
	}
	rep, err := lab.Run(a.ctx, s, o)
	if err != nil {
		return err
	}
	return finish(a, rep, c.Report, c.JSON)
}

// finish saves and prints a report and turns its outcome into the command's exit.
func finish(a *app, rep *lab.Report, dir string, asJSON bool) error {
	if dir != "" {
		if err := rep.Save(dir); err != nil {
			return fmt.Errorf("--report: %w", err)
		}
	}
	if asJSON {
		if err := printJSON(a, rep); err != nil {
			return err
		}
	} else {
		rep.Print(a.out)
	}
	end, reason := rep.Outcome()
	if reason != "" {
		end += ": " + reason
	}
	fmt.Fprintln(a.out, end)
	switch {
	case strings.HasPrefix(end, lab.Fail):
		return errExit(exitFail)
	case strings.HasPrefix(end, lab.Late):
		return errExit(exitLate)
	}
	return nil
}

type labSimulate struct {
	Scenario string  `arg:"" help:"Name of a scenario (see list), or a file that ends in .toml."`
	Seed     uint64  `help:"Seed of all that is drawn; 0: the scenario's." default:"0"`
	Sidecars int     `help:"Sidecars in place of the scenario's." placeholder:"N"`
	Servers  int     `help:"Servers in place of the scenario's." placeholder:"N"`
	Rate     float64 `help:"Requests a second of each sidecar in place of the scenario's load." placeholder:"N"`
	Report   string  `help:"Folder for the report and its plots." type:"path" placeholder:"DIR"`
	JSON     bool    `help:"Print the report as JSON in place of the table." name:"json"`
	Quiet    bool    `help:"No progress on standard error."`
}

func (c *labSimulate) Run(a *app) error {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	if c.Sidecars < 0 || c.Servers < 0 || c.Rate < 0 {
		return errors.New("--sidecars, --servers and --rate are not negative")
	}
	if c.Sidecars > 0 {
		s.Sidecars.Count = c.Sidecars
	}
	if c.Servers > 0 {
		s.Servers.Count = c.Servers
	}
	if c.Rate > 0 {
		s.Traffic.Rate = c.Rate * float64(s.Sidecars.Count)
	}
	var o simulate.Options
	if !c.Quiet {
		last := time.Now()
		o.Progress = func(fraction float64) {
			if time.Since(last) > 2*time.Second {
				last = time.Now()
				fmt.Fprintf(a.errOut, "%3.0f %% played\n", 100*fraction)
			}
		}
	}
	rep, err := lab.Simulate(a.ctx, s, c.Seed, o)
	if err != nil {
		return err
	}
	return finish(a, rep, c.Report, c.JSON)
}

type labList struct{}

func (labList) Run(a *app) error {
	for _, name := range scenarios.Names() {
		s, err := load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%-28s %s\n", name, s.Title)
	}
	return nil
}

type labCheck struct {
	Scenario string `arg:"" help:"Name of a scenario (see list), or a file that ends in .toml."`
	Seed     uint64 `help:"Seed of all that is drawn; 0: the scenario's." default:"0"`
	Schedule bool   `help:"Print the whole schedule: fleet, faults and every arrival."`
}

func (c *labCheck) Run(a *app) error {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	p := s.Plan(c.Seed)
	if c.Schedule {
		_, err := p.WriteTo(a.out)
		return err
	}
	busiest := slices.MaxFunc(p.Sidecars, func(x, y scenario.SidecarPlan) int {
		if x.Weight < y.Weight {
			return -1
		}
		return 1
	})
	fmt.Fprintf(a.out, "%s: %s\nseed %d: %d sidecars (the busiest has %.0f%% of the traffic), %d servers in %d pods, capacity %.1f cores\n"+
		"%d requests in %v (%.1f/s), %d faults\n", s.Name, s.Title, p.Seed, len(p.Sidecars), 100*busiest.Weight, s.Servers.Count,
		len(p.Pods), p.Capacity, len(p.Arrivals), s.Length.Duration(), p.Rate, len(p.Faults))
	return nil
}

type labCompare struct {
	program
	A        string `arg:"" help:"A scenario (name, or file that ends in .toml), or a sidecar's program."`
	B        string `arg:"" help:"What it is compared with, of the same sort."`
	Scenario string `help:"The scenario that two programs play." default:"quickstart"`
	Plays    int    `help:"Plays of each side." default:"5"`
	Seed     uint64 `help:"Seed of the first pair; the others follow." default:"1"`
	Report   string `help:"Folder for compare.json and its plots." type:"path" placeholder:"DIR"`
	JSON     bool   `help:"Print JSON in place of the table." name:"json"`
}

func (c *labCompare) Run(a *app) error {
	if c.Plays < 1 || c.Seed < 1 {
		return errors.New("--plays and --seed are at least 1")
	}
	sides, done, err := c.sides(a)
	if err != nil {
		return err
	}
	defer done()
	cmp, err := lab.Compare(a.ctx, sides[0], sides[1], c.Seed, c.Plays, lab.Options{Log: a.log, Progress: a.errOut})
	if err != nil {
		return err
	}
	if c.Report != "" {
		if err := save(c.Report, "compare.json", cmp); err != nil {
			return err
		}
		if err := cmp.Plot(c.Report); err != nil {
			return fmt.Errorf("--report: %w", err)
		}
	}
	if c.JSON {
		return printJSON(a, cmp)
	}
	cmp.Print(a.out)
	return nil
}

// sides reads what the two arguments mean.
func (c *labCompare) sides(a *app) (sides [2]lab.Side, done func(), err error) {
	done = func() {}
	if executable(c.A) == nil && executable(c.B) == nil {
		s, err := load(c.Scenario)
		if err != nil {
			return sides, done, err
		}
		for i, path := range []string{c.A, c.B} {
			path, err := filepath.Abs(path)
			if err != nil {
				return sides, done, err
			}
			sides[i] = lab.Side{Name: path, Scenario: s, Program: path}
		}
		return sides, done, nil
	}
	path, done, err := c.find(a)
	if err != nil {
		return sides, done, err
	}
	for i, name := range []string{c.A, c.B} {
		s, err := load(name)
		if err != nil {
			done()
			return sides, func() {}, err
		}
		sides[i] = lab.Side{Name: name, Scenario: s, Program: path}
	}
	return sides, done, nil
}

func save(dir, name string, v any) error {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, name), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	return nil
}

func printJSON(a *app, v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", " ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// show prints what was measured, as JSON or as a table.
func show[T any](a *app, asJSON bool, v T, table func(io.Writer, T)) error {
	if asJSON {
		return printJSON(a, v)
	}
	table(a.out, v)
	return nil
}
