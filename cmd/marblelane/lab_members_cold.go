package main

import (
	"errors"
	"runtime"
	"slices"
	"time"

	"marblelane/internal/lab/experiment/membercold"
	"marblelane/internal/lab/simulate"
)

// labMembersWarmUp measures how the number of sidecars affects servers that are warming up.
type labMembersWarmUp struct {
	Sidecars  []int         `help:"Numbers of sidecars." default:"10,100,300,1000"`
	Rates     []float64     `help:"Requests per second of each sidecar." default:"0.2,2"`
	Changes   []string      `help:"Changes of the fleet: steady, half-die, double, die-return, split-half, split-one, split-ten, split-alone, split-third, or all of them." default:"all"`
	Counts    []string      `help:"Ways of counting sidecars: none, fixed, naive, rule, and as the two bounds earned (nothing is assumed) and free (no limit)." default:"none,fixed,naive,rule,earned,free"`
	Seeds     int           `help:"Number of runs of each combination." default:"3"`
	Load      float64       `help:"Load of the servers while all are warm, as a fraction of their capacity." default:"0.45"`
	AtOnce    float64       `help:"Fraction of the servers that restarts at the same time." default:"0.33"`
	Cores     int           `help:"Cores of a server." default:"4"`
	Multiple  float64       `help:"Multiple of a cold server's capacity at which it fails." default:"4"`
	Work      time.Duration `help:"Mean work of a request." default:"100ms"`
	Objective time.Duration `name:"aim" help:"Latency objective of a request." default:"600ms"`
	Jobs      int           `help:"Number of concurrent runs; 0 uses the number of processors." default:"0"`
	JSON      bool          `help:"Print JSON instead of the table." name:"json"`
	Report    string        `help:"Folder for members-cold.json." type:"path" placeholder:"DIR"`
}

func (c *labMembersWarmUp) Run(a *app) error {
	if slices.ContainsFunc(c.Sidecars, func(n int) bool { return n < 2 || n > 2000 }) ||
		slices.ContainsFunc(c.Rates, func(r float64) bool { return !(r > 0) }) {
		return errors.New("--sidecars must be between 2 and 2000, --rates above 0")
	}
	m := membercold.Experiment{Sidecars: c.Sidecars, Rates: c.Rates, FleetChanges: c.Changes, Seeds: c.Seeds, Utilization: c.Load,
		RestartFraction: c.AtOnce, Cores: c.Cores, FallMultiple: c.Multiple, MeanWork: c.Work, LatencyObjective: c.Objective, Jobs: c.Jobs, Progress: a.errOut}
	if slices.Contains(c.Changes, "all") {
		m.FleetChanges = membercold.FleetChangeNames()
	}
	if m.Jobs <= 0 {
		m.Jobs = runtime.GOMAXPROCS(0)
	}
	for _, name := range c.Counts {
		m.CountModes = append(m.CountModes, simulate.CountMode(name))
	}
	rows, err := m.Run(a.ctx)
	if err != nil {
		return err
	}
	if c.Report != "" {
		if err := saveJSON(c.Report, "members-cold.json", rows); err != nil {
			return err
		}
	}
	return printResult(a, c.JSON, rows, membercold.Print)
}
