package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// randomEntries are changes as a list service may tell them: servers that come, drain, go, restart and move to another
// zone, and such that nobody knew.
func randomEntries(rng *rand.Rand, most int) []Server {
	list := make([]Server, 1+rng.IntN(4))
	for i := range list {
		list[i] = Server{ID: ServerID(1 + rng.IntN(most)), Rating: 1, Zone: rng.IntN(4), State: ServerState(rng.IntN(3)),
			StartedAt: float64(rng.IntN(3)) * 1000, AddressKey: uint64(1 + rng.IntN(most))}
	}
	return list
}

// A change leaves the servers in the same order, and as many ready in each zone, as a look at all of them finds.
func TestEndpointList_incrementalChanges(t *testing.T) {
	for _, routed := range []bool{false, true} {
		t.Run(fmt.Sprint("routes ", routed), func(t *testing.T) {
			cfg := baseConfig()
			cfg.Prices.CrossZone = 0.1 // else rank does not depend on the zone
			b := mustNew(t, cfg)
			b.Start(1000)
			if routed {
				routes := Routes{Rev: 1, List: []Route{{Tenant: -1, Base: Subset{Zones: []int{1}}}}}
				if _, err := b.Handle(1000, routes); err != nil {
					t.Fatal(err)
				}
			}
			rng := rand.New(rand.NewPCG(1, 2))
			for i := range 3000 {
				if _, err := b.Handle(1000+float64(i), ServerList{Kind: ListDelta, Servers: randomEntries(rng, 60)}); err != nil {
					t.Fatal(err)
				}
				checkSettled(t, b)
			}
			if len(b.servers) == 0 {
				t.Error("no server is left: the changes test nothing")
			}
		})
	}
}

// checkSettled finds out whether a look at all servers changes anything.
func checkSettled(t *testing.T, b *Balancer) {
	t.Helper()
	servers, known := slices.Clone(b.servers), len(b.byID)
	ready, lanes := map[int]int{}, map[ServerID][]routePlacement{}
	for _, z := range b.zones {
		ready[z.id] = z.ready
	}
	for _, s := range b.servers {
		lanes[s.ID] = slices.Clone(s.placements)
	}
	b.dropGone()
	if !slices.Equal(servers, b.servers) || known != len(b.byID) {
		t.Fatalf("%d servers by a change, %d by a look at all, or in another order", len(servers), len(b.servers))
	}
	for _, z := range b.zones {
		if z.ready != ready[z.id] {
			t.Fatalf("zone %d: %d ready by changes, %d by a look at all", z.id, ready[z.id], z.ready)
		}
	}
	for _, s := range b.servers {
		if !slices.Equal(lanes[s.ID], s.placements) {
			t.Fatalf("server %d: %v by a change, %v by a look at all", s.ID, lanes[s.ID], s.placements)
		}
	}
}

// newGrown is a balancer with so many servers in three zones.
func newGrown(t testing.TB, n int) *Balancer {
	t.Helper()
	b := mustNew(t, baseConfig())
	b.Start(1000)
	list := ServerList{Kind: ListFull, Servers: fleet(n)}
	for i := range list.Servers {
		list.Servers[i].Zone %= 3
	}
	if _, err := b.Handle(1000, list); err != nil {
		t.Fatal(err)
	}
	return b
}

// changeOne lets a server drain, go and come again in turn.
func changeOne(t testing.TB, b *Balancer, round int) {
	t.Helper()
	one := fleet(1)
	one[0].State = ServerState(round % 3)
	if _, err := b.Handle(1000, ServerList{Kind: ListDelta, Servers: one}); err != nil {
		t.Fatal(err)
	}
}

// askOne brings a request, one of 20 a second, and its answer.
func askOne(t testing.TB, b *Balancer, round int) {
	t.Helper()
	now, id := 1000+50*float64(round), RequestID(round+1)
	acts, err := b.Handle(now, Request{ID: id, Class: safeClass, Remaining: 1500})
	if err != nil {
		t.Fatal(err)
	}
	if acts[0].Kind != Send {
		return
	}
	answer := Outcome{Request: id, Server: acts[0].Server, Result: OK, Elapsed: 20, Finished: true}
	if _, err := b.Handle(now+20, answer); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkListChange is what one change of the list costs with few and with many servers.
func BenchmarkListChange(b *testing.B) { benchmarkGrown(b, changeOne) }

// BenchmarkRequestInFleet is what a request costs with few and with many servers.
func BenchmarkRequestInFleet(b *testing.B) { benchmarkGrown(b, askOne) }

func benchmarkGrown(b *testing.B, do func(testing.TB, *Balancer, int)) {
	for _, n := range []int{200, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := newGrown(b, n)
			for i := 0; b.Loop(); i++ {
				do(b, balancer, i)
			}
		})
	}
}

// With sixteen times the servers neither a request nor a change of the list takes as many times as long: nobody walks
// over all servers. The least of several times in turn is compared, as the machine may be busy.
func TestLimits_costInLargeFleet(t *testing.T) {
	const tries, rounds, most = 7, 400, 5
	for name, do := range map[string]func(testing.TB, *Balancer, int){"request": askOne, "change": changeOne} {
		t.Run(name, func(t *testing.T) {
			least := map[int]time.Duration{200: math.MaxInt64, 3200: math.MaxInt64}
			for range tries {
				for n := range least {
					b := newGrown(t, n)
					began := time.Now()
					for i := range rounds {
						do(t, b, i)
					}
					least[n] = min(least[n], time.Since(began))
				}
			}
			if least[3200] > most*least[200] {
				t.Errorf("%d rounds took %v with 3200 servers and %v with 200, over %d times as long", rounds, least[3200],
					least[200], most)
			}
		})
	}
}

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
				thorough.maxOtherRunning = math.Inf(1) // it looks at all of them
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
			playAtRandom(tell, c.rating)
		})
	}
}

// playAtRandom tells of requests, ends of their attempts and changes of the list.
func playAtRandom(tell func(now float64, ev Event) []Action, rating float64) {
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 4000 {
		now := 1000 + 40*float64(i)
		if i%5 == 0 {
			entries := randomEntries(rng, 60)
			for k := range entries {
				entries[k].Rating = rating * rng.Float64()
			}
			tell(now, ServerList{Kind: ListDelta, Servers: entries})
		}
		id := RequestID(i + 1)
		acts := tell(now, Request{ID: id, Class: rng.IntN(2), Tenant: rng.IntN(2), Remaining: 600})
		for attempt, sent := 0, true; sent; attempt++ {
			sent = false
			for _, a := range acts {
				if a.Kind == Send && a.Request == id {
					result := []Result{OK, OK, OK, Failed, ConnectFailed}[rng.IntN(5)]
					acts, sent = tell(now+20, Outcome{Request: id, Attempt: attempt, Server: a.Server, Result: result,
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
	list := fleet(20)
	for i := range list {
		list[i].Rating = 0.05
	}
	g := newRig(t, baseConfig(), list...)
	const nowhere = 99
	g.do(Routes{Rev: 1, List: []Route{{Tenant: -1, Base: Subset{Zones: []int{nowhere}}}}})
	if _, acts := g.ask(safeClass); !has(acts, Send) {
		t.Fatalf("not sent: %v", acts)
	}
	total := 0.0
	for _, s := range g.b.candidates {
		total += s.weight
	}
	if len(g.b.candidates) >= len(list) {
		t.Fatal("all servers are in the rotation")
	}
	for _, s := range g.b.servers {
		if running := s.placements[0].running[baseSide]; running > total {
			t.Errorf("server %d runs at %v, the weights are %v in all", s.ID, running, total)
		}
	}
}
