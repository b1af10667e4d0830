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

// Routes, budget and lease of one tenant change no pick of another. Two balancers get different events for tenant 0
// and the same requests of tenant 1, whose actions are equal. In half of the runs tenant 0 has requests as well.
func TestRoutes_tenantIsolation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := tenantConfig()
		cfg.Seed = rapid.Uint64().Draw(rt, "seed")
		both := [2]*Balancer{mustNew(t, cfg), mustNew(t, cfg)}
		now, next := 1000.0, RequestID(0)
		handle := func(b *Balancer, ev Event) []Action {
			acts, err := b.Handle(now, ev)
			if err != nil {
				rt.Fatalf("%+v: %v", ev, err)
			}
			return slices.Clone(acts)
		}
		servers := identicalServers(12)
		own := Route{Tenant: 1, Base: Subset{Zones: []int{1}}, Canary: Subset{Zones: []int{2}}, CanaryFraction: 0.3, ID: 77}
		for _, b := range both {
			b.Start(now)
			handle(b, ServerList{Kind: ListFull, Servers: servers})
		}
		busy := rapid.Bool().Draw(rt, "tenant 0 has requests")
		routedToo := rapid.Bool().Draw(rt, "tenant 1 has a route")
		other := func(b *Balancer, ev Event) { // tenant 1's own route and lease stay
			routes, isRoutes := ev.(Routes)
			if lease, isLease := ev.(CanaryLease); isLease && routedToo {
				lease.Until = math.Inf(1)
				ev = lease
			}
			if isRoutes && routedToo {
				routes.Rev, routes.List = 5, append(routes.List, own)
				ev = routes
			}
			handle(b, ev)
		}
		for _, b := range both {
			other(b, Routes{Rev: 5, List: []Route{canaryRoute(0, 1)}})
			other(b, CanaryLease{Until: 1e9})
		}
		for range rapid.IntRange(10, 60).Draw(rt, "events") {
			now += rapid.Float64Range(0, 50).Draw(rt, "pause")
			for _, b := range both {
				if rapid.Bool().Draw(rt, "event") {
					other(b, drawRouteEvent(rt))
				}
			}
			class := rapid.IntRange(0, zoneKeyClass).Draw(rt, "class")
			if next++; busy {
				for _, b := range both {
					handle(b, Request{ID: next, Class: class, Remaining: 500})
					if b.requests[next].liveAttempts == 1 {
						handle(b, Outcome{Request: next, Result: NotSent, Finished: true})
					}
				}
				next++
			}
			res := rapid.SampledFrom([]Result{OK, OK, OK, Failed, Rejected, Cancelled}).Draw(rt, "result")
			for attempt := -1; attempt < 3; attempt++ {
				var acts [2][]Action
				for i, b := range both {
					if attempt < 0 {
						acts[i] = handle(b, Request{ID: next, Class: class, Tenant: 1, Remaining: 500})
					} else {
						acts[i] = handle(b, Outcome{
							Request: next, Attempt: attempt, Result: res, Elapsed: 40, Finished: attempt == 2 || res == OK,
						})
					}
				}
				if !slices.EqualFunc(acts[0], acts[1], func(a, b Action) bool {
					return a.Kind == b.Kind && a.Server == b.Server && a.At == b.At && a.RoutesRev == b.RoutesRev && a.ToCanary == b.ToCanary
				}) {
					rt.Fatalf("tenant 1 got %+v and %+v", acts[0], acts[1])
				}
				if !hasAction(acts[0], Send) {
					break
				}
			}
		}
	})
}

// subsetContains reports whether a subset, as drawRouteEvent draws it, contains a server.
func subsetContains(subset Subset, s *server) bool {
	return (len(subset.IDs) == 0 || slices.Contains(subset.IDs, s.ID)) && (len(subset.Zones) == 0 || slices.Contains(subset.Zones, s.Zone))
}

// For any order of events: an attempt to a canary has a lease, a class and server that the newest route names, and a
// unit of the budget. Reserved and spent units are those of the attempts.
func TestRoutes_property(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := tenantConfig()
		cfg.Seed, cfg.MaxAttempts = rapid.Uint64().Draw(rt, "seed"), 3
		h := newHarness(t, cfg, identicalServers(12)...)
		type attemptInFlight struct {
			id      RequestID
			attempt int
			server  ServerID
			budget  uint64
		}
		var inFlight []attemptInFlight
		var routes Routes
		leaseUntil := 0.0
		attempts := map[RequestID]int{}
		checkSends := func(before map[uint64]CanaryBudget, acts []Action) {
			for _, a := range acts {
				if a.Kind != Send {
					continue
				}
				o := attemptInFlight{id: a.Request, attempt: attempts[a.Request], server: a.Server}
				attempts[a.Request]++
				if s := h.b.byID[a.Server]; s == nil || s.State != Ready {
					rt.Fatalf("sent to server %d", a.Server)
				}
				leaseHeld := h.now < leaseUntil && len(routes.List) > 0
				if (a.RoutesRev != 0) != leaseHeld || leaseHeld && (a.RoutesRev != routes.Rev || a.CanaryID != routes.List[0].ID) {
					rt.Fatalf("%+v under %+v, lease held %v", a, routes, leaseHeld)
				}
				if a.ToCanary {
					route := routes.List[0]
					r := h.b.requests[a.Request]
					if !leaseHeld || route.ID == 0 || route.CanaryFraction == 0 || !subsetContains(route.Canary, h.b.byID[a.Server]) ||
						len(route.Classes) > 0 && !slices.Contains(route.Classes, r.Class) {
						rt.Fatalf("%+v under %+v", a, routes)
					}
					if route.Budgeted {
						if p := before[route.ID]; p.Free() <= 0 {
							rt.Fatalf("no unit is free: %+v", p)
						}
						o.budget = route.ID
					}
				}
				inFlight = append(inFlight, o)
			}
		}
		budgets := func() map[uint64]CanaryBudget {
			all := map[uint64]CanaryBudget{}
			for _, p := range h.b.CanaryBudgets() {
				all[p.ID] = p
			}
			return all
		}
		for range rapid.IntRange(20, 120).Draw(rt, "events") {
			h.now += rapid.Float64Range(0, 100).Draw(rt, "pause")
			before := budgets()
			switch k := rapid.IntRange(0, 9).Draw(rt, "event"); {
			case k < 4:
				class := rapid.IntRange(0, zoneKeyClass).Draw(rt, "class")
				h.lastID++
				checkSends(before, h.handle(Request{ID: h.lastID, Class: class, Remaining: 1e6}))
			case k < 8 && len(inFlight) > 0:
				i := rapid.IntRange(0, len(inFlight)-1).Draw(rt, "which")
				o := inFlight[i]
				inFlight = slices.Delete(inFlight, i, i+1)
				ev := Outcome{
					Request: o.id, Attempt: o.attempt, Server: o.server, Elapsed: 40,
					Result:       Result(rapid.IntRange(0, int(WriteFailed)).Draw(rt, "result")),
					RouteRevoked: rapid.IntRange(0, 3).Draw(rt, "revoked") == 0,
				}
				ev.Finished = ev.Result == OK && !ev.RouteRevoked
				p := before[o.budget]
				p.Settle(!ev.RouteRevoked && ev.Result != OK && ev.Result != Cancelled && ev.Result != NotSent)
				before[o.budget] = p
				acts := h.handle(ev)
				checkSends(before, acts)
				if after, ok := budgets()[o.budget]; o.budget > 0 && (!ok || after.Spent != p.Spent) {
					rt.Fatalf("%+v: %+v, want %+v", ev, after, p)
				}
			case k == 8:
				servers := identicalServers(12)
				for i := range servers {
					servers[i].State = ServerState(rapid.IntRange(0, 5).Draw(rt, "state") / 4)
				}
				h.handle(ServerList{Kind: ListFull, Servers: servers})
			default:
				switch ev := drawRouteEvent(rt).(type) {
				case Routes:
					if routes = ev; rapid.IntRange(0, 4).Draw(rt, "none") == 0 {
						routes.List = nil
					}
					h.handle(routes)
				case CanaryLease:
					leaseUntil = ev.Until
					h.handle(ev)
				default:
					h.handle(ev)
				}
			}
			units := map[uint64]int64{}
			for _, o := range inFlight {
				units[o.budget]++
			}
			for id, p := range budgets() {
				if p.Free() < 0 || p.Reserved != units[id] || p.Spent+p.Returned+p.Reserved > p.Granted {
					rt.Fatalf("%+v with %d in flight", p, units[id])
				}
			}
		}
	})
}
