package model

// This file runs a simulation of sidecars and a list service whose messages may be lost, delayed or duplicated.

import (
	"fmt"
	"math/rand/v2"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

const (
	simTenant  = "tenant"
	simRollout = "canary"

	tickInterval           = 100 // ms between two calls of Controller.Tick
	duplicateLatencyFactor = 20  // mean delay of a duplicate, as a multiple of MeanLatency
)

// simulation is the state of one run.
type simulation struct {
	Options
	scheduler
	sidecars       []*simSidecar
	service        service
	baseline       baselineService
	canaryFraction float64 // fraction of requests that the current step sends to the canary
	leasedRequests int64
	result         Result
}

// Simulate runs a simulation and returns its result. The result depends only on the options.
func Simulate(o Options) (Result, error) {
	if err := o.validate(); err != nil {
		return Result{}, err
	}
	s := &simulation{
		Options:   o,
		scheduler: scheduler{rng: rand.New(rand.NewPCG(o.Seed, 0))},
		service:   service{state: rollout.NewState()},
		baseline:  baselineService{reportedFailures: make([]int64, o.Sidecars)},
		result: Result{
			Budget: o.Budget, LastUnitSpent: notReached, LastAttempt: notReached, RolledBack: notReached,
			CanaryStopped: notReached, BaselineLastUnit: notReached, BaselineLastAttempt: notReached,
		},
	}
	if err := s.postRollout(); err != nil {
		return Result{}, fmt.Errorf("model: %w", err)
	}
	s.scheduleInitialEvents()
	s.run(o.Duration)
	return s.finalResult(), nil
}

func (s *simulation) postRollout() error {
	s.service.state.BeginEpoch(1)
	spec := &rollout.Spec{
		Tenant: simTenant, Name: simRollout, SubsetName: "b", Canary: route.Subset{Model: []string{"b"}},
		Steps: s.Steps, Budget: s.Budget, AtEnd: rollout.AtEndReturn,
	}
	if _, err := s.service.state.Apply(&rollout.Command{Op: rollout.OpPost, Spec: spec}); err != nil {
		return err
	}
	s.canaryFraction = s.Steps[0].CanaryFraction
	return nil
}

// scheduleInitialEvents elects the first leader, starts the sidecars and schedules the faults. The order of its steps
// determines which random numbers each of them gets.
func (s *simulation) scheduleInitialEvents() {
	s.electLeader()
	for i := range s.Sidecars {
		sidecar := &simSidecar{Sidecar: newSimProcess(fmt.Sprintf("s%04d", i), 1)}
		s.sidecars = append(s.sidecars, sidecar)
		s.startPeriodicRequests(sidecar)
		s.scheduleRequest(sidecar)
		s.scheduleBaselineReport(i)
	}
	for _, at := range s.KillTimes {
		s.schedule(at, s.kill)
	}
	for _, at := range s.LeaderLossTimes {
		s.schedule(at, s.loseLeader)
	}
	s.scheduleEvery(tickInterval, s.tick)
	s.scheduleEvery(s.BaselineInterval, s.stopSpentBaseline)
}

func newSimProcess(name string, start int64) Sidecar {
	return Sidecar{Process: route.Process{Name: name, Start: start}, Tenant: simTenant, Rollout: simRollout}
}

// send delivers a message after a random delay. The message may be lost, and a duplicate may arrive later.
func (s *simulation) send(arrive func()) {
	if s.rng.Float64() >= s.LossRate {
		s.scheduleAfter(s.randomTime(s.MeanLatency), arrive)
	}
	if s.rng.Float64() < s.DuplicateRate {
		s.scheduleAfter(s.randomTime(duplicateLatencyFactor*s.MeanLatency), arrive)
	}
}

// sendTo sends a message to one process of a sidecar, identified by its start. If the sidecar has restarted when the
// message arrives, the message is lost.
func (s *simulation) sendTo(to *simSidecar, start int64, arrive func()) {
	s.send(func() {
		if to.Start == start {
			arrive()
		}
	})
}

func (s *simulation) finalResult() Result {
	r, _ := s.service.state.Rollout(simTenant, simRollout)
	result := s.result
	result.Phase, result.Reason = r.Phase, r.Reason
	result.LedgerPerSecond = float64(result.LedgerCommands) / (float64(s.Duration) / 1000)
	if s.leasedRequests > 0 {
		result.CanaryFraction = float64(result.Attempts) / float64(s.leasedRequests)
	}
	result.BaselineOver = max(0, result.BaselineFailures-s.Budget)
	return result
}
