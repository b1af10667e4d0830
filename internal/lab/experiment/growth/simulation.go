package growth

// This file plays the same days with fleets of two sizes on a simulated clock.

import (
	"context"
	"fmt"
	"math"

	"marblelane/internal/lab/report"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simulate"
)

const simulatedScenario = `
title = "growth"
length = "10s"
warm_up = "1s"
[network]
zones = ["north", "middle", "south"]
[[servers.kind]]
name = "standard"
share = 1.0
queue = 900
cold_from = 0.25
cold = "18s"
[traffic]
retries = 2
backoff = "100ms"
honour = 0.3
[[class]]
name = "look"
share = 0.7
work = "180ms"
cv = 0.6
aim = "1500ms"
deadline = "4s"
worth = 2.0
[[class]]
name = "order"
share = 0.3
work = "250ms"
cv = 0.6
aim = "1500ms"
deadline = "4s"
worth = 8.0
effect = "unsafe"
`

const (
	utilization = 0.6 // load as a share of the capacity of all servers
	serverCores = 16  // of a server of the usual size
)

// Day is what each sidecar used on a simulated day.
type Day struct {
	Name string `json:"name"`
	Pair
	Broken []string `json:"broken"` // rules that were broken at the large size
}

// simulatedDayKind is a kind of day, by its faults.
type simulatedDayKind struct {
	name   string
	faults func(o *Options) []scenario.Fault
}

// simulatedDayKinds are the days that are simulated.
var simulatedDayKinds = []simulatedDayKind{
	{"fleet, replaced", func(o *Options) []scenario.Fault {
		if o.ReplacedFraction == 0 {
			return nil
		}
		return []scenario.Fault{{At: scenario.Duration(o.DayLength / 4), Kind: "replace",
			Servers: fmt.Sprintf("%g%%", 100*o.ReplacedFraction)}}
	}},
	{"fleet, zone lost", func(o *Options) []scenario.Fault {
		return []scenario.Fault{{At: scenario.Duration(o.DayLength / 4), For: scenario.Duration(o.DayLength / 4),
			Kind: "restart", Servers: "zone:north"}}
	}},
}

// simulateDays plays each kind of day with each size.
func simulateDays(ctx context.Context, o *Options) ([]Day, error) {
	var days []Day
	for i := range simulatedDayKinds {
		kind := &simulatedDayKinds[i]
		day := Day{Name: kind.name}
		var err error
		if day.Usual, _, err = simulateDay(ctx, o, o.Simulated.Usual, kind); err != nil {
			return nil, err
		}
		if day.Large, day.Broken, err = simulateDay(ctx, o, o.Simulated.Large, kind); err != nil {
			return nil, err
		}
		days = append(days, day)
	}
	return days, nil
}

// simulateDay plays a day with one size. It also returns the rules that were broken.
func simulateDay(ctx context.Context, o *Options, size Size, kind *simulatedDayKind) (Usage,
	[]string, error) {
	s, err := dayScenario(o, size)
	if err != nil {
		return Usage{}, nil, err
	}
	s.Faults = kind.faults(o)
	plan := s.Plan(1)
	run, err := simulate.Run(ctx, plan, simulate.Options{})
	if err != nil {
		return Usage{}, nil, fmt.Errorf("%d sidecars, %d servers: %w", size.Sidecars, size.Servers, err)
	}
	opened := 0
	for i := range run.Sends {
		if run.Sends[i].NewConnection {
			opened++
		}
	}
	outcome := report.New(plan, run.Events, run.WorkDone, nil, nil)
	figures, broken := &outcome.Result.Figures, outcome.Verdict.Broken()
	usage := Usage{Connections: float64(opened) / float64(size.Sidecars), Served: figures.InObjective}
	o.progress("%s, %d sidecars, %d servers: %d requests, %.3f served, %.1f connections each, %.2f attempts, broken %v",
		kind.name, size.Sidecars, size.Servers, figures.Requests, usage.Served, usage.Connections, figures.ServerAttempts, broken)
	return usage, broken, nil
}

// dayScenario returns the scenario of a day with a fleet of this size. The traffic and the capacity of the servers per
// sidecar are the same at any size: with more servers per sidecar, servers have fewer cores, and their speed makes up for
// the rounding to whole cores.
func dayScenario(o *Options, size Size) (*scenario.Scenario, error) {
	s, err := scenario.Parse("growth-day.toml", []byte(simulatedScenario))
	if err != nil {
		return nil, err
	}
	usual := o.Simulated.Usual
	s.Length = scenario.Duration(o.DayLength)
	s.Sidecars.Count, s.Servers.Count = size.Sidecars, size.Servers
	s.Traffic.Rate = o.Rate * float64(size.Sidecars)
	meanWork := 0.0 // of a request, in seconds
	for _, c := range s.Classes {
		meanWork += c.Fraction * c.Work.Duration().Seconds()
	}
	kind := &s.Servers.Kinds[0]
	kind.Cores = max(1, int(math.Round(serverCores*size.sidecarsPerServer()/usual.sidecarsPerServer())))
	speed := o.Rate * meanWork / utilization * size.sidecarsPerServer() / float64(kind.Cores)
	kind.Speed = scenario.Range{speed, speed}
	return s, nil
}

func (s Size) sidecarsPerServer() float64 { return float64(s.Sidecars) / float64(s.Servers) }
