package balance

import (
	"math"
	"slices"
	"strings"
	"testing"
)

func tenantConfig() Config {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Allowance: 1, Quota: 0.5}, {Allowance: 1, Quota: 0.5}}
	cfg.Classes = append(cfg.Classes, Class{Idempotency: Idempotent, LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Stream: true})
	return cfg
}

const streamClass = zoneKeyClass + 1

// canaryOf is a route of tenant 0 whose canary is these servers.
func canaryRoute(fraction float64, ids ...ServerID) Route {
	return Route{Tenant: 0, Canary: Subset{IDs: ids}, CanaryFraction: fraction, ID: 9}
}

// routed begins with eight servers, a route and a permission.
func newRoutedHarness(t *testing.T, w Route) *harness {
	g := newHarness(t, tenantConfig(), identicalServers(8)...)
	g.handle(Routes{Rev: 5, List: []Route{w}})
	g.handle(CanaryLease{Until: math.Inf(1)})
	return g
}

// send brings a request of tenant 0 and returns its first attempt.
func (g *harness) sendForTenant(class int) (RequestID, Action) {
	g.t.Helper()
	g.lastID++
	return g.lastID, g.requireSend(g.handle(Request{ID: g.lastID, Class: class, Remaining: g.b.cfg.Classes[class].Deadline}))
}

func (g *harness) requireSend(acts []Action) Action {
	g.t.Helper()
	i := slices.IndexFunc(acts, func(a Action) bool { return a.Kind == Send })
	if i < 0 {
		g.t.Fatalf("nothing was sent: %+v", acts)
	}
	return acts[i]
}

func TestRoutes_invalid(t *testing.T) {
	with := func(change func(*Route)) Routes {
		w := canaryRoute(0.5, 1)
		change(&w)
		return Routes{Rev: 6, List: []Route{w}}
	}
	for want, ev := range map[string]Event{
		"Routes.Rev":                    Routes{List: []Route{canaryRoute(0.5, 1)}},
		"Routes.List[0].Tenant":         with(func(w *Route) { w.Tenant = 2 }),
		"List[0].Tenant is -2":          with(func(w *Route) { w.Tenant = -2 }),
		"Routes.List[0].Classes":        with(func(w *Route) { w.Classes = []int{0, 6} }),
		"Classes[0] is -1":              with(func(w *Route) { w.Classes = []int{-1} }),
		"CanaryFraction is NaN":         with(func(w *Route) { w.CanaryFraction = math.NaN() }),
		"CanaryFraction is 1.01":        with(func(w *Route) { w.CanaryFraction = 1.01 }),
		"Routes.List[0].CanaryFraction": with(func(w *Route) { w.CanaryFraction = -0.01 }),
		"Routes.List[1].Tenant":         Routes{Rev: 6, List: []Route{{Tenant: 1}, {Tenant: 1}}},
		"Routes.List[1].ID":             Routes{Rev: 6, List: []Route{canaryRoute(0, 1), {Tenant: 1, ID: 9}}},
		"CanaryLease.Until":             CanaryLease{Until: math.NaN()},
		"BudgetGrant.ID":                BudgetGrant{Units: 1},
		"BudgetGrant.Units":             BudgetGrant{ID: 9, Units: -1},
		"BudgetGrant.MaxIdle":           BudgetGrant{ID: 9, Units: 1, MaxIdle: -1},
	} {
		w := canaryRoute(1, 1)
		w.Budgeted = true
		g := newRoutedHarness(t, w)
		g.handle(BudgetGrant{ID: 9, Units: 3, MaxIdle: 3})
		ways := g.b.canary.routes
		if acts, err := g.b.Handle(g.now, ev); err == nil || !strings.Contains(err.Error(), want) || len(acts) > 0 {
			t.Errorf("%+v: error %v, want one of %q", ev, err, want)
		}
		if &g.b.canary.routes[0] != &ways[0] || g.b.canary.rev != 5 || g.b.CanaryBudgets()[0].Granted != 3 {
			t.Errorf("%+v changed the balancer", ev)
		}
		if _, a := g.sendForTenant(idempotentClass); !a.ToCanary || a.RoutesRev != 5 || a.CanaryID != 9 {
			t.Errorf("%+v: then %+v", ev, a)
		}
	}
}

// A share grows, a key comes again at another process: who preferred the canary still does.
func TestRoutes_stableKeys(t *testing.T) {
	var rigs []*harness
	for seed := range uint64(3) {
		cfg := tenantConfig()
		cfg.Seed, cfg.Number = seed, int(seed)
		rigs = append(rigs, newHarness(t, cfg, identicalServers(8)...))
	}
	last, many := map[uint64]bool{}, 2000
	for _, share := range []float64{0, 0.01, 0.05, 0.25, 0.5, 1} {
		n := 0
		for key := uint64(1); key <= uint64(many); key++ {
			r := Request{RouteKey: key, IdempotencyKey: 77}
			if key%2 == 0 {
				r.RouteKey, r.IdempotencyKey = 0, key
			}
			side := false
			for i, g := range rigs {
				g.b.canary.leaseUntil = math.Inf(1)
				w := canaryRoute(share, 1)
				here := g.b.canary.prefersCanary(&tenantRoute{Route: w}, &request{Request: r})
				if i > 0 && here != side || last[key] && !here {
					t.Fatalf("key %d at share %v changes its side", key, share)
				}
				side = here
			}
			if last[key] = side; side {
				n++
			}
		}
		if d := math.Abs(float64(n)/float64(many) - share); d > 4*math.Sqrt(share*(1-share)/float64(many)) {
			t.Errorf("%d of %d keys at share %v", n, many, share)
		}
	}
}

// 300 sidecars with n requests each: the standard error that routes.go states.
func TestRoutes_canaryFraction(t *testing.T) {
	const sidecars = 300
	for _, n := range []int{1, 10, 40} {
		for _, share := range []float64{0.01, 0.25, 0.5} {
			sum := 0.0
			const fleets = 10
			for f := range fleets {
				hits := 0
				for i := range sidecars {
					cfg := tenantConfig()
					cfg.Seed, cfg.Number = uint64(f), i
					b := mustNew(t, cfg)
					if _, err := b.Handle(1, Routes{Rev: 1, List: []Route{canaryRoute(share, 1)}}); err != nil {
						t.Fatal(err)
					}
					b.canary.leaseUntil = math.Inf(1)
					for range n {
						r := &request{}
						first := b.canary.prefersCanary(b.canary.routeOf(r), r)
						if first {
							hits++
						}
						if again := b.canary.prefersCanary(b.canary.routeOf(r), r); again != first {
							t.Fatal("a request changed its side")
						}
					}
				}
				d := float64(hits)/float64(n*sidecars) - share
				sum += d * d
			}
			got, most := math.Sqrt(sum/fleets), 1/(float64(n)*math.Sqrt(sidecars))
			t.Logf("%d requests each, share %v: standard error %.5f, stated %.5f", n, share, got, most)
			if got > most {
				t.Errorf("%d requests each, share %v: standard error %.5f, stated %.5f", n, share, got, most)
			}
		}
	}
}

// Whatever is wrong with a canary, its requests go elsewhere at once; a base goes there only when nobody else is left.
func TestRoutes_unusableServers(t *testing.T) {
	all := identicalServers(8)
	list := func(state ServerState, ids ...ServerID) ServerList {
		l := slices.Clone(all)
		for _, id := range ids {
			l[id-1].State = state
		}
		return ServerList{Kind: ListFull, Servers: l}
	}
	rest := func(g *harness, ids ...ServerID) {
		for _, id := range ids {
			g.b.byID[id].ejectedUntil = g.now + 1e6
		}
	}
	others := []ServerID{3, 4, 5, 6, 7, 8}
	far := Subset{IDs: others}
	for name, c := range map[string]struct {
		share   float64
		trouble func(*harness)
		canary  bool
		to      []ServerID
	}{
		"sound":         {1, func(*harness) {}, true, []ServerID{1, 2}},
		"base":          {0, func(*harness) {}, false, []ServerID{3, 4}},
		"one drains":    {1, func(g *harness) { g.handle(list(Draining, 1)) }, true, []ServerID{2}},
		"draining":      {1, func(g *harness) { g.handle(list(Draining, 1, 2)) }, false, []ServerID{3, 4}},
		"gone":          {1, func(g *harness) { g.handle(list(Gone, 1, 2)) }, false, []ServerID{3, 4}},
		"never there":   {1, func(g *harness) { g.handle(ServerList{Kind: ListFull, Servers: all[4:]}) }, false, others[2:]},
		"resting":       {1, func(g *harness) { rest(g, 1, 2) }, false, []ServerID{3, 4}},
		"loaded":        {1, func(g *harness) { g.b.byID[1].inFlight, g.b.byID[2].inFlight = 9, 9 }, false, []ServerID{3, 4}},
		"base gone too": {1, func(g *harness) { g.handle(list(Gone, 1, 2, 3, 4)) }, false, others[2:]},
		"base resting":  {0, func(g *harness) { rest(g, 3, 4) }, false, others[2:]},
		"canary left":   {0, func(g *harness) { rest(g, others...) }, false, []ServerID{1, 2}},
		"all rest":      {1, func(g *harness) { rest(g, 1, 2, 3, 4, 5, 6, 7, 8) }, false, []ServerID{3, 4}},
		"all loaded": {1, func(g *harness) {
			for _, s := range g.b.servers {
				s.inFlight = 9
			}
		}, true, []ServerID{1}}, // who holds least, of equals the first
		"base loaded": {0, func(g *harness) {
			for _, id := range others {
				g.b.byID[id].inFlight = 9
			}
		}, false, []ServerID{1, 2}},
		"base loaded, units spent": {0, func(g *harness) {
			w := canaryRoute(0, 1, 2)
			w.Budgeted = true
			g.handle(Routes{Rev: 6, List: []Route{w}})
			g.handle(BudgetGrant{ID: 9, Units: 1, MaxIdle: 1})
			g.b.canary.budgets.get(9).Reserve()
			g.b.canary.budgets.get(9).Settle(true)
			for _, id := range others {
				g.b.byID[id].inFlight = 9
			}
		}, false, []ServerID{3}},
		"permission over": {1, func(g *harness) { g.handle(CanaryLease{Until: g.now}) }, false, []ServerID{3, 4}},
		"no canary":       {1, func(g *harness) { g.handle(Routes{Rev: 6, List: []Route{{Base: far}}}) }, false, others},
		"other class": {1, func(g *harness) {
			w := canaryRoute(1, 1, 2)
			w.Classes = []int{nonIdempotentClass}
			g.handle(Routes{Rev: 6, List: []Route{w}})
		}, false, others},
	} {
		t.Run(name, func(t *testing.T) {
			w := canaryRoute(c.share, 2, 1)
			w.Base = Subset{IDs: []ServerID{1, 3, 4}}
			g := newRoutedHarness(t, w)
			if c.trouble(g); name == "never there" {
				g.handle(list(Gone, 1, 2, 3, 4))
			}
			seen := map[ServerID]bool{}
			for range 16 {
				before := g.b.servers[0].inFlight
				id, a := g.sendForTenant(idempotentClass)
				if seen[a.Server] = true; a.ToCanary != c.canary {
					t.Errorf("to the canary: %v (%+v)", a.ToCanary, a)
				}
				permitted := name != "permission over"
				if permitted != (a.RoutesRev > 0) || (permitted && name != "no canary") != (a.CanaryID > 0) {
					t.Errorf("acts on %d of %d", a.CanaryID, a.RoutesRev)
				}
				g.endAttempt(id, 0, NotSent, 0)
				g.handle(ClientGone{Request: id})
				g.cancelAttempts(id)
				g.b.servers[0].inFlight = before
			}
			for s := range seen {
				if !slices.Contains(c.to, s) {
					t.Errorf("sent to %d, not one of %v", s, c.to)
				}
			}
			if len(seen) < min(2, len(c.to)) {
				t.Errorf("all went to %v of %v", seen, c.to)
			}
		})
	}
}

// finish ends what is still out for a request as if it had never been.
func (g *harness) cancelAttempts(id RequestID) {
	for r := g.b.requests[id]; r != nil && r.liveAttempts > 0; r = g.b.requests[id] {
		g.endAttempt(id, slices.IndexFunc(r.attempts, func(a attempt) bool { return a.state != attemptEnded }), NotSent, 0)
	}
}

// A request stays on its side: the healthiest untried server of the canary, then of the base, then of the rest.
func TestRoutes_retryPlacement(t *testing.T) {
	w := canaryRoute(1, 1, 2, 3)
	w.Base = Subset{IDs: []ServerID{4, 5}}
	g := newRoutedHarness(t, w)
	g.b.byID[2].consecutiveErrors, g.b.byID[2].lastErrorAt = 1, g.now
	g.b.byID[5].consecutiveErrors, g.b.byID[5].lastErrorAt = 1, g.now
	g.b.byID[1].inFlight = 20
	id, a := g.sendForTenant(idempotentClass)
	if a.Server != 3 || !a.ToCanary {
		t.Fatalf("first to %+v", a)
	}
	g.b.byID[1].inFlight = 0
	for i, want := range []ServerID{1, 2, 4} {
		g.b.requests[id].stats.samples = 0
		if a = g.requireSend(g.endAttempt(id, i, Rejected, 1)); a.Server != want || a.ToCanary != (want < 4) {
			t.Errorf("repeat %d: %+v, want %d", i+1, a, want)
		}
		if i == 1 { // the newest routes count
			g.handle(Routes{Rev: 8, List: []Route{w}})
		}
	}
	if a.RoutesRev != 8 {
		t.Errorf("the last acts on %d", a.RoutesRev)
	}
}

// A void attempt counts for nothing, three times; then as one that never began.
func TestRoutes_revokedAttempt(t *testing.T) {
	cfg := tenantConfig()
	cfg.MaxAttempts = 2
	g := newHarness(t, cfg, identicalServers(1)...)
	g.handle(Routes{Rev: 5, List: []Route{canaryRoute(1, 1)}})
	g.handle(CanaryLease{Until: math.Inf(1)})
	id, _ := g.sendForTenant(nonIdempotentClass)
	for i := range maxRevokedAttempts {
		a := g.requireSend(g.handle(Outcome{Request: id, Attempt: i, Server: 1, Result: Failed, RouteRevoked: true}))
		if a.Server != 1 || g.b.byID[1].consecutiveErrors != 0 {
			t.Fatalf("after %d: %+v, %d errors", i+1, a, g.b.byID[1].consecutiveErrors)
		}
	}
	if acts := g.handle(Outcome{Request: id, Attempt: maxRevokedAttempts, Server: 1, Result: Failed, RouteRevoked: true}); hasAction(acts, Send) {
		t.Errorf("after the last: %+v", acts)
	}
	if g.b.byID[1].consecutiveErrors != 0 || g.b.byID[1].inFlight != 0 || g.b.requests[id].countedAttempts() != 1 {
		t.Errorf("%d errors, %d in flight", g.b.byID[1].consecutiveErrors, g.b.byID[1].inFlight)
	}
}

// Servers that warm up and have nothing left for now are no reason to use one that rests.
func TestRoutes_ejectedDuringSlowStart(t *testing.T) {
	g := newRoutedHarness(t, canaryRoute(0, 8))
	for _, s := range g.b.servers {
		s.slowStartAt, s.tokens, s.tokensAt = g.now, -100, g.now
	}
	g.b.byID[8].slowStartAt, g.b.byID[8].ejectedUntil = math.Inf(-1), math.Inf(1)
	if _, acts := g.sendRequest(idempotentClass); hasAction(acts, Send) {
		t.Errorf("%+v", acts)
	}
}

// A pick leaves nothing behind that another request sees.
func TestRoutes_pickSideEffects(t *testing.T) {
	w := canaryRoute(0.5, 1, 2)
	w.Base = Subset{Zones: []int{1}}
	g := newRoutedHarness(t, w)
	r := &request{class: &g.b.cfg.Classes[idempotentClass], stats: &g.b.demand.classes[idempotentClass], tenant: g.b.demand.tenant(0)}
	if n := testing.AllocsPerRun(100, func() { r.positionDrawn = false; g.b.pick(r, false) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
	g.b.picker.pool.weight = 321
	for i, s := range g.b.servers {
		s.running = float64(i)
	}
	g.b.pick(r, false)
	for i, s := range g.b.servers {
		if s.running != float64(i) || s.outsideGroup || g.b.picker.pool.weight != 321 || g.b.picker.alongRoute {
			t.Errorf("after a pick %+v, pool %v", s, g.b.picker.pool)
		}
	}
}

// The cost of a pick with and without a route, over as many servers as a busy sidecar has.
func BenchmarkPick(b *testing.B) {
	for name, routed := range map[string]bool{"off": false, "on": true} {
		b.Run(name, func(b *testing.B) {
			bal := mustNew(b, tenantConfig())
			bal.Handle(1000, ServerList{Kind: ListFull, Servers: identicalServers(100)})
			if routed {
				w := canaryRoute(0.1, 1, 2, 3, 4, 5)
				bal.Handle(1000, Routes{Rev: 1, List: []Route{w}})
				bal.Handle(1000, CanaryLease{Until: math.Inf(1)})
			}
			for i := range RequestID(b.N) {
				now := 1000 + float64(i)
				bal.Handle(now, Request{ID: i, Remaining: 1500})
				bal.Handle(now, Outcome{Request: i, Result: OK, Elapsed: 20, Finished: true})
			}
		})
	}
}
