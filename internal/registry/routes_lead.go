package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marblelane/internal/audit"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// Times and bounds of the leader's duties.
const (
	tickEvery   = 50 * time.Millisecond
	reportsWait = 10 * time.Millisecond  // for which reports are gathered before one confirmation of the lead
	unitsWait   = 20 * time.Millisecond  // for which asks for units are gathered into one command
	auditWait   = 200 * time.Millisecond // for which transitions are gathered into one command
	mostEntries = 1000                   // of one command
	mostAsks    = 4096                   // reports, or asks for units, that wait; more are turned away
	mostPending = 20_000                 // transitions that wait to be replicated; the oldest give way and are counted
)

// leadership is what a leader of routes has in memory: one for each time that a copy begins to lead. Its clock counts ms
// from then. Its locks are taken in the order in which they stand here, and before the state's.
type leadership struct {
	order      sync.Mutex // held over decisions and their commits, one after the other; guards lowers and unkept
	mu         sync.Mutex // held while memory is used, never over a commit
	term       uint64
	id         string    // its name, its term and when it began, as answers are stamped
	began      time.Time // monotonic
	wallMS     int64     // wall clock at began
	opens      time.Time // before it nothing is decided: a longer term than this leader's may be out
	lowers     bool      // at opens this leader's term becomes the longest that may be out
	termMS     int64
	o          rollout.Options
	controller *rollout.Controller
	book       *audit.Tracker
	limits     map[string]*rate.Limiter // of tenants' changes

	pending   []audit.Transition
	news      map[string]SchemaSupport // processes that have to be remembered, by name
	heard     map[string]SchemaSupport // all that were heard since refreshed
	refreshed time.Time
	flushed   time.Time
	forgot    time.Time
	unkept    []rollout.LedgerEntry // of a planted defect
}

// floor is a time on the leader's clock, cut off; ceil is it rounded up. What a process is permitted counts from no
// earlier than it was, and what is over is over no later than it is. A time before the lead began is cut off downwards, too.
func (l *leadership) floor(at time.Time) int64 {
	since := at.Sub(l.began)
	whole := since.Truncate(time.Millisecond)
	if whole > since {
		whole -= time.Millisecond
	}
	return 1 + whole.Milliseconds()
}

func (l *leadership) ceil(at time.Time) int64 { return l.floor(at.Add(time.Millisecond - 1)) }

// wall is a time as people read it: the wall clock at the begin of the lead and what has passed since.
func (l *leadership) wall(at time.Time) int64 { return l.wallMS + at.Sub(l.began).Milliseconds() }

// ask is a call that waits for the leader; answer is called once.
type ask[Q, A any] struct {
	what   *Q
	answer func(*A, error)
}

type (
	reportAsk = ask[route.Report, route.ReportResponse]
	unitsAsk  = ask[route.BudgetRequest, route.BudgetResponse]
)

// gather calls do with what comes within a time after the first, until ctx ends.
func gather[T any](ctx context.Context, in <-chan T, wait time.Duration, most int, do func([]T)) {
	for {
		var all []T
		select {
		case <-ctx.Done():
			return
		case one := <-in:
			all = append(all, one)
		}
		t := time.NewTimer(wait)
		for over := false; !over && len(all) < most; {
			select {
			case <-t.C:
				over = true
			case one := <-in:
				all = append(all, one)
			}
		}
		t.Stop()
		do(all)
	}
}

// run carries out the leader's duties until ctx ends.
func (r *routing) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { gather(ctx, r.reports, reportsWait, mostAsks, r.answerReports) })
	wg.Go(func() { gather(ctx, r.units, unitsWait, mostAsks, r.answerUnits) })
	wg.Go(func() { r.askNewest(ctx) })
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		r.mark()
		l, err := r.leads()
		if err != nil {
			r.s.log.Warn("registry: routes: a new leader's first write", "error", err)
		}
		if l != nil {
			r.decide(l)
			r.flush(l)
		}
	}
}

// current is the leadership that answers now; nil: this copy does not lead, or only just.
func (r *routing) current() *leadership {
	l := r.lead.Load()
	if l == nil || r.s.replica.Term() != l.term || r.s.o.Load().Operators == nil {
		return nil
	}
	return l
}

// leads gives the leadership of this moment, a fresh one where this copy has begun to lead since.
func (r *routing) leads() (*leadership, error) {
	term, o := r.s.replica.Term(), r.s.o.Load().Operators
	if term == 0 || o == nil {
		r.lead.Store(nil)
		return nil, nil
	}
	if l := r.lead.Load(); l != nil && l.term == term {
		return l, nil
	}
	l := r.begin(term, o)
	var out int64
	r.s.hub.read(func(s *State) { out = s.termMS })
	switch {
	case out < l.termMS: // said before the first permission of this length
		if err := r.apply(&Command{Op: OpTerm, TermMS: l.termMS, Term: term}); err != nil {
			return nil, err
		}
	case out > l.termMS:
		l.opens, l.lowers = l.began.Add(lengthened(out, l.o.ClockMargin)), true
	}
	r.lead.Store(l)
	return l, nil
}

func (r *routing) begin(term uint64, o *Operators) *leadership {
	at := time.Now()
	l := &leadership{term: term, id: fmt.Sprintf("%s@%d.%d", r.name, term, r.begun.Add(1)), began: at, wallMS: epochBeganMS + r.wall().Sub(epochBegan).Milliseconds(),
		o: o.options(), limits: map[string]*rate.Limiter{}, news: map[string]SchemaSupport{}, heard: map[string]SchemaSupport{},
		refreshed: at, flushed: at, forgot: at, opens: at}
	l.o.Leader, l.termMS = l.id, l.o.LeaseTerm
	l.controller = rollout.NewController(l.o, r.planted.began(l.floor(at)))
	l.book = audit.NewTracker(audit.TrackerOptions{MinListedRevs: leastLists}, l.id, l.floor(at))
	return l
}

// lengthened is after how long a term is over on every clock.
func lengthened(termMS int64, margin float64) time.Duration {
	return time.Duration(math.Ceil(float64(termMS)*(1+margin))) * time.Millisecond
}

func (l *leadership) remember() time.Duration {
	return time.Duration(l.o.ForgetAfter) * time.Millisecond
}

// present are the processes that a table must be read alike by: those that were heard within the time for which they are
// remembered, by this leader or one before. Those that are shut out as they do not read the least schema count until
// their last term is over. wait tells how long this leader may not know all of them yet.
func (r *routing) present(l *leadership) (all []SchemaSupport, wait time.Duration) {
	now := time.Now()
	known := lengthened(l.termMS, l.o.ClockMargin)
	if since := now.Sub(l.opens); since < known {
		return nil, known - since
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.floor(now)
	heard, named := l.controller.Processes(at), map[string]int64{}
	for _, p := range heard {
		named[p.Name] = max(named[p.Name], p.Start)
	}
	r.s.hub.read(func(s *State) {
		excused := func(schemas []int) bool { return slices.Max(append([]int{0}, schemas...)) < s.routes.MinSchema() }
		for _, p := range heard {
			if p.Start == named[p.Name] && !(p.LeaseUntil <= at && excused(p.Schemas)) {
				all = append(all, SchemaSupport{Process: p.Process, Schemas: p.Schemas, AtMS: l.wall(l.began) + p.LastReport - l.floor(l.began)})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(s.seen)) {
			p := s.seen[name]
			if _, ok := named[name]; !ok && l.wall(now)-p.AtMS <= l.o.ForgetAfter && !excused(p.Schemas) {
				all = append(all, p)
			}
		}
	})
	return all, 0
}

// changed takes in what processes may do from now on, and gives the transitions of it. l.mu is held.
func (l *leadership) changed(all []rollout.AccessChange, now time.Time) []audit.Transition {
	var out []audit.Transition
	for _, s := range all {
		kind := audit.Readmitted
		switch {
		case s.Gone:
			kind = audit.Gone
		case s.ShutOut:
			kind = audit.ShutOut
		}
		out = append(out, l.book.AccessChanged(l.ceil(now), l.wall(now), s.Process, kind, s.AcknowledgedRev, "")...)
	}
	return out
}

// apply carries out a command.
func (r *routing) apply(c *Command) error {
	_, err := r.s.replica.Apply(c, applyWait)
	return err
}

// answerReports confirms the lead once for all reports that have arrived, and then takes them in.
func (r *routing) answerReports(all []reportAsk) {
	fail := func(err error) {
		for _, a := range all {
			a.answer(nil, err)
		}
	}
	l := r.current()
	if l == nil {
		fail(ErrNotLeader)
		return
	}
	if err := r.s.replica.Confirm(); err != nil {
		fail(err)
		return
	}
	if r.current() != l { // what was confirmed is another lead, perhaps
		fail(ErrNotLeader)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	line := r.tables.newest()
	for _, a := range all {
		var answer route.ReportResponse
		now := time.Now()
		r.s.hub.read(func(s *State) {
			answer = l.controller.Report(l.ceil(now), s.routes, a.what)
			l.hear(s, a.what, l.wall(now))
			l.tell(s, l.book.Report(l.ceil(now), l.wall(now), a.what))
		})
		answer.Stamp = route.Moment{Leader: l.id, MS: l.floor(now)}
		if answer.Resync {
			told, err := line.text(a.what.Schemas)
			if err != nil {
				r.s.log.Error("registry: the table of routes cannot be told", "error", err)
			}
			answer.Table = json.RawMessage(told.text)
		}
		a.answer(&answer, nil)
	}
}

// hear notes who reads which schemas. Who is new, or reads others, is remembered at once; all are again a few times
// within the time for which they are, in one command, so that the disk's writes do not grow with them.
func (l *leadership) hear(s *State, p *route.Report, wallMS int64) {
	seen := SchemaSupport{Process: p.Process, Schemas: slices.Clone(p.Schemas), AtMS: wallMS}
	l.heard[p.Name] = seen
	if old, ok := s.seen[p.Name]; !ok || old.Start < p.Start || old.Start == p.Start && !slices.Equal(old.Schemas, p.Schemas) {
		l.news[p.Name] = seen
	}
	if len(l.heard) > mostSeen {
		l.heard = map[string]SchemaSupport{}
	}
}

// tell keeps transitions that the log does not have, to be replicated.
func (l *leadership) tell(s *State, all []audit.Transition) {
	l.pending = append(l.pending, s.audit.Fresh(all)...)
	if extra := len(l.pending) - mostPending; extra > 0 {
		l.pending = slices.Delete(l.pending, 0, extra)
	}
}

// flush replicates what was gathered for the audit.
func (r *routing) flush(l *leadership) {
	now := time.Now()
	l.mu.Lock()
	if now.Sub(l.forgot) >= time.Minute {
		l.book.Forget(l.floor(now))
		l.forgot = now
	}
	if now.Sub(l.refreshed) >= l.remember()/4 {
		maps.Copy(l.news, l.heard)
		l.heard, l.refreshed = map[string]SchemaSupport{}, now
	}
	if now.Sub(l.flushed) < auditWait || len(l.pending) == 0 && len(l.news) == 0 {
		l.mu.Unlock()
		return
	}
	c := &Command{Op: OpAudit, Audit: l.pending, Term: l.term}
	for _, name := range slices.Sorted(maps.Keys(l.news)) {
		c.Seen = append(c.Seen, l.news[name])
	}
	l.pending, l.news, l.flushed = nil, map[string]SchemaSupport{}, now
	l.mu.Unlock()
	if err := r.apply(c); err != nil {
		r.s.log.Warn("registry: routes: transitions are not replicated", "error", err)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pending = append(c.Audit, l.pending...)
		for _, p := range c.Seen {
			if _, ok := l.news[p.Name]; !ok {
				l.news[p.Name] = p
			}
		}
	}
}

// answerUnits settles what processes have spent and grants what they ask, in one command for all of them.
func (r *routing) answerUnits(all []unitsAsk) {
	answers, err := r.grant(all)
	for i, a := range all {
		if err != nil {
			a.answer(nil, err)
		} else {
			a.answer(&answers[i], nil)
		}
	}
}

func (r *routing) grant(all []unitsAsk) ([]route.BudgetResponse, error) {
	l := r.current()
	if l == nil {
		return nil, ErrNotLeader
	}
	l.order.Lock()
	defer l.order.Unlock()
	var entries []rollout.LedgerEntry
	keep := true
	var err error
	l.mu.Lock()
	r.s.hub.read(func(st *State) {
		var s *rollout.State
		if s, keep, err = r.planted.ledger(st.routes, l.unkept); err != nil {
			return
		}
		for _, a := range all {
			r.planted.asked(a.what)
			entries = append(entries, l.controller.BudgetEntries(l.floor(time.Now()), s, a.what)...)
		}
	})
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if !keep {
		l.unkept = append(l.unkept, entries...)
		entries = nil
	}
	for some := range slices.Chunk(entries, mostEntries) {
		c := &rollout.Command{Op: rollout.OpLedger, AtMS: l.wall(time.Now()), Entries: some}
		if _, err := r.change(l, c); err != nil {
			return nil, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	answers := make([]route.BudgetResponse, len(all))
	r.s.hub.read(func(st *State) {
		var s *rollout.State
		if s, _, err = r.planted.ledger(st.routes, l.unkept); err != nil {
			return
		}
		for i, a := range all {
			answers[i] = l.controller.BudgetResponse(s, a.what)
			for k, g := range answers[i].Budgets {
				answers[i].Budgets[k].Tenant = outside(g.Tenant)
			}
		}
	})
	return answers, err
}

// decide lets the controller decide, and carries it out.
func (r *routing) decide(l *leadership) {
	l.order.Lock()
	defer l.order.Unlock()
	if time.Now().Before(l.opens) || r.current() != l {
		return
	}
	if l.lowers {
		if err := r.apply(&Command{Op: OpTerm, TermMS: l.termMS, Term: l.term}); err != nil {
			return
		}
		l.lowers = false
	}
	for _, c := range r.tick(l) {
		if !r.carryOut(l, &c) {
			return
		}
	}
}

// tick gives the controller's decisions. From the decision that a revision is closed on the controller permits nobody to act on it,
// so that reports need not wait for its commit.
func (r *routing) tick(l *leadership) []rollout.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var commands []rollout.Command
	r.s.hub.read(func(s *State) {
		var standings []rollout.AccessChange
		commands, standings = l.controller.Tick(l.floor(now), s.routes, s.ready)
		l.tell(s, l.changed(standings, now))
	})
	return commands
}

// carryOut carries out a decision of the controller. It tells whether this copy still leads.
func (r *routing) carryOut(l *leadership, c *rollout.Command) bool {
	c.AtMS = l.wall(time.Now())
	_, err := r.change(l, c)
	switch {
	case errors.Is(err, ErrNotLeader), errors.Is(err, ErrNoQuorum):
		return false
	case err != nil:
		r.s.log.Info("registry: routes: a decision came late", "op", c.Op, "tenant", c.Tenant, "rollout", c.Name, "error", err)
	case c.Op != rollout.OpClose && c.Op != rollout.OpLedger:
		r.s.log.Info("registry: routes: decided", "op", c.Op, "tenant", c.Tenant, "rollout", c.Name, "step", c.Step, "why", c.Reason)
	}
	return true
}

// change replicates a command of routes. It is on the list of what is proposed from before then.
func (r *routing) change(l *leadership, c *rollout.Command) (int64, error) {
	defer r.tables.propose(time.Now(), l.term)()
	return r.s.replica.Apply(&Command{Op: OpRoutes, Routes: c, Term: l.term}, applyWait)
}
