package model

import (
	"fmt"
	"slices"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
	"marblelane/internal/testutil/explore"
)

// Terms is a world of permissions: reports, one in each tick, that are held up, lost or come twice; tables, closing, a
// restart, and a deposed leader that still answers what it confirmed before.
type Terms struct {
	Defect
	state                   *rollout.State
	controller, deposed     *rollout.Controller
	old                     *rollout.State // what the deposed leader has
	sides                   [fleet]termSide
	closing                 *rollout.Command // on its way to a majority
	clock, last             int64
	moves                   int // of the table
	crashes, leaders, twice int
	sidecars                int
}

type termSide struct {
	Sidecar
	stage     stage
	asked     int64
	confirmed bool // by the deposed leader, which has not answered yet
	report    route.Report
	term      int64 // of the answer
	late      *route.Report
}

// NewTerms makes one of so many sidecars, three at most, in which the table moves so often and the clock goes up to
// last, with a defect planted.
func NewTerms(d Defect, sidecars, moves int, last int64, f Faults) *Terms {
	w := &Terms{Defect: d, state: posted(), last: last, moves: moves, sidecars: min(sidecars, fleet),
		controller: rollout.NewController(controllerOptions(), 0), crashes: f.Crashes, leaders: f.Leaders, twice: f.Twice}
	for i := range w.sides {
		w.sides[i].Sidecar = sidecar(i)
		w.sides[i].asked = -1
		table := w.state.Table()
		w.sides[i].Told(&table)
	}
	return w
}

// Key is as explore.World has it.
func (w *Terms) Key() []byte {
	b := w.state.AppendKey(nil, tenant, name)
	b = explore.Ints(b, w.clock, int64(w.crashes), int64(w.leaders), int64(w.twice))
	b = w.controller.AppendKey(b, w.clock)
	if w.deposed != nil {
		b = w.old.AppendKey(append(b, 'D'), tenant, name)
	}
	if w.closing != nil {
		b = explore.Ints(append(b, 'C'), w.closing.Rev)
	}
	var each [fleet][]byte
	for i := range w.sides {
		s := &w.sides[i]
		e := explore.Ints(nil, s.Start, s.Have, max(s.Until, w.clock), int64(s.stage), min(s.asked-w.clock, 0))
		var seqs []int64
		switch s.stage {
		case sent:
			e = explore.Ints(e, max(s.asked+1, w.clock), s.report.Have, explore.Bit(s.confirmed))
			seqs = append(seqs, s.Seq)
		case answered:
			e = explore.Ints(e, max(s.asked+s.term, w.clock))
		}
		if s.late != nil {
			e = explore.Ints(append(e, 'L'), s.late.Have, s.late.Start)
			seqs = append(seqs, s.late.Seq)
		}
		for start := int64(1); start <= s.Start; start++ {
			key := rollout.Key(route.Process{Name: s.Name, Start: start})
			e = w.controller.AppendPermit(e, key, w.clock, seqs...)
			if w.deposed != nil {
				e = w.deposed.AppendPermit(e, key, w.clock, seqs...)
			}
		}
		each[i] = e
	}
	return joined(b, each)
}

// Check holds the promise that nothing begins under a revision that is closed.
func (w *Terms) Check() error {
	for i := range w.sides {
		if s := &w.sides[i]; s.May(w.clock) && s.Have <= w.state.Closed() {
			return fmt.Errorf("an attempt may begin under %d, and %d is closed", s.Have, w.state.Closed())
		}
	}
	return nil
}

// then is a copy that f changes.
func (w *Terms) then(emit func(string, explore.World), what string, i int, f func(w *Terms, s *termSide)) {
	w.local(emit, what, i, func(c *Terms, s *termSide) {
		c.state, c.controller = w.state.Clone(), w.controller.Clone()
		if c.deposed != nil {
			c.deposed = w.deposed.Clone()
		}
		f(c, s)
	})
}

// local is a copy of which f changes neither state nor controller.
func (w *Terms) local(emit func(string, explore.World), what string, i int, f func(w *Terms, s *termSide)) {
	c := *w
	f(&c, &c.sides[i])
	if c.deposed != nil && !slices.ContainsFunc(c.sides[:], func(s termSide) bool { return s.confirmed }) {
		c.deposed, c.old = nil, nil
	}
	emit(what, &c)
}

// Next is as explore.World has it.
func (w *Terms) Next(emit func(string, explore.World)) {
	for i := range w.sidecars {
		w.exchanges(emit, i)
	}
	if w.clock < w.last {
		w.local(emit, "a tick", 0, func(c *Terms, _ *termSide) { c.clock++ })
	}
	if w.moves > 0 {
		w.then(emit, "the table moves", 0, func(c *Terms, _ *termSide) {
			c.moves--
			op := rollout.Command{Op: rollout.OpForward, Tenant: tenant, Name: name}
			if c.moves == 0 && c.state.Rev() != firstRev {
				op.Op = rollout.OpRollBack
			}
			_, _ = c.state.Apply(&op)
		})
	}
	if w.closing == nil {
		w.then(emit, "controller", 0, (*Terms).tick)
	} else {
		w.then(emit, "close", 0, (*Terms).close)
	}
	if w.leaders > 0 {
		w.then(emit, "leader change, what is under way lost", 0, func(c *Terms, _ *termSide) { c.lead(false) })
		w.then(emit, "leader change, what is under way kept", 0, func(c *Terms, _ *termSide) { c.lead(true) })
	}
}

func (w *Terms) tick(*termSide) {
	controller := w.controller
	if w.Defect == GrantsClosed { // it does not remember what it has decided
		controller = controller.Clone()
	}
	commands, _ := controller.Tick(w.clock, w.state, readyOnes)
	for i := range commands {
		if commands[i].Op == rollout.OpClose {
			w.closing = &commands[i]
		}
	}
}

func (w *Terms) close(*termSide) {
	_, _ = w.state.Apply(w.closing)
	w.closing = nil
}

// lead begins with the next leader. What is kept: commands under way are replicated, and the deposed leader has
// confirmed all reports that were sent to it.
func (w *Terms) lead(kept bool) {
	w.leaders--
	if kept {
		w.old, w.deposed = w.state.Clone(), w.controller
		for i := range w.sides {
			s := &w.sides[i]
			s.confirmed = s.stage == sent
		}
	}
	if w.Defect != NoBarrier {
		if kept && w.closing != nil {
			w.close(nil)
		}
		w.closing = nil
	}
	began := w.clock
	if w.Defect == NoWait {
		began -= controllerOptions().Term
	}
	w.controller = rollout.NewController(controllerOptions(), began)
}

func (w *Terms) exchanges(emit func(string, explore.World), i int) {
	s := &w.sides[i]
	if s.Have < w.state.Rev() {
		w.local(emit, "watch", i, func(c *Terms, s *termSide) { t := c.state.Table(); s.Told(&t) })
	}
	if w.crashes > 0 && s.Seq > 0 {
		w.local(emit, "crash", i, func(c *Terms, s *termSide) {
			c.crashes--
			late := s.late
			*s = termSide{Sidecar: sidecar(i), late: late, asked: -1}
			s.Start = 2
		})
	}
	if s.late != nil {
		w.then(emit, "second arrival", i, func(c *Terms, s *termSide) {
			c.controller.Report(c.clock, c.state, s.late)
			s.late = nil
		})
	}
	switch {
	case s.stage == idle && s.asked < w.clock && s.Have > 0:
		w.then(emit, "report", i, func(c *Terms, s *termSide) {
			s.report, s.asked, s.stage = s.Report(nil), c.clock, sent
			if c.leaders == 0 { // a report that is held up matters at a leader change, an answer always
				c.answer(s)
			}
		})
		if w.twice > 0 {
			w.local(emit, "report, and later again", i, func(c *Terms, s *termSide) {
				c.twice--
				s.report, s.asked, s.stage = s.Report(nil), c.clock, sent
				late := s.report
				s.late = &late
			})
		}
	case s.stage == sent:
		w.then(emit, "answered", i, (*Terms).answer)
	case s.stage == answered:
		w.local(emit, "permitted", i, func(c *Terms, s *termSide) {
			asked := s.asked
			if c.Defect == TermOfAnswer {
				asked = c.clock
			}
			s.Answered(asked, &route.Answer{TermMS: s.term})
			s.stage = idle
		})
		w.local(emit, "answer lost", i, func(_ *Terms, s *termSide) { s.stage = idle })
	}
}

func (w *Terms) answer(s *termSide) {
	d, state := w.controller, w.state
	if s.confirmed {
		d, state = w.deposed, w.old
	}
	s.term, s.stage, s.confirmed = d.Report(w.clock, state, &s.report).TermMS, answered, false
}
