package balance

import (
	"math"
	"slices"
	"strings"
	"testing"
)

// tenantConfig returns settings with two tenants and a class of streamed responses.
func tenantConfig() Config {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Allowance: 1, Quota: 0.5}, {Allowance: 1, Quota: 0.5}}
	cfg.Classes = append(cfg.Classes, Class{
		Idempotency: Idempotent, LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Stream: true,
	})
	return cfg
}

// streamClass is the class of streamed responses in tenantConfig.
const streamClass = zoneKeyClass + 1

// canaryRoute returns a route of tenant 0 whose canary is these servers.
func canaryRoute(fraction float64, ids ...ServerID) Route {
	return Route{Tenant: 0, Canary: Subset{IDs: ids}, CanaryFraction: fraction, ID: 9}
}

// newRoutedHarness returns a harness with eight servers, this route and a lease that never expires.
func newRoutedHarness(t *testing.T, route Route) *harness {
	h := newHarness(t, tenantConfig(), identicalServers(8)...)
	h.handle(Routes{Rev: 5, List: []Route{route}})
	h.handle(CanaryLease{Until: math.Inf(1)})
	return h
}

// sendForTenant sends a request of tenant 0 and returns the action of its first attempt.
func (h *harness) sendForTenant(class int) (RequestID, Action) {
	h.t.Helper()
	h.lastID++
	return h.lastID, h.requireSend(h.handle(Request{ID: h.lastID, Class: class, Remaining: h.b.cfg.Classes[class].Deadline}))
}

// requireSend returns the first Send among the actions, and fails without one.
func (h *harness) requireSend(actions []Action) Action {
	h.t.Helper()
	i := slices.IndexFunc(actions, func(a Action) bool { return a.Kind == Send })
	if i < 0 {
		h.t.Fatalf("no attempt among the actions: %+v", actions)
	}
	return actions[i]
}

// An invalid event returns an error with the field and its value, and leaves the balancer unchanged.
func TestRoutes_invalid(t *testing.T) {
	with := func(change func(*Route)) Routes {
		route := canaryRoute(0.5, 1)
		change(&route)
		return Routes{Rev: 6, List: []Route{route}}
	}
	for want, ev := range map[string]Event{
		"Routes.Rev":                    Routes{List: []Route{canaryRoute(0.5, 1)}},
		"Routes.List[0].Tenant":         with(func(route *Route) { route.Tenant = 2 }),
		"List[0].Tenant is -2":          with(func(route *Route) { route.Tenant = -2 }),
		"Routes.List[0].Classes":        with(func(route *Route) { route.Classes = []int{0, 6} }),
		"Classes[0] is -1":              with(func(route *Route) { route.Classes = []int{-1} }),
		"CanaryFraction is NaN":         with(func(route *Route) { route.CanaryFraction = math.NaN() }),
		"CanaryFraction is 1.01":        with(func(route *Route) { route.CanaryFraction = 1.01 }),
		"Routes.List[0].CanaryFraction": with(func(route *Route) { route.CanaryFraction = -0.01 }),
		"Routes.List[1].Tenant":         Routes{Rev: 6, List: []Route{{Tenant: 1}, {Tenant: 1}}},
		"Routes.List[1].ID":             Routes{Rev: 6, List: []Route{canaryRoute(0, 1), {Tenant: 1, ID: 9}}},
		"CanaryLease.Until":             CanaryLease{Until: math.NaN()},
		"BudgetGrant.ID":                BudgetGrant{Units: 1},
		"BudgetGrant.Units":             BudgetGrant{ID: 9, Units: -1},
		"BudgetGrant.MaxIdle":           BudgetGrant{ID: 9, Units: 1, MaxIdle: -1},
	} {
		route := canaryRoute(1, 1)
		route.Budgeted = true
		h := newRoutedHarness(t, route)
		h.handle(BudgetGrant{ID: 9, Units: 3, MaxIdle: 3})
		routes := h.b.canary.routes
		if actions, err := h.b.Handle(h.now, ev); err == nil || !strings.Contains(err.Error(), want) || len(actions) > 0 {
			t.Errorf("%+v: got error %v, want one that contains %q", ev, err, want)
		}
		if &h.b.canary.routes[0] != &routes[0] || h.b.canary.rev != 5 || h.b.CanaryBudgets()[0].Granted != 3 {
			t.Errorf("%+v changed the balancer", ev)
		}
		if _, a := h.sendForTenant(idempotentClass); !a.ToCanary || a.RoutesRev != 5 || a.CanaryID != 9 {
			t.Errorf("%+v: next attempt %+v", ev, a)
		}
	}
}

// A key that prefers the canary at some fraction prefers it at every larger fraction, and in every process.
func TestRoutes_stableKeys(t *testing.T) {
	var harnesses []*harness
	for seed := range uint64(3) {
		cfg := tenantConfig()
		cfg.Seed, cfg.Number = seed, int(seed)
		harnesses = append(harnesses, newHarness(t, cfg, identicalServers(8)...))
	}
	last, keys := map[uint64]bool{}, 2000
	for _, fraction := range []float64{0, 0.01, 0.05, 0.25, 0.5, 1} {
		n := 0
		for key := uint64(1); key <= uint64(keys); key++ {
			r := Request{RouteKey: key, IdempotencyKey: 77}
			if key%2 == 0 {
				r.RouteKey, r.IdempotencyKey = 0, key
			}
			side := false
			for i, h := range harnesses {
				h.b.canary.leaseUntil = math.Inf(1)
				route := canaryRoute(fraction, 1)
				preferred := h.b.canary.prefersCanary(&tenantRoute{Route: route}, &request{Request: r})
				if i > 0 && preferred != side || last[key] && !preferred {
					t.Fatalf("key %d at fraction %v: side differs between processes or from a lower fraction", key, fraction)
				}
				side = preferred
			}
			if last[key] = side; side {
				n++
			}
		}
		if d := math.Abs(float64(n)/float64(keys) - fraction); d > 4*math.Sqrt(fraction*(1-fraction)/float64(keys)) {
			t.Errorf("%d of %d keys prefer the canary at fraction %v", n, keys, fraction)
		}
	}
}

// The fraction of canary requests of 300 sidecars with n requests each stays within the standard error stated in
// routes.go.
func TestRoutes_canaryFraction(t *testing.T) {
	const sidecars = 300
	for _, n := range []int{1, 10, 40} {
		for _, fraction := range []float64{0.01, 0.25, 0.5} {
			sum := 0.0
			const fleets = 10
			for f := range fleets {
				canaryRequests := 0
				for i := range sidecars {
					cfg := tenantConfig()
					cfg.Seed, cfg.Number = uint64(f), i
					b := mustNew(t, cfg)
					if _, err := b.Handle(1, Routes{Rev: 1, List: []Route{canaryRoute(fraction, 1)}}); err != nil {
						t.Fatal(err)
					}
					b.canary.leaseUntil = math.Inf(1)
					for range n {
						r := &request{}
						first := b.canary.prefersCanary(b.canary.routeOf(r), r)
						if first {
							canaryRequests++
						}
						if again := b.canary.prefersCanary(b.canary.routeOf(r), r); again != first {
							t.Fatal("a request changed its side between two picks")
						}
					}
				}
				d := float64(canaryRequests)/float64(n*sidecars) - fraction
				sum += d * d
			}
			measured, stated := math.Sqrt(sum/fleets), 1/(float64(n)*math.Sqrt(sidecars))
			t.Logf("%d requests each, fraction %v: standard error %.5f, stated %.5f", n, fraction, measured, stated)
			if measured > stated {
				t.Errorf("%d requests each, fraction %v: standard error %.5f, stated %.5f", n, fraction, measured, stated)
			}
		}
	}
}

// If the canary cannot take a request, the request goes to the base or to other servers at once. Requests of the base go
// to the canary only if no other server is usable.
func TestRoutes_unusableServers(t *testing.T) {
	all := identicalServers(8)
	list := func(state ServerState, ids ...ServerID) ServerList {
		l := slices.Clone(all)
		for _, id := range ids {
			l[id-1].State = state
		}
		return ServerList{Kind: ListFull, Servers: l}
	}
	eject := func(h *harness, ids ...ServerID) {
		for _, id := range ids {
			h.b.byID[id].ejectedUntil = h.now + 1e6
		}
	}
	others := []ServerID{3, 4, 5, 6, 7, 8}
	otherServers := Subset{IDs: others}
	for name, c := range map[string]placementCase{
		"healthy":      {1, func(*harness) {}, true, []ServerID{1, 2}},
		"base":         {0, func(*harness) {}, false, []ServerID{3, 4}},
		"one draining": {1, func(h *harness) { h.handle(list(Draining, 1)) }, true, []ServerID{2}},
		"draining":     {1, func(h *harness) { h.handle(list(Draining, 1, 2)) }, false, []ServerID{3, 4}},
		"removed":      {1, func(h *harness) { h.handle(list(Removed, 1, 2)) }, false, []ServerID{3, 4}},
		"not listed": {1, func(h *harness) {
			h.handle(ServerList{Kind: ListFull, Servers: all[4:]})
			h.handle(list(Removed, 1, 2, 3, 4))
		}, false, others[2:]},
		"ejected":      {1, func(h *harness) { eject(h, 1, 2) }, false, []ServerID{3, 4}},
		"loaded":       {1, func(h *harness) { h.b.byID[1].inFlight, h.b.byID[2].inFlight = 9, 9 }, false, []ServerID{3, 4}},
		"base removed": {1, func(h *harness) { h.handle(list(Removed, 1, 2, 3, 4)) }, false, others[2:]},
		"base ejected": {0, func(h *harness) { eject(h, 3, 4) }, false, others[2:]},
		"only canary":  {0, func(h *harness) { eject(h, others...) }, false, []ServerID{1, 2}},
		"all ejected":  {1, func(h *harness) { eject(h, 1, 2, 3, 4, 5, 6, 7, 8) }, false, []ServerID{3, 4}},
		"all loaded": {1, func(h *harness) {
			for _, s := range h.b.servers {
				s.inFlight = 9
			}
		}, true, []ServerID{1}}, // the one with the fewest requests in flight; the first of equal ones
		"base loaded": {0, func(h *harness) {
			for _, id := range others {
				h.b.byID[id].inFlight = 9
			}
		}, false, []ServerID{1, 2}},
		"base loaded, units spent": {0, func(h *harness) {
			route := canaryRoute(0, 1, 2)
			route.Budgeted = true
			h.handle(Routes{Rev: 6, List: []Route{route}})
			h.handle(BudgetGrant{ID: 9, Units: 1, MaxIdle: 1})
			h.b.canary.budgets.get(9).Reserve()
			h.b.canary.budgets.get(9).Settle(true)
			for _, id := range others {
				h.b.byID[id].inFlight = 9
			}
		}, false, []ServerID{3}},
		"lease expired": {1, func(h *harness) { h.handle(CanaryLease{Until: h.now}) }, false, []ServerID{3, 4}},
		"no canary":     {1, func(h *harness) { h.handle(Routes{Rev: 6, List: []Route{{Base: otherServers}}}) }, false, others},
		"other class": {1, func(h *harness) {
			route := canaryRoute(1, 1, 2)
			route.Classes = []int{nonIdempotentClass}
			h.handle(Routes{Rev: 6, List: []Route{route}})
		}, false, others},
	} {
		t.Run(name, func(t *testing.T) {
			checkPlacement(t, name, c)
		})
	}
}

// placementCase is a state of the servers and the expected placement of requests: whether they count for the canary, and
// their servers.
type placementCase struct {
	fraction float64
	fault    func(*harness)
	canary   bool
	to       []ServerID
}

// checkPlacement sends 16 requests by a route whose canary is servers 1 and 2 and whose base is servers 1, 3 and 4.
func checkPlacement(t *testing.T, name string, c placementCase) {
	t.Helper()
	route := canaryRoute(c.fraction, 2, 1)
	route.Base = Subset{IDs: []ServerID{1, 3, 4}}
	h := newRoutedHarness(t, route)
	c.fault(h)
	seen := map[ServerID]bool{}
	for range 16 {
		before := h.b.servers[0].inFlight
		id, a := h.sendForTenant(idempotentClass)
		if seen[a.Server] = true; a.ToCanary != c.canary {
			t.Errorf("ToCanary is %v: %+v", a.ToCanary, a)
		}
		leaseHeld := name != "lease expired"
		if leaseHeld != (a.RoutesRev > 0) || (leaseHeld && name != "no canary") != (a.CanaryID > 0) {
			t.Errorf("attempt with canary %d and revision %d", a.CanaryID, a.RoutesRev)
		}
		h.endAttempt(id, 0, NotSent, 0)
		h.handle(ClientDisconnected{Request: id})
		h.cancelAttempts(id)
		h.b.servers[0].inFlight = before
	}
	for s := range seen {
		if !slices.Contains(c.to, s) {
			t.Errorf("sent to server %d, want one of %v", s, c.to)
		}
	}
	if len(seen) < min(2, len(c.to)) {
		t.Errorf("all requests went to %v, want several of %v", seen, c.to)
	}
}

// cancelAttempts ends all attempts in flight of a request as not sent.
func (h *harness) cancelAttempts(id RequestID) {
	for r := h.b.requests[id]; r != nil && r.liveAttempts > 0; r = h.b.requests[id] {
		h.endAttempt(id, slices.IndexFunc(r.attempts, func(a attempt) bool { return a.state != attemptEnded }), NotSent, 0)
	}
}

// Retries prefer the group of the first attempt. They go to the healthiest server of the canary that the request has not
// tried, then to one of the base, then to one of the other servers.
func TestRoutes_retryPlacement(t *testing.T) {
	route := canaryRoute(1, 1, 2, 3)
	route.Base = Subset{IDs: []ServerID{4, 5}}
	h := newRoutedHarness(t, route)
	h.b.byID[2].consecutiveErrors, h.b.byID[2].lastErrorAt = 1, h.now
	h.b.byID[5].consecutiveErrors, h.b.byID[5].lastErrorAt = 1, h.now
	h.b.byID[1].inFlight = 20
	id, a := h.sendForTenant(idempotentClass)
	if a.Server != 3 || !a.ToCanary {
		t.Fatalf("first attempt %+v", a)
	}
	h.b.byID[1].inFlight = 0
	for i, want := range []ServerID{1, 2, 4} {
		h.b.requests[id].stats.samples = 0
		if a = h.requireSend(h.endAttempt(id, i, Rejected, 1)); a.Server != want || a.ToCanary != (want < 4) {
			t.Errorf("retry %d: %+v, want server %d", i+1, a, want)
		}
		if i == 1 { // the next attempt must use the new revision
			h.handle(Routes{Rev: 8, List: []Route{route}})
		}
	}
	if a.RoutesRev != 8 {
		t.Errorf("last attempt has revision %d, want 8", a.RoutesRev)
	}
}

// An attempt whose route was revoked counts neither as an attempt nor as an error, up to maxRevokedAttempts times.
func TestRoutes_revokedAttempt(t *testing.T) {
	cfg := tenantConfig()
	cfg.MaxAttempts = 2
	h := newHarness(t, cfg, identicalServers(1)...)
	h.handle(Routes{Rev: 5, List: []Route{canaryRoute(1, 1)}})
	h.handle(CanaryLease{Until: math.Inf(1)})
	id, _ := h.sendForTenant(nonIdempotentClass)
	for i := range maxRevokedAttempts {
		a := h.requireSend(h.handle(Outcome{Request: id, Attempt: i, Server: 1, Result: Failed, RouteRevoked: true}))
		if a.Server != 1 || h.b.byID[1].consecutiveErrors != 0 {
			t.Fatalf("after %d revoked attempts: %+v, %d errors", i+1, a, h.b.byID[1].consecutiveErrors)
		}
	}
	last := Outcome{Request: id, Attempt: maxRevokedAttempts, Server: 1, Result: Failed, RouteRevoked: true}
	if actions := h.handle(last); hasAction(actions, Send) {
		t.Errorf("sent again after maxRevokedAttempts: %+v", actions)
	}
	if h.b.byID[1].consecutiveErrors != 0 || h.b.byID[1].inFlight != 0 || h.b.requests[id].countedAttempts() != 1 {
		t.Errorf("%d errors and %d requests in flight at the server, or a wrong number of counted attempts", h.b.byID[1].consecutiveErrors, h.b.byID[1].inFlight)
	}
}

// An ejected server is not used, even if all other servers are in slow start and their budgets are exhausted.
func TestRoutes_ejectedDuringSlowStart(t *testing.T) {
	h := newRoutedHarness(t, canaryRoute(0, 8))
	for _, s := range h.b.servers {
		s.slowStartAt, s.tokens, s.tokensAt = h.now, -100, h.now
	}
	h.b.byID[8].slowStartAt, h.b.byID[8].ejectedUntil = math.Inf(-1), math.Inf(1)
	if _, actions := h.sendRequest(idempotentClass); hasAction(actions, Send) {
		t.Errorf("request sent to an ejected server: %+v", actions)
	}
}

// A pick for a route allocates no memory and leaves the state of picks without a route unchanged.
func TestRoutes_pickSideEffects(t *testing.T) {
	route := canaryRoute(0.5, 1, 2)
	route.Base = Subset{Zones: []int{1}}
	h := newRoutedHarness(t, route)
	r := &request{class: &h.b.cfg.Classes[idempotentClass], stats: &h.b.demand.classes[idempotentClass], tenant: h.b.demand.tenant(0)}
	if n := testing.AllocsPerRun(100, func() { r.hasCanaryPosition = false; h.b.pick(r, false) }); n > 0 {
		t.Errorf("%v allocations in a pick, want 0", n)
	}
	h.b.picker.totals.weight = 321
	for i, s := range h.b.servers {
		s.currentWeight = float64(i)
	}
	h.b.pick(r, false)
	for i, s := range h.b.servers {
		if s.currentWeight != float64(i) || s.outsideGroup || h.b.picker.totals.weight != 321 || h.b.picker.pickingForRoute {
			t.Errorf("state after a pick: server %+v, pool %v", s, h.b.picker.totals)
		}
	}
}

// BenchmarkPick measures a request with and without a route, over 100 servers.
func BenchmarkPick(b *testing.B) {
	for name, routed := range map[string]bool{"off": false, "on": true} {
		b.Run(name, func(b *testing.B) {
			balancer := mustNew(b, tenantConfig())
			balancer.Handle(1000, ServerList{Kind: ListFull, Servers: identicalServers(100)})
			if routed {
				route := canaryRoute(0.1, 1, 2, 3, 4, 5)
				balancer.Handle(1000, Routes{Rev: 1, List: []Route{route}})
				balancer.Handle(1000, CanaryLease{Until: math.Inf(1)})
			}
			for i := range RequestID(b.N) {
				now := 1000 + float64(i)
				balancer.Handle(now, Request{ID: i, Remaining: 1500})
				balancer.Handle(now, Outcome{Request: i, Result: OK, Elapsed: 20, Finished: true})
			}
		})
	}
}
