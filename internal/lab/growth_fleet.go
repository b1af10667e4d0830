package lab

// This file plays the same day with fleets of two sizes on a simulated clock.

import (
	"context"
	"fmt"
	"math"

	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simulate"
)

const growthDayScenario = `
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
	growthLoad  = 0.6 // of the capacity of all servers that is asked for
	growthCores = 16  // of a server of the usual size
)

// GrowthDay is what a day on the simulated clock needed of each sidecar.
type GrowthDay struct {
	Name string `json:"name"`
	GrowthPair
	Broken []string `json:"broken"` // rules that were broken at the large size
}

// growthTrouble is what goes wrong on a day.
type growthTrouble struct {
	name   string
	faults func(o *GrowthOptions) []scenario.Fault
}

// growthTroubles are the days that are simulated.
var growthTroubles = []growthTrouble{
	{"fleet, replaced", func(o *GrowthOptions) []scenario.Fault {
		if o.Replaced == 0 {
			return nil
		}
		return []scenario.Fault{{At: scenario.Duration(o.DayLength / 4), Kind: "replace",
			Servers: fmt.Sprintf("%g%%", 100*o.Replaced)}}
	}},
	{"fleet, zone lost", func(o *GrowthOptions) []scenario.Fault {
		return []scenario.Fault{{At: scenario.Duration(o.DayLength / 4), For: scenario.Duration(o.DayLength / 4),
			Kind: "restart", Servers: "zone:north"}}
	}},
}

// simulatedGrowth plays each day with each size.
func simulatedGrowth(ctx context.Context, o *GrowthOptions) ([]GrowthDay, error) {
	var days []GrowthDay
	for i := range growthTroubles {
		trouble := &growthTroubles[i]
		day := GrowthDay{Name: trouble.name}
		var err error
		if day.Usual, _, err = simulateGrowthDay(ctx, o, o.Simulated.Usual, trouble); err != nil {
			return nil, err
		}
		if day.Large, day.Broken, err = simulateGrowthDay(ctx, o, o.Simulated.Large, trouble); err != nil {
			return nil, err
		}
		days = append(days, day)
	}
	return days, nil
}

// simulateGrowthDay also gives the rules that were broken.
func simulateGrowthDay(ctx context.Context, o *GrowthOptions, size GrowthSize, trouble *growthTrouble) (GrowthNeed,
	[]string, error) {
	s, err := growthDayOf(o, size)
	if err != nil {
		return GrowthNeed{}, nil, err
	}
	s.Faults = trouble.faults(o)
	plan := s.Plan(1)
	run, err := simulate.Play(ctx, plan, simulate.Options{})
	if err != nil {
		return GrowthNeed{}, nil, fmt.Errorf("%d sidecars, %d servers: %w", size.Sidecars, size.Servers, err)
	}
	opened := 0
	for i := range run.Sends {
		if run.Sends[i].NewConnection {
			opened++
		}
	}
	report := newReport(plan, run.Events, run.WorkDone, nil, nil)
	figures, broken := &report.Result.Figures, report.Verdict.Broken()
	need := GrowthNeed{Connections: float64(opened) / float64(size.Sidecars), Served: figures.InObjective}
	o.progress("%s, %d sidecars, %d servers: %d requests, %.3f served, %.1f connections each, %.2f attempts, broken %v",
		trouble.name, size.Sidecars, size.Servers, figures.Requests, need.Served, need.Connections, figures.ServerAttempts, broken)
	return need, broken, nil
}

// growthDayOf is the day with a fleet of this size. The traffic of a sidecar and the capacity of all servers together,
// counted for each sidecar, are the same at any size: where there are more servers for each sidecar they have fewer
// cores, and what whole cores leave over goes into their speed.
func growthDayOf(o *GrowthOptions, size GrowthSize) (*scenario.Scenario, error) {
	s, err := scenario.Parse("growth-day.toml", []byte(growthDayScenario))
	if err != nil {
		return nil, err
	}
	usual := o.Simulated.Usual
	s.Length = scenario.Duration(o.DayLength)
	s.Sidecars.Count, s.Servers.Count = size.Sidecars, size.Servers
	s.Traffic.Rate = o.Rate * float64(size.Sidecars)
	work := 0.0 // of a request in the mean, in seconds
	for _, c := range s.Classes {
		work += c.Fraction * c.Work.Duration().Seconds()
	}
	kind := &s.Servers.Kinds[0]
	kind.Cores = max(1, int(math.Round(growthCores*size.sidecarsPerServer()/usual.sidecarsPerServer())))
	speed := o.Rate * work / growthLoad * size.sidecarsPerServer() / float64(kind.Cores)
	kind.Speed = scenario.Range{speed, speed}
	return s, nil
}

func (s GrowthSize) sidecarsPerServer() float64 { return float64(s.Sidecars) / float64(s.Servers) }
