package main

import (
	"errors"
	"fmt"
	"path/filepath"

	"marblelane/internal/lab/experiment/compare"
	"marblelane/internal/lab/harness"
)

// labCompare runs two programs or two scenarios with the same seeds.
type labCompare struct {
	sidecarProgram
	A        string `arg:"" help:"Scenario (a name, or a file that ends in .toml) or sidecar program."`
	B        string `arg:"" help:"Scenario or sidecar program to compare it with, of the same type as A."`
	Scenario string `help:"Scenario to run when two programs are compared." default:"quickstart"`
	Plays    int    `help:"Runs of each side." default:"5"`
	Seed     uint64 `help:"Seed of the first pair; each later pair uses the next seed." default:"1"`
	Report   string `help:"Folder for compare.json and its plots." type:"path" placeholder:"DIR"`
	JSON     bool   `help:"Print JSON instead of the table." name:"json"`
}

func (c *labCompare) Run(a *app) error {
	if c.Plays < 1 || c.Seed < 1 {
		return errors.New("--plays and --seed must be at least 1")
	}
	sides, done, err := c.sides(a)
	if err != nil {
		return err
	}
	defer done()
	cmp, err := compare.Run(a.ctx, sides[0], sides[1], c.Seed, c.Plays, harness.Options{Log: a.log, Progress: a.errOut})
	if errors.Is(err, compare.ErrLabLate) {
		fmt.Fprintf(a.out, "LATE: %v\n", err)
		return exitError(exitLate)
	}
	if err != nil {
		return err
	}
	if c.Report != "" {
		if err := saveJSON(c.Report, "compare.json", cmp); err != nil {
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

// sides resolves the two arguments. If both are executables they are programs, else scenarios.
// done removes a program that was built.
func (c *labCompare) sides(a *app) (sides [2]compare.Side, done func(), err error) {
	done = func() {}
	if executable(c.A) == nil && executable(c.B) == nil {
		s, err := loadScenario(c.Scenario)
		if err != nil {
			return sides, done, err
		}
		for i, path := range []string{c.A, c.B} {
			path, err := filepath.Abs(path)
			if err != nil {
				return sides, done, err
			}
			sides[i] = compare.Side{Name: path, Scenario: s, Program: path}
		}
		return sides, done, nil
	}
	path, done, err := c.findProgram(a)
	if err != nil {
		return sides, done, err
	}
	for i, name := range []string{c.A, c.B} {
		s, err := loadScenario(name)
		if err != nil {
			done()
			return sides, func() {}, err
		}
		sides[i] = compare.Side{Name: name, Scenario: s, Program: path}
	}
	return sides, done, nil
}
