package model

// This file runs a simulation: sidecars, a service, and messages between them that are lost, late and duplicated.

import (
	"fmt"
	"math/rand/v2"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

const (
	playTenant  = "tenant"
	playRollout = "canary"

	tickInterval     = 100 // ms between two looks of the controller at what is due
	duplicateLatency = 20  // times Latency
)

// simulation is a run under way.
type simulation struct {
	Options
	scheduler
	sidecars       []*simSidecar
	service        service
	baseline       baselineService
	canaryFraction float64 // of the present step
	leasedRequests int64
	result         Result
}

// Simulate runs a simulation. The same options give the same result.
func Simulate(o Options) (Result, error) {
	if err := o.validate(); err != nil {
		return Result{}, err
	}
	s := &simulation{
		Options:   o,
		scheduler: scheduler{rng: rand.New(rand.NewPCG(o.Seed, 0))},
		service:   service{state: rollout.NewState()},
		baseline:  baselineService{sums: make([]int64, o.Sidecars)},
		result: Result{
			Budget: o.Budget, LastUnitSpent: notYet, LastAttempt: notYet, RolledBack: notYet, CanaryStopped: notYet,
			BaselineLastUnit: notYet, BaselineLastAttempt: notYet,
		},
	}
	if err := s.postRollout(); err != nil {
		return Result{}, fmt.Errorf("model: %w", err)
	}
	s.setUp()
	s.run(o.Duration)
	return s.finish(), nil
}

func (s *simulation) postRollout() error {
	s.service.state.BeginEpoch(1)
	spec := &rollout.Spec{
		Tenant: playTenant, Name: playRollout, SubsetName: "b", Canary: route.Subset{Model: []string{"b"}},
		Steps: s.Steps, Budget: s.Budget, AtEnd: rollout.AtEndReturn,
	}
	if _, err := s.service.state.Apply(&rollout.Command{Op: rollout.OpPost, Spec: spec}); err != nil {
		return err
	}
	s.canaryFraction = s.Steps[0].CanaryFraction
	return nil
}

// setUp schedules what begins by itself. The order matters to the random numbers that each draws.
func (s *simulation) setUp() {
	s.electLeader()
	for i := range s.Sidecars {
		sidecar := &simSidecar{Sidecar: playSidecar(fmt.Sprintf("s%04d", i), 1)}
		s.sidecars = append(s.sidecars, sidecar)
		s.startDuties(sidecar)
		s.scheduleRequest(sidecar)
		s.scheduleBaselineReport(i)
	}
	for _, at := range s.KillTimes {
		s.schedule(at, s.kill)
	}
	for _, at := range s.LeaderLossTimes {
		s.schedule(at, s.loseLeader)
	}
	s.every(tickInterval, s.tick)
	s.every(s.BaselineInterval, s.checkBaseline)
}

func playSidecar(name string, start int64) Sidecar {
	return Sidecar{Process: route.Process{Name: name, Start: start}, Tenant: playTenant, Rollout: playRollout}
}

// send carries a message: it may be lost, or arrive twice.
func (s *simulation) send(arrive func()) {
	if s.rng.Float64() >= s.LossRate {
		s.after(s.randomTime(s.MeanLatency), arrive)
	}
	if s.rng.Float64() < s.DuplicateRate {
		s.after(s.randomTime(duplicateLatency*s.MeanLatency), arrive)
	}
}

// sendTo carries a message to the process of a sidecar that started at start; after a restart it is lost.
func (s *simulation) sendTo(to *simSidecar, start int64, arrive func()) {
	s.send(func() {
		if to.Start == start {
			arrive()
		}
	})
}

func (s *simulation) finish() Result {
	r, _ := s.service.state.Rollout(playTenant, playRollout)
	out := s.result
	out.Phase, out.Reason = r.Phase, r.Reason
	out.LedgerPerSecond = float64(out.LedgerCommands) / (float64(s.Duration) / 1000)
	if s.leasedRequests > 0 {
		out.CanaryFraction = float64(out.Attempts) / float64(s.leasedRequests)
	}
	out.BaselineOver = max(0, out.BaselineFailures-s.Budget)
	return out
}
