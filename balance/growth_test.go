package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomEntries are changes as a list service may tell them: servers that come, drain, go, restart and move to another
// zone, and such that nobody knew.
func randomEntries(rng *rand.Rand, most int) []Server {
	list := make([]Server, 1+rng.IntN(4))
	for i := range list {
		list[i] = Server{ID: ServerID(1 + rng.IntN(most)), Rating: 1, Zone: rng.IntN(4), State: State(rng.IntN(3)),
			StartedAt: float64(rng.IntN(3)) * 1000, Place: uint64(1 + rng.IntN(most))}
	}
	return list
}

// A change leaves the servers in the same order, and as many ready in each zone, as a look at all of them finds.
func TestChangesLeaveWhatALookAtAllFinds(t *testing.T) {
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
	ready, lanes := map[int]int{}, map[ServerID][]lane{}
	for _, z := range b.areas {
		ready[z.id] = z.ready
	}
	for _, s := range b.servers {
		lanes[s.ID] = slices.Clone(s.lanes)
	}
	b.dropGone()
	if !slices.Equal(servers, b.servers) || known != len(b.byID) {
		t.Fatalf("%d servers by a change, %d by a look at all, or in another order", len(servers), len(b.servers))
	}
	for _, z := range b.areas {
		if z.ready != ready[z.id] {
			t.Fatalf("zone %d: %d ready by changes, %d by a look at all", z.id, ready[z.id], z.ready)
		}
	}
	for _, s := range b.servers {
		if !slices.Equal(lanes[s.ID], s.lanes) {
			t.Fatalf("server %d: %v by a change, %v by a look at all", s.ID, lanes[s.ID], s.lanes)
		}
	}
}

// BenchmarkListChange is what one change of the list costs with few and with many servers.
func BenchmarkListChange(b *testing.B) {
	for _, n := range []int{200, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bal := mustNew(b, baseConfig())
			bal.Start(1000)
			list := ServerList{Kind: ListFull, Servers: fleet(n)}
			for i := range list.Servers {
				list.Servers[i].Zone %= 3
			}
			if _, err := bal.Handle(1000, list); err != nil {
				b.Fatal(err)
			}
			one := list.Servers[:1]
			for i := 0; b.Loop(); i++ {
				one[0].State = State(i % 3)
				if _, err := bal.Handle(1000, ServerList{Kind: ListDelta, Servers: one}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
