package main

// This file is the commands that measure how the lab and the programs scale.

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"marblelane/internal/lab/crowd"
	"marblelane/internal/lab/experiment/listscale"
	"marblelane/internal/lab/experiment/overhead"
	"marblelane/internal/lab/experiment/routescale"
	"marblelane/internal/lab/experiment/scale"
	"marblelane/internal/lab/harness"
	plays "marblelane/internal/rollout/model"
)

type labScale struct {
	program
	Scenario string `help:"The scenario whose fleet is sized." default:"scale"`
	Sidecars []int  `help:"Numbers of sidecars." default:"3,30,100"`
	Servers  []int  `help:"Numbers of stand-in servers." default:"10,100,1000"`
	JSON     bool   `help:"Print JSON in place of the table." name:"json"`
}

func (c *labScale) Run(a *app) error {
	s, path, done, err := c.ready(a, c.Scenario)
	if err != nil {
		return err
	}
	defer done()
	points, err := scale.Measure(a.ctx, s, c.Sidecars, c.Servers, harness.Options{Program: path, Log: a.log, Progress: a.errOut})
	if err != nil {
		return err
	}
	return show(a, c.JSON, points, scale.Print)
}

type labOverhead struct {
	program
	Scenario string `help:"A scenario of fixed work and no faults." default:"overhead"`
	JSON     bool   `help:"Print JSON in place of the table." name:"json"`
}

func (c *labOverhead) Run(a *app) error {
	s, path, done, err := c.ready(a, c.Scenario)
	if err != nil {
		return err
	}
	defer done()
	ways, err := overhead.Measure(a.ctx, s, harness.Options{Program: path, Log: a.log})
	if err != nil {
		return err
	}
	return show(a, c.JSON, ways, overhead.Print)
}

type labListScale struct {
	Watchers []int `help:"Numbers of watchers." default:"10,100,1000"`
	Entries  []int `help:"Numbers of entries." default:"200,2000"`
	JSON     bool  `help:"Print JSON in place of the table." name:"json"`
}

func (c *labListScale) Run(a *app) error {
	if slices.Min(append(c.Watchers, c.Entries...)) < 2 {
		return errors.New("--watchers and --entries are at least 2")
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("the list service's copies are of this program: %w", err)
	}
	points, err := listscale.Measure(a.ctx, c.Watchers, c.Entries, harness.Options{Self: self, Progress: a.errOut})
	if err != nil {
		return err
	}
	return show(a, c.JSON, points, listscale.Print)
}

type labRouteScale struct {
	Sidecars  []int `help:"Numbers of sidecars, in this process, beside three real copies of the list service." default:"10,100,300"`
	Simulated []int `help:"Numbers of simulated sidecars." default:"1000"`
	JSON      bool  `help:"Print JSON in place of the table." name:"json"`
}

func (c *labRouteScale) Run(a *app) error {
	if slices.ContainsFunc(append(slices.Clone(c.Sidecars), c.Simulated...), func(n int) bool { return n < 1 || n > 5000 }) {
		return errors.New("--sidecars and --simulated are between 1 and 5000")
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("the list service's copies are of this program: %w", err)
	}
	points, err := routescale.Measure(a.ctx, c.Sidecars, harness.Options{Self: self, Progress: a.errOut})
	if err != nil {
		return err
	}
	if err := show(a, c.JSON, points, routescale.Print); err != nil {
		return err
	}
	for _, n := range c.Simulated {
		r, err := routescale.Simulate(n)
		if err != nil {
			return err
		}
		if err := show(a, c.JSON, r, func(w io.Writer, r *plays.Result) { routescale.PrintSimulation(w, n, r) }); err != nil {
			return err
		}
	}
	return nil
}

type labCrowd struct {
	Callers  []int         `help:"Numbers of sidecars." default:"10,100,300,1000"`
	Servers  int           `help:"Lines of the whole list." default:"60"`
	Capacity []float64     `help:"Lines a second that the service tells." default:"200,1000,4000"`
	Patience time.Duration `help:"How long a call may wait in turn." default:"2s"`
	Length   time.Duration `help:"How long the run is." default:"60s"`
	Pause    time.Duration `help:"Longest pause after a failed call; 0: by ask_within_ms alone." default:"4500ms"`
	Seed     uint64        `help:"Seed of the sidecars." default:"1"`
	JSON     bool          `help:"Print JSON in place of the table." name:"json"`
}

// crowdRow is one line of the table.
type fleetLoadRow struct {
	Callers  int     `json:"callers"`
	Capacity float64 `json:"lines_per_s"`
	Waste    bool    `json:"waste"`
	*crowd.Result
}

func (c *labCrowd) Run(a *app) error {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	var rows []fleetLoadRow
	for _, n := range c.Callers {
		for _, capacity := range c.Capacity {
			for _, waste := range []bool{false, true} {
				r, err := crowd.Run(crowd.Spec{Callers: n, Servers: c.Servers, Capacity: capacity, CallTimeout: ms(c.Patience), Spread: 100,
					Length: ms(c.Length), PollInterval: 10000, MaxPollBackoff: ms(c.Pause), WastesFailedCalls: waste, Seed: c.Seed})
				if err != nil {
					return err
				}
				rows = append(rows, fleetLoadRow{n, capacity, waste, r})
			}
		}
	}
	return show(a, c.JSON, rows, func(w io.Writer, rows []fleetLoadRow) {
		fmt.Fprintf(w, "%8s %8s %6s %7s %9s %7s %6s %9s %9s %7s\n", "sidecars", "lines/s", "waste", "calls", "answered", "failed",
			"told", "p50 s", "last s", "useful")
		for _, r := range rows {
			fmt.Fprintf(w, "%8d %8.0f %6v %7d %9d %7d %6d %9.1f %9.1f %6.1f%%\n", r.Callers, r.Capacity, r.Waste, r.Calls, r.Answered,
				r.Failed, r.HaveList, r.P50/1000, r.Last/1000, 100*r.Useful)
		}
	})
}
