package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"marblelane/internal/lab"
	"marblelane/internal/lab/scenario"
	"marblelane/lab/scenarios"
)

type labCmd struct {
	Run   labRun   `cmd:"" help:"Play a scenario and hold it to the rules and to what it expects."`
	List  labList  `cmd:"" help:"List the scenarios that come with the program."`
	Check labCheck `cmd:"" help:"Read a scenario and print its schedule without playing it."`
}

// program names the sidecar that runs play.
type program struct {
	Silverreel string `help:"The sidecar's program; else the one beside this command, in bin/, in PATH, or built from the source in this folder." type:"path" placeholder:"FILE"`
}

// find gives the sidecar's program; done removes what was built.
func (p *program) find(a *app) (path string, done func(), err error) {
	done = func() {}
	if p.Silverreel != "" {
		if err := executable(p.Silverreel); err != nil {
			return "", done, fmt.Errorf("--silverreel: %w", err)
		}
		return p.Silverreel, done, nil
	}
	var places []string
	if self, err := os.Executable(); err == nil {
		places = append(places, filepath.Join(filepath.Dir(self), "silverreel"))
	}
	for _, place := range append(places, filepath.Join("bin", "silverreel")) {
		if executable(place) == nil {
			path, err := filepath.Abs(place)
			return path, done, err
		}
	}
	if path, err := exec.LookPath("silverreel"); err == nil {
		return path, done, nil
	}
	if text, err := os.ReadFile("go.mod"); err != nil || !strings.HasPrefix(string(text), "module marblelane\n") {
		return "", done, errors.New("no silverreel beside this command, in bin/ or in PATH: name one with --silverreel, or build it")
	}
	dir, err := os.MkdirTemp("", "marblelane-build-")
	if err != nil {
		return "", done, fmt.Errorf("build silverreel: %w", err)
	}
	done = func() { os.RemoveAll(dir) }
	fmt.Fprintln(a.errOut, "building silverreel ...")
	path = filepath.Join(dir, "silverreel")
	build := exec.CommandContext(a.ctx, "go", "build", "-o", path, "./cmd/silverreel")
	build.Stderr = a.errOut
	if err := build.Run(); err != nil {
		done()
		return "", func() {}, fmt.Errorf("build silverreel: %w", err)
	}
	return path, done, nil
}

func executable(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("%s is no program", path)
	}
	return nil
}

// load reads a scenario: one that comes with the program by its name, any other by its file.
func load(name string) (*scenario.Scenario, error) {
	if strings.HasSuffix(name, ".toml") {
		return scenario.Read(name)
	}
	text, err := scenarios.Read(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("there is no scenario %q: `marblelane lab list` lists them; a file of your own ends in .toml", name)
	}
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return scenario.Parse(name+".toml", text)
}

type labRun struct {
	program
	Scenario string `arg:"" help:"Name of a scenario (see list), or a file that ends in .toml."`
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
	path, done, err := c.find(a)
	if err != nil {
		return err
	}
	defer done()
	o := lab.Options{Program: path, Seed: c.Seed, Log: a.log}
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
	if c.Report != "" {
		if err := rep.Save(c.Report); err != nil {
			return fmt.Errorf("--report: %w", err)
		}
	}
	if c.JSON {
		e := json.NewEncoder(a.out)
		e.SetIndent("", " ")
		if err := e.Encode(rep); err != nil {
			return fmt.Errorf("print: %w", err)
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
		len(p.Pods), p.Capacity, len(p.Arrivals), s.Length.Of(), p.Rate, len(p.Faults))
	return nil
}
