package balance

import (
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// A pick that skips the servers outside the rotation leaves each server with the same current weight as a pick that
// visits all servers.
func TestRotation_skippedServers(t *testing.T) {
	for _, c := range []struct {
		name      string
		rating    float64 // if small, the sum of weights is below the initial current weights
		withRoute bool
	}{{"usual ratings", 1, false}, {"small ratings", 0.05, false}, {"with a route", 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			cfg := baseConfig()
			cfg.Tenants = []Tenant{{Allowance: 100, Quota: 0.5}, {Allowance: 100, Quota: 0.5}}
			bounded, exhaustive := mustNew(t, cfg), mustNew(t, cfg)
			handle := func(now float64, ev Event) []Action {
				t.Helper()
				exhaustive.picker.maxOtherCurrentWeight = math.Inf(1) // no server is skipped
				want, wantErr := exhaustive.Handle(now, ev)
				got, gotErr := bounded.Handle(now, ev)
				if wantErr != nil || gotErr != nil || !reflect.DeepEqual(want, got) {
					t.Fatalf("%#v: %v %v, without skipping %v %v", ev, got, gotErr, want, wantErr)
				}
				for i, s := range exhaustive.servers {
					if other := bounded.servers[i]; other.ID != s.ID || other.currentWeight != s.currentWeight || other.weight != s.weight {
						t.Fatalf("%#v: server %d has the current weight %v, without skipping %v", ev, s.ID, other.currentWeight, s.currentWeight)
					}
				}
				return slices.Clone(got)
			}
			bounded.Start(1000)
			exhaustive.Start(1000)
			if c.withRoute {
				handle(1000, Routes{Rev: 1, List: []Route{{Tenant: 1, Base: Subset{Zones: []int{1}}}}})
			}
			playRandomEvents(handle, c.rating)
		})
	}
}

// playRandomEvents passes random requests, results of their attempts, and list changes to handle.
func playRandomEvents(handle func(now float64, ev Event) []Action, rating float64) {
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 4000 {
		now := 1000 + 40*float64(i)
		if i%5 == 0 {
			entries := randomEntries(rng, 60)
			for k := range entries {
				entries[k].Rating = rating * rng.Float64()
			}
			handle(now, ServerList{Kind: ListDelta, Servers: entries})
		}
		id := RequestID(i + 1)
		actions := handle(now, Request{ID: id, Class: rng.IntN(2), Tenant: rng.IntN(2), Remaining: 600})
		for attempt, sent := 0, true; sent; attempt++ {
			sent = false
			for _, a := range actions {
				if a.Kind == Send && a.Request == id {
					result := []Result{OK, OK, OK, Failed, ConnectFailed}[rng.IntN(5)]
					actions, sent = handle(now+20, Outcome{Request: id, Attempt: attempt, Server: a.Server, Result: result,
						Elapsed: 20, Finished: result == OK}), true
					break
				}
			}
		}
	}
}

// In a pick for a route, the current weights of a group are limited by its own sum of weights, even if the
// preferred group has no server.
func TestRotation_skippedServersOfRoute(t *testing.T) {
	list := identicalServers(20)
	for i := range list {
		list[i].Rating = 0.05
	}
	h := newHarness(t, baseConfig(), list...)
	const nowhere = 99
	h.handle(Routes{Rev: 1, List: []Route{{Tenant: -1, Base: Subset{Zones: []int{nowhere}}}}})
	if _, actions := h.sendRequest(idempotentClass); !hasAction(actions, Send) {
		t.Fatalf("not sent: %v", actions)
	}
	total := 0.0
	for _, s := range h.b.picker.candidates {
		total += s.weight
	}
	if len(h.b.picker.candidates) >= len(list) {
		t.Fatal("all servers are in the rotation")
	}
	for _, s := range h.b.servers {
		if weight := s.placements[0].currentWeight[baseSide]; weight > total {
			t.Errorf("server %d has the current weight %v, the sum of weights is %v", s.ID, weight, total)
		}
	}
}

// A sidecar with little traffic uses minRotation servers, so that a large fleet does not fill the connection tables
// of the servers. All sidecars together use all servers evenly, and a restarted sidecar uses the same servers as
// before.
func TestRotation_lowTraffic(t *testing.T) {
	sidecars, servers := 400, 60
	all := map[ServerID]int{}
	sendsByServer := func(number, seed int) map[ServerID]int {
		cfg := baseConfig()
		cfg.Number, cfg.Peers, cfg.Seed = number, sidecars, uint64(seed)
		h := newHarness(t, cfg, identicalServers(servers)...)
		for _, s := range h.b.servers {
			s.rank = h.b.rankOf(s)
		}
		h.b.dropRemovedServers()
		sends := map[ServerID]int{}
		for range 60 {
			h.now += 1000
			id, actions := h.sendRequest(idempotentClass)
			s, _ := sentTo(actions)
			sends[s]++
			h.endAttempt(id, 0, OK, 10)
		}
		return sends
	}
	for n := range sidecars {
		sends := sendsByServer(n, n)
		if len(sends) != minRotation {
			t.Fatalf("sidecar %d uses %d servers", n, len(sends))
		}
		for s, requests := range sends {
			all[s] += requests
		}
		if n == 0 && !maps.Equal(sends, sendsByServer(0, 77)) {
			t.Fatal("a restarted sidecar uses other servers")
		}
	}
	for s, requests := range all {
		if mean := 60 * sidecars / servers; requests < mean/2 || requests > 2*mean {
			t.Errorf("server %d got %d requests, the mean is %d", s, requests, mean)
		}
	}
}

// The rotation grows with the traffic, up to all servers, and replaces ejected servers.
func TestRotation_growth(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(60)...)
	usedServers := func(gap float64, n int) int {
		used := map[ServerID]bool{}
		for range n {
			h.now += gap
			id, actions := h.sendRequest(idempotentClass)
			s, _ := sentTo(actions)
			used[s] = true
			h.endAttempt(id, 0, OK, 10)
		}
		return len(used)
	}
	if n := usedServers(1000, 30); n != minRotation {
		t.Fatalf("%d servers for one request a second", n)
	}
	for _, s := range h.b.servers[:2] {
		h.b.outliers.recordFailure(s, true, partialEvidence)
	}
	if n := usedServers(50, 6); n < minRotation {
		t.Fatalf("%d servers when two of the first are ejected", n)
	}
	if n := usedServers(10, 3000); n != 60 {
		t.Fatalf("%d servers of 60 for a hundred requests a second", n)
	}
}
