package balance

import (
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// A pick that passes over the servers outside the rotation leaves each as a pick that looks at all of them does.
func TestRotation_skippedServers(t *testing.T) {
	for _, c := range []struct {
		name   string
		rating float64 // small: the sum of weights is under what servers begin with
		routed bool
	}{{"usual ratings", 1, false}, {"small ratings", 0.05, false}, {"with a route", 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			cfg := baseConfig()
			cfg.Tenants = []Tenant{{Allowance: 100, Quota: 0.5}, {Allowance: 100, Quota: 0.5}}
			quick, thorough := mustNew(t, cfg), mustNew(t, cfg)
			tell := func(now float64, ev Event) []Action {
				t.Helper()
				thorough.picker.maxOtherRunning = math.Inf(1) // it looks at all of them
				want, err := thorough.Handle(now, ev)
				got, again := quick.Handle(now, ev)
				if err != nil || again != nil || !reflect.DeepEqual(want, got) {
					t.Fatalf("%#v: %v %v, at all %v %v", ev, got, again, want, err)
				}
				for i, s := range thorough.servers {
					if q := quick.servers[i]; q.ID != s.ID || q.running != s.running || q.weight != s.weight {
						t.Fatalf("%#v: server %d runs at %v, at all %v", ev, s.ID, q.running, s.running)
					}
				}
				return slices.Clone(got)
			}
			quick.Start(1000)
			thorough.Start(1000)
			if c.routed {
				tell(1000, Routes{Rev: 1, List: []Route{{Tenant: 1, Base: Subset{Zones: []int{1}}}}})
			}
			playRandomEvents(tell, c.rating)
		})
	}
}

// playAtRandom tells of requests, ends of their attempts and changes of the list.
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
		acts := handle(now, Request{ID: id, Class: rng.IntN(2), Tenant: rng.IntN(2), Remaining: 600})
		for attempt, sent := 0, true; sent; attempt++ {
			sent = false
			for _, a := range acts {
				if a.Kind == Send && a.Request == id {
					result := []Result{OK, OK, OK, Failed, ConnectFailed}[rng.IntN(5)]
					acts, sent = handle(now+20, Outcome{Request: id, Attempt: attempt, Server: a.Server, Result: result,
						Elapsed: 20, Finished: result == OK}), true
					break
				}
			}
		}
	}
}

// Along a route the running values of each group are kept at most at its sum of weights, too, though the group before
// had no server at all.
func TestRotation_skippedServersOfRoute(t *testing.T) {
	list := identicalServers(20)
	for i := range list {
		list[i].Rating = 0.05
	}
	g := newHarness(t, baseConfig(), list...)
	const nowhere = 99
	g.handle(Routes{Rev: 1, List: []Route{{Tenant: -1, Base: Subset{Zones: []int{nowhere}}}}})
	if _, acts := g.sendRequest(idempotentClass); !hasAction(acts, Send) {
		t.Fatalf("not sent: %v", acts)
	}
	total := 0.0
	for _, s := range g.b.picker.candidates {
		total += s.weight
	}
	if len(g.b.picker.candidates) >= len(list) {
		t.Fatal("all servers are in the rotation")
	}
	for _, s := range g.b.servers {
		if running := s.placements[0].running[baseSide]; running > total {
			t.Errorf("server %d runs at %v, the weights are %v in all", s.ID, running, total)
		}
	}
}

// A thousand sidecars with a connection to each server filled all connection tables. Each goes over few
// servers, all together over all alike, and a restarted one comes back to the same.
func TestRotation_lowTraffic(t *testing.T) {
	sidecars, servers := 400, 60
	all := map[ServerID]int{}
	used := func(number, seed int) map[ServerID]int {
		cfg := baseConfig()
		cfg.Number, cfg.Peers, cfg.Seed = number, sidecars, uint64(seed)
		g := newHarness(t, cfg, identicalServers(servers)...)
		for _, s := range g.b.servers {
			s.rank = g.b.rankOf(s)
		}
		g.b.dropGone()
		hits := map[ServerID]int{}
		for range 60 {
			g.now += 1000
			id, acts := g.sendRequest(idempotentClass)
			s, _ := sentTo(acts)
			hits[s]++
			g.endAttempt(id, 0, OK, 10)
		}
		return hits
	}
	for n := range sidecars {
		hits := used(n, n)
		if len(hits) != minRotation {
			t.Fatalf("sidecar %d uses %d servers", n, len(hits))
		}
		for s, k := range hits {
			all[s] += k
		}
		if n == 0 && !maps.Equal(hits, used(0, 77)) {
			t.Fatal("a restarted sidecar uses other servers")
		}
	}
	for s, k := range all {
		if mean := 60 * sidecars / servers; k < mean/2 || k > 2*mean {
			t.Errorf("server %d got %d of a mean of %d", s, k, mean)
		}
	}
}

// A busy sidecar goes over as many servers as it visits often, and over others when some of its own fail.
func TestRotation_growth(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(60)...)
	count := func(gap float64, n int) int {
		hits := map[ServerID]bool{}
		for range n {
			g.now += gap
			id, acts := g.sendRequest(idempotentClass)
			s, _ := sentTo(acts)
			hits[s] = true
			g.endAttempt(id, 0, OK, 10)
		}
		return len(hits)
	}
	if n := count(1000, 30); n != minRotation {
		t.Fatalf("%d servers for one request a second", n)
	}
	for _, s := range g.b.servers[:2] {
		g.b.outliers.recordFailure(s, true, partialEvidence)
	}
	if n := count(50, 6); n < minRotation {
		t.Fatalf("%d servers when two of the first rest", n)
	}
	if n := count(10, 3000); n != 60 {
		t.Fatalf("%d servers of 60 for a hundred requests a second", n)
	}
}
