package growth

// This file runs the same days with fleets of two sizes on a simulated clock.

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
	utilization = 0.6 // mean load as a share of the capacity of all servers
	serverCores = 16  // cores of a server in a fleet of the usual size
)

// Day is the mean usage of a sidecar on one kind of simulated day, at both sizes.
type Day struct {
	Name string `json:"name"`
	Pair
	Broken []string `json:"broken"` // invariants violated at the large size
}

// simulatedDayKind is a kind of simulated day. Kinds differ in their faults.
type simulatedDayKind struct {
	name   string
	faults func(o *Options) []scenario.Fault
}

// simulatedDayKinds lists the kinds of simulated days.
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

// simulateDays runs each kind of day with each size.
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

// simulateDay runs one day with one size. It returns the mean usage of a sidecar and the violated invariants.
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

// dayScenario returns the scenario of a day with a fleet of the given size. Traffic and server capacity per sidecar are
// the same at every size. With more servers per sidecar, each server has fewer cores, and the server speed corrects for
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
	meanWork := 0.0 // mean work of a request, in seconds
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
