package main

import (
	"fmt"
	"slices"

	"marblelane/internal/lab/scenario"
)

// labCheck prints the schedule of a scenario.
type labCheck struct {
	Scenario string `arg:"" help:"Name of a scenario (see list), or a file that ends in .toml."`
	Seed     uint64 `help:"Seed of all random choices; 0 uses the scenario's." default:"0"`
	Schedule bool   `help:"Print the whole schedule: fleet, faults and every arrival."`
}

func (c *labCheck) Run(a *app) error {
	s, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	plan := s.Plan(c.Seed)
	if c.Schedule {
		_, err := plan.WriteTo(a.out)
		return err
	}
	busiest := slices.MaxFunc(plan.Sidecars, func(x, y scenario.SidecarPlan) int {
		if x.Weight < y.Weight {
			return -1
		}
		return 1
	})
	fmt.Fprintf(a.out, "%s: %s\nseed %d: %d sidecars (the busiest has %.0f%% of the traffic), %d servers in %d pods, capacity %.1f cores\n"+
		"%d requests in %v (%.1f/s), %d faults\n", s.Name, s.Title, plan.Seed, len(plan.Sidecars), 100*busiest.Weight, s.Servers.Count,
		len(plan.Pods), plan.Capacity, len(plan.Arrivals), s.Length.Duration(), plan.Rate, len(plan.Faults))
	return nil
}
