package balance

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawRouteEvent draws a lease, a grant or a route of tenant 0.
func drawRouteEvent(t *rapid.T) Event {
	server := rapid.Custom(func(t *rapid.T) ServerID { return ServerID(rapid.IntRange(1, 12).Draw(t, "server")) })
	subset := func(name string) Subset {
		return Subset{
			IDs:   rapid.SliceOfN(server, 0, 4).Draw(t, name),
			Zones: rapid.SliceOfN(rapid.IntRange(0, 2), 0, 2).Draw(t, name+" zones"),
		}
	}
	switch rapid.IntRange(0, 3).Draw(t, "event kind") {
	case 0:
		return CanaryLease{Until: rapid.Float64Range(0, 20000).Draw(t, "until")}
	case 1:
		return BudgetGrant{
			ID: rapid.Uint64Range(1, 3).Draw(t, "id"), Units: rapid.Int64Range(0, 30).Draw(t, "units"),
			MaxIdle: rapid.Int64Range(0, 5).Draw(t, "max idle"),
		}
	}
	return Routes{Rev: rapid.Int64Range(1, 99).Draw(t, "rev"), List: []Route{{
		Classes: rapid.SliceOfN(rapid.IntRange(0, 5), 0, 2).Draw(t, "classes"), Base: subset("base"),
		Canary: subset("canary"), CanaryFraction: rapid.Float64Range(0, 1).Draw(t, "fraction"),
		ID: rapid.Uint64Range(0, 3).Draw(t, "id"), Budgeted: rapid.Bool().Draw(t, "budgeted"), LateIsFailure: rapid.Bool().Draw(t, "late"),
	}}}
}

// tenantPair is two balancers that get different events for tenant 0 and the same requests of tenant 1.
type tenantPair struct {
	rt        *rapid.T
	balancers [2]*Balancer
	now       float64
	lastID    RequestID
	routed    bool // tenant 1 has a route of its own
}

// Routes, budget and lease of one tenant change no pick of another. Two balancers get different events for tenant 0
// and the same requests of tenant 1, whose actions are equal. In half of the runs tenant 0 has requests as well.
func TestRoutes_tenantIsolation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := tenantConfig()
		cfg.Seed = rapid.Uint64().Draw(rt, "seed")
		pair := &tenantPair{rt: rt, balancers: [2]*Balancer{mustNew(t, cfg), mustNew(t, cfg)}, now: 1000}
		servers := identicalServers(12)
		for _, b := range pair.balancers {
			b.Start(pair.now)
			pair.handle(b, ServerList{Kind: ListFull, Servers: servers})
		}
		busy := rapid.Bool().Draw(rt, "tenant 0 has requests")
		pair.routed = rapid.Bool().Draw(rt, "tenant 1 has a route")
		for _, b := range pair.balancers {
			pair.sendRouteEvent(b, Routes{Rev: 5, List: []Route{canaryRoute(0, 1)}})
			pair.sendRouteEvent(b, CanaryLease{Until: 1e9})
		}
		for range rapid.IntRange(10, 60).Draw(rt, "events") {
			pair.now += rapid.Float64Range(0, 50).Draw(rt, "pause")
			for _, b := range pair.balancers {
				if rapid.Bool().Draw(rt, "event") {
					pair.sendRouteEvent(b, drawRouteEvent(rt))
				}
			}
			class := rapid.IntRange(0, zoneKeyClass).Draw(rt, "class")
			if busy {
				pair.requestOfTenant0(class)
			}
			pair.compareTenant1(class)
		}
	})
}

// handle brings an event to one balancer.
func (p *tenantPair) handle(b *Balancer, ev Event) []Action {
	acts, err := b.Handle(p.now, ev)
	if err != nil {
		p.rt.Fatalf("%+v: %v", ev, err)
	}
	return slices.Clone(acts)
}

// sendRouteEvent brings an event for tenant 0. Tenant 1 keeps its own route and a lease, if it has a route.
func (p *tenantPair) sendRouteEvent(b *Balancer, ev Event) {
	if p.routed {
		switch e := ev.(type) {
		case CanaryLease:
			e.Until = math.Inf(1)
			ev = e
		case Routes:
			own := Route{
				Tenant: 1, Base: Subset{Zones: []int{1}}, Canary: Subset{Zones: []int{2}}, CanaryFraction: 0.3, ID: 77,
			}
			e.Rev, e.List = 5, append(e.List, own)
			ev = e
		}
	}
	p.handle(b, ev)
}

// requestOfTenant0 brings a request of tenant 0 to both, which is not sent.
func (p *tenantPair) requestOfTenant0(class int) {
	p.lastID++
	for _, b := range p.balancers {
		p.handle(b, Request{ID: p.lastID, Class: class, Remaining: 500})
		if b.requests[p.lastID].liveAttempts == 1 {
			p.handle(b, Outcome{Request: p.lastID, Result: NotSent, Finished: true})
		}
	}
}

// compareTenant1 brings a request of tenant 1 to both, ends its attempts, and compares the actions.
func (p *tenantPair) compareTenant1(class int) {
	p.lastID++
	result := rapid.SampledFrom([]Result{OK, OK, OK, Failed, Rejected, Cancelled}).Draw(p.rt, "result")
	for attempt := -1; attempt < 3; attempt++ {
		var acts [2][]Action
		for i, b := range p.balancers {
			if attempt < 0 {
				acts[i] = p.handle(b, Request{ID: p.lastID, Class: class, Tenant: 1, Remaining: 500})
			} else {
				acts[i] = p.handle(b, Outcome{
					Request: p.lastID, Attempt: attempt, Result: result, Elapsed: 40, Finished: attempt == 2 || result == OK,
				})
			}
		}
		if !slices.EqualFunc(acts[0], acts[1], equalPlacement) {
			p.rt.Fatalf("tenant 1 got %+v and %+v", acts[0], acts[1])
		}
		if !hasAction(acts[0], Send) {
			break
		}
	}
}

// equalPlacement reports whether two actions do the same with a request.
func equalPlacement(a, b Action) bool {
	return a.Kind == b.Kind && a.Server == b.Server && a.At == b.At && a.RoutesRev == b.RoutesRev && a.ToCanary == b.ToCanary
}

// subsetContains reports whether a subset, as drawRouteEvent draws it, contains a server.
func subsetContains(subset Subset, s *server) bool {
	return (len(subset.IDs) == 0 || slices.Contains(subset.IDs, s.ID)) && (len(subset.Zones) == 0 || slices.Contains(subset.Zones, s.Zone))
}

// routeSimulation plays random events of routes, and checks each attempt and all budgets.
type routeSimulation struct {
	rt         *rapid.T
	h          *harness
	routes     Routes
	leaseUntil float64
	inFlight   []routedAttempt
	attempts   map[RequestID]int
}

// routedAttempt is a pending attempt; budget is 0 if it holds no unit.
type routedAttempt struct {
	id      RequestID
	attempt int
	server  ServerID
	budget  uint64
}

// For any order of events: an attempt to a canary has a lease, a class and server that the newest route names, and a
// unit of the budget. Reserved and spent units are those of the attempts.
func TestRoutes_property(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := tenantConfig()
		cfg.Seed, cfg.MaxAttempts = rapid.Uint64().Draw(rt, "seed"), 3
		sim := &routeSimulation{
			rt: rt, h: newHarness(t, cfg, identicalServers(12)...), attempts: map[RequestID]int{},
		}
		for range rapid.IntRange(20, 120).Draw(rt, "events") {
			sim.h.now += rapid.Float64Range(0, 100).Draw(rt, "pause")
			sim.randomEvent()
			sim.checkBudgets()
		}
	})
}

// randomEvent brings a request, an outcome, a list, or an event of routes.
func (sim *routeSimulation) randomEvent() {
	before := sim.budgets()
	switch k := rapid.IntRange(0, 9).Draw(sim.rt, "event"); {
	case k < 4:
		class := rapid.IntRange(0, zoneKeyClass).Draw(sim.rt, "class")
		sim.h.lastID++
		sim.checkSends(before, sim.h.handle(Request{ID: sim.h.lastID, Class: class, Remaining: 1e6}))
	case k < 8 && len(sim.inFlight) > 0:
		sim.endAttempt(before)
	case k == 8:
		servers := identicalServers(12)
		for i := range servers {
			servers[i].State = ServerState(rapid.IntRange(0, 5).Draw(sim.rt, "state") / 4)
		}
		sim.h.handle(ServerList{Kind: ListFull, Servers: servers})
	default:
		sim.sendRouteEvent()
	}
}

// endAttempt ends a pending attempt, and checks what that costs its budget.
func (sim *routeSimulation) endAttempt(before map[uint64]CanaryBudget) {
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(sim.rt, "which")
	a := sim.inFlight[i]
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	ev := Outcome{
		Request: a.id, Attempt: a.attempt, Server: a.server, Elapsed: 40,
		Result:       Result(rapid.IntRange(0, int(WriteFailed)).Draw(sim.rt, "result")),
		RouteRevoked: rapid.IntRange(0, 3).Draw(sim.rt, "revoked") == 0,
	}
	ev.Finished = ev.Result == OK && !ev.RouteRevoked
	budget := before[a.budget]
	budget.Settle(!ev.RouteRevoked && ev.Result != OK && ev.Result != Cancelled && ev.Result != NotSent)
	before[a.budget] = budget
	sim.checkSends(before, sim.h.handle(ev))
	if after, ok := sim.budgets()[a.budget]; a.budget > 0 && (!ok || after.Spent != budget.Spent) {
		sim.rt.Fatalf("%+v: %+v, want %+v", ev, after, budget)
	}
}

// sendRouteEvent brings routes, possibly none, a lease or a grant.
func (sim *routeSimulation) sendRouteEvent() {
	switch ev := drawRouteEvent(sim.rt).(type) {
	case Routes:
		if sim.routes = ev; rapid.IntRange(0, 4).Draw(sim.rt, "none") == 0 {
			sim.routes.List = nil
		}
		sim.h.handle(sim.routes)
	case CanaryLease:
		sim.leaseUntil = ev.Until
		sim.h.handle(ev)
	default:
		sim.h.handle(ev)
	}
}

// checkSends checks the attempts among the actions against the routes, and notes them.
func (sim *routeSimulation) checkSends(before map[uint64]CanaryBudget, acts []Action) {
	for _, a := range acts {
		if a.Kind != Send {
			continue
		}
		sent := routedAttempt{id: a.Request, attempt: sim.attempts[a.Request], server: a.Server}
		sim.attempts[a.Request]++
		if s := sim.h.b.byID[a.Server]; s == nil || s.State != Ready {
			sim.rt.Fatalf("sent to server %d", a.Server)
		}
		leaseHeld := sim.h.now < sim.leaseUntil && len(sim.routes.List) > 0
		if (a.RoutesRev != 0) != leaseHeld ||
			leaseHeld && (a.RoutesRev != sim.routes.Rev || a.CanaryID != sim.routes.List[0].ID) {
			sim.rt.Fatalf("%+v under %+v, lease held %v", a, sim.routes, leaseHeld)
		}
		if a.ToCanary {
			sent.budget = sim.checkCanary(before, a, leaseHeld)
		}
		sim.inFlight = append(sim.inFlight, sent)
	}
}

// checkCanary checks an attempt to the canary, and returns the budget of which it holds a unit, if any.
func (sim *routeSimulation) checkCanary(before map[uint64]CanaryBudget, a Action, leaseHeld bool) (budget uint64) {
	if !leaseHeld {
		sim.rt.Fatalf("%+v under %+v", a, sim.routes)
	}
	route, r := sim.routes.List[0], sim.h.b.requests[a.Request]
	if route.ID == 0 || route.CanaryFraction == 0 || !subsetContains(route.Canary, sim.h.b.byID[a.Server]) ||
		len(route.Classes) > 0 && !slices.Contains(route.Classes, r.Class) {
		sim.rt.Fatalf("%+v under %+v", a, sim.routes)
	}
	if !route.Budgeted {
		return 0
	}
	if b := before[route.ID]; b.Free() <= 0 {
		sim.rt.Fatalf("no unit is free: %+v", b)
	}
	return route.ID
}

// budgets returns the budgets of all canaries by ID.
func (sim *routeSimulation) budgets() map[uint64]CanaryBudget {
	all := map[uint64]CanaryBudget{}
	for _, budget := range sim.h.b.CanaryBudgets() {
		all[budget.ID] = budget
	}
	return all
}

// checkBudgets checks that reserved units are those of the pending attempts, and that no budget is overdrawn.
func (sim *routeSimulation) checkBudgets() {
	units := map[uint64]int64{}
	for _, a := range sim.inFlight {
		units[a.budget]++
	}
	for id, budget := range sim.budgets() {
		if budget.Free() < 0 || budget.Reserved != units[id] || budget.Spent+budget.Returned+budget.Reserved > budget.Granted {
			sim.rt.Fatalf("%+v with %d in flight", budget, units[id])
		}
	}
}
