package model

import (
	"fmt"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
	"marblelane/internal/testutil/explore"
)

// Purses is a world of budgets. An ask may wait for its commit, be lost with the leader, have its answer lost or late,
// or come a second time at any later point. The clock jumps once, which is a cut: by so much that all that were not
// heard since are gone, with what they hold and have out. Reports, which the other world is for, are answered at once.
type Purses struct {
	Defect
	state                         *rollout.State
	controller                    *rollout.Controller
	sides                         [fleet]purseSide
	clock                         int64
	crashes, leaders, twice, jump int // that may come yet
	failures                      int64
	phase                         rollout.Phase
}

type purseSide struct {
	Sidecar
	stage   stage
	ask     route.UnitsAsk
	entries []rollout.Entry

	late       *route.UnitsAsk // comes a second time, whenever
	lateAnswer *route.UnitsAnswer
}

// NewPurses makes one of three sidecars, with a defect planted.
func NewPurses(d Defect, f Faults) *Purses {
	w := &Purses{Defect: d, state: posted(), controller: rollout.NewController(controllerOptions(), 0), phase: rollout.Running,
		crashes: f.Crashes, leaders: f.Leaders, twice: f.Twice, jump: f.Jump}
	for i := range w.sides {
		w.sides[i].Sidecar = sidecar(i)
		w.contact(&w.sides[i])
	}
	return w
}

// Key is as explore.World has it.
func (w *Purses) Key() []byte {
	b := w.state.AppendKey(nil, tenant, name)
	b = explore.Ints(b, w.clock, int64(w.crashes), int64(w.leaders), int64(w.twice), int64(w.jump), w.failures)
	var each [fleet][]byte
	for i := range w.sides {
		s := &w.sides[i]
		e := explore.Ints(nil, s.Start, s.Purse.Granted, s.Purse.Spent, s.Purse.Returned, s.Purse.Reserved, int64(s.stage))
		e = explore.Ints(e, max(s.Until, w.clock), explore.Bit(s.Canary))
		for start := int64(1); start <= s.Start; start++ {
			key := rollout.Key(route.Process{Name: s.Name, Start: start})
			e = w.state.AppendAccount(e, tenant, name, key)
			e = w.controller.AppendNeed(w.controller.AppendPermit(e, key, w.clock), tenant, key)
		}
		if s.stage == arrived {
			for _, x := range s.entries {
				e = explore.Ints(e, x.Granted, x.Spent, x.Returned)
			}
		}
		if a := s.lateAnswer; a != nil {
			e = explore.Ints(append(e, 'A'), a.Purses[0].Granted, a.Purses[0].Keep)
		}
		if s.late != nil {
			e = appendPurse(append(e, 'L'), s.late)
		}
		each[i] = e
	}
	return joined(b, each)
}

func appendPurse(b []byte, a *route.UnitsAsk) []byte {
	p := a.Purses[0]
	return explore.Ints(b, a.Start, p.Granted, p.Spent, p.Returned)
}

// Check holds the promises: failures and grants within the budget, no unit at two owners, an end for good.
func (w *Purses) Check() error {
	phase := w.state.Phase(tenant, name)
	granted, _, returned := w.state.Held(tenant, name)
	worst := w.failures // all that may begin or is out fails
	for i := range w.sides {
		worst += w.sides[i].Purse.Free() + w.sides[i].Purse.Reserved
	}
	switch {
	case w.failures > budget:
		return fmt.Errorf("%d failures of a budget of %d", w.failures, budget)
	case w.Defect == None && worst > budget:
		return fmt.Errorf("%d failures may come of a budget of %d", worst, budget)
	case granted-returned > budget:
		return fmt.Errorf("%d units are out of a budget of %d", granted-returned, budget)
	case w.phase.Over() && phase != w.phase:
		return fmt.Errorf("%s has become %s", w.phase, phase)
	}
	for i := range w.sides {
		s := &w.sides[i]
		a := w.state.Account(tenant, name, rollout.Key(s.Process))
		if w.Defect == None && !phase.Over() && (s.Purse.Granted > a.Granted || s.Purse.Returned < a.Returned) {
			return fmt.Errorf("a purse of %+v beside an account of %+v: a unit has two owners", s.Purse, a)
		}
	}
	return nil
}

// then is a copy that f changes.
func (w *Purses) then(emit func(string, explore.World), what string, i int, f func(w *Purses, s *purseSide)) {
	w.local(emit, what, i, func(c *Purses, s *purseSide) {
		c.state, c.controller = w.state.Clone(), w.controller.Clone()
		f(c, s)
		if !c.phase.Over() {
			c.phase = c.state.Phase(tenant, name)
		}
	})
}

// local is a copy of which f changes neither state nor controller.
func (w *Purses) local(emit func(string, explore.World), what string, i int, f func(w *Purses, s *purseSide)) {
	c := *w
	f(&c, &c.sides[i])
	emit(what, &c)
}

// Next is as explore.World has it.
func (w *Purses) Next(emit func(string, explore.World)) {
	over := w.Defect == None && w.phase.Over() // what may fail from here on is in check
	for i := range w.sides {
		if !over {
			w.attempts(emit, i)
		}
		if !over || w.sides[i].stage == arrived {
			w.exchanges(emit, i)
		}
	}
	if w.leaders > 0 {
		for _, kept := range []bool{false, true} {
			w.then(emit, fmt.Sprintf("leader change, commands kept: %v", kept), 0, func(c *Purses, _ *purseSide) { c.lead(kept) })
		}
	}
	if w.jump > 0 {
		w.then(emit, "a long time", 0, func(c *Purses, _ *purseSide) { c.jump, c.clock = 0, 10; c.tick() })
	}
	w.then(emit, "tick", 0, func(c *Purses, _ *purseSide) { c.tick() })
}

func (w *Purses) attempts(emit func(string, explore.World), i int) {
	s := &w.sides[i]
	if s.May(w.clock) && (s.Purse.Free() > 0 || w.Defect == CountedLate && s.Purse.Reserved == 0) {
		w.local(emit, "begin", i, func(_ *Purses, s *purseSide) { s.Purse.Reserved++ })
	}
	if s.Purse.Reserved > 0 {
		w.local(emit, "good", i, func(_ *Purses, s *purseSide) { s.Purse.Settle(false) })
		w.local(emit, "failed", i, func(c *Purses, s *purseSide) { s.Purse.Settle(true); c.failures++ })
	}
	if w.crashes > 0 { // all that was out may have failed
		w.then(emit, "crash", i, func(c *Purses, s *purseSide) {
			c.crashes--
			c.failures += s.Purse.Reserved
			late := s.late
			start := s.Start + 1
			*s = purseSide{Sidecar: sidecar(i), late: late}
			s.Start = start
			c.contact(s)
		})
	}
}

func (w *Purses) exchanges(emit func(string, explore.World), i int) {
	switch w.sides[i].stage {
	case idle:
		w.then(emit, "ask", i, func(c *Purses, s *purseSide) { s.ask = s.Ask(want); c.arrive(s) })
		if w.twice > 0 {
			w.then(emit, "ask, and later again", i, func(c *Purses, s *purseSide) {
				c.twice--
				s.ask = s.Ask(want)
				late := s.ask
				s.late = &late
				c.arrive(s)
			})
		}
	case arrived:
		w.then(emit, "committed and answered", i, func(c *Purses, s *purseSide) { a := c.commit(s); s.Granted(&a) })
		w.then(emit, "committed, answer lost", i, func(c *Purses, s *purseSide) { c.commit(s) })
		if w.twice > 0 {
			w.then(emit, "committed, answer late", i, func(c *Purses, s *purseSide) {
				c.twice--
				a := c.commit(s)
				s.lateAnswer = &a
			})
		}
		if w.Defect == ToldEarly {
			w.then(emit, "told before it is committed", i, func(c *Purses, s *purseSide) {
				ahead := c.state.Clone()
				_, _ = ahead.Apply(&rollout.Command{Op: rollout.OpLedger, Entries: s.entries})
				a := c.controller.Grants(ahead, &s.ask)
				s.Granted(&a)
			})
		}
	}
	if w.sides[i].lateAnswer != nil {
		w.local(emit, "late answer", i, func(_ *Purses, s *purseSide) { s.Granted(s.lateAnswer); s.lateAnswer = nil })
	}
	if w.sides[i].late != nil {
		w.then(emit, "second arrival", i, func(c *Purses, s *purseSide) {
			c.ledger(c.controller.Settle(c.clock, c.state, s.late))
			s.late = nil
		})
	}
}

// contact is a report with its answer.
func (w *Purses) contact(s *purseSide) {
	r := s.Report(nil)
	s.Seq = 0 // the numbers of reports play no part here
	a := w.controller.Report(w.clock, w.state, &r)
	s.Answered(w.clock, &a)
	s.Stamp = route.Moment{}
	t := w.state.Table()
	s.Told(&t)
}

func (w *Purses) arrive(s *purseSide) {
	w.contact(s)
	s.entries, s.stage = w.controller.Settle(w.clock, w.state, &s.ask), arrived
	if w.Defect == CountedLate { // the leader sums what it is told
		s.entries = []rollout.Entry{{Process: s.Process, Tenant: tenant, Rollout: name, Granted: s.ask.Purses[0].Spent}}
	}
}

func (w *Purses) commit(s *purseSide) route.UnitsAnswer {
	w.ledger(s.entries)
	s.entries, s.stage = nil, idle
	return w.controller.Grants(w.state, &s.ask)
}

func (w *Purses) ledger(entries []rollout.Entry) {
	_, _ = w.state.Apply(&rollout.Command{Op: rollout.OpLedger, Entries: entries})
}

func (w *Purses) lead(kept bool) {
	w.leaders--
	for i := range w.sides {
		if s := &w.sides[i]; s.stage == arrived {
			if kept {
				w.ledger(s.entries)
			}
			s.entries, s.stage = nil, idle
		}
	}
	w.controller = rollout.NewController(controllerOptions(), w.clock)
	for i := range w.sides {
		w.contact(&w.sides[i])
	}
}

func (w *Purses) tick() {
	commands, _ := w.controller.Tick(w.clock, w.state, readyOnes)
	for _, c := range commands {
		if c.Op != rollout.OpLedger {
			continue // the other world's
		}
		for i := range c.Entries {
			if e := &c.Entries[i]; w.Defect == GoneReturned && e.Gone {
				r, _ := w.state.Rollout(tenant, name)
				a := r.Ledger[rollout.Key(e.Process)]
				e.Gone, e.Returned = false, a.Granted-a.Spent
			}
		}
		_, _ = w.state.Apply(&c)
	}
}
