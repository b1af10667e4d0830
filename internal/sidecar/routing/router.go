package routing

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"time"

	"marblelane/balance"
	"marblelane/internal/route"
	"marblelane/internal/routeclient"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/inflight"
)

const (
	minSampleInterval = 50 * time.Millisecond
	maxSampleInterval = time.Second
	// leaseMargin is how many ms earlier the balancer's lease ends than this process's: what it decided in the last
	// moment would be revoked before its first byte.
	leaseMargin         = 1.
	waitedInVain        = 0.9  // part of a client's time after which its leaving counts; package balance has the same
	maxCountedRevisions = 64   // revisions whose ended attempts are counted
	maxWantedUnits      = 1024 // units of one budget that are requested
	settleTime          = 1e4  // ms for which the budget of a canary that is gone is settled
	maxSettling         = 64   // canaries that are gone and being settled
)

// countKey names one count of attempts.
type countKey struct {
	rev    int64
	tenant string
	canary bool
}

// canary is a canary with a budget, of the table that is acted on.
type canary struct {
	id              uint64
	tenant, rollout string
	peakReserved    float64 // units reserved at once, with those denied; halved each second
	denied          int64   // as the balancer counted it at the last sample
	endedAt         float64 // ms, when its route was gone; 0: it is there
}

// RoutedTenant is how attempts of a tenant with a route are counted.
type RoutedTenant struct {
	classes       []int // that may go to the canary; none: all
	lateIsFailure bool  // an answer after the latency objective is a failure of the canary
}

// EventLoop is the event loop as the router needs it.
type EventLoop interface {
	HandleEvent(now float64, event balance.Event)
	Execute(now float64, actions []balance.Action)
}

// Router brings routes, leases and grants to the balancer, and counts attempts for the list service. Only the event loop
// calls it, but for Woken's sender. nil: there is no section routes.
type Router struct {
	loop     EventLoop
	balancer *balance.Balancer
	clock    clock.Clock
	classes  []balance.Class

	Client  *routeclient.Client
	wake    chan struct{} // capacity 1: the client has an update, or a sample is due
	names   route.NameIndexes
	Tenants []string // by number; empty: requests name none

	canaries        []canary
	Routed          map[int]RoutedTenant // by tenant; -1: all requests
	counts          map[countKey]*route.Count
	revs            []int64 // of counts, ascending; without 0
	SampleTimer     *time.Timer
	sampleSoon      bool    // something has changed since the last sample
	sampledAt       float64 // ms
	revokedAttempts int64
	freeUnits       int64
}

// New gives a router for the section routes of a configuration.
func New(cfg *config.Config) (*Router, error) {
	r := &Router{
		wake: make(chan struct{}, 1), Tenants: make([]string, len(cfg.Tenants)), counts: map[countKey]*route.Count{},
		names: route.NameIndexes{
			Tenants: cfg.Tenants, Classes: cfg.Classes, Zones: cfg.Zones, Kinds: cfg.Kinds, Server: endpointlist.ServerID,
		},
	}
	for name, i := range cfg.Tenants {
		r.Tenants[i] = name
	}
	var err error
	r.Client, err = routeclient.New(routeclient.Config{
		Addrs: cfg.Routes.Addrs, Name: cfg.Name, Start: cfg.Faults.Now().UnixNano(), Version: config.ProgramVersion(),
		ConfigDigest: cfg.Routes.Digest, Schemas: cfg.Routes.Schemas, Wake: r.signal,
	})
	return r, err
}

// signal wakes the loop; it never waits.
func (r *Router) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Attach sets the loop and the balancer that the router works for. It is called before Start.
func (r *Router) Attach(loop EventLoop, balancer *balance.Balancer, c clock.Clock, classes []balance.Class) {
	if r != nil {
		r.loop, r.balancer, r.clock, r.classes = loop, balancer, c, classes
	}
}

// Woken says when to call Take; nil: routing is off.
func (r *Router) Woken() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.wake
}

// Start starts the client. Its result, called as the loop ends, returns what is idle and sends a last sample.
func (r *Router) Start(run func(func())) (end func()) {
	if r == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	run(func() { r.Client.Run(ctx) })
	r.SampleTimer = time.AfterFunc(0, r.signal)
	return func() {
		r.SampleTimer.Stop()
		now := r.clock.Millis(time.Now())
		for _, budget := range r.balancer.CanaryBudgets() {
			r.loop.HandleEvent(now, balance.BudgetGrant{ID: budget.ID, Units: budget.Granted, MaxIdle: 0})
		}
		r.sample(now)
		cancel()
	}
}

// Take applies what the client has received, and offers it a sample that is due.
func (r *Router) Take(now float64) {
	if update, fresh := r.Client.TakeUpdate(); fresh {
		r.apply(now, update)
		r.sampleSoon = true
	}
	wait := maxSampleInterval
	if r.sampleSoon {
		wait = minSampleInterval
	}
	if left := clock.Duration(r.sampledAt-now) + wait; left > 0 {
		r.SampleTimer.Reset(left)
		return
	}
	r.sample(now)
	r.SampleTimer.Reset(maxSampleInterval)
}

// apply brings an update of the client to the balancer.
func (r *Router) apply(now float64, update routeclient.Update) {
	until := 0.
	if !update.LeaseUntil.IsZero() {
		until = r.clock.Millis(update.LeaseUntil) - leaseMargin
	}
	r.loop.HandleEvent(now, balance.CanaryLease{Until: until})
	if update.Table != nil {
		r.takeTable(now, update.Table)
	}
	for _, g := range update.Grants {
		id := route.RolloutID(g.Tenant, g.Rollout)
		if indexOfCanary(r.canaries, id) >= 0 {
			r.loop.HandleEvent(now, balance.BudgetGrant{ID: id, Units: g.Granted, MaxIdle: g.MaxIdle})
		}
	}
}

// takeTable brings a table to the balancer. The client knows of it before an attempt that was decided on it can start.
func (r *Router) takeTable(now float64, t *route.Table) {
	routes, skipped := route.Bind(t, r.names)
	for _, text := range skipped {
		slog.Warn("routes: a part is not acted on", "revision", t.Rev, "why", text)
	}
	actions, err := r.balancer.Handle(now, routes)
	if err != nil {
		slog.Error("routes: the balancer rejects a table", "revision", t.Rev, "err", err)
		r.Client.RejectTable(t.Rev)
		return
	}
	r.Client.SetActingRev(t.Rev)
	r.setCanaries(now, t, routes)
	r.loop.Execute(now, actions)
}

// setCanaries takes over the canaries and routed tenants of a table that the balancer has accepted as routes. A canary that
// has gone is kept for a while, until its budget is settled.
func (r *Router) setCanaries(now float64, t *route.Table, routes balance.Routes) {
	before := r.canaries
	r.canaries, r.Routed = nil, make(map[int]RoutedTenant, len(routes.List))
	budgeted := map[uint64]bool{}
	for _, one := range routes.List {
		r.Routed[one.Tenant] = RoutedTenant{one.Classes, one.LateIsFailure}
		budgeted[one.ID] = one.Budgeted
	}
	for i := range t.Routes {
		from := &t.Routes[i]
		id := route.RolloutID(from.Tenant, from.Rollout)
		if !budgeted[id] {
			continue
		}
		c := canary{id: id, tenant: from.Tenant, rollout: from.Rollout}
		if i := indexOfCanary(before, id); i >= 0 {
			c = before[i]
			c.endedAt = 0
		}
		r.canaries = append(r.canaries, c)
	}
	live := len(r.canaries)
	for _, old := range before {
		if indexOfCanary(r.canaries, old.id) >= 0 || len(r.canaries)-live >= maxSettling {
			continue
		}
		if old.endedAt == 0 {
			old.endedAt = now
		}
		r.canaries = append(r.canaries, old)
	}
}

// indexOfCanary is the index of the canary with an ID; -1: there is none.
func indexOfCanary(canaries []canary, id uint64) int {
	return slices.IndexFunc(canaries, func(c canary) bool { return c.id == id })
}

// changed makes the next sample due soon.
func (r *Router) changed(now float64) {
	if !r.sampleSoon {
		r.sampleSoon = true
		r.SampleTimer.Reset(max(clock.Duration(r.sampledAt-now)+minSampleInterval, 0))
	}
}

// sample offers the client the state of this moment.
func (r *Router) sample(now float64) {
	s := routeclient.Sample{ListRev: r.balancer.ListRev(), Counts: make([]route.Count, 0, len(r.counts))}
	for _, c := range r.counts {
		s.Counts = append(s.Counts, *c)
	}
	held := map[uint64]balance.CanaryBudget{}
	r.freeUnits = 0
	for _, budget := range r.balancer.CanaryBudgets() {
		held[budget.ID] = budget
		r.freeUnits += budget.Free()
	}
	decay := math.Exp2(-(now - r.sampledAt) / 1e3)
	r.canaries = slices.DeleteFunc(r.canaries, func(c canary) bool {
		return c.endedAt > 0 && now > c.endedAt+settleTime && held[c.id].Reserved == 0
	})
	for i := range r.canaries {
		c := &r.canaries[i]
		budget := held[c.id]
		missed := budget.Denied - c.denied
		c.denied = budget.Denied
		// Attempts that were denied within one sample were hardly in flight at once: the wanted units at most double.
		wanted := budget.Reserved + min(missed, budget.Reserved+1)
		c.peakReserved = max(c.peakReserved*decay, float64(wanted))
		s.NeedsUnits = s.NeedsUnits || missed > 0
		state := route.BudgetState{
			Tenant: c.tenant, Rollout: c.rollout, Granted: budget.Granted, Spent: budget.Spent, Returned: budget.Returned,
		}
		if c.endedAt == 0 {
			state.Wanted = int64(min(1+math.Ceil(c.peakReserved), maxWantedUnits))
		}
		s.Budgets = append(s.Budgets, state)
	}
	r.sampledAt, r.sampleSoon = now, false
	r.Client.OfferSample(s)
}

// Check gives the check of an attempt that follows a route, or is compared with those that do; nil: it needs none.
func (r *Router) Check(now float64, c *inflight.Call, action *balance.Action) *Check {
	if r == nil {
		return nil
	}
	tenant, ok := r.Routed[c.Request.Tenant]
	if !ok {
		tenant, ok = r.Routed[-1]
	}
	if action.RoutesRev == 0 && !ok {
		return nil
	}
	r.changed(now)
	check := &Check{
		client: r.Client, rev: action.RoutesRev, canary: action.ToCanary, lateIsFailure: tenant.lateIsFailure,
		fixed:      c.Outbound.Upload != nil,
		comparable: len(tenant.classes) == 0 || slices.Contains(tenant.classes, c.Request.Class),
	}
	if c.Request.Tenant < len(r.Tenants) {
		check.tenant = r.Tenants[c.Request.Tenant]
	}
	return check
}

// CountOutcome counts how an attempt that has a check ended. Streamed: its answer had started.
func (r *Router) CountOutcome(now float64, check *Check, c *inflight.Call, reply *inflight.AttemptOutcome, elapsed float64, streamed bool) {
	r.changed(now)
	if reply.RouteRevoked {
		r.revokedAttempts++
	}
	objective := r.classes[c.Request.Class].LatencyObjective
	// As the balancer judges it: a client that left nearly at the end of its time has waited in vain.
	overdueAt := c.Deadline.Add(-time.Duration(float64(c.Timeout) * (1 - waitedInVain)))
	overdue := !c.Deadline.IsZero() && now >= r.clock.Millis(overdueAt)
	abandoned := reply.Result == balance.Cancelled && !overdue
	late := elapsed > objective
	// Where late answers are failures, a client that left after the objective has seen one: it cost a unit, too.
	conclusive := !abandoned || check.lateIsFailure && late && !streamed
	neverSent := reply.Result == balance.NotSent || reply.Result == balance.LocalFailure
	if !check.Started || neverSent || !conclusive || !check.canary && !check.comparable {
		return // it says nothing of the server, or of what the canary is compared with
	}
	count := r.countFor(countKey{check.countedRevision, check.tenant, check.canary})
	count.Ended++
	switch {
	case abandoned:
		count.Late++
	case reply.Result != balance.OK:
		count.Failed++
	case late:
		count.Late++
	}
}

// countFor gives the count of a key. Counts of the oldest revisions are dropped for new ones.
func (r *Router) countFor(key countKey) *route.Count {
	c := r.counts[key]
	if c != nil {
		return c
	}
	c = &route.Count{Rev: key.rev, Tenant: key.tenant, Canary: key.canary}
	at, known := slices.BinarySearch(r.revs, key.rev)
	if key.rev > 0 && !known {
		if len(r.revs) == maxCountedRevisions && at == 0 {
			return c // older than all that are counted
		}
		r.revs = slices.Insert(r.revs, at, key.rev)
		if len(r.revs) > maxCountedRevisions {
			for counted := range r.counts {
				if counted.rev == r.revs[0] {
					delete(r.counts, counted)
				}
			}
			r.revs = slices.Delete(r.revs, 0, 1)
		}
	}
	r.counts[key] = c
	return c
}

// Figures are the figures of routes.
type Figures struct {
	routeclient.Status
	RevokedAttempts int64
	FreeUnits       int64 // of all canary budgets
}

// Figures gives the figures of routes; nil: routing is off.
func (r *Router) Figures() *Figures {
	if r == nil {
		return nil
	}
	return &Figures{r.Client.Status(), r.revokedAttempts, r.freeUnits}
}
