package sidecar

// This file is a sidecar's side of routes, see docs/routes.md. Without the section of the configuration nothing of it
// runs.

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"time"

	"marblelane/balance"
	"marblelane/internal/route"
	"marblelane/internal/routeclient"
)

const (
	sampleSoon = 50 * time.Millisecond // least time between two samples
	sampleLate = time.Second           // most time
	// permitEarly is how much earlier the module's permission ends, in ms: what it still decides as it runs out would
	// only be decided again.
	permitEarly = 1.
	nearlyAll   = 0.9  // of a client's time; package balance has the same
	keptRevs    = 64   // revisions whose ended attempts are counted
	mostWant    = 1024 // units of one purse that are asked for
	settleMS    = 1e4  // for so long a canary that is gone is settled
	mostSettled = 64   // of them
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
	peak            float64 // units out at once, with those missing; halved each second
	short           int64   // as the module counted it at the last sample
	ended           float64 // when its route was gone; 0: it is there
}

// routedBy is what attempts of a tenant with a route are counted by.
type routedBy struct {
	classes []int // that may go to the canary; none: all
	late    bool  // an answer after the aim is a failure of the canary
}

// decider is the event loop as routing needs it.
type decider interface {
	tell(now float64, ev balance.Event)
	act(now float64, actions []balance.Action)
}

// routing is the loop's part; nil where there is none.
type routing struct {
	loop    decider
	bal     *balance.Balancer
	clock   clock
	classes []balance.Class

	client  *routeclient.Client
	wake    chan struct{} // of 1: steer has news, or a sample is due
	names   route.Names
	tenants []string // by number; empty: requests name none

	canaries []canary
	routed   map[int]routedBy // by tenant; -1: all requests
	counts   map[countKey]*route.Count
	revs     []int64 // of counts, growing; without 0
	due      *time.Timer
	soon     bool // what has changed since the last sample is due soon
	sampled  float64
	voids    int64
	free     int64 // units
}

func newRouting(cfg *Config) (*routing, error) {
	r := &routing{
		wake: make(chan struct{}, 1), tenants: make([]string, len(cfg.tenants)), counts: map[countKey]*route.Count{},
		names: route.Names{
			Tenants: cfg.tenants, Classes: cfg.classes, Zones: cfg.zones, Kinds: cfg.kinds, Server: idOf,
		},
	}
	for name, i := range cfg.tenants {
		r.tenants[i] = name
	}
	var err error
	r.client, err = routeclient.New(routeclient.Config{
		Addrs: cfg.routes.addrs, Name: cfg.Name, Start: cfg.faults.Now().UnixNano(), Version: version(),
		Digest: cfg.routes.digest, Schemas: cfg.routes.schemas, Wake: r.signal,
	})
	return r, err
}

// signal makes the loop look; it never waits.
func (r *routing) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// attach gives the loop that routing belongs to, before start.
func (r *routing) attach(loop decider, bal *balance.Balancer, c clock, classes []balance.Class) {
	if r != nil {
		r.loop, r.bal, r.clock, r.classes = loop, bal, c, classes
	}
}

// woken is the channel that tells of news; nil: routing is off.
func (r *routing) woken() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.wake
}

// start begins the duties. They end, when the loop does, with a last sample.
func (r *routing) start(run func(func())) (end func()) {
	if r == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	run(func() { r.client.Run(ctx) })
	r.due = time.AfterFunc(0, r.signal)
	return func() {
		r.due.Stop()
		now := r.clock.ms(time.Now())
		for _, p := range r.bal.CanaryBudgets() {
			r.loop.tell(now, balance.BudgetGrant{ID: p.ID, Units: p.Granted, MaxIdle: 0})
		}
		r.sample(now)
		cancel()
	}
}

// take takes in what the duties have, and offers a sample that is due.
func (r *routing) take(now float64) {
	if got, fresh := r.client.Take(); fresh {
		until := 0.
		if !got.Until.IsZero() {
			until = r.clock.ms(got.Until) - permitEarly
		}
		r.loop.tell(now, balance.CanaryLease{Until: until})
		if got.Table != nil {
			r.takeTable(now, got.Table)
		}
		for _, g := range got.Grants {
			id := route.RolloutID(g.Tenant, g.Rollout)
			if slices.ContainsFunc(r.canaries, func(c canary) bool { return c.id == id }) {
				r.loop.tell(now, balance.BudgetGrant{ID: id, Units: g.Granted, MaxIdle: g.Keep})
			}
		}
		r.soon = true
	}
	wait := sampleLate
	if r.soon {
		wait = sampleSoon
	}
	if left := millis(r.sampled-now) + wait; left > 0 {
		r.due.Reset(left)
		return
	}
	r.sample(now)
	r.due.Reset(sampleLate)
}

// takeTable brings a table to the module. Steer is told before anything that was decided on it can begin.
func (r *routing) takeTable(now float64, t *route.Table) {
	routes, skipped := route.Bind(t, r.names)
	for _, text := range skipped {
		slog.Warn("routes: a part is not acted on", "revision", t.Rev, "why", text)
	}
	actions, err := r.bal.Handle(now, routes)
	if err != nil {
		slog.Error("routes: the module refuses a table", "revision", t.Rev, "error", err)
		r.client.Refused(t.Rev)
		return
	}
	r.client.ActOn(t.Rev)
	before := r.canaries
	r.canaries, r.routed = nil, make(map[int]routedBy, len(routes.List))
	purses := map[uint64]bool{}
	for _, b := range routes.List {
		r.routed[b.Tenant] = routedBy{b.Classes, b.LateIsFailure}
		purses[b.ID] = b.Budgeted
	}
	for i := range t.Routes {
		from := &t.Routes[i]
		id := route.RolloutID(from.Tenant, from.Rollout)
		if !purses[id] {
			continue
		}
		c := canary{id: id, tenant: from.Tenant, rollout: from.Rollout}
		if i := slices.IndexFunc(before, func(old canary) bool { return old.id == id }); i >= 0 {
			c = before[i]
			c.ended = 0
		}
		r.canaries = append(r.canaries, c)
	}
	live := len(r.canaries)
	for _, old := range before {
		gone := !slices.ContainsFunc(r.canaries, func(c canary) bool { return c.id == old.id })
		if gone && len(r.canaries)-live < mostSettled {
			if old.ended == 0 {
				old.ended = now
			}
			r.canaries = append(r.canaries, old)
		}
	}
	r.loop.act(now, actions)
}

// changed makes a change known soon.
func (r *routing) changed(now float64) {
	if !r.soon {
		r.soon = true
		r.due.Reset(max(millis(r.sampled-now)+sampleSoon, 0))
	}
}

// sample offers the state of this moment to the duties.
func (r *routing) sample(now float64) {
	s := routeclient.Sample{List: r.bal.ListRev(), Counts: make([]route.Count, 0, len(r.counts))}
	for _, c := range r.counts {
		s.Counts = append(s.Counts, *c)
	}
	held := map[uint64]balance.CanaryBudget{}
	r.free = 0
	for _, p := range r.bal.CanaryBudgets() {
		held[p.ID] = p
		r.free += p.Free()
	}
	fade := math.Exp2(-(now - r.sampled) / 1e3)
	r.canaries = slices.DeleteFunc(r.canaries, func(c canary) bool {
		return c.ended > 0 && now > c.ended+settleMS && held[c.id].Reserved == 0
	})
	for i := range r.canaries {
		c := &r.canaries[i]
		p := held[c.id]
		missed := p.Denied - c.short
		// What was missed within one sample was hardly out at once: the want doubles until nothing is.
		c.short, c.peak = p.Denied, max(c.peak*fade, float64(p.Reserved+min(missed, p.Reserved+1)))
		s.Short = s.Short || missed > 0
		state := route.PurseState{
			Tenant: c.tenant, Rollout: c.rollout, Granted: p.Granted, Spent: p.Spent, Returned: p.Returned,
		}
		if c.ended == 0 {
			state.Want = int64(min(1+math.Ceil(c.peak), mostWant))
		}
		s.Purses = append(s.Purses, state)
	}
	r.sampled, r.soon = now, false
	r.client.Offer(s)
}

// check is of an attempt that a route has a say in; nil: none has.
func (r *routing) check(now float64, c *call, act *balance.Action) *routeCheck {
	if r == nil {
		return nil
	}
	by, ok := r.routed[c.ev.Tenant]
	if !ok {
		by, ok = r.routed[-1]
	}
	if act.RoutesRev == 0 && !ok {
		return nil
	}
	r.changed(now)
	k := &routeCheck{steer: r.client, rev: act.RoutesRev, canary: act.ToCanary, late: by.late, fixed: c.out.upload != nil,
		alike: len(by.classes) == 0 || slices.Contains(by.classes, c.ev.Class)}
	if c.ev.Tenant < len(r.tenants) {
		k.tenant = r.tenants[c.ev.Tenant]
	}
	return k
}

// countOutcome takes in how an attempt of a call has ended that a route had a say in. Streamed: its answer had begun.
func (r *routing) countOutcome(now float64, k *routeCheck, c *call, reply *reply, took float64, streamed bool) {
	r.changed(now)
	if reply.void {
		r.voids++
	}
	aim := r.classes[c.ev.Class].LatencyObjective
	// As the module judges it: a client that left nearly at the end of its time has waited in vain.
	overdue := !c.deadline.IsZero() && now >= r.clock.ms(c.deadline.Add(-time.Duration(float64(c.wait)*(1-nearlyAll))))
	left := reply.result == balance.Cancelled && !overdue
	late := took > aim
	// A client that left after the aim has seen a failure where late answers are: it cost the canary's unit, too.
	told := !left || k.late && late && !streamed
	unsent := reply.result == balance.NotSent || reply.result == balance.LocalFailure
	if !k.begun || unsent || !told || !k.canary && !k.alike {
		return // it says nothing of the server, or of what the canary is compared with
	}
	n := r.countFor(countKey{k.under, k.tenant, k.canary})
	n.Ended++
	switch {
	case left:
		n.Late++
	case reply.result != balance.OK:
		n.Failed++
	case late:
		n.Late++
	}
}

// countFor gives a count; those of the oldest revisions make room.
func (r *routing) countFor(key countKey) *route.Count {
	c := r.counts[key]
	if c != nil {
		return c
	}
	c = &route.Count{Rev: key.rev, Tenant: key.tenant, Canary: key.canary}
	at, known := slices.BinarySearch(r.revs, key.rev)
	if key.rev > 0 && !known {
		if len(r.revs) == keptRevs && at == 0 {
			return c // it has gone already
		}
		r.revs = slices.Insert(r.revs, at, key.rev)
		if len(r.revs) > keptRevs {
			for k := range r.counts {
				if k.rev == r.revs[0] {
					delete(r.counts, k)
				}
			}
			r.revs = slices.Delete(r.revs, 0, 1)
		}
	}
	r.counts[key] = c
	return c
}

// steerFigures are those of routes.
type steerFigures struct {
	routeclient.Status
	voids, free int64
}

func (r *routing) figures() *steerFigures {
	if r == nil {
		return nil
	}
	return &steerFigures{r.client.Status(), r.voids, r.free}
}
