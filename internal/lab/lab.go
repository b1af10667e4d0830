// Package lab runs scenarios: the real program between simulated clients, servers and discovery, with faults injected
// between them, on loopback addresses. docs/lab.md describes its use and its limits.
//
// The sidecars and the replicas of the registry are child processes. All other parties run in this process, share one
// clock and record what they observe. All random values of a run are drawn before it starts, from one seed (package
// scenario). After the run the invariants are checked against the records (package invariant). Package harness contains
// the phases that all runs share.
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

// Run runs a scenario and returns its report. An error means that the scenario could not be run. A broken invariant or
// a missed expectation is not an error: it is in the report.
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

// Simulate runs a scenario on a simulated clock (package simulate), with the same invariants, figures and expectations.
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
