package routeleader

// This file starts and ends the leadership of routes, with its clock and its loops.

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marblelane/internal/audit"
	"marblelane/internal/registry/operators"
	"marblelane/internal/registry/state"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// Intervals and limits of the leader's periodic work and batches.
const (
	leaderTickInterval    = 50 * time.Millisecond
	reportBatchWait       = 10 * time.Millisecond  // reports are batched this long before one quorum check
	budgetBatchWait       = 20 * time.Millisecond  // budget requests are batched this long into one command
	auditBatchWait        = 200 * time.Millisecond // audit transitions are batched this long into one command
	maxCommandEntries     = 1000                   // maximum number of entries in one ledger command
	maxWaitingCalls       = 4096                   // maximum number of queued reports, and of queued budget requests; further calls are rejected with 503
	maxPendingTransitions = 20_000                 // transitions not replicated yet; beyond this the oldest are dropped
)

// leadership is the in-memory state of the routes leader, created anew in each raft term that this replica leads. Its
// own fields do not change once it is stored. The structs in it have their own locks.
type leadership struct {
	leaderClock
	term          uint64
	id            string    // replica name, raft term and count of leaderships; included in responses
	decisionsFrom time.Time // no decisions before this time, as longer leases of an earlier leader may still be valid
	leaseTermMS   int64
	options       rollout.Options
	decisions     decisionState
	processes     processRecords
	limits        changeLimits
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

// Run processes queued calls and does the leader's periodic work until ctx ends.
func (r *Routing) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { gatherBatches(ctx, r.reportCalls, reportBatchWait, maxWaitingCalls, r.answerReports) })
	wg.Go(func() { gatherBatches(ctx, r.budgetCalls, budgetBatchWait, maxWaitingCalls, r.answerBudgetRequests) })
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
			r.log.Warn("registry: routes: failed to replicate the lease term", "error", err)
		}
		if l != nil {
			r.decide(l)
			r.flush(l)
		}
	}
}

// current returns the active leadership, or nil if this replica does not lead or has not initialised its leadership.
func (r *Routing) current() *leadership {
	l := r.lead.Load()
	if l == nil || r.replica.Term() != l.term || r.server.Options().Operators == nil {
		return nil
	}
	return l
}

// Leads reports whether this replica leads the routes and has initialised its leadership.
func (r *Routing) Leads() bool { return r.current() != nil }

// WallMS converts a time to Unix milliseconds on the leader's clock. It returns 0 if this replica does not lead.
func (r *Routing) WallMS(at time.Time) int64 {
	l := r.current()
	if l == nil {
		return 0
	}
	return l.wall(at)
}

// ensureLeadership returns the leadership of the current term and creates it when the term is new. It returns nil if
// this replica does not lead.
func (r *Routing) ensureLeadership() (*leadership, error) {
	term, o := r.replica.Term(), r.server.Options().Operators
	if term == 0 || o == nil {
		r.lead.Store(nil)
		return nil, nil
	}
	if l := r.lead.Load(); l != nil && l.term == term {
		return l, nil
	}
	l := r.newLeadership(term, o)
	var replicatedTermMS int64
	r.list.Read(func(s *state.State) { replicatedTermMS = s.MaxLeaseTermMS })
	switch {
	case replicatedTermMS < l.leaseTermMS: // must be replicated before the first lease of this length is granted
		if err := r.apply(&state.Command{Op: state.OpMaxLeaseTerm, TermMS: l.leaseTermMS, Term: term}); err != nil {
			return nil, err
		}
	case replicatedTermMS > l.leaseTermMS:
		l.decisionsFrom, l.decisions.lowersLeaseTerm = l.startedAt.Add(withClockMargin(replicatedTermMS, l.options.ClockMargin)), true
	}
	r.lead.Store(l)
	return l, nil
}

func (r *Routing) newLeadership(term uint64, o *operators.Operators) *leadership {
	at := time.Now()
	l := &leadership{leaderClock: leaderClock{startedAt: at, startedWallMS: state.EpochZeroMS + r.wall().Sub(state.EpochZero).Milliseconds()},
		term: term, id: fmt.Sprintf("%s@%d.%d", r.name, term, r.leaderships.Add(1)), decisionsFrom: at, options: o.ControllerOptions()}
	l.options.Leader, l.leaseTermMS = l.id, l.options.LeaseTerm
	l.decisions.ledger.defect = r.defect
	l.limits.byTenant = map[string]*rate.Limiter{}
	l.processes = processRecords{
		clock:        l.leaderClock,
		retention:    l.retention(),
		controller:   rollout.NewController(l.options, r.defect.controllerStart(l.floor(at))),
		tracker:      audit.NewTracker(audit.TrackerOptions{MinListedRevs: minListedRevs}, l.id, l.floor(at)),
		unreplicated: map[string]state.SchemaSupport{},
		observed:     map[string]state.SchemaSupport{},
		refreshedAt:  at, flushedAt: at, prunedAt: at,
	}
	return l
}

// withClockMargin returns the time after which a lease of termMS has expired on every clock whose rate is within
// margin, a fraction.
func withClockMargin(termMS int64, margin float64) time.Duration {
	return time.Duration(math.Ceil(float64(termMS)*(1+margin))) * time.Millisecond
}

// retention returns how long a process is counted as present after its last report.
func (l *leadership) retention() time.Duration {
	return time.Duration(l.options.DropAfter) * time.Millisecond
}
