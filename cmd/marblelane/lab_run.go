package main

import (
	"fmt"
	"os"
	"path/filepath"

	"marblelane/internal/lab"
	"marblelane/internal/lab/harness"
)

// labRun plays a scenario with real sidecars.
type labRun struct {
	sidecarProgram
	Scenario string `arg:"" help:"Name of a scenario (see list), or a file that ends in .toml."`
	Older    string `help:"The program of the sidecars that a scenario calls older; else theirs is the same, without routes." type:"path" placeholder:"FILE"`
	Seed     uint64 `help:"Seed of all that is drawn; 0: the scenario's." default:"0"`
	Report   string `help:"Folder for the report, its plots and the copies' logs." type:"path" placeholder:"DIR"`
	JSON     bool   `help:"Print the report as JSON in place of the table." name:"json"`
	Quiet    bool   `help:"No progress on standard error."`
}

func (c *labRun) Run(a *app) error {
	s, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	o := harness.Options{Seed: c.Seed, Log: a.log, OlderProgram: c.Older}
	if c.Older != "" {
		if err := executable(c.Older); err != nil {
			return fmt.Errorf("--older: %w", err)
		}
	}
	if s.Registry.Replicas == 0 {
		path, done, err := c.findProgram(a)
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
	return finishRun(a, rep, c.Report, c.JSON)
}
