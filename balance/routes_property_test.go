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

// tenantPair holds two balancers that get different route events for tenant 0 and the same requests of tenant 1.
type tenantPair struct {
	rt        *rapid.T
	balancers [2]*Balancer
	now       float64
	lastID    RequestID
	routed    bool // tenant 1 has a route of its own
}

// The routes, budget and lease of one tenant change no pick for another tenant. Two balancers get different route events
// for tenant 0 and the same requests of tenant 1, for which their actions must be equal. In some runs tenant 0 has
// requests as well.
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

// handle sends an event to one balancer.
func (p *tenantPair) handle(b *Balancer, ev Event) []Action {
	actions, err := b.Handle(p.now, ev)
	if err != nil {
		p.rt.Fatalf("%+v: %v", ev, err)
	}
	return slices.Clone(actions)
}

// sendRouteEvent sends an event for tenant 0. If tenant 1 has a route, it keeps that and a lease.
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

// requestOfTenant0 sends a request of tenant 0 to both balancers and ends its attempt as not sent.
func (p *tenantPair) requestOfTenant0(class int) {
	p.lastID++
	for _, b := range p.balancers {
		p.handle(b, Request{ID: p.lastID, Class: class, Remaining: 500})
		if b.requests[p.lastID].liveAttempts == 1 {
			p.handle(b, Outcome{Request: p.lastID, Result: NotSent, Finished: true})
		}
	}
}

// compareTenant1 sends a request of tenant 1 to both balancers, ends its attempts and compares the actions.
func (p *tenantPair) compareTenant1(class int) {
	p.lastID++
	result := rapid.SampledFrom([]Result{OK, OK, OK, Failed, Rejected, Cancelled}).Draw(p.rt, "result")
	for attempt := -1; attempt < 3; attempt++ {
		var actions [2][]Action
		for i, b := range p.balancers {
			if attempt < 0 {
				actions[i] = p.handle(b, Request{ID: p.lastID, Class: class, Tenant: 1, Remaining: 500})
			} else {
				actions[i] = p.handle(b, Outcome{
					Request: p.lastID, Attempt: attempt, Result: result, Elapsed: 40, Finished: attempt == 2 || result == OK,
				})
			}
		}
		if !slices.EqualFunc(actions[0], actions[1], equalPlacement) {
			p.rt.Fatalf("different actions for tenant 1: %+v and %+v", actions[0], actions[1])
		}
		if !hasAction(actions[0], Send) {
			break
		}
	}
}

// equalPlacement reports whether two actions are equal in kind, server, time and route.
func equalPlacement(a, b Action) bool {
	return a.Kind == b.Kind && a.Server == b.Server && a.At == b.At && a.RoutesRev == b.RoutesRev && a.ToCanary == b.ToCanary
}

// subsetContains reports whether a subset, as drawRouteEvent draws it, contains a server.
func subsetContains(subset Subset, s *server) bool {
	return (len(subset.IDs) == 0 || slices.Contains(subset.IDs, s.ID)) && (len(subset.Zones) == 0 || slices.Contains(subset.Zones, s.Zone))
}

// routeSimulation sends random events about routes to a balancer, and checks each attempt and all budgets.
type routeSimulation struct {
	rt         *rapid.T
	h          *harness
	routes     Routes
	leaseUntil float64
	inFlight   []routedAttempt
	attempts   map[RequestID]int
}

// routedAttempt is an attempt in flight. budget is the canary whose unit it has reserved, 0 if none.
type routedAttempt struct {
	id      RequestID
	attempt int
	server  ServerID
	budget  uint64
}

// For any order of events, an attempt to a canary has a lease, a class and a server that the current route allows, and a
// unit of the budget. The reserved and spent units match the attempts.
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

// randomEvent sends a request, an outcome, a list or a route event.
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

// endAttempt ends an attempt in flight and checks whether that spends a unit of its budget.
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
		sim.rt.Fatalf("%+v: budget %+v, want %+v", ev, after, budget)
	}
}

// sendRouteEvent sends routes (possibly none), a lease or a grant.
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

// checkSends checks the Send actions against the routes and records the attempts.
func (sim *routeSimulation) checkSends(before map[uint64]CanaryBudget, actions []Action) {
	for _, a := range actions {
		if a.Kind != Send {
			continue
		}
		sent := routedAttempt{id: a.Request, attempt: sim.attempts[a.Request], server: a.Server}
		sim.attempts[a.Request]++
		if s := sim.h.b.byID[a.Server]; s == nil || s.State != Ready {
			sim.rt.Fatalf("sent to server %d, which is not ready", a.Server)
		}
		leaseValid := sim.h.now < sim.leaseUntil && len(sim.routes.List) > 0
		if (a.RoutesRev != 0) != leaseValid ||
			leaseValid && (a.RoutesRev != sim.routes.Rev || a.CanaryID != sim.routes.List[0].ID) {
			sim.rt.Fatalf("%+v with routes %+v, lease valid %v", a, sim.routes, leaseValid)
		}
		if a.ToCanary {
			sent.budget = sim.checkCanary(before, a, leaseValid)
		}
		sim.inFlight = append(sim.inFlight, sent)
	}
}

// checkCanary checks an attempt to the canary and returns the ID of the budget whose unit it has reserved, 0 if none.
func (sim *routeSimulation) checkCanary(before map[uint64]CanaryBudget, a Action, leaseValid bool) (budget uint64) {
	if !leaseValid {
		sim.rt.Fatalf("attempt to the canary not allowed: %+v with routes %+v", a, sim.routes)
	}
	route, r := sim.routes.List[0], sim.h.b.requests[a.Request]
	if route.ID == 0 || route.CanaryFraction == 0 || !subsetContains(route.Canary, sim.h.b.byID[a.Server]) ||
		len(route.Classes) > 0 && !slices.Contains(route.Classes, r.Class) {
		sim.rt.Fatalf("attempt to the canary not allowed: %+v with routes %+v", a, sim.routes)
	}
	if !route.Budgeted {
		return 0
	}
	if b := before[route.ID]; b.Free() <= 0 {
		sim.rt.Fatalf("attempt to the canary without a free unit: %+v", b)
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

// checkBudgets checks that the reserved units match the attempts in flight, and that no budget is overdrawn.
func (sim *routeSimulation) checkBudgets() {
	units := map[uint64]int64{}
	for _, a := range sim.inFlight {
		units[a.budget]++
	}
	for id, budget := range sim.budgets() {
		if budget.Free() < 0 || budget.Reserved != units[id] || budget.Spent+budget.Returned+budget.Reserved > budget.Granted {
			sim.rt.Fatalf("%+v with %d attempts in flight", budget, units[id])
		}
	}
}
