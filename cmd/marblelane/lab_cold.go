package main

import (
	"errors"
	"runtime"
	"slices"
	"time"

	"marblelane/internal/lab"
	"marblelane/internal/lab/simulate"
)

type labMembersCold struct {
	Sidecars []int         `help:"Numbers of sidecars." default:"10,100,300,1000"`
	Rates    []float64     `help:"Requests a second of each sidecar." default:"0.2,2"`
	Changes  []string      `help:"Changes of the fleet: steady, half-die, double, die-return, split-half, split-one, split-ten, split-alone, split-third; all: each of them." default:"all"`
	Counts   []string      `help:"Ways of counting: none, fixed, naive, rule, and as bounds earned (nothing is assumed) and free (so much that it bounds nothing)." default:"none,fixed,naive,rule,earned,free"`
	Seeds    int           `help:"Runs of each." default:"3"`
	Load     float64       `help:"Load of the servers while all are warm." default:"0.45"`
	AtOnce   float64       `help:"Share of the servers that restart at once." default:"0.33"`
	Cores    int           `help:"Cores of a server." default:"4"`
	Multiple float64       `help:"Multiple of what a cold server can do, at which it falls." default:"4"`
	Work     time.Duration `help:"Mean work of a request." default:"100ms"`
	Aim      time.Duration `help:"Aim of a request." default:"600ms"`
	Jobs     int           `help:"Runs at a time; 0: as many as there are processors." default:"0"`
	JSON     bool          `help:"Print JSON in place of the table." name:"json"`
	Report   string        `help:"Folder for members-cold.json." type:"path" placeholder:"DIR"`
}

func (c *labMembersCold) Run(a *app) error {
	if slices.ContainsFunc(c.Sidecars, func(n int) bool { return n < 2 || n > 2000 }) ||
		slices.ContainsFunc(c.Rates, func(r float64) bool { return !(r > 0) }) {
		return errors.New("--sidecars are between 2 and 2000, --rates above 0")
	}
	m := lab.MemberCold{Sidecars: c.Sidecars, Rates: c.Rates, Changes: c.Changes, Seeds: c.Seeds, Load: c.Load,
		AtOnce: c.AtOnce, Cores: c.Cores, Multiple: c.Multiple, Work: c.Work, Aim: c.Aim, Jobs: c.Jobs, Progress: a.errOut}
	if slices.Contains(c.Changes, "all") {
		m.Changes = lab.MemberChanges()
	}
	if m.Jobs <= 0 {
		m.Jobs = runtime.GOMAXPROCS(0)
	}
	for _, name := range c.Counts {
		m.Counts = append(m.Counts, simulate.CountMode(name))
	}
	rows, err := m.Run(a.ctx)
	if err != nil {
		return err
	}
	if c.Report != "" {
		if err := save(c.Report, "members-cold.json", rows); err != nil {
			return err
		}
	}
	return show(a, c.JSON, rows, lab.PrintMemberCold)
}
