// Package crowd plays how many sidecars call a list service of fixed capacity: the real decision module of each
// (package balance) on one simulated clock, so that hundreds of callers and minutes take milliseconds.
//
// The service is as the operators' pages describe it: calls wait in turn, each costs as many lines as it is told, and a
// call that has waited too long fails. What it has begun it finishes. One that is abandoned or fails in turn costs
// nothing, or, with Spec.Waste, as much as any other: a service that does not notice who has gone.
package crowd

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"marblelane/balance"
	"marblelane/internal/lab/simclock"
)

// Spec is one run. Times are milliseconds.
type Spec struct {
	Callers   int
	Servers   int     // lines of the whole list
	Capacity  float64 // lines a second that the service tells
	Patience  float64 // how long a call may wait in turn
	Spread    float64 // within which all sidecars start
	Length    float64
	AskWithin float64 // the settings' rules.ask_within_ms
	// LongestPause is balance.Config's, which sidecars set; 0: none.
	LongestPause float64
	Waste        bool // calls that failed in turn cost as much as any other
	Seed         uint64
}

// Result is what came of it.
type Result struct {
	Calls    int     `json:"calls"`
	Answered int     `json:"answered"`
	Failed   int     `json:"failed"`
	Told     int     `json:"told"` // sidecars that have a list at the end
	P50      float64 `json:"told_p50_ms"`
	P99      float64 `json:"told_p99_ms"` // of those that were told, since the first started
	Last     float64 `json:"told_last_ms"`
	Busy     float64 `json:"busy"`   // share of the service's time that went into calls
	Useful   float64 `json:"useful"` // ... into calls that were answered
}

// world is a run under way.
type world struct {
	simclock.Clock
	spec    Spec
	servers []balance.Server
	callers []*caller
	free    float64 // when the service has done what it has begun or is bound to do
	busy    float64
	useful  float64
	out     Result
}

type caller struct {
	b    *balance.Balancer
	told float64 // when it was; negative: not yet
}

// Run plays one spec.
func Run(spec Spec) (*Result, error) {
	if spec.Callers < 1 || spec.Servers < 1 || !(spec.Capacity > 0) || !(spec.Length > 0) {
		return nil, errors.New("crowd: callers, servers, capacity and length have to be over 0")
	}
	w := &world{spec: spec}
	for i := range spec.Servers {
		w.servers = append(w.servers, balance.Server{ID: balance.ServerID(i + 1), Rating: 1})
	}
	for i := range spec.Callers {
		b, err := balance.New(balance.Config{Seed: spec.Seed + uint64(i)*7919, Number: i, Peers: spec.Callers, Subscribe: true,
			PollInterval: spec.AskWithin, MaxPollBackoff: spec.LongestPause, MaxAttempts: 2, Classes: []balance.Class{{LatencyObjective: 600, Deadline: 1500, PriorityWeight: 1}}})
		if err != nil {
			return nil, fmt.Errorf("crowd: %w", err)
		}
		c := &caller{b: b, told: -1}
		w.callers = append(w.callers, c)
		start := spec.Spread * float64(i) / float64(spec.Callers)
		w.At(start, func() { w.act(c, b.Start(w.Now())) })
	}
	for w.Step(spec.Length) {
	}
	return w.result(), nil
}

func (w *world) act(c *caller, actions []balance.Action) {
	for _, a := range slices.Clone(actions) {
		switch a.Kind {
		case balance.Watch:
			w.call(c)
		case balance.SetTimer:
			w.At(w.Now()+a.At, func() { w.tell(c, balance.Timer{Token: a.Token}) })
		}
	}
}

func (w *world) tell(c *caller, ev balance.Event) {
	actions, err := c.b.Handle(w.Now(), ev)
	if err == nil {
		w.act(c, actions)
	}
}

// call puts a call in turn. As turns are kept, when it would begin is known at once.
func (w *world) call(c *caller) {
	w.out.Calls++
	begin := math.Max(w.free, w.Now())
	cost := 1000 * float64(len(w.servers)) / w.spec.Capacity
	if begin-w.Now() > w.spec.Patience {
		if w.spec.Waste {
			w.free, w.busy = begin+cost, w.busy+cost
		}
		w.At(w.Now()+w.spec.Patience, func() {
			w.out.Failed++
			w.tell(c, balance.ServerList{Kind: balance.ListFailed, Busy: true})
		})
		return
	}
	w.free = begin + cost
	w.busy, w.useful = w.busy+cost, w.useful+cost
	w.At(w.free, func() {
		w.out.Answered++
		if c.told < 0 {
			c.told = w.Now()
		}
		w.tell(c, balance.ServerList{Kind: balance.ListFull, Rev: 1, Servers: w.servers})
	})
}

func (w *world) result() *Result {
	var told []float64
	for _, c := range w.callers {
		if c.told >= 0 {
			told = append(told, c.told)
		}
	}
	slices.Sort(told)
	at := func(q float64) float64 {
		if len(told) == 0 {
			return math.Inf(1)
		}
		return told[int(q*float64(len(told)-1))]
	}
	r := w.out
	r.Told, r.P50, r.P99, r.Last = len(told), at(0.5), at(0.99), at(1)
	over := math.Max(w.spec.Length, w.free)
	r.Busy, r.Useful = w.busy/over, w.useful/over
	return &r
}
