package main

import (
	"errors"
	"fmt"
	"time"

	"marblelane/internal/lab"
	"marblelane/internal/lab/simulate"
)

// labSimulate runs a scenario on a simulated clock.
type labSimulate struct {
	Scenario string  `arg:"" help:"Name of a scenario (see list), or a file that ends in .toml."`
	Seed     uint64  `help:"Seed of all random choices; 0 uses the scenario's." default:"0"`
	Sidecars int     `help:"Number of sidecars, instead of the scenario's." placeholder:"N"`
	Servers  int     `help:"Number of servers, instead of the scenario's." placeholder:"N"`
	Rate     float64 `help:"Requests per second of each sidecar, instead of the scenario's load." placeholder:"N"`
	Report   string  `help:"Folder for the report and its plots." type:"path" placeholder:"DIR"`
	JSON     bool    `help:"Print the report as JSON instead of the table." name:"json"`
	Quiet    bool    `help:"Print no progress on standard error."`
}

func (c *labSimulate) Run(a *app) error {
	s, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	if c.Sidecars < 0 || c.Servers < 0 || c.Rate < 0 {
		return errors.New("--sidecars, --servers and --rate must not be negative")
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
				fmt.Fprintf(a.errOut, "%3.0f %% simulated\n", 100*fraction)
			}
		}
	}
	rep, err := lab.Simulate(a.ctx, s, c.Seed, o)
	if err != nil {
		return err
	}
	return finishRun(a, rep, c.Report, c.JSON)
}
