// Package crowd simulates many sidecars that call a list service of fixed capacity at once. Each caller is the real
// decision module (package balance). All run on one simulated clock, so that minutes with hundreds of callers take
// milliseconds.
//
// The service behaves as the operators' pages describe it: calls wait in a queue, a call costs as many lines as its
// response has, and a call that has waited too long fails. A call that was started is completed. A call that is
// abandoned or fails in the queue costs nothing, or, with Spec.WastesFailedCalls, as much as any other: such a service
// does not detect closed connections.
package crowd

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"marblelane/balance"
	"marblelane/internal/lab/simclock"
)

// Spec is the input of one run. Times are in milliseconds.
type Spec struct {
	Callers      int
	Servers      int     // length of the list, one line per server
	Capacity     float64 // lines that the service sends per second
	CallTimeout  float64 // how long a call may wait in the queue
	StartSpread  float64 // time over which the starts of all sidecars are evenly spread
	Length       float64 // duration of the run
	PollInterval float64 // value for balance.Config; the setting rules.ask_within_ms of the sidecar
	// MaxPollBackoff is the value for balance.Config, which sidecars set. 0 means none.
	MaxPollBackoff    float64
	WastesFailedCalls bool // whether calls that fail in the queue cost as much as any other
	Seed              uint64
}

// Result is the outcome of a run. P50, P99 and Max are the times, in milliseconds since the start of the run, at which
// sidecars received their first list: over those that have one, and infinite if there are none.
type Result struct {
	Calls     int     `json:"calls"` // calls that were started, including calls that have not ended
	Succeeded int     `json:"answered"`
	Failed    int     `json:"failed"`
	HaveList  int     `json:"told"` // sidecars that have a list at the end
	P50       float64 `json:"told_p50_ms"`
	P99       float64 `json:"told_p99_ms"`
	Max       float64 `json:"told_last_ms"`
	Busy      float64 `json:"busy"`   // fraction of the service's time spent on calls
	Useful    float64 `json:"useful"` // fraction of the service's time spent on calls that succeeded
}

// simulation is a run in progress.
type simulation struct {
	simclock.Clock
	spec       Spec
	servers    []balance.Server
	callers    []*caller
	idleAt     float64 // time at which the service will have finished all queued calls
	busyTime   float64
	usefulTime float64
	counts     Result
}

// caller is one sidecar.
type caller struct {
	balancer    *balance.Balancer
	firstListAt float64 // time at which the sidecar received its first list; negative: not yet
}

// Run runs the simulation of a spec.
func Run(spec Spec) (*Result, error) {
	if spec.Callers < 1 || spec.Servers < 1 || !(spec.Capacity > 0) || !(spec.Length > 0) {
		return nil, errors.New("crowd: callers, servers, capacity and length must be above 0")
	}
	sim := &simulation{spec: spec}
	for i := range spec.Servers {
		sim.servers = append(sim.servers, balance.Server{ID: balance.ServerID(i + 1), Rating: 1})
	}
	for i := range spec.Callers {
		b, err := balance.New(balance.Config{Seed: spec.Seed + uint64(i)*7919, Number: i, Peers: spec.Callers, Subscribe: true,
			PollInterval: spec.PollInterval, MaxPollBackoff: spec.MaxPollBackoff, MaxAttempts: 2, Classes: []balance.Class{{LatencyObjective: 600, Deadline: 1500, PriorityWeight: 1}}})
		if err != nil {
			return nil, fmt.Errorf("crowd: %w", err)
		}
		c := &caller{balancer: b, firstListAt: -1}
		sim.callers = append(sim.callers, c)
		start := spec.StartSpread * float64(i) / float64(spec.Callers)
		sim.At(start, func() { sim.execute(c, b.Start(sim.Now())) })
	}
	for sim.Step(spec.Length) {
	}
	return sim.result(), nil
}

// execute carries out the actions that a caller's balancer has returned.
func (s *simulation) execute(c *caller, actions []balance.Action) {
	for _, a := range slices.Clone(actions) {
		switch a.Kind {
		case balance.Watch:
			s.queueCall(c)
		case balance.SetTimer:
			s.At(s.Now()+a.At, func() { s.handleEvent(c, balance.Timer{Token: a.Token}) })
		}
	}
}

// handleEvent passes an event to a caller's balancer and carries out the resulting actions.
func (s *simulation) handleEvent(c *caller, ev balance.Event) {
	actions, err := c.balancer.Handle(s.Now(), ev)
	if err == nil {
		s.execute(c, actions)
	}
}

// queueCall queues a call. The queue is first in, first out, so that the start of the call can be computed at once.
func (s *simulation) queueCall(c *caller) {
	s.counts.Calls++
	begin := math.Max(s.idleAt, s.Now())
	cost := 1000 * float64(len(s.servers)) / s.spec.Capacity
	if begin-s.Now() > s.spec.CallTimeout {
		if s.spec.WastesFailedCalls {
			s.idleAt, s.busyTime = begin+cost, s.busyTime+cost
		}
		s.At(s.Now()+s.spec.CallTimeout, func() {
			s.counts.Failed++
			s.handleEvent(c, balance.ServerList{Kind: balance.ListFailed, Busy: true})
		})
		return
	}
	s.idleAt = begin + cost
	s.busyTime, s.usefulTime = s.busyTime+cost, s.usefulTime+cost
	s.At(s.idleAt, func() {
		s.counts.Succeeded++
		if c.firstListAt < 0 {
			c.firstListAt = s.Now()
		}
		s.handleEvent(c, balance.ServerList{Kind: balance.ListFull, Rev: 1, Servers: s.servers})
	})
}

// result returns the result of the run so far.
func (s *simulation) result() *Result {
	var listTimes []float64
	for _, c := range s.callers {
		if c.firstListAt >= 0 {
			listTimes = append(listTimes, c.firstListAt)
		}
	}
	slices.Sort(listTimes)
	quantile := func(q float64) float64 {
		if len(listTimes) == 0 {
			return math.Inf(1)
		}
		return listTimes[int(q*float64(len(listTimes)-1))]
	}
	r := s.counts
	r.HaveList, r.P50, r.P99, r.Max = len(listTimes), quantile(0.5), quantile(0.99), quantile(1)
	duration := math.Max(s.spec.Length, s.idleAt)
	r.Busy, r.Useful = s.busyTime/duration, s.usefulTime/duration
	return &r
}
