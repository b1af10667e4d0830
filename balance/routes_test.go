package balance

import (
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func tenantsConfig() Config {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Allowance: 1, Quota: 0.5}, {Allowance: 1, Quota: 0.5}}
	cfg.Classes = append(cfg.Classes, Class{Idempotency: Idempotent, LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Stream: true})
	return cfg
}

const streamClass = zoneClass + 1

// canaryOf is a route of tenant 0 whose canary is these servers.
func canaryOf(share float64, ids ...ServerID) Route {
	return Route{Tenant: 0, Canary: Subset{IDs: ids}, CanaryFraction: share, ID: 9}
}

// routed begins with eight servers, a route and a permission.
func routed(t *testing.T, w Route) *rig {
	g := newRig(t, tenantsConfig(), fleet(8)...)
	g.do(Routes{Rev: 5, List: []Route{w}})
	g.do(CanaryLease{Until: math.Inf(1)})
	return g
}

// send brings a request of tenant 0 and returns its first attempt.
func (g *rig) send(class int) (RequestID, Action) {
	g.t.Helper()
	g.next++
	return g.next, g.mustSend(g.do(Request{ID: g.next, Class: class, Remaining: g.b.cfg.Classes[class].Deadline}))
}

func (g *rig) mustSend(acts []Action) Action {
	g.t.Helper()
	i := slices.IndexFunc(acts, func(a Action) bool { return a.Kind == Send })
	if i < 0 {
		g.t.Fatalf("nothing was sent: %+v", acts)
	}
	return acts[i]
}

func TestCanaryBudget_property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p CanaryBudget
		var told int64
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if free := p.Free(); p.Reserve() != (free > 0) {
					t.Fatalf("%d free: %+v", free, p)
				}
			case 1, 2:
				if p.Reserved > 0 {
					p.Settle(rapid.Bool().Draw(t, "failed"))
				}
			case 3: // late and repeated ones among them
				units := rapid.Int64Range(0, 20).Draw(t, "units")
				keep := rapid.Int64Range(0, 5).Draw(t, "keep")
				idle := max(told, units) - told + p.Free()
				told = max(told, units)
				if p.Grant(units, keep); p.Free() != min(idle, keep) {
					t.Fatalf("%d idle, %d to keep: %+v", idle, keep, p)
				}
			}
			if p.Free() < 0 || p.Reserved < 0 || p.Granted != told || p.Spent+p.Returned+p.Reserved > told {
				t.Fatalf("%+v after %d were granted", p, told)
			}
		}
	})
}

func TestRoutes_invalid(t *testing.T) {
	with := func(change func(*Route)) Routes {
		w := canaryOf(0.5, 1)
		change(&w)
		return Routes{Rev: 6, List: []Route{w}}
	}
	for want, ev := range map[string]Event{
		"Routes.Rev":                    Routes{List: []Route{canaryOf(0.5, 1)}},
		"Routes.List[0].Tenant":         with(func(w *Route) { w.Tenant = 2 }),
		"List[0].Tenant is -2":          with(func(w *Route) { w.Tenant = -2 }),
		"Routes.List[0].Classes":        with(func(w *Route) { w.Classes = []int{0, 6} }),
		"Classes has -1":                with(func(w *Route) { w.Classes = []int{-1} }),
		"CanaryFraction is NaN":         with(func(w *Route) { w.CanaryFraction = math.NaN() }),
		"CanaryFraction is 1.01":        with(func(w *Route) { w.CanaryFraction = 1.01 }),
		"Routes.List[0].CanaryFraction": with(func(w *Route) { w.CanaryFraction = -0.01 }),
		"Routes.List[1].Tenant":         Routes{Rev: 6, List: []Route{{Tenant: 1}, {Tenant: 1}}},
		"Routes.List[1].ID":             Routes{Rev: 6, List: []Route{canaryOf(0, 1), {Tenant: 1, ID: 9}}},
		"CanaryLease.Until":             CanaryLease{Until: math.NaN()},
		"BudgetGrant.ID":                BudgetGrant{Units: 1},
		"BudgetGrant.Units":             BudgetGrant{ID: 9, Units: -1},
		"BudgetGrant.MaxIdle":           BudgetGrant{ID: 9, Units: 1, MaxIdle: -1},
	} {
		w := canaryOf(1, 1)
		w.Budgeted = true
		g := routed(t, w)
		g.do(BudgetGrant{ID: 9, Units: 3, MaxIdle: 3})
		ways := g.b.routes
		if acts, err := g.b.Handle(g.now, ev); err == nil || !strings.Contains(err.Error(), want) || len(acts) > 0 {
			t.Errorf("%+v: error %v, want one of %q", ev, err, want)
		}
		if &g.b.routes[0] != &ways[0] || g.b.rev != 5 || g.b.CanaryBudgets()[0].Granted != 3 {
			t.Errorf("%+v changed the balancer", ev)
		}
		if _, a := g.send(safeClass); !a.ToCanary || a.RoutesRev != 5 || a.CanaryID != 9 {
			t.Errorf("%+v: then %+v", ev, a)
		}
	}
}

// A share grows, a key comes again at another process: who preferred the canary still does.
func TestRoutes_stableKeys(t *testing.T) {
	var rigs []*rig
	for seed := range uint64(3) {
		cfg := tenantsConfig()
		cfg.Seed, cfg.Number = seed, int(seed)
		rigs = append(rigs, newRig(t, cfg, fleet(8)...))
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
				g.b.canaryLease = math.Inf(1)
				w := canaryOf(share, 1)
				here := g.b.prefersCanary(&tenantRoute{Route: w}, &request{Request: r})
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
					cfg := tenantsConfig()
					cfg.Seed, cfg.Number = uint64(f), i
					b := mustNew(t, cfg)
					if _, err := b.Handle(1, Routes{Rev: 1, List: []Route{canaryOf(share, 1)}}); err != nil {
						t.Fatal(err)
					}
					b.canaryLease = math.Inf(1)
					for range n {
						r := &request{}
						first := b.prefersCanary(b.routeOf(r), r)
						if first {
							hits++
						}
						if again := b.prefersCanary(b.routeOf(r), r); again != first {
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
	all := fleet(8)
	list := func(state ServerState, ids ...ServerID) ServerList {
		l := slices.Clone(all)
		for _, id := range ids {
			l[id-1].State = state
		}
		return ServerList{Kind: ListFull, Servers: l}
	}
	rest := func(g *rig, ids ...ServerID) {
		for _, id := range ids {
			g.b.byID[id].ejectedUntil = g.now + 1e6
		}
	}
	others := []ServerID{3, 4, 5, 6, 7, 8}
	far := Subset{IDs: others}
	for name, c := range map[string]struct {
		share   float64
		trouble func(*rig)
		canary  bool
		to      []ServerID
	}{
		"sound":         {1, func(*rig) {}, true, []ServerID{1, 2}},
		"base":          {0, func(*rig) {}, false, []ServerID{3, 4}},
		"one drains":    {1, func(g *rig) { g.do(list(Draining, 1)) }, true, []ServerID{2}},
		"draining":      {1, func(g *rig) { g.do(list(Draining, 1, 2)) }, false, []ServerID{3, 4}},
		"gone":          {1, func(g *rig) { g.do(list(Gone, 1, 2)) }, false, []ServerID{3, 4}},
		"never there":   {1, func(g *rig) { g.do(ServerList{Kind: ListFull, Servers: all[4:]}) }, false, others[2:]},
		"resting":       {1, func(g *rig) { rest(g, 1, 2) }, false, []ServerID{3, 4}},
		"loaded":        {1, func(g *rig) { g.b.byID[1].inFlight, g.b.byID[2].inFlight = 9, 9 }, false, []ServerID{3, 4}},
		"base gone too": {1, func(g *rig) { g.do(list(Gone, 1, 2, 3, 4)) }, false, others[2:]},
		"base resting":  {0, func(g *rig) { rest(g, 3, 4) }, false, others[2:]},
		"canary left":   {0, func(g *rig) { rest(g, others...) }, false, []ServerID{1, 2}},
		"all rest":      {1, func(g *rig) { rest(g, 1, 2, 3, 4, 5, 6, 7, 8) }, false, []ServerID{3, 4}},
		"all loaded": {1, func(g *rig) {
			for _, s := range g.b.servers {
				s.inFlight = 9
			}
		}, true, []ServerID{1}}, // who holds least, of equals the first
		"base loaded": {0, func(g *rig) {
			for _, id := range others {
				g.b.byID[id].inFlight = 9
			}
		}, false, []ServerID{1, 2}},
		"base loaded, units spent": {0, func(g *rig) {
			w := canaryOf(0, 1, 2)
			w.Budgeted = true
			g.do(Routes{Rev: 6, List: []Route{w}})
			g.do(BudgetGrant{ID: 9, Units: 1, MaxIdle: 1})
			g.b.canaryBudget(9).Reserve()
			g.b.canaryBudget(9).Settle(true)
			for _, id := range others {
				g.b.byID[id].inFlight = 9
			}
		}, false, []ServerID{3}},
		"permission over": {1, func(g *rig) { g.do(CanaryLease{Until: g.now}) }, false, []ServerID{3, 4}},
		"no canary":       {1, func(g *rig) { g.do(Routes{Rev: 6, List: []Route{{Base: far}}}) }, false, others},
		"other class": {1, func(g *rig) {
			w := canaryOf(1, 1, 2)
			w.Classes = []int{unsafeClass}
			g.do(Routes{Rev: 6, List: []Route{w}})
		}, false, others},
	} {
		t.Run(name, func(t *testing.T) {
			w := canaryOf(c.share, 2, 1)
			w.Base = Subset{IDs: []ServerID{1, 3, 4}}
			g := routed(t, w)
			if c.trouble(g); name == "never there" {
				g.do(list(Gone, 1, 2, 3, 4))
			}
			seen := map[ServerID]bool{}
			for range 16 {
				before := g.b.servers[0].inFlight
				id, a := g.send(safeClass)
				if seen[a.Server] = true; a.ToCanary != c.canary {
					t.Errorf("to the canary: %v (%+v)", a.ToCanary, a)
				}
				permitted := name != "permission over"
				if permitted != (a.RoutesRev > 0) || (permitted && name != "no canary") != (a.CanaryID > 0) {
					t.Errorf("acts on %d of %d", a.CanaryID, a.RoutesRev)
				}
				g.answer(id, 0, NotSent, 0)
				g.do(ClientGone{Request: id})
				g.finish(id)
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
func (g *rig) finish(id RequestID) {
	for r := g.b.reqs[id]; r != nil && r.liveAttempts > 0; r = g.b.reqs[id] {
		g.answer(id, slices.IndexFunc(r.attempts, func(a attempt) bool { return a.live }), NotSent, 0)
	}
}

// A request stays on its side: the healthiest untried server of the canary, then of the base, then of the rest.
func TestRoutes_retryPlacement(t *testing.T) {
	w := canaryOf(1, 1, 2, 3)
	w.Base = Subset{IDs: []ServerID{4, 5}}
	g := routed(t, w)
	g.b.byID[2].consecutiveErrors, g.b.byID[2].lastErrorAt = 1, g.now
	g.b.byID[5].consecutiveErrors, g.b.byID[5].lastErrorAt = 1, g.now
	g.b.byID[1].inFlight = 20
	id, a := g.send(safeClass)
	if a.Server != 3 || !a.ToCanary {
		t.Fatalf("first to %+v", a)
	}
	g.b.byID[1].inFlight = 0
	for i, want := range []ServerID{1, 2, 4} {
		g.b.reqs[id].stats.n = 0
		if a = g.mustSend(g.answer(id, i, Rejected, 1)); a.Server != want || a.ToCanary != (want < 4) {
			t.Errorf("repeat %d: %+v, want %d", i+1, a, want)
		}
		if i == 1 { // the newest routes count
			g.do(Routes{Rev: 8, List: []Route{w}})
		}
	}
	if a.RoutesRev != 8 {
		t.Errorf("the last acts on %d", a.RoutesRev)
	}
}

// How an attempt may end, and what that costs: in a request's answer, in a stream, for a late one.
func TestCanaryBudget_attemptCost(t *testing.T) {
	end := func(res Result, took float64) func(*rig, RequestID) {
		return func(g *rig, id RequestID) { g.do(Outcome{Request: id, Result: res, Elapsed: took, Finished: true}) }
	}
	stream := func(took float64, res Result) func(*rig, RequestID) {
		return func(g *rig, id RequestID) {
			g.do(AnswerStarted{Request: id, Elapsed: took})
			if p := g.b.CanaryBudgets()[0]; p.Reserved != 1 || p.Spent != 0 {
				t.Errorf("as the answer begins: %+v", p)
			}
			end(res, took)(g, id)
		}
	}
	for _, late := range []bool{false, true} {
		for name, c := range map[string]struct {
			class  int
			end    func(*rig, RequestID)
			failed bool
		}{
			"good":            {safeClass, end(OK, 300), false},
			"late":            {safeClass, end(OK, 301), late},
			"failed":          {safeClass, end(Failed, 1), true},
			"full":            {safeClass, end(Rejected, 1), true},
			"timed out":       {safeClass, end(TimedOut, 1), true},
			"connect failed":  {safeClass, end(ConnectFailed, 1), true},
			"reset":           {safeClass, end(Reset, 1), true},
			"broken":          {safeClass, end(WriteFailed, 1), true},
			"moot":            {safeClass, end(NotSent, 1), false},
			"its client left": {safeClass, end(Cancelled, 1), false},
			"void": {safeClass, func(g *rig, id RequestID) {
				g.do(Outcome{Request: id, Result: Failed, RouteRevoked: true, Finished: true})
			}, false},
			"hung": {safeClass, func(g *rig, id RequestID) {
				g.now += 1500
				g.do(Timer{Token: uint64(id)})
				end(Cancelled, 1500)(g, id)
			}, true},
			"hung up, then gone": {safeClass, func(g *rig, id RequestID) {
				g.do(ClientGone{Request: id})
				end(Cancelled, 1500)(g, id)
			}, false},
			"left after the aim": {safeClass, func(g *rig, id RequestID) {
				g.now += 310
				g.do(ClientGone{Request: id})
				end(Cancelled, 310)(g, id)
			}, late},
			"left just before its time": {safeClass, func(g *rig, id RequestID) {
				g.now += 1400
				g.do(ClientGone{Request: id})
				end(Cancelled, 1400)(g, id)
			}, true},
			"the process ends": {safeClass, func(g *rig, id RequestID) {
				g.do(Shutdown{})
				end(Cancelled, 10)(g, id)
			}, false},
			"stream":             {streamClass, stream(300, OK), false},
			"stream begins late": {streamClass, stream(301, OK), late},
			"late, client left":  {streamClass, stream(301, Cancelled), late},
			"stream breaks":      {streamClass, stream(10, Reset), true},
			"stream, left":       {streamClass, stream(10, Cancelled), false},
		} {
			w := canaryOf(1, 1, 2)
			w.Budgeted, w.LateIsFailure = true, late
			g := routed(t, w)
			g.do(BudgetGrant{ID: 9, Units: 1, MaxIdle: 1})
			id, a := g.send(c.class)
			if _, b := g.send(c.class); !a.ToCanary || b.ToCanary || b.Server <= 2 {
				t.Fatalf("%s: one unit, sent as %+v and %+v", name, a, b)
			}
			if p := g.b.CanaryBudgets()[0]; p != (CanaryBudget{ID: 9, Granted: 1, Reserved: 1, Denied: 1}) {
				t.Errorf("%s: while it is out %+v", name, p)
			}
			c.end(g, id)
			want := CanaryBudget{ID: 9, Granted: 1, Denied: 1}
			if c.failed {
				want.Spent = 1
			}
			if p := g.b.CanaryBudgets()[0]; p != want {
				t.Errorf("%s, late answers fail %v: %+v, want %+v", name, late, p, want)
			}
			if !g.b.shutdown {
				if _, a := g.send(safeClass); a.ToCanary == c.failed {
					t.Errorf("%s: then %+v", name, a)
				}
			}
		}
	}
}

// A void attempt counts for nothing, three times; then as one that never began.
func TestRoutes_revokedAttempt(t *testing.T) {
	cfg := tenantsConfig()
	cfg.MaxAttempts = 2
	g := newRig(t, cfg, fleet(1)...)
	g.do(Routes{Rev: 5, List: []Route{canaryOf(1, 1)}})
	g.do(CanaryLease{Until: math.Inf(1)})
	id, _ := g.send(unsafeClass)
	for i := range maxRevokedAttempts {
		a := g.mustSend(g.do(Outcome{Request: id, Attempt: i, Server: 1, Result: Failed, RouteRevoked: true}))
		if a.Server != 1 || g.b.byID[1].consecutiveErrors != 0 {
			t.Fatalf("after %d: %+v, %d errors", i+1, a, g.b.byID[1].consecutiveErrors)
		}
	}
	if acts := g.do(Outcome{Request: id, Attempt: maxRevokedAttempts, Server: 1, Result: Failed, RouteRevoked: true}); has(acts, Send) {
		t.Errorf("after the last: %+v", acts)
	}
	if g.b.byID[1].consecutiveErrors != 0 || g.b.byID[1].inFlight != 0 || g.b.reqs[id].sends() != 1 {
		t.Errorf("%d errors, %d in flight", g.b.byID[1].consecutiveErrors, g.b.byID[1].inFlight)
	}
}

func TestCanaryBudget_endedRoutes(t *testing.T) {
	w := canaryOf(1, 1)
	w.Budgeted = true
	g := routed(t, w)
	g.do(BudgetGrant{ID: 9, Units: 4, MaxIdle: 4})
	id, _ := g.send(safeClass)
	g.do(Routes{Rev: 6})
	for i := range uint64(3 * maxEndedBudgets) {
		g.do(BudgetGrant{ID: 100 + i, Units: 1, MaxIdle: 1})
	}
	at := func() int {
		return slices.IndexFunc(g.b.CanaryBudgets(), func(p CanaryBudget) bool { return p.ID == 9 })
	}
	if all := g.b.CanaryBudgets(); len(all) != maxEndedBudgets+1 || at() != 0 || all[maxEndedBudgets].ID != 100+3*maxEndedBudgets-1 {
		t.Fatalf("%d purses: %+v", len(all), all)
	}
	g.answer(id, 0, Failed, 1)
	if p := g.b.CanaryBudgets()[at()]; p.Spent != 1 || p.Reserved != 0 {
		t.Errorf("after its route is gone: %+v", p)
	}
	g.do(Routes{Rev: 7, List: []Route{w}})
	if p := g.b.CanaryBudgets()[at()]; p.Spent != 1 || p.Granted != 4 {
		t.Errorf("its route is back: %+v", p)
	}
}

// anyRoutes draws what tenant 0 is told.
func anyRoutes(t *rapid.T) Event {
	server := rapid.Custom(func(t *rapid.T) ServerID { return ServerID(rapid.IntRange(1, 12).Draw(t, "server")) })
	subset := func(name string) Subset {
		return Subset{
			IDs:   rapid.SliceOfN(server, 0, 4).Draw(t, name),
			Zones: rapid.SliceOfN(rapid.IntRange(0, 2), 0, 2).Draw(t, name+" zones"),
		}
	}
	switch rapid.IntRange(0, 3).Draw(t, "told") {
	case 0:
		return CanaryLease{Until: rapid.Float64Range(0, 20000).Draw(t, "until")}
	case 1:
		return BudgetGrant{
			ID: rapid.Uint64Range(1, 3).Draw(t, "id"), Units: rapid.Int64Range(0, 30).Draw(t, "units"),
			MaxIdle: rapid.Int64Range(0, 5).Draw(t, "keep"),
		}
	}
	return Routes{Rev: rapid.Int64Range(1, 99).Draw(t, "rev"), List: []Route{{
		Classes: rapid.SliceOfN(rapid.IntRange(0, 5), 0, 2).Draw(t, "classes"), Base: subset("base"),
		Canary: subset("canary"), CanaryFraction: rapid.Float64Range(0, 1).Draw(t, "share"),
		ID: rapid.Uint64Range(0, 3).Draw(t, "id"), Budgeted: rapid.Bool().Draw(t, "purse"), LateIsFailure: rapid.Bool().Draw(t, "late"),
	}}}
}

// One tenant's routes, purse and permission change no pick of another's: two balancers are told different things of
// tenant 0, and the same of tenant 1, whose answers are the same. Tenant 0 has requests, too, in half of the runs.
func TestRoutes_tenantIsolation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := tenantsConfig()
		cfg.Seed = rapid.Uint64().Draw(rt, "seed")
		both := [2]*Balancer{mustNew(t, cfg), mustNew(t, cfg)}
		now, next := 1000.0, RequestID(0)
		tell := func(b *Balancer, ev Event) []Action {
			acts, err := b.Handle(now, ev)
			if err != nil {
				rt.Fatalf("%+v: %v", ev, err)
			}
			return slices.Clone(acts)
		}
		servers := fleet(12)
		own := Route{Tenant: 1, Base: Subset{Zones: []int{1}}, Canary: Subset{Zones: []int{2}}, CanaryFraction: 0.3, ID: 77}
		for _, b := range both {
			b.Start(now)
			tell(b, ServerList{Kind: ListFull, Servers: servers})
		}
		busy := rapid.Bool().Draw(rt, "tenant 0 asks")
		routedToo := rapid.Bool().Draw(rt, "tenant 1 has a route")
		other := func(b *Balancer, ev Event) { // the own route stays as it is, and the permission with it
			r, isRoutes := ev.(Routes)
			if p, isPermit := ev.(CanaryLease); isPermit && routedToo {
				p.Until = math.Inf(1)
				ev = p
			}
			if isRoutes && routedToo {
				r.Rev, r.List = 5, append(r.List, own)
				ev = r
			}
			tell(b, ev)
		}
		for _, b := range both {
			other(b, Routes{Rev: 5, List: []Route{canaryOf(0, 1)}})
			other(b, CanaryLease{Until: 1e9})
		}
		for range rapid.IntRange(10, 60).Draw(rt, "events") {
			now += rapid.Float64Range(0, 50).Draw(rt, "pause")
			for _, b := range both {
				if rapid.Bool().Draw(rt, "tell") {
					other(b, anyRoutes(rt))
				}
			}
			class := rapid.IntRange(0, zoneClass).Draw(rt, "class")
			if next++; busy {
				for _, b := range both {
					tell(b, Request{ID: next, Class: class, Remaining: 500})
					if b.reqs[next].liveAttempts == 1 {
						tell(b, Outcome{Request: next, Result: NotSent, Finished: true})
					}
				}
				next++
			}
			res := rapid.SampledFrom([]Result{OK, OK, OK, Failed, Rejected, Cancelled}).Draw(rt, "result")
			for attempt := -1; attempt < 3; attempt++ {
				var acts [2][]Action
				for i, b := range both {
					if attempt < 0 {
						acts[i] = tell(b, Request{ID: next, Class: class, Tenant: 1, Remaining: 500})
					} else {
						acts[i] = tell(b, Outcome{
							Request: next, Attempt: attempt, Result: res, Elapsed: 40, Finished: attempt == 2 || res == OK,
						})
					}
				}
				if !slices.EqualFunc(acts[0], acts[1], func(a, b Action) bool {
					return a.Kind == b.Kind && a.Server == b.Server && a.At == b.At && a.RoutesRev == b.RoutesRev && a.ToCanary == b.ToCanary
				}) {
					rt.Fatalf("tenant 1 got %+v and %+v", acts[0], acts[1])
				}
				if !has(acts[0], Send) {
					break
				}
			}
		}
	})
}

// named tells whether a subset, as anyRoutes draws it, has a server.
func named(u Subset, s *server) bool {
	return (len(u.IDs) == 0 || slices.Contains(u.IDs, s.ID)) && (len(u.Zones) == 0 || slices.Contains(u.Zones, s.Zone))
}

// Whatever happens in whatever order: an attempt to a canary is permitted, of a class and a server that the newest
// routes name, and has a unit; what is out and spent is what the attempts say; a request gets its answer.
func TestRoutes_property(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := tenantsConfig()
		cfg.Seed, cfg.MaxAttempts = rapid.Uint64().Draw(rt, "seed"), 3
		g := newRig(t, cfg, fleet(12)...)
		type out struct {
			id      RequestID
			attempt int
			server  ServerID
			purse   uint64
		}
		var live []out
		var routes Routes
		permit := 0.0
		tries := map[RequestID]int{}
		took := func(before map[uint64]CanaryBudget, acts []Action) {
			for _, a := range acts {
				if a.Kind != Send {
					continue
				}
				o := out{id: a.Request, attempt: tries[a.Request], server: a.Server}
				tries[a.Request]++
				if s := g.b.byID[a.Server]; s == nil || s.State != Ready {
					rt.Fatalf("sent to server %d", a.Server)
				}
				permitted := g.now < permit && len(routes.List) > 0
				if (a.RoutesRev != 0) != permitted || permitted && (a.RoutesRev != routes.Rev || a.CanaryID != routes.List[0].ID) {
					rt.Fatalf("%+v under %+v, permitted %v", a, routes, permitted)
				}
				if a.ToCanary {
					w := routes.List[0]
					r := g.b.reqs[a.Request]
					if !permitted || w.ID == 0 || w.CanaryFraction == 0 || !named(w.Canary, g.b.byID[a.Server]) ||
						len(w.Classes) > 0 && !slices.Contains(w.Classes, r.Class) {
						rt.Fatalf("%+v under %+v", a, routes)
					}
					if w.Budgeted {
						if p := before[w.ID]; p.Free() <= 0 {
							rt.Fatalf("no unit is free: %+v", p)
						}
						o.purse = w.ID
					}
				}
				live = append(live, o)
			}
		}
		purses := func() map[uint64]CanaryBudget {
			all := map[uint64]CanaryBudget{}
			for _, p := range g.b.CanaryBudgets() {
				all[p.ID] = p
			}
			return all
		}
		for range rapid.IntRange(20, 120).Draw(rt, "events") {
			g.now += rapid.Float64Range(0, 100).Draw(rt, "pause")
			before := purses()
			switch k := rapid.IntRange(0, 9).Draw(rt, "event"); {
			case k < 4:
				class := rapid.IntRange(0, zoneClass).Draw(rt, "class")
				g.next++
				took(before, g.do(Request{ID: g.next, Class: class, Remaining: 1e6}))
			case k < 8 && len(live) > 0:
				i := rapid.IntRange(0, len(live)-1).Draw(rt, "which")
				o := live[i]
				live = slices.Delete(live, i, i+1)
				ev := Outcome{
					Request: o.id, Attempt: o.attempt, Server: o.server, Elapsed: 40,
					Result:       Result(rapid.IntRange(0, int(WriteFailed)).Draw(rt, "result")),
					RouteRevoked: rapid.IntRange(0, 3).Draw(rt, "void") == 0,
				}
				ev.Finished = ev.Result == OK && !ev.RouteRevoked
				p := before[o.purse]
				p.Settle(!ev.RouteRevoked && ev.Result != OK && ev.Result != Cancelled && ev.Result != NotSent)
				before[o.purse] = p
				acts := g.do(ev)
				took(before, acts)
				if after, ok := purses()[o.purse]; o.purse > 0 && (!ok || after.Spent != p.Spent) {
					rt.Fatalf("%+v: %+v, not %+v", ev, after, p)
				}
			case k == 8:
				servers := fleet(12)
				for i := range servers {
					servers[i].State = ServerState(rapid.IntRange(0, 5).Draw(rt, "state") / 4)
				}
				g.do(ServerList{Kind: ListFull, Servers: servers})
			default:
				switch ev := anyRoutes(rt).(type) {
				case Routes:
					if routes = ev; rapid.IntRange(0, 4).Draw(rt, "none") == 0 {
						routes.List = nil
					}
					g.do(routes)
				case CanaryLease:
					permit = ev.Until
					g.do(ev)
				default:
					g.do(ev)
				}
			}
			units := map[uint64]int64{}
			for _, o := range live {
				units[o.purse]++
			}
			for id, p := range purses() {
				if p.Free() < 0 || p.Reserved != units[id] || p.Spent+p.Returned+p.Reserved > p.Granted {
					rt.Fatalf("%+v with %d out", p, units[id])
				}
			}
		}
	})
}

// A route that all sidecars follow to one cold server at once pushes it over no more than the ordinary way does.
func TestSlowStart_routedFleet(t *testing.T) {
	const sidecars, servers, gap = 120, 30, 250.0
	cfg := tenantsConfig()
	all := fleet(servers)
	all[0].StartedAt = 1000
	var rigs []*rig
	for i := range sidecars {
		cfg.Seed, cfg.Number = uint64(i), i
		g := newRig(t, cfg, all[1:]...)
		for _, s := range g.b.servers {
			s.rank = g.b.rank(s)
		}
		g.do(CanaryLease{Until: math.Inf(1)})
		g.do(Routes{Rev: 1, List: []Route{canaryOf(1, 1)}})
		rigs = append(rigs, g)
	}
	sent := make([]int, 20) // a second each
	for now := 1000.0; now < 21000; now += gap {
		for i, g := range rigs {
			g.now = now + gap*float64(i)/sidecars
			if now == 1000 {
				g.do(ServerList{Kind: ListFull, Servers: all})
			}
			id, a := g.send(safeClass)
			if a.Server == 1 {
				sent[int((now-1000)/1000)]++
			}
			g.answer(id, 0, OK, 20)
		}
	}
	for at, n := range sent {
		warmth := cfg.SlowStartCapacity + (1-cfg.SlowStartCapacity)*float64(at+1)*1000/cfg.SlowStartTime
		if fair := sidecars * 1000 / gap / servers * warmth; float64(n) > cfg.OverloadMultiple*fair {
			t.Errorf("second %d: %d requests, its part is %.1f", at, n, fair)
		}
	}
	t.Logf("sent in each second: %v", sent)
}

// Servers that warm up and have nothing left for now are no reason to use one that rests.
func TestRoutes_ejectedDuringSlowStart(t *testing.T) {
	g := routed(t, canaryOf(0, 8))
	for _, s := range g.b.servers {
		s.slowStartAt, s.tokens, s.tokensAt = g.now, -100, g.now
	}
	g.b.byID[8].slowStartAt, g.b.byID[8].ejectedUntil = math.Inf(-1), math.Inf(1)
	if _, acts := g.ask(safeClass); has(acts, Send) {
		t.Errorf("%+v", acts)
	}
}

// A pick leaves nothing behind that another request sees.
func TestRoutes_pickSideEffects(t *testing.T) {
	w := canaryOf(0.5, 1, 2)
	w.Base = Subset{Zones: []int{1}}
	g := routed(t, w)
	r := &request{class: &g.b.cfg.Classes[safeClass], stats: &g.b.classes[safeClass], tenant: g.b.tenant(0)}
	if n := testing.AllocsPerRun(100, func() { r.placeDrawn = false; g.b.pick(r, false) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
	g.b.pool.weight = 321
	for i, s := range g.b.servers {
		s.running = float64(i)
	}
	g.b.pick(r, false)
	for i, s := range g.b.servers {
		if s.running != float64(i) || s.outsideGroup || g.b.pool.weight != 321 || g.b.pickingAlongRoute {
			t.Errorf("after a pick %+v, pool %v", s, g.b.pool)
		}
	}
}

// The cost of a pick with and without a route, over as many servers as a busy sidecar has.
func BenchmarkPick(b *testing.B) {
	for name, routed := range map[string]bool{"off": false, "on": true} {
		b.Run(name, func(b *testing.B) {
			bal := mustNew(b, tenantsConfig())
			bal.Handle(1000, ServerList{Kind: ListFull, Servers: fleet(100)})
			if routed {
				w := canaryOf(0.1, 1, 2, 3, 4, 5)
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
