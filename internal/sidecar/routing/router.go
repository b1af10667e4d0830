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
	minSampleInterval = 50 * time.Millisecond // least time between two samples
	maxSampleInterval = time.Second           // most time
	// leaseMargin is how much earlier the module's permission ends, in ms: what it still decides as it runs out would
	// only be decided again.
	leaseMargin         = 1.
	waitedInVain        = 0.9  // of a client's time; package balance has the same
	maxCountedRevisions = 64   // revisions whose ended attempts are counted
	maxWantedUnits      = 1024 // units of one purse that are asked for
	settleTime          = 1e4  // for so long a canary that is gone is settled
	maxSettling         = 64   // of them
)

// countKey names one count of attempts.
type countKey struct {
	rev    int64
	tenant string
	canary bool
}

// canary is one with a budget, of the table that is acted on.
type canary struct {
	id              uint64
	tenant, rollout string
	peakReserved    float64 // units out at once, with those missing; halved each second
	denied          int64   // as the module counted it at the last sample
	endedAt         float64 // when its route was gone; 0: it is there
}

// RoutedTenant is what attempts of a tenant with a route are counted by.
type RoutedTenant struct {
	classes       []int // that may go to the canary; none: all
	lateIsFailure bool  // an answer after the aim is a failure of the canary
}

// EventLoop is the event loop as routing needs it.
type EventLoop interface {
	HandleEvent(now float64, ev balance.Event)
	Execute(now float64, actions []balance.Action)
}

// Router is the loop's part; nil where there is none.
type Router struct {
	loop     EventLoop
	balancer *balance.Balancer
	clock    clock.Clock
	classes  []balance.Class

	Client  *routeclient.Client
	wake    chan struct{} // of 1: steer has news, or a sample is due
	names   route.Names
	Tenants []string // by number; empty: requests name none

	canaries        []canary
	Routed          map[int]RoutedTenant // by tenant; -1: all requests
	counts          map[countKey]*route.Count
	revs            []int64 // of counts, growing; without 0
	SampleTimer     *time.Timer
	sampleSoon      bool // what has changed since the last sample is due soon
	sampledAt       float64
	revokedAttempts int64
	freeUnits       int64 // units
}

func New(cfg *config.Config) (*Router, error) {
	r := &Router{
		wake: make(chan struct{}, 1), Tenants: make([]string, len(cfg.Tenants)), counts: map[countKey]*route.Count{},
		names: route.Names{
			Tenants: cfg.Tenants, Classes: cfg.Classes, Zones: cfg.Zones, Kinds: cfg.Kinds, Server: endpointlist.ServerID,
		},
	}
	for name, i := range cfg.Tenants {
		r.Tenants[i] = name
	}
	var err error
	r.Client, err = routeclient.New(routeclient.Config{
		Addrs: cfg.Routes.Addrs, Name: cfg.Name, Start: cfg.Faults.Now().UnixNano(), Version: config.ProgramVersion(),
		Digest: cfg.Routes.Digest, Schemas: cfg.Routes.Schemas, Wake: r.signal,
	})
	return r, err
}

// signal makes the loop look; it never waits.
func (r *Router) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Attach gives the loop that routing belongs to, before start.
func (r *Router) Attach(loop EventLoop, bal *balance.Balancer, c clock.Clock, classes []balance.Class) {
	if r != nil {
		r.loop, r.balancer, r.clock, r.classes = loop, bal, c, classes
	}
}

// Woken is the channel that tells of news; nil: routing is off.
func (r *Router) Woken() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.wake
}

// Start begins the duties. They end, when the loop does, with a last sample.
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

// Take takes in what the duties have, and offers a sample that is due.
func (r *Router) Take(now float64) {
	if update, fresh := r.Client.Take(); fresh {
		until := 0.
		if !update.Until.IsZero() {
			until = r.clock.Millis(update.Until) - leaseMargin
		}
		r.loop.HandleEvent(now, balance.CanaryLease{Until: until})
		if update.Table != nil {
			r.takeTable(now, update.Table)
		}
		for _, g := range update.Grants {
			id := route.RolloutID(g.Tenant, g.Rollout)
			if slices.ContainsFunc(r.canaries, func(c canary) bool { return c.id == id }) {
				r.loop.HandleEvent(now, balance.BudgetGrant{ID: id, Units: g.Granted, MaxIdle: g.Keep})
			}
		}
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

// takeTable brings a table to the module. Steer is told before anything that was decided on it can begin.
func (r *Router) takeTable(now float64, t *route.Table) {
	routes, skipped := route.Bind(t, r.names)
	for _, text := range skipped {
		slog.Warn("routes: a part is not acted on", "revision", t.Rev, "why", text)
	}
	actions, err := r.balancer.Handle(now, routes)
	if err != nil {
		slog.Error("routes: the module refuses a table", "revision", t.Rev, "error", err)
		r.Client.Refused(t.Rev)
		return
	}
	r.Client.ActOn(t.Rev)
	before := r.canaries
	r.canaries, r.Routed = nil, make(map[int]RoutedTenant, len(routes.List))
	budgeted := map[uint64]bool{}
	for _, b := range routes.List {
		r.Routed[b.Tenant] = RoutedTenant{b.Classes, b.LateIsFailure}
		budgeted[b.ID] = b.Budgeted
	}
	for i := range t.Routes {
		from := &t.Routes[i]
		id := route.RolloutID(from.Tenant, from.Rollout)
		if !budgeted[id] {
			continue
		}
		c := canary{id: id, tenant: from.Tenant, rollout: from.Rollout}
		if i := slices.IndexFunc(before, func(old canary) bool { return old.id == id }); i >= 0 {
			c = before[i]
			c.endedAt = 0
		}
		r.canaries = append(r.canaries, c)
	}
	live := len(r.canaries)
	for _, old := range before {
		gone := !slices.ContainsFunc(r.canaries, func(c canary) bool { return c.id == old.id })
		if gone && len(r.canaries)-live < maxSettling {
			if old.endedAt == 0 {
				old.endedAt = now
			}
			r.canaries = append(r.canaries, old)
		}
	}
	r.loop.Execute(now, actions)
}

// changed makes a change known soon.
func (r *Router) changed(now float64) {
	if !r.sampleSoon {
		r.sampleSoon = true
		r.SampleTimer.Reset(max(clock.Duration(r.sampledAt-now)+minSampleInterval, 0))
	}
}

// sample offers the state of this moment to the duties.
func (r *Router) sample(now float64) {
	s := routeclient.Sample{List: r.balancer.ListRev(), Counts: make([]route.Count, 0, len(r.counts))}
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
		// What was missed within one sample was hardly out at once: the want doubles until nothing is.
		c.denied, c.peakReserved = budget.Denied, max(c.peakReserved*decay, float64(budget.Reserved+min(missed, budget.Reserved+1)))
		s.Short = s.Short || missed > 0
		state := route.PurseState{
			Tenant: c.tenant, Rollout: c.rollout, Granted: budget.Granted, Spent: budget.Spent, Returned: budget.Returned,
		}
		if c.endedAt == 0 {
			state.Want = int64(min(1+math.Ceil(c.peakReserved), maxWantedUnits))
		}
		s.Purses = append(s.Purses, state)
	}
	r.sampledAt, r.sampleSoon = now, false
	r.Client.Offer(s)
}

// Check is of an attempt that a route has a say in; nil: none has.
func (r *Router) Check(now float64, c *inflight.Call, act *balance.Action) *Check {
	if r == nil {
		return nil
	}
	tenant, ok := r.Routed[c.Request.Tenant]
	if !ok {
		tenant, ok = r.Routed[-1]
	}
	if act.RoutesRev == 0 && !ok {
		return nil
	}
	r.changed(now)
	check := &Check{client: r.Client, rev: act.RoutesRev, canary: act.ToCanary, lateIsFailure: tenant.lateIsFailure, fixed: c.Outbound.Upload != nil,
		comparable: len(tenant.classes) == 0 || slices.Contains(tenant.classes, c.Request.Class)}
	if c.Request.Tenant < len(r.Tenants) {
		check.tenant = r.Tenants[c.Request.Tenant]
	}
	return check
}

// CountOutcome takes in how an attempt of a call has ended that a route had a say in. Streamed: its answer had begun.
func (r *Router) CountOutcome(now float64, check *Check, c *inflight.Call, reply *inflight.Reply, elapsed float64, streamed bool) {
	r.changed(now)
	if reply.RouteRevoked {
		r.revokedAttempts++
	}
	objective := r.classes[c.Request.Class].LatencyObjective
	// As the module judges it: a client that left nearly at the end of its time has waited in vain.
	overdue := !c.Deadline.IsZero() && now >= r.clock.Millis(c.Deadline.Add(-time.Duration(float64(c.Timeout)*(1-waitedInVain))))
	abandoned := reply.Result == balance.Cancelled && !overdue
	late := elapsed > objective
	// A client that left after the aim has seen a failure where late answers are: it cost the canary's unit, too.
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

// countFor gives a count; those of the oldest revisions make room.
func (r *Router) countFor(key countKey) *route.Count {
	c := r.counts[key]
	if c != nil {
		return c
	}
	c = &route.Count{Rev: key.rev, Tenant: key.tenant, Canary: key.canary}
	at, known := slices.BinarySearch(r.revs, key.rev)
	if key.rev > 0 && !known {
		if len(r.revs) == maxCountedRevisions && at == 0 {
			return c // it has gone already
		}
		r.revs = slices.Insert(r.revs, at, key.rev)
		if len(r.revs) > maxCountedRevisions {
			for check := range r.counts {
				if check.rev == r.revs[0] {
					delete(r.counts, check)
				}
			}
			r.revs = slices.Delete(r.revs, 0, 1)
		}
	}
	r.counts[key] = c
	return c
}

// Figures are those of routes.
type Figures struct {
	routeclient.Status
	RevokedAttempts, FreeUnits int64
}

func (r *Router) Figures() *Figures {
	if r == nil {
		return nil
	}
	return &Figures{r.Client.Status(), r.revokedAttempts, r.freeUnits}
}
