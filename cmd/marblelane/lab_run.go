package main

import (
	"fmt"
	"os"
	"path/filepath"

	"marblelane/internal/lab"
	"marblelane/internal/lab/harness"
)

// labRun runs a scenario with real sidecars.
type labRun struct {
	sidecarProgram
	Scenario string `arg:"" help:"Name of a scenario (see list), or a file that ends in .toml."`
	Older    string `help:"Program of the sidecars that a scenario marks as older; by default the same program without routes." type:"path" placeholder:"FILE"`
	Seed     uint64 `help:"Seed of all random choices; 0 uses the scenario's." default:"0"`
	Report   string `help:"Folder for the report, its plots and the logs of the processes." type:"path" placeholder:"DIR"`
	JSON     bool   `help:"Print the report as JSON instead of the table." name:"json"`
	Quiet    bool   `help:"Print no progress on standard error."`
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
		fmt.Fprintf(a.errOut, "running %s: %s\n", s.Name, s.Title)
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
