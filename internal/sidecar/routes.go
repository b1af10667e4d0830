package sidecar

// This file is a sidecar's side of routes, see docs/routes.md. Without the section of the configuration nothing of it
// runs.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblelane/balance"
	"marblelane/internal/route"
	"marblelane/internal/routeclient"
)

const (
	defaultKeyHeader = "X-Route-Key"
	revHeader        = "X-Route-Rev"    // to a server: the attempt was decided on this revision, with permission
	canaryHeader     = "X-Route-Canary" // to a server: 1, the attempt goes there as to a canary

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
	mostCopies  = 16
	mostHeader  = 100 // bytes of a header's name
	headerChars = "-0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)

// routesConfig is the section routes.
type routesConfig struct {
	addrs     []string
	schemas   []int
	keyHeader string
	digest    string // of the whole file
}

// routesFile is its JSON form.
type routesFile struct {
	Addrs     []string `json:"addrs"`   // of the list services; empty: those of the server list
	Schemas   []int    `json:"schemas"` // that are read; empty: all that this program reads
	KeyHeader string   `json:"key_header"`
}

// routes reads the section; nil: there is none. The digest is for who has the text.
func (f *file) routes(lists []string) (*routesConfig, error) {
	if len(f.Routes) == 0 || bytes.Equal(f.Routes, []byte("null")) {
		return nil, nil
	}
	var in routesFile
	dec := json.NewDecoder(bytes.NewReader(f.Routes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return nil, fmt.Errorf("routes: %w", err)
	}
	if f.Name == "" {
		return nil, errors.New("name: empty, and a sidecar with routes is known by it")
	}
	if len(in.Addrs) > mostCopies {
		return nil, fmt.Errorf("routes.addrs: %d addresses, more than %d", len(in.Addrs), mostCopies)
	}
	for i, addr := range in.Addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("routes.addrs[%d]: %w", i, err)
		}
	}
	for i, schema := range in.Schemas {
		if schema < 1 || schema > route.Newest || slices.Contains(in.Schemas[:i], schema) {
			return nil, fmt.Errorf("routes.schemas[%d]: %d is not between 1 and %d, or there twice", i, schema, route.Newest)
		}
	}
	if in.KeyHeader == "" {
		in.KeyHeader = defaultKeyHeader
	}
	if len(in.KeyHeader) > mostHeader || strings.Trim(in.KeyHeader, headerChars) != "" {
		return nil, fmt.Errorf("routes.key_header: %.100q is no name of a header", in.KeyHeader)
	}
	cfg := &routesConfig{addrs: in.Addrs, schemas: in.Schemas, keyHeader: http.CanonicalHeaderKey(in.KeyHeader)}
	if len(cfg.addrs) == 0 {
		cfg.addrs = lists
	}
	for schema := 1; len(in.Schemas) == 0 && schema <= route.Newest; schema++ {
		cfg.schemas = append(cfg.schemas, schema)
	}
	return cfg, nil
}

// key is a request's route key as the module takes it; 0: it has none.
func (c *routesConfig) key(h http.Header) uint64 {
	v := h.Get(c.keyHeader)
	if v == "" {
		return 0
	}
	return max(hashOf(v), 1)
}

func hashOf(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}

// version names the program in reports.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return fmt.Sprintf("%.100s", info.Main.Version)
}

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

// routing is the loop's part; nil where there is none.
type routing struct {
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

// startRoutes begins the duties. They end, when the loop does, with a last sample.
func (l *loop) startRoutes() (end func()) {
	r := l.routing
	if r == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.workers.Go(func() { r.client.Run(ctx) })
	r.due = time.AfterFunc(0, r.signal)
	return func() {
		r.due.Stop()
		now := l.clock.ms(time.Now())
		for _, p := range l.bal.CanaryBudgets() {
			l.tell(now, balance.BudgetGrant{ID: p.ID, Units: p.Granted, Keep: 0})
		}
		l.sample(now)
		cancel()
	}
}

// takeSteer takes in what the duties have, and offers a sample that is due.
func (l *loop) takeSteer(now float64) {
	r := l.routing
	if got, fresh := r.client.Take(); fresh {
		until := 0.
		if !got.Until.IsZero() {
			until = l.clock.ms(got.Until) - permitEarly
		}
		l.tell(now, balance.CanaryLease{Until: until})
		if got.Table != nil {
			l.takeRoutes(now, got.Table)
		}
		for _, g := range got.Grants {
			id := route.RolloutID(g.Tenant, g.Rollout)
			if slices.ContainsFunc(r.canaries, func(c canary) bool { return c.id == id }) {
				l.tell(now, balance.BudgetGrant{ID: id, Units: g.Granted, Keep: g.Keep})
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
	l.sample(now)
	r.due.Reset(sampleLate)
}

// takeRoutes brings a table to the module. Steer is told before anything that was decided on it can begin.
func (l *loop) takeRoutes(now float64, t *route.Table) {
	r := l.routing
	routes, skipped := route.Bind(t, r.names)
	for _, text := range skipped {
		slog.Warn("routes: a part is not acted on", "revision", t.Rev, "why", text)
	}
	actions, err := l.bal.Handle(now, routes)
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
		r.routed[b.Tenant] = routedBy{b.Classes, b.Late}
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
	l.act(now, actions)
}

// changed makes a change known soon.
func (r *routing) changed(now float64) {
	if !r.soon {
		r.soon = true
		r.due.Reset(max(millis(r.sampled-now)+sampleSoon, 0))
	}
}

// sample offers the state of this moment to the duties.
func (l *loop) sample(now float64) {
	r := l.routing
	s := routeclient.Sample{List: l.bal.ListRev(), Counts: make([]route.Count, 0, len(r.counts))}
	for _, c := range r.counts {
		s.Counts = append(s.Counts, *c)
	}
	held := map[uint64]balance.CanaryBudget{}
	r.free = 0
	for _, p := range l.bal.CanaryBudgets() {
		held[p.ID] = p
		r.free += p.Free()
	}
	fade := math.Exp2(-(now - r.sampled) / 1e3)
	r.canaries = slices.DeleteFunc(r.canaries, func(c canary) bool {
		return c.ended > 0 && now > c.ended+settleMS && held[c.id].Out == 0
	})
	for i := range r.canaries {
		c := &r.canaries[i]
		p := held[c.id]
		missed := p.Short - c.short
		// What was missed within one sample was hardly out at once: the want doubles until nothing is.
		c.short, c.peak = p.Short, max(c.peak*fade, float64(p.Out+min(missed, p.Out+1)))
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

// routeCheck is what an attempt was decided on, and what the last look before its first byte has said.
type routeCheck struct {
	steer  *routeclient.Client
	tenant string
	rev    int64
	canary bool
	alike  bool // its class may go to the canary: how it ends is compared with how the canary's end
	late   bool // an answer after the aim is a failure of the canary
	fixed  bool // its head is on its way when the last look comes: it begins as that says, or not at all
	said   int64

	begun bool  // at least once; the attempt's own until its outcome
	under int64 // it counts under this revision
}

// errVoid: the revision or the permission that an attempt was decided on is over.
var errVoid = errors.New("its route is not acted on any more")

// begin is the last look.
func (k *routeCheck) begin() (under int64, err error) {
	if k.fixed {
		if !k.steer.BeginAs(k.rev, k.tenant, k.canary, k.said) {
			return 0, errVoid
		}
		k.begun, k.under = true, k.said
		return k.said, nil
	}
	under, ok := k.steer.Begin(k.rev, k.tenant, k.canary)
	if !ok {
		return 0, errVoid
	}
	k.begun, k.under = true, under
	return under, nil
}

// expect is what begin would say now, and what the head says.
func (k *routeCheck) expect() int64 {
	k.said = k.steer.Under(k.rev)
	return k.said
}

// ended counts an attempt whose connection never came up as begun: it tells of the server as one that failed does.
func (k *routeCheck) ended(r reply) reply {
	if k != nil && !k.begun && (r.result == balance.ConnectFailed || r.result == balance.Unreachable) {
		k.fixed = false // no head was written
		k.begin()       // not ok: it stays uncounted
	}
	return r
}

// mark tells a server what an attempt counts under.
func (k *routeCheck) mark(h http.Header, under int64) {
	h.Del(revHeader)
	h.Del(canaryHeader)
	if under > 0 {
		h.Set(revHeader, strconv.FormatInt(under, 10))
	}
	if k.canary {
		h.Set(canaryHeader, "1")
	}
}

// look is of an attempt that a route has a say in; nil: none has.
func (l *loop) look(now float64, c *call, act *balance.Action) *routeCheck {
	r := l.routing
	if r == nil {
		return nil
	}
	by, ok := r.routed[c.ev.Tenant]
	if !ok {
		by, ok = r.routed[-1]
	}
	if act.Routes == 0 && !ok {
		return nil
	}
	r.changed(now)
	k := &routeCheck{steer: r.client, rev: act.Routes, canary: act.Canary, late: by.late, fixed: c.out.upload != nil,
		alike: len(by.classes) == 0 || slices.Contains(by.classes, c.ev.Class)}
	if c.ev.Tenant < len(r.tenants) {
		k.tenant = r.tenants[c.ev.Tenant]
	}
	return k
}

// count takes in how an attempt has ended that a route had a say in.
func (l *loop) count(now float64, a *attempt, reply *reply, took float64) {
	r, k := l.routing, a.look
	r.changed(now)
	if reply.void {
		r.voids++
	}
	c, aim := a.call, l.cfg.balance.Classes[a.call.ev.Class].Aim
	// As the module judges it: a client that left nearly at the end of its time has waited in vain.
	overdue := !c.deadline.IsZero() && now >= l.clock.ms(c.deadline.Add(-time.Duration(float64(c.wait)*(1-nearlyAll))))
	left := reply.result == balance.Cancelled && !overdue
	late := took > aim
	// A client that left after the aim has seen a failure where late answers are: it cost the canary's unit, too.
	told := !left || k.late && late && a.took == 0
	unsent := reply.result == balance.Moot || reply.result == balance.LocalFailure
	if !k.begun || unsent || !told || !k.canary && !k.alike {
		return // it says nothing of the server, or of what the canary is compared with
	}
	n := r.count(countKey{k.under, k.tenant, k.canary})
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

// count gives a count; those of the oldest revisions make room.
func (r *routing) count(key countKey) *route.Count {
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
