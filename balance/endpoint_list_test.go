package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// randomEntries are changes as a list service may tell them: servers that come, drain, go, restart and move to another
// zone, and such that nobody knew.
func randomEntries(rng *rand.Rand, maxID int) []Server {
	list := make([]Server, 1+rng.IntN(4))
	for i := range list {
		list[i] = Server{ID: ServerID(1 + rng.IntN(maxID)), Rating: 1, Zone: rng.IntN(4), State: ServerState(rng.IntN(3)),
			StartedAt: float64(rng.IntN(3)) * 1000, AddressKey: uint64(1 + rng.IntN(maxID))}
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
				requireSettled(t, b)
			}
			if len(b.servers) == 0 {
				t.Error("no server is left: the changes test nothing")
			}
		})
	}
}

// checkSettled finds out whether a look at all servers changes anything.
func requireSettled(t *testing.T, b *Balancer) {
	t.Helper()
	servers, known := slices.Clone(b.servers), len(b.byID)
	ready, placements := map[int]int{}, map[ServerID][]routePlacement{}
	for _, z := range b.locality.zones {
		ready[z.id] = z.ready
	}
	for _, s := range b.servers {
		placements[s.ID] = slices.Clone(s.placements)
	}
	b.dropGone()
	if !slices.Equal(servers, b.servers) || known != len(b.byID) {
		t.Fatalf("%d servers by a change, %d by a look at all, or in another order", len(servers), len(b.servers))
	}
	for _, z := range b.locality.zones {
		if z.ready != ready[z.id] {
			t.Fatalf("zone %d: %d ready by changes, %d by a look at all", z.id, ready[z.id], z.ready)
		}
	}
	for _, s := range b.servers {
		if !slices.Equal(placements[s.ID], s.placements) {
			t.Fatalf("server %d: %v by a change, %v by a look at all", s.ID, placements[s.ID], s.placements)
		}
	}
}

func newListHarness(t *testing.T, change func(*Config), servers ...Server) *harness {
	cfg := baseConfig()
	cfg.Subscribe, cfg.ListServices, cfg.SuspectFraction, cfg.StaleAfter = true, 2, 0.3, 5000
	if change != nil {
		change(&cfg)
	}
	return newHarness(t, cfg, servers...)
}

func (g *harness) usableServers() string {
	var out []string
	for id := ServerID(1); id < 20; id++ {
		if _, ok := g.b.UsableServer(id); ok {
			out = append(out, fmt.Sprint(id))
		}
	}
	return strings.Join(out, " ")
}

func (g *harness) requireUsable(what, want string) {
	g.t.Helper()
	if got := g.usableServers(); got != want {
		g.t.Fatalf("%s: used %q, want %q", what, got, want)
	}
}

// timer fires a timer of the list.
func (g *harness) fireTimer(token uint64) []Action { return g.handle(Timer{Token: token}) }

func TestEndpointList_olderRevision(t *testing.T) {
	g := newListHarness(t, nil)
	g.handle(ServerList{Kind: ListFull, Rev: 10, Servers: identicalServers(4)})
	acts := g.handle(ServerList{Kind: ListFull, Rev: 8, Source: 1, Servers: identicalServers(6)})
	g.requireUsable("an older list", "1 2 3 4")
	if g.b.ListStatus(g.now).Rev != 10 || !g.b.ListStatus(g.now).Rejected || !hasAction(acts, SetTimer) {
		t.Fatalf("an older list: %+v, %+v", g.b.ListStatus(g.now), acts)
	}
	if w := findAction(g.fireTimer(listTimer), Watch); w == nil || w.Source != 1 || w.After != 10 {
		t.Fatalf("the next service is not watched from what is held: %+v", w)
	}
	g.handle(ServerList{Kind: ListDelta, Rev: 9, Servers: []Server{{ID: 7}}})
	g.handle(ServerList{Kind: ListDelta, Rev: 10, Servers: []Server{{ID: 7}}})
	g.requireUsable("older changes", "1 2 3 4")
	g.handle(ServerList{Kind: ListDelta, Rev: 12, Servers: []Server{{ID: 7}}})
	g.requireUsable("newer changes", "1 2 3 4 7")
	if g.b.ListStatus(g.now).Rejected {
		t.Error("still refused")
	}

	// What an old list says of a server that goes is true, unless it has started again since.
	g.handle(ServerList{Kind: ListDelta, Rev: 13, Servers: []Server{{ID: 1, StartedAt: 900}, {ID: 2, StartedAt: 900}}})
	g.handle(ServerList{Kind: ListFull, Rev: 5, Source: 1, Servers: []Server{
		{ID: 1, State: Draining}, {ID: 2, State: Draining, StartedAt: 900}, {ID: 3, State: Gone}}})
	g.requireUsable("an older list that names some who go", "1 4 7")

	// A later history is taken at once; an earlier one only when there has been nothing else for long.
	g.handle(ServerList{Kind: ListFull, Rev: 1 << epochBits, Servers: identicalServers(4)})
	g.handle(ServerList{Kind: ListDelta, Rev: 2<<epochBits + 5, Servers: []Server{{ID: 9}}})
	g.requireUsable("changes of a history whose beginning is not known", "1 2 3 4")
}

func TestEndpointList_olderHistory(t *testing.T) {
	g := newListHarness(t, func(c *Config) { c.SuspectFraction = 0 }, identicalServers(4)...)
	g.handle(ServerList{Kind: ListFull, Rev: 3 << epochBits, Servers: identicalServers(4)})
	old := ServerList{Kind: ListFull, Rev: 1 << epochBits, Servers: identicalServers(2)}
	var pauses []float64
	for began := g.now; g.now-began <= historyTime; {
		pauses = append(pauses, findAction(g.handle(old), SetTimer).At)
		g.requireUsable("an earlier history", "1 2 3 4")
		g.now += 3000
	}
	if last := len(pauses) - 1; pauses[last] < 2*pauses[0] {
		t.Errorf("refused lists are asked for again as often as ever: %v", pauses)
	}
	g.handle(old)
	g.requireUsable("nothing but an earlier history for long", "1 2")
}

func TestEndpointList_suspectedServers(t *testing.T) {
	without := func(from, to int) []Server { f := identicalServers(9); return append(f[:from:from], f[to:]...) }
	for name, c := range map[string]struct {
		share   float64
		list    []Server
		used    string
		doubted int
	}{
		"a few are gone":       {0.3, without(0, 2), "3 4 5 6 7 8 9", 0},
		"many are doubted":     {0.3, without(0, 3), "1 2 3 4 5 6 7 8 9", 3},
		"empty":                {0.3, nil, "1 2 3 4 5 6 7 8 9", 9},
		"taken at its word":    {0, nil, "", 0},
		"new ones are used":    {0.3, []Server{{ID: 12}}, "1 2 3 4 5 6 7 8 9 12", 9},
		"who goes is obeyed":   {0.3, []Server{{ID: 1, State: Draining}, {ID: 2, State: Gone}}, "3 4 5 6 7 8 9", 7},
		"half, and one drains": {0.3, append(without(4, 9), Server{ID: 5, State: Draining}), "1 2 3 4 6 7 8 9", 4},
	} {
		g := newListHarness(t, func(c2 *Config) { c2.SuspectFraction = c.share }, identicalServers(9)...)
		g.handle(ServerList{Kind: ListFull, Rev: 2, Servers: c.list})
		if got := g.b.ListStatus(g.now).Suspected; g.usableServers() != c.used || got != c.doubted {
			t.Errorf("%s: used %q, doubted %d; want %q, %d", name, g.usableServers(), got, c.used, c.doubted)
		}
	}
}

func TestEndpointList_suspicionEnds(t *testing.T) {
	begin := func(list ...Server) *harness {
		g := newListHarness(t, nil, identicalServers(6)...)
		if g.handle(ServerList{Kind: ListFull, Rev: 2, Servers: list}); g.b.ListStatus(g.now).Suspected == 0 {
			t.Fatal("nothing is doubted")
		}
		return g
	}
	t.Run("by a word", func(t *testing.T) {
		g := begin()
		g.handle(ServerList{Kind: ListDelta, Rev: 3, Servers: []Server{{ID: 1, State: Draining}, {ID: 2, State: Gone}, {ID: 3}}})
		g.requireUsable("named", "3 4 5 6")
		if got := g.b.ListStatus(g.now).Suspected; got != 3 {
			t.Errorf("%d are doubted", got)
		}
	})
	t.Run("by a list that names them", func(t *testing.T) {
		g := begin()
		g.handle(ServerList{Kind: ListFull, Rev: 3, Servers: identicalServers(5)})
		if g.requireUsable("a sound list", "1 2 3 4 5"); g.b.ListStatus(g.now).Suspected != 0 {
			t.Error("still doubted")
		}
	})
	t.Run("by a refused connection", func(t *testing.T) {
		g := begin()
		id, acts := g.sendRequest(idempotentClass)
		first, _ := sentTo(acts)
		acts = g.endAttempt(id, 0, ConnectFailed, 5)
		if f := findAction(acts, Forget); f == nil || f.Server != first {
			t.Fatalf("it is not forgotten: %+v", acts)
		}
		if next, ok := sentTo(acts); !ok || next == first {
			t.Errorf("the request is not sent on: %+v", acts)
		}
		if _, ok := g.b.UsableServer(first); ok {
			t.Error("it is still used")
		}
	})
	t.Run("by time, unless the list is empty", func(t *testing.T) {
		for _, empty := range []bool{true, false} {
			var list []Server
			if !empty {
				list = identicalServers(2)
			}
			g := begin(list...)
			g.now += suspectLimit
			g.fireTimer(suspectTimer)
			if want := map[bool]string{true: "1 2 3 4 5 6", false: "1 2"}[empty]; g.usableServers() != want {
				t.Errorf("empty %v: used %q", empty, g.usableServers())
			}
		}
	})
}

func TestEndpointList_badEntries(t *testing.T) {
	for name, c := range map[string]struct {
		list []Server
		used string
	}{
		"twice, one drains":           {[]Server{{ID: 1, State: Draining}, {ID: 1}, {ID: 2}}, "2"},
		"twice, one is gone":          {[]Server{{ID: 1}, {ID: 1, State: Gone}, {ID: 2}}, "2"},
		"twice, both ready":           {[]Server{{ID: 1, AddressKey: 5, StartedAt: 2}, {ID: 1, AddressKey: 6, StartedAt: 1}}, "1"},
		"two in one place":            {[]Server{{ID: 1, AddressKey: 5}, {ID: 2, AddressKey: 5, StartedAt: 7}, {ID: 3, AddressKey: 6}}, "2 3"},
		"two in one place, alike":     {[]Server{{ID: 2, AddressKey: 5}, {ID: 1, AddressKey: 5}}, "1"},
		"one in one place, one drain": {[]Server{{ID: 2, AddressKey: 5}, {ID: 1, AddressKey: 5, State: Draining, StartedAt: 9}}, "2"},
		"nowhere":                     {[]Server{{ID: 1, AddressKey: NoAddress}, {ID: 2, AddressKey: NoAddress, State: Draining}, {ID: 3, AddressKey: 1}}, "3"},
		"no size":                     {[]Server{{ID: 1, Rating: -1}, {ID: 2, Rating: 0}}, "1 2"},
	} {
		g := newListHarness(t, func(c *Config) { c.SuspectFraction = 0 })
		g.handle(ServerList{Kind: ListFull, Rev: 2, Servers: c.list})
		if g.usableServers() != c.used {
			t.Errorf("%s: used %q, want %q", name, g.usableServers(), c.used)
		}
		for _, s := range g.b.servers {
			if !(s.Rating > 0) {
				t.Errorf("%s: a server of the size %v", name, s.Rating)
			}
		}
	}
	if s, _ := func() (Server, bool) {
		g := newListHarness(t, nil)
		g.handle(ServerList{Kind: ListFull, Rev: 2, Servers: []Server{{ID: 1, AddressKey: 6, StartedAt: 1}, {ID: 1, AddressKey: 5, StartedAt: 2}}})
		return g.b.UsableServer(1)
	}(); s.AddressKey != 5 {
		t.Errorf("of two entries the older counts: %+v", s)
	}
}

// Another address is another way to a server: what failed on the old one is not held against it. Another zone moves it.
func TestEndpointList_addressChange(t *testing.T) {
	g := newListHarness(t, nil, Server{ID: 1, AddressKey: 4}, Server{ID: 2, AddressKey: 5})
	for range 4 {
		id, acts := g.sendRequest(idempotentClass)
		if s, _ := sentTo(acts); s == 1 {
			g.endAttempt(id, 0, ConnectFailed, 5)
			break
		}
	}
	if !g.b.outliers.ejected(g.b.byID[1]) {
		t.Fatal("it does not rest")
	}
	g.handle(ServerList{Kind: ListDelta, Rev: 3, Servers: []Server{{ID: 1, AddressKey: 9, Zone: 3}}})
	if s := g.b.byID[1]; g.b.outliers.ejected(s) || s.Zone != 3 || g.b.slowStart.warmingUp(s) {
		t.Errorf("after it moved: %+v", s)
	}
}

// Whatever several services tell, in whatever order: the list goes back only where nothing newer comes for long, who is
// told to go is not used, however old the list, and requests go to those in use alone.
func TestEndpointList_property(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := baseConfig()
		cfg.Subscribe, cfg.ListServices = true, rapid.IntRange(2, 3).Draw(rt, "lists")
		cfg.SuspectFraction = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "doubt")
		b := mustNew(t, cfg)
		now := 1000.0
		b.Start(now)
		next := RequestID(0)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now += rapid.Float64Range(0, 4000).Draw(rt, "pause")
			ev := ServerList{Kind: rapid.SampledFrom([]ListKind{ListFull, ListDelta, ListDelta, ListFailed, ListAlive}).Draw(rt, "kind"),
				Source: rapid.IntRange(0, cfg.ListServices-1).Draw(rt, "source"), FromFetch: rapid.IntRange(0, 4).Draw(rt, "check") == 0,
				Rev: rapid.Int64Range(1, 12).Draw(rt, "rev") + rapid.Int64Range(0, 1).Draw(rt, "epoch")<<epochBits}
			for range rapid.IntRange(0, 5).Draw(rt, "entries") {
				ev.Servers = append(ev.Servers, Server{ID: ServerID(rapid.IntRange(1, 6).Draw(rt, "id")),
					State:     rapid.SampledFrom([]ServerState{Ready, Ready, Draining, Gone}).Draw(rt, "state"),
					StartedAt: float64(rapid.IntRange(0, 3).Draw(rt, "start")), AddressKey: uint64(rapid.IntRange(0, 4).Draw(rt, "place"))})
			}
			if ev.Kind == ListFailed || ev.Kind == ListAlive {
				ev.Servers = nil
			}
			before := b.ListStatus(now)
			if _, err := b.Handle(now, ev); err != nil {
				rt.Fatal(err)
			}
			after := b.ListStatus(now)
			if after.Rev < before.Rev && after.Rev != 0 && !before.Rejected {
				rt.Fatalf("the list went back from %d to %d", before.Rev, after.Rev)
			}
			for _, e := range b.list.normalizeEntries(ev.Servers) {
				s, used := b.UsableServer(e.ID)
				if used && e.State != Ready && e.StartedAt >= s.StartedAt {
					rt.Fatalf("%+v is used although it was told to go: %+v", s, e)
				}
			}
			next++
			acts, err := b.Handle(now, Request{ID: next, Remaining: 1500})
			if err != nil {
				rt.Fatal(err)
			}
			if to, ok := sentTo(acts); ok {
				if _, used := b.UsableServer(to); !used {
					rt.Fatalf("a request goes to %d, which is not in use", to)
				}
			}
		}
	})
}

func TestEndpointList_drainingServer(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(2)...)
	gone := identicalServers(1)[0]
	gone.State = Draining
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{gone}})
	for range 20 {
		id, acts := g.sendRequest(idempotentClass)
		if s, _ := sentTo(acts); s != 2 {
			t.Fatalf("sent to %d", s)
		}
		g.endAttempt(id, 0, OK, 10)
	}
	gone.State = Ready
	g.handle(ServerList{Kind: ListFull, Servers: []Server{gone}}) // the other is left out: it has gone
	id, acts := g.sendRequest(idempotentClass)
	if s, _ := sentTo(acts); s != 1 {
		t.Fatalf("sent to %d of request %d", s, id)
	}
}
