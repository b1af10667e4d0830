// Package lab runs scenarios: the real program between simulated clients, servers and discovery, with faults between
// them, on loopback addresses. docs/lab.md says how it is used and what it does not promise.
//
// The sidecars and the replicas of the registry are child processes. All other parties are in this process, on one clock,
// and record what they see. Everything that is drawn is drawn before the run from one seed (package scenario); the
// invariants are checked after it from the records (package invariant). Package harness has the phases of every run.
package lab

import (
	"context"
	"fmt"

	"marblelane/internal/lab/cluster"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/report"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simulate"
)

// Run plays a scenario. An error means that it could not be played; what the run shows is in the report.
func Run(ctx context.Context, s *scenario.Scenario, o harness.Options) (*report.Report, error) {
	base, err := harness.New(s, o)
	if err != nil {
		return nil, err
	}
	defer base.Close()
	if s.Registry.Replicas > 0 {
		return base.Execute(ctx, cluster.NewRun(base))
	}
	return base.Execute(ctx, newRun(base))
}

// Simulate plays a scenario on a simulated clock (package simulate), with the same rules, figures and expectations.
func Simulate(ctx context.Context, s *scenario.Scenario, seed uint64, o simulate.Options) (*report.Report, error) {
	plan := s.Plan(seed)
	run, err := simulate.Run(ctx, plan, o)
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	rep := report.New(plan, run.Events, run.WorkDone, nil, nil)
	rep.ZoneFaults = simulate.ZoneFaults(plan, run.Sends)
	rep.CheckFigures(&s.Expect)
	return rep, nil
}
