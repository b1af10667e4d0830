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
	// leaseMargin is the time in ms by which the balancer's lease ends before the client's lease. An attempt that is
	// decided on right before the end of the lease would be revoked before its first byte.
	leaseMargin            = 1.
	missedDeadlineFraction = 0.9  // of a client's timeout: a later disconnect is a missed deadline, as in package balance
	maxCountedRevisions    = 64   // number of revisions whose ended attempts are counted
	maxWantedUnits         = 1024 // limit of the units requested for one budget
	settleTime             = 1e4  // ms for which the budget of a removed canary is still reported
	maxSettlingCanaries    = 64   // limit of removed canaries whose budgets are still reported
)

// countKey identifies a count of attempts.
type countKey struct {
	rev    int64
	tenant string
	canary bool
}

// canary is a canary with a budget, from the table that is acted on or a recent one.
type canary struct {
	id              uint64
	tenant, rollout string
	peakReserved    float64 // units in use at once, including denied ones; halves every second
	denied          int64   // the balancer's count of denied attempts at the last sample
	removedAt       float64 // time in ms at which the route was removed; 0: not removed
}

// RoutedTenant defines how attempts of a tenant with a route are counted.
type RoutedTenant struct {
	classes       []int // classes that may use the canary; empty: all
	lateIsFailure bool  // a response after the latency objective counts as a failure of the canary
}

// EventLoop is the part of the event loop that the router uses.
type EventLoop interface {
	HandleEvent(now float64, event balance.Event)
	Execute(now float64, actions []balance.Action)
}

// Router passes routes, leases and grants to the balancer, and counts attempts for the list service. Only the event
// loop calls its methods, except signal, which the client and the timer call. It is nil if there is no section routes.
type Router struct {
	loop     EventLoop
	balancer *balance.Balancer
	clock    clock.Clock
	classes  []balance.Class

	Client  *routeclient.Client
	wake    chan struct{} // capacity 1; signals that the client has an update or that a sample is due
	names   route.NameIndexes
	Tenants []string // names by tenant number; empty if no tenants are configured

	canaries        []canary
	RoutedTenants   map[int]RoutedTenant // by tenant number; -1 applies to requests of all tenants
	counts          map[countKey]*route.Count
	revs            []int64 // revisions in counts, ascending, without 0
	SampleTimer     *time.Timer
	sampleSoon      bool    // a change since the last sample makes the next one due soon
	sampledAt       float64 // time of the last sample, in ms
	revokedAttempts int64
	freeUnits       int64 // sum over all canary budgets at the last sample
}

// New returns a router for the section routes of a configuration.
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

// signal wakes the event loop. It never blocks.
func (r *Router) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Attach sets the event loop, balancer, clock and classes that the router uses. It must be called before Start.
func (r *Router) Attach(loop EventLoop, balancer *balance.Balancer, c clock.Clock, classes []balance.Class) {
	if r != nil {
		r.loop, r.balancer, r.clock, r.classes = loop, balancer, c, classes
	}
}

// Wakeups returns the channel that signals when to call ApplyUpdate. It is nil if routing is off.
func (r *Router) Wakeups() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.wake
}

// Start starts the client. The function that it returns is called when the event loop ends: it returns the idle units
// of all budgets, sends a last sample and stops the client.
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
		r.offerSample(now)
		cancel()
	}
}

// ApplyUpdate applies what the client has received, and offers it a sample if one is due.
func (r *Router) ApplyUpdate(now float64) {
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
	r.offerSample(now)
	r.SampleTimer.Reset(maxSampleInterval)
}

// apply passes an update of the client to the balancer.
func (r *Router) apply(now float64, update routeclient.Update) {
	until := 0.
	if !update.LeaseUntil.IsZero() {
		until = r.clock.Millis(update.LeaseUntil) - leaseMargin
	}
	r.loop.HandleEvent(now, balance.CanaryLease{Until: until})
	if update.Table != nil {
		r.applyTable(now, update.Table)
	}
	for _, g := range update.Grants {
		id := route.RolloutID(g.Tenant, g.Rollout)
		if indexOfCanary(r.canaries, id) >= 0 {
			r.loop.HandleEvent(now, balance.BudgetGrant{ID: id, Units: g.Granted, MaxIdle: g.MaxIdle})
		}
	}
}

// applyTable passes a table to the balancer. The client is notified before the balancer's actions are executed, so it
// knows the revision before an attempt that is based on it can start.
func (r *Router) applyTable(now float64, t *route.Table) {
	routes, skipped := route.Bind(t, r.names)
	for _, text := range skipped {
		slog.Warn("routes: part of the table was skipped", "revision", t.Rev, "why", text)
	}
	actions, err := r.balancer.Handle(now, routes)
	if err != nil {
		slog.Error("routes: the balancer rejected the table", "revision", t.Rev, "err", err)
		r.Client.RejectTable(t.Rev)
		return
	}
	r.Client.SetActingRev(t.Rev)
	r.setCanaries(now, t, routes)
	r.loop.Execute(now, actions)
}

// setCanaries sets the canaries and routed tenants from a table that the balancer has accepted. A removed canary is
// kept for settleTime at least, so that the final state of its budget is reported.
func (r *Router) setCanaries(now float64, t *route.Table, routes balance.Routes) {
	before := r.canaries
	r.canaries, r.RoutedTenants = nil, make(map[int]RoutedTenant, len(routes.List))
	budgeted := map[uint64]bool{}
	for _, bound := range routes.List {
		r.RoutedTenants[bound.Tenant] = RoutedTenant{bound.Classes, bound.LateIsFailure}
		budgeted[bound.ID] = bound.Budgeted
	}
	for i := range t.Routes {
		entry := &t.Routes[i]
		id := route.RolloutID(entry.Tenant, entry.Rollout)
		if !budgeted[id] {
			continue
		}
		c := canary{id: id, tenant: entry.Tenant, rollout: entry.Rollout}
		if i := indexOfCanary(before, id); i >= 0 {
			c = before[i]
			c.removedAt = 0
		}
		r.canaries = append(r.canaries, c)
	}
	live := len(r.canaries)
	for _, old := range before {
		if indexOfCanary(r.canaries, old.id) >= 0 || len(r.canaries)-live >= maxSettlingCanaries {
			continue
		}
		if old.removedAt == 0 {
			old.removedAt = now
		}
		r.canaries = append(r.canaries, old)
	}
}

// indexOfCanary returns the index of the canary with the ID, or -1 if there is none.
func indexOfCanary(canaries []canary, id uint64) int {
	return slices.IndexFunc(canaries, func(c canary) bool { return c.id == id })
}

// scheduleSample makes the next sample due minSampleInterval after the last one.
func (r *Router) scheduleSample(now float64) {
	if !r.sampleSoon {
		r.sampleSoon = true
		r.SampleTimer.Reset(max(clock.Duration(r.sampledAt-now)+minSampleInterval, 0))
	}
}

// offerSample offers the client a sample of the current state.
func (r *Router) offerSample(now float64) {
	s := routeclient.Sample{ListRev: r.balancer.ListRev(), Counts: make([]route.Count, 0, len(r.counts))}
	for _, c := range r.counts {
		s.Counts = append(s.Counts, *c)
	}
	budgets := map[uint64]balance.CanaryBudget{}
	r.freeUnits = 0
	for _, budget := range r.balancer.CanaryBudgets() {
		budgets[budget.ID] = budget
		r.freeUnits += budget.Free()
	}
	decay := math.Exp2(-(now - r.sampledAt) / 1e3)
	r.canaries = slices.DeleteFunc(r.canaries, func(c canary) bool {
		return c.removedAt > 0 && now > c.removedAt+settleTime && budgets[c.id].Reserved == 0
	})
	for i := range r.canaries {
		c := &r.canaries[i]
		budget := budgets[c.id]
		missed := budget.Denied - c.denied
		c.denied = budget.Denied
		// Attempts that were denied between two samples were not all in flight at once, so the wanted units at most
		// double with each sample.
		wanted := budget.Reserved + min(missed, budget.Reserved+1)
		c.peakReserved = max(c.peakReserved*decay, float64(wanted))
		s.NeedsUnits = s.NeedsUnits || missed > 0
		state := route.BudgetState{
			Tenant: c.tenant, Rollout: c.rollout, Granted: budget.Granted, Spent: budget.Spent, Returned: budget.Returned,
		}
		if c.removedAt == 0 {
			state.Wanted = int64(min(1+math.Ceil(c.peakReserved), maxWantedUnits))
		}
		s.Budgets = append(s.Budgets, state)
	}
	r.sampledAt, r.sampleSoon = now, false
	r.Client.OfferSample(s)
}

// NewCheck returns the check of an attempt that follows a route or is compared with attempts that do. It returns nil
// for any other attempt.
func (r *Router) NewCheck(now float64, c *inflight.Call, action *balance.Action) *AttemptCheck {
	if r == nil {
		return nil
	}
	tenant, ok := r.RoutedTenants[c.Request.Tenant]
	if !ok {
		tenant, ok = r.RoutedTenants[-1]
	}
	if action.RoutesRev == 0 && !ok {
		return nil
	}
	r.scheduleSample(now)
	check := &AttemptCheck{
		client: r.Client, rev: action.RoutesRev, canary: action.ToCanary, lateIsFailure: tenant.lateIsFailure,
		revisionFixed: c.Outbound.Upload != nil,
		comparable:    len(tenant.classes) == 0 || slices.Contains(tenant.classes, c.Request.Class),
	}
	if c.Request.Tenant < len(r.Tenants) {
		check.tenant = r.Tenants[c.Request.Tenant]
	}
	return check
}

// CountOutcome counts the outcome of an attempt that has a check. Streamed is set if a streamed response had started.
func (r *Router) CountOutcome(now float64, check *AttemptCheck, c *inflight.Call, reply *inflight.AttemptOutcome, elapsed float64, streamed bool) {
	r.scheduleSample(now)
	if reply.RouteRevoked {
		r.revokedAttempts++
	}
	objective := r.classes[c.Request.Class].LatencyObjective
	// By the balancer's rule, a client that disconnects shortly before its deadline has missed the deadline.
	overdueAt := c.Deadline.Add(-time.Duration(float64(c.Timeout) * (1 - missedDeadlineFraction)))
	overdue := !c.Deadline.IsZero() && now >= r.clock.Millis(overdueAt)
	abandoned := reply.Result == balance.Cancelled && !overdue
	late := elapsed > objective
	// If late responses are failures, a client that disconnects after the latency objective counts as one, since the
	// attempt has used a unit as well.
	conclusive := !abandoned || check.lateIsFailure && late && !streamed
	neverSent := reply.Result == balance.NotSent || reply.Result == balance.LocalFailure
	if !check.Started || neverSent || !conclusive || !check.canary && !check.comparable {
		return // it says nothing about the server, or is not compared with the canary
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

// countFor returns the count for a key, and creates it if needed. Counts of the oldest revisions are dropped to make
// room.
func (r *Router) countFor(key countKey) *route.Count {
	c := r.counts[key]
	if c != nil {
		return c
	}
	c = &route.Count{Rev: key.rev, Tenant: key.tenant, Canary: key.canary}
	at, known := slices.BinarySearch(r.revs, key.rev)
	if key.rev > 0 && !known {
		if len(r.revs) == maxCountedRevisions && at == 0 {
			return c // older than all counted revisions, so it is not stored
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

// Stats holds the values of the metrics of routes.
type Stats struct {
	routeclient.Status
	RevokedAttempts int64
	FreeUnits       int64 // sum over all canary budgets
}

// Stats returns the values of the metrics of routes, or nil if routing is off.
func (r *Router) Stats() *Stats {
	if r == nil {
		return nil
	}
	return &Stats{r.Client.Status(), r.revokedAttempts, r.freeUnits}
}
