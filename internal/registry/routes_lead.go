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
	leaderTickInterval    = 50 * time.Millisecond
	reportBatchWait       = 10 * time.Millisecond  // reports are batched this long before one leadership check by the quorum
	budgetBatchWait       = 20 * time.Millisecond  // budget requests are batched this long into one command
	auditBatchWait        = 200 * time.Millisecond // audit transitions are batched this long into one command
	maxCommandEntries     = 1000                   // entries of one ledger command
	maxWaitingCalls       = 4096                   // queued reports, or queued budget requests; further calls are rejected with 503
	maxPendingTransitions = 20_000                 // transitions not replicated yet; beyond it the oldest are dropped and counted
)

// leadership is the in-memory state of the routes leader, created anew in each raft term that this replica leads. Its
// clock counts milliseconds from its start. Lock order: decisionMu, mu, then the lock of the hub's state.
type leadership struct {
	decisionMu      sync.Mutex // serialises decisions and their commits; guards lowersLeaseTerm and uncommittedGrants
	mu              sync.Mutex // guards the other fields; never held during a commit
	term            uint64
	id              string    // replica name, raft term and count of leaderships; stamped on answers
	startedAt       time.Time // monotonic
	startedWallMS   int64     // wall clock at startedAt
	decisionsFrom   time.Time // no decision before it: leases of a longer term, granted by an earlier leader, may still run
	lowersLeaseTerm bool      // at decisionsFrom, lower the replicated maximum lease term to this leader's
	leaseTermMS     int64
	o               rollout.Options
	controller      *rollout.Controller
	tracker         *audit.Tracker
	changeLimits    map[string]*rate.Limiter // rate limits of changes, by tenant

	pending           []audit.Transition
	unsavedProcesses  map[string]SchemaSupport // processes whose schema support is to be replicated, by name
	observed          map[string]SchemaSupport // all processes that reported since refreshedAt, by name
	refreshedAt       time.Time
	flushedAt         time.Time
	prunedAt          time.Time
	uncommittedGrants []rollout.LedgerEntry // used by the defect grantUncommitted only
}

// floor converts a time to the leader's clock, rounded down, also before startedAt; ceil rounds up. Starts of leases are
// rounded up and ends are compared rounded down, so that rounding never shortens what the leader assumes of a lease.
func (l *leadership) floor(at time.Time) int64 {
	since := at.Sub(l.startedAt)
	elapsed := since.Truncate(time.Millisecond)
	if elapsed > since {
		elapsed -= time.Millisecond
	}
	return 1 + elapsed.Milliseconds()
}

func (l *leadership) ceil(at time.Time) int64 { return l.floor(at.Add(time.Millisecond - 1)) }

// wall converts a time to Unix milliseconds: the wall clock at startedAt plus the monotonic time since.
func (l *leadership) wall(at time.Time) int64 {
	return l.startedWallMS + at.Sub(l.startedAt).Milliseconds()
}

// leaderCall is a request queued for the leader; answer is called exactly once.
type leaderCall[Q, A any] struct {
	request *Q
	answer  func(*A, error)
}

type (
	reportCall = leaderCall[route.Report, route.ReportResponse]
	budgetCall = leaderCall[route.BudgetRequest, route.BudgetResponse]
)

// gatherBatches calls do with each batch: the first item and those that arrive within wait after it, at most maxBatch.
// It returns when ctx ends.
func gatherBatches[T any](ctx context.Context, in <-chan T, wait time.Duration, maxBatch int, do func([]T)) {
	for {
		var batch []T
		select {
		case <-ctx.Done():
			return
		case one := <-in:
			batch = append(batch, one)
		}
		t := time.NewTimer(wait)
		for over := false; !over && len(batch) < maxBatch; {
			select {
			case <-t.C:
				over = true
			case one := <-in:
				batch = append(batch, one)
			}
		}
		t.Stop()
		do(batch)
	}
}

// run processes queued calls and the periodic duties of the leader until ctx ends.
func (r *routing) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { gatherBatches(ctx, r.reportCalls, reportBatchWait, maxWaitingCalls, r.answerReports) })
	wg.Go(func() { gatherBatches(ctx, r.budgetCalls, budgetBatchWait, maxWaitingCalls, r.answerUnits) })
	wg.Go(func() { r.pollRevs(ctx) })
	t := time.NewTicker(leaderTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		r.markAuditLog()
		l, err := r.ensureLeadership()
		if err != nil {
			r.s.log.Warn("registry: routes: a new leader's first write", "error", err)
		}
		if l != nil {
			r.decide(l)
			r.flush(l)
		}
	}
}

// current returns the active leadership; nil if this replica does not lead or has not initialised it yet.
func (r *routing) current() *leadership {
	l := r.lead.Load()
	if l == nil || r.s.replica.Term() != l.term || r.s.o.Load().Operators == nil {
		return nil
	}
	return l
}

// ensureLeadership returns the leadership of the current term and creates it when the term is new; nil if this replica does not
// lead.
func (r *routing) ensureLeadership() (*leadership, error) {
	term, o := r.s.replica.Term(), r.s.o.Load().Operators
	if term == 0 || o == nil {
		r.lead.Store(nil)
		return nil, nil
	}
	if l := r.lead.Load(); l != nil && l.term == term {
		return l, nil
	}
	l := r.newLeadership(term, o)
	var out int64
	r.s.hub.read(func(s *State) { out = s.termMS })
	switch {
	case out < l.leaseTermMS: // replicated before the first lease of this length is granted
		if err := r.apply(&Command{Op: OpTerm, TermMS: l.leaseTermMS, Term: term}); err != nil {
			return nil, err
		}
	case out > l.leaseTermMS:
		l.decisionsFrom, l.lowersLeaseTerm = l.startedAt.Add(withClockMargin(out, l.o.ClockMargin)), true
	}
	r.lead.Store(l)
	return l, nil
}

func (r *routing) newLeadership(term uint64, o *Operators) *leadership {
	at := time.Now()
	l := &leadership{term: term, id: fmt.Sprintf("%s@%d.%d", r.name, term, r.leaderships.Add(1)), startedAt: at, startedWallMS: epochZeroMS + r.wall().Sub(epochZero).Milliseconds(),
		o: o.options(), changeLimits: map[string]*rate.Limiter{}, unsavedProcesses: map[string]SchemaSupport{}, observed: map[string]SchemaSupport{},
		refreshedAt: at, flushedAt: at, prunedAt: at, decisionsFrom: at}
	l.o.Leader, l.leaseTermMS = l.id, l.o.LeaseTerm
	l.controller = rollout.NewController(l.o, r.planted.controllerStart(l.floor(at)))
	l.tracker = audit.NewTracker(audit.TrackerOptions{MinListedRevs: minListedRevs}, l.id, l.floor(at))
	return l
}

// withClockMargin is the time after which a lease has expired on every clock, given the margin of their rates.
func withClockMargin(termMS int64, margin float64) time.Duration {
	return time.Duration(math.Ceil(float64(termMS)*(1+margin))) * time.Millisecond
}

func (l *leadership) remember() time.Duration {
	return time.Duration(l.o.ForgetAfter) * time.Millisecond
}

// relevantProcesses returns the processes that have to read a table alike: those that reported to this leader or an earlier one
// within ForgetAfter. Processes shut out for reading less than the minimum schema count until their last lease ends.
// wait is positive while this leader may not know all of them yet.
func (r *routing) relevantProcesses(l *leadership) (all []SchemaSupport, wait time.Duration) {
	now := time.Now()
	known := withClockMargin(l.leaseTermMS, l.o.ClockMargin)
	if since := now.Sub(l.decisionsFrom); since < known {
		return nil, known - since
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.floor(now)
	reported, named := l.controller.Processes(at), map[string]int64{}
	for _, p := range reported {
		named[p.Name] = max(named[p.Name], p.Start)
	}
	r.s.hub.read(func(s *State) {
		excused := func(schemas []int) bool { return slices.Max(append([]int{0}, schemas...)) < s.routes.MinSchema() }
		for _, p := range reported {
			if p.Start == named[p.Name] && !(p.LeaseUntil <= at && excused(p.Schemas)) {
				all = append(all, SchemaSupport{Process: p.Process, Schemas: p.Schemas, AtMS: l.wall(l.startedAt) + p.LastReport - l.floor(l.startedAt)})
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

// recordAccessChanges records access changes of processes and returns their audit transitions. The caller holds l.mu.
func (l *leadership) recordAccessChanges(all []rollout.AccessChange, now time.Time) []audit.Transition {
	var out []audit.Transition
	for _, s := range all {
		kind := audit.Readmitted
		switch {
		case s.Gone:
			kind = audit.Gone
		case s.ShutOut:
			kind = audit.ShutOut
		}
		out = append(out, l.tracker.AccessChanged(l.ceil(now), l.wall(now), s.Process, kind, s.AcknowledgedRev, "")...)
	}
	return out
}

// apply replicates a command and waits until it is applied.
func (r *routing) apply(c *Command) error {
	_, err := r.s.replica.Apply(c, applyTimeout)
	return err
}

// answerReports verifies leadership once for a batch of reports, then processes and answers them.
func (r *routing) answerReports(all []reportCall) {
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
	if r.current() != l { // the check may have confirmed a later term
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
			answer = l.controller.Report(l.ceil(now), s.routes, a.request)
			l.observe(s, a.request, l.wall(now))
			l.queueTransitions(s, l.tracker.Report(l.ceil(now), l.wall(now), a.request))
		})
		answer.Stamp = route.Moment{Leader: l.id, MS: l.floor(now)}
		if answer.Resync {
			encoded, err := line.text(a.request.Schemas)
			if err != nil {
				r.s.log.Error("registry: the table of routes cannot be told", "error", err)
			}
			answer.Table = json.RawMessage(encoded.text)
		}
		a.answer(&answer, nil)
	}
}

// observe records which schemas a process reads. A new process or a changed set is replicated with the next flush; all
// others are refreshed together every quarter of ForgetAfter, so disk writes do not grow with the number of processes.
func (l *leadership) observe(s *State, p *route.Report, wallMS int64) {
	seen := SchemaSupport{Process: p.Process, Schemas: slices.Clone(p.Schemas), AtMS: wallMS}
	l.observed[p.Name] = seen
	if old, ok := s.seen[p.Name]; !ok || old.Start < p.Start || old.Start == p.Start && !slices.Equal(old.Schemas, p.Schemas) {
		l.unsavedProcesses[p.Name] = seen
	}
	if len(l.observed) > maxKnownProcesses {
		l.observed = map[string]SchemaSupport{}
	}
}

// queueTransitions queues transitions that the audit log does not have yet for replication.
func (l *leadership) queueTransitions(s *State, all []audit.Transition) {
	l.pending = append(l.pending, s.audit.Fresh(all)...)
	if extra := len(l.pending) - maxPendingTransitions; extra > 0 {
		l.pending = slices.Delete(l.pending, 0, extra)
	}
}

// flush replicates the queued audit transitions and schema support.
func (r *routing) flush(l *leadership) {
	now := time.Now()
	l.mu.Lock()
	if now.Sub(l.prunedAt) >= time.Minute {
		l.tracker.Forget(l.floor(now))
		l.prunedAt = now
	}
	if now.Sub(l.refreshedAt) >= l.remember()/4 {
		maps.Copy(l.unsavedProcesses, l.observed)
		l.observed, l.refreshedAt = map[string]SchemaSupport{}, now
	}
	if now.Sub(l.flushedAt) < auditBatchWait || len(l.pending) == 0 && len(l.unsavedProcesses) == 0 {
		l.mu.Unlock()
		return
	}
	c := &Command{Op: OpAudit, Audit: l.pending, Term: l.term}
	for _, name := range slices.Sorted(maps.Keys(l.unsavedProcesses)) {
		c.Seen = append(c.Seen, l.unsavedProcesses[name])
	}
	l.pending, l.unsavedProcesses, l.flushedAt = nil, map[string]SchemaSupport{}, now
	l.mu.Unlock()
	if err := r.apply(c); err != nil {
		r.s.log.Warn("registry: routes: transitions are not replicated", "error", err)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pending = append(c.Audit, l.pending...)
		for _, p := range c.Seen {
			if _, ok := l.unsavedProcesses[p.Name]; !ok {
				l.unsavedProcesses[p.Name] = p
			}
		}
	}
}

// answerUnits settles spent budget and grants requested budget for a batch of requests.
func (r *routing) answerUnits(all []budgetCall) {
	answers, err := r.grant(all)
	for i, a := range all {
		if err != nil {
			a.answer(nil, err)
		} else {
			a.answer(&answers[i], nil)
		}
	}
}

func (r *routing) grant(all []budgetCall) ([]route.BudgetResponse, error) {
	l := r.current()
	if l == nil {
		return nil, ErrNotLeader
	}
	l.decisionMu.Lock()
	defer l.decisionMu.Unlock()
	var entries []rollout.LedgerEntry
	keep := true
	var err error
	l.mu.Lock()
	r.s.hub.read(func(st *State) {
		var s *rollout.State
		if s, keep, err = r.planted.ledger(st.routes, l.uncommittedGrants); err != nil {
			return
		}
		for _, a := range all {
			r.planted.requestedBudgets(a.request)
			entries = append(entries, l.controller.BudgetEntries(l.floor(time.Now()), s, a.request)...)
		}
	})
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if !keep {
		l.uncommittedGrants = append(l.uncommittedGrants, entries...)
		entries = nil
	}
	for some := range slices.Chunk(entries, maxCommandEntries) {
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
		if s, _, err = r.planted.ledger(st.routes, l.uncommittedGrants); err != nil {
			return
		}
		for i, a := range all {
			answers[i] = l.controller.BudgetResponse(s, a.request)
			for k, g := range answers[i].Budgets {
				answers[i].Budgets[k].Tenant = outside(g.Tenant)
			}
		}
	})
	return answers, err
}

// decide runs one controller tick and replicates its decisions.
func (r *routing) decide(l *leadership) {
	l.decisionMu.Lock()
	defer l.decisionMu.Unlock()
	if time.Now().Before(l.decisionsFrom) || r.current() != l {
		return
	}
	if l.lowersLeaseTerm {
		if err := r.apply(&Command{Op: OpTerm, TermMS: l.leaseTermMS, Term: l.term}); err != nil {
			return
		}
		l.lowersLeaseTerm = false
	}
	for _, c := range r.tick(l) {
		if !r.execute(l, &c) {
			return
		}
	}
}

// tick returns the controller's decisions. Once it has decided to close a revision the controller grants no lease for it,
// so reports need not wait for the commit.
func (r *routing) tick(l *leadership) []rollout.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var commands []rollout.Command
	r.s.hub.read(func(s *State) {
		var standings []rollout.AccessChange
		commands, standings = l.controller.Tick(l.floor(now), s.routes, s.ready)
		l.queueTransitions(s, l.recordAccessChanges(standings, now))
	})
	return commands
}

// execute replicates a decision of the controller and reports whether this replica still leads.
func (r *routing) execute(l *leadership, c *rollout.Command) bool {
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
	return r.s.replica.Apply(&Command{Op: OpRoutes, Routes: c, Term: l.term}, applyTimeout)
}
