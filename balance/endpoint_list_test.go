package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// randomEntries returns random list changes: servers that are added, drain, are removed, restart or change their zone,
// and removals of unknown servers.
func randomEntries(rng *rand.Rand, maxID int) []Server {
	list := make([]Server, 1+rng.IntN(4))
	for i := range list {
		list[i] = Server{ID: ServerID(1 + rng.IntN(maxID)), Rating: 1, Zone: rng.IntN(4), State: ServerState(rng.IntN(3)),
			StartedAt: float64(rng.IntN(3)) * 1000, AddressKey: uint64(1 + rng.IntN(maxID))}
	}
	return list
}

// An incremental change gives the same order of servers and the same ready count per zone as a full rebuild.
func TestEndpointList_incrementalChanges(t *testing.T) {
	for _, withRoutes := range []bool{false, true} {
		t.Run(fmt.Sprint("routes ", withRoutes), func(t *testing.T) {
			cfg := baseConfig()
			cfg.Prices.CrossZone = 0.1 // otherwise the rank does not depend on the zone
			b := mustNew(t, cfg)
			b.Start(1000)
			if withRoutes {
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
				t.Error("no server is listed at the end, so the test checks nothing")
			}
		})
	}
}

// requireSettled fails if a full rebuild of the server list changes anything.
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
	b.dropRemovedServers()
	if !slices.Equal(servers, b.servers) || known != len(b.byID) {
		t.Fatalf("%d servers after a change, %d after a rebuild, or another order", len(servers), len(b.servers))
	}
	for _, z := range b.locality.zones {
		if z.ready != ready[z.id] {
			t.Fatalf("zone %d: %d ready servers after changes, %d after a rebuild", z.id, ready[z.id], z.ready)
		}
	}
	for _, s := range b.servers {
		if !slices.Equal(placements[s.ID], s.placements) {
			t.Fatalf("server %d: placements %v after a change, %v after a rebuild", s.ID, placements[s.ID], s.placements)
		}
	}
}

// newListHarness returns a harness that watches two list services.
func newListHarness(t *testing.T, change func(*Config), servers ...Server) *harness {
	cfg := baseConfig()
	cfg.Subscribe, cfg.ListServices, cfg.SuspectFraction, cfg.StaleAfter = true, 2, 0.3, 5000
	if change != nil {
		change(&cfg)
	}
	return newHarness(t, cfg, servers...)
}

// usableServers returns the IDs of all servers that may get requests, separated by spaces.
func (h *harness) usableServers() string {
	var out []string
	for id := ServerID(1); id < 20; id++ {
		if _, ok := h.b.UsableServer(id); ok {
			out = append(out, fmt.Sprint(id))
		}
	}
	return strings.Join(out, " ")
}

// requireUsable fails unless exactly these servers may get requests.
func (h *harness) requireUsable(what, want string) {
	h.t.Helper()
	if got := h.usableServers(); got != want {
		h.t.Fatalf("%s: usable %q, want %q", what, got, want)
	}
}

// fireTimer fires the timer of this token.
func (h *harness) fireTimer(token uint64) []Action { return h.handle(Timer{Token: token}) }

// A list or a change with an older revision is rejected, except that servers which it names as draining or removed are
// not used any more. The next service is then watched from the current revision.
func TestEndpointList_olderRevision(t *testing.T) {
	h := newListHarness(t, nil)
	h.handle(ServerList{Kind: ListFull, Rev: 10, Servers: identicalServers(4)})
	actions := h.handle(ServerList{Kind: ListFull, Rev: 8, Source: 1, Servers: identicalServers(6)})
	h.requireUsable("an older list", "1 2 3 4")
	if h.b.ListStatus(h.now).Rev != 10 || !h.b.ListStatus(h.now).Rejected || !hasAction(actions, SetTimer) {
		t.Fatalf("after an older list: status %+v, actions %+v", h.b.ListStatus(h.now), actions)
	}
	if w := findAction(h.fireTimer(listRetryTimer), Watch); w == nil || w.Source != 1 || w.After != 10 {
		t.Fatalf("next service not watched from the current revision: %+v", w)
	}
	h.handle(ServerList{Kind: ListDelta, Rev: 9, Servers: []Server{{ID: 7}}})
	h.handle(ServerList{Kind: ListDelta, Rev: 10, Servers: []Server{{ID: 7}}})
	h.requireUsable("older changes", "1 2 3 4")
	h.handle(ServerList{Kind: ListDelta, Rev: 12, Servers: []Server{{ID: 7}}})
	h.requireUsable("newer changes", "1 2 3 4 7")
	if h.b.ListStatus(h.now).Rejected {
		t.Error("lists still count as rejected after a newer one")
	}

	// An older list removes servers that it names as draining or removed, unless they have restarted since.
	h.handle(ServerList{Kind: ListDelta, Rev: 13, Servers: []Server{{ID: 1, StartedAt: 900}, {ID: 2, StartedAt: 900}}})
	h.handle(ServerList{Kind: ListFull, Rev: 5, Source: 1, Servers: []Server{
		{ID: 1, State: Draining}, {ID: 2, State: Draining, StartedAt: 900}, {ID: 3, State: Removed}}})
	h.requireUsable("an older list with removals", "1 4 7")

	// A newer epoch is accepted with a full list only.
	h.handle(ServerList{Kind: ListFull, Rev: 1 << epochBits, Servers: identicalServers(4)})
	h.handle(ServerList{Kind: ListDelta, Rev: 2<<epochBits + 5, Servers: []Server{{ID: 9}}})
	h.requireUsable("changes of an unknown epoch", "1 2 3 4")
}

// A list of an older epoch is accepted only after no other list was received for newHistoryTime. Until then it is polled
// with a growing backoff.
func TestEndpointList_olderHistory(t *testing.T) {
	h := newListHarness(t, func(c *Config) { c.SuspectFraction = 0 }, identicalServers(4)...)
	h.handle(ServerList{Kind: ListFull, Rev: 3 << epochBits, Servers: identicalServers(4)})
	old := ServerList{Kind: ListFull, Rev: 1 << epochBits, Servers: identicalServers(2)}
	var pauses []float64
	for start := h.now; h.now-start <= newHistoryTime; {
		pauses = append(pauses, findAction(h.handle(old), SetTimer).At)
		h.requireUsable("an older epoch", "1 2 3 4")
		h.now += 3000
	}
	if last := len(pauses) - 1; pauses[last] < 2*pauses[0] {
		t.Errorf("polling of rejected lists without a growing backoff: %v", pauses)
	}
	h.handle(old)
	h.requireUsable("only an older epoch for newHistoryTime", "1 2")
}

// If a full list omits more than SuspectFraction of the servers, the omitted servers are suspected and stay in use.
// Servers that a list names as draining or removed are not used in any case.
func TestEndpointList_suspectedServers(t *testing.T) {
	without := func(from, to int) []Server { f := identicalServers(9); return append(f[:from:from], f[to:]...) }
	for name, c := range map[string]struct {
		suspectFraction float64
		list            []Server
		usable          string
		suspected       int
	}{
		"few omitted":      {0.3, without(0, 2), "3 4 5 6 7 8 9", 0},
		"many omitted":     {0.3, without(0, 3), "1 2 3 4 5 6 7 8 9", 3},
		"empty list":       {0.3, nil, "1 2 3 4 5 6 7 8 9", 9},
		"suspicion off":    {0, nil, "", 0},
		"new server":       {0.3, []Server{{ID: 12}}, "1 2 3 4 5 6 7 8 9 12", 9},
		"named as removed": {0.3, []Server{{ID: 1, State: Draining}, {ID: 2, State: Removed}}, "3 4 5 6 7 8 9", 7},
		"half, one drains": {0.3, append(without(4, 9), Server{ID: 5, State: Draining}), "1 2 3 4 6 7 8 9", 4},
	} {
		h := newListHarness(t, func(c2 *Config) { c2.SuspectFraction = c.suspectFraction }, identicalServers(9)...)
		h.handle(ServerList{Kind: ListFull, Rev: 2, Servers: c.list})
		if got := h.b.ListStatus(h.now).Suspected; h.usableServers() != c.usable || got != c.suspected {
			t.Errorf("%s: usable %q, suspected %d; want %q, %d", name, h.usableServers(), got, c.usable, c.suspected)
		}
	}
}

// A suspected server is removed by a list event that names it as draining or removed, by a refused connection, or after
// maxSuspectTime unless the list is empty. A list that names it as ready clears the suspicion.
func TestEndpointList_suspicionEnds(t *testing.T) {
	newSuspicion := func(list ...Server) *harness {
		h := newListHarness(t, nil, identicalServers(6)...)
		if h.handle(ServerList{Kind: ListFull, Rev: 2, Servers: list}); h.b.ListStatus(h.now).Suspected == 0 {
			t.Fatal("no server is suspected")
		}
		return h
	}
	t.Run("by an entry", func(t *testing.T) {
		h := newSuspicion()
		h.handle(ServerList{Kind: ListDelta, Rev: 3, Servers: []Server{{ID: 1, State: Draining}, {ID: 2, State: Removed}, {ID: 3}}})
		h.requireUsable("changes that name them", "3 4 5 6")
		if got := h.b.ListStatus(h.now).Suspected; got != 3 {
			t.Errorf("%d servers are suspected, want 3", got)
		}
	})
	t.Run("by a full list", func(t *testing.T) {
		h := newSuspicion()
		h.handle(ServerList{Kind: ListFull, Rev: 3, Servers: identicalServers(5)})
		if h.requireUsable("a full list with nearly all", "1 2 3 4 5"); h.b.ListStatus(h.now).Suspected != 0 {
			t.Error("a server is still suspected after a full list with nearly all servers")
		}
	})
	t.Run("by a failed connection", func(t *testing.T) {
		h := newSuspicion()
		id, actions := h.sendRequest(idempotentClass)
		first, _ := sentTo(actions)
		actions = h.endAttempt(id, 0, ConnectFailed, 5)
		if f := findAction(actions, RemoveServer); f == nil || f.Server != first {
			t.Fatalf("no RemoveServer for the server: %+v", actions)
		}
		if next, ok := sentTo(actions); !ok || next == first {
			t.Errorf("request not retried at another server: %+v", actions)
		}
		if _, ok := h.b.UsableServer(first); ok {
			t.Error("server is still usable")
		}
	})
	t.Run("by time unless empty", func(t *testing.T) {
		for _, empty := range []bool{true, false} {
			var list []Server
			if !empty {
				list = identicalServers(2)
			}
			h := newSuspicion(list...)
			h.now += maxSuspectTime
			h.fireTimer(suspectTimer)
			if want := map[bool]string{true: "1 2 3 4 5 6", false: "1 2"}[empty]; h.usableServers() != want {
				t.Errorf("empty list %v: usable %q", empty, h.usableServers())
			}
		}
	})
}

// Of inconsistent entries, one is used. Of duplicates, the newest start counts and a removal wins. Of the ready servers
// at one address, the one with the newest start stays. Servers without an address are not used. A rating that is not
// positive is replaced by a default.
func TestEndpointList_badEntries(t *testing.T) {
	for name, c := range map[string]struct {
		list   []Server
		usable string
	}{
		"twice, one drains":         {[]Server{{ID: 1, State: Draining}, {ID: 1}, {ID: 2}}, "2"},
		"twice, one is removed":     {[]Server{{ID: 1}, {ID: 1, State: Removed}, {ID: 2}}, "2"},
		"twice, both ready":         {[]Server{{ID: 1, AddressKey: 5, StartedAt: 2}, {ID: 1, AddressKey: 6, StartedAt: 1}}, "1"},
		"two at one address":        {[]Server{{ID: 1, AddressKey: 5}, {ID: 2, AddressKey: 5, StartedAt: 7}, {ID: 3, AddressKey: 6}}, "2 3"},
		"two at one address, equal": {[]Server{{ID: 2, AddressKey: 5}, {ID: 1, AddressKey: 5}}, "1"},
		"two at one address, drain": {[]Server{{ID: 2, AddressKey: 5}, {ID: 1, AddressKey: 5, State: Draining, StartedAt: 9}}, "2"},
		"no address":                {[]Server{{ID: 1, AddressKey: NoAddress}, {ID: 2, AddressKey: NoAddress, State: Draining}, {ID: 3, AddressKey: 1}}, "3"},
		"no rating":                 {[]Server{{ID: 1, Rating: -1}, {ID: 2, Rating: 0}}, "1 2"},
	} {
		h := newListHarness(t, func(c *Config) { c.SuspectFraction = 0 })
		h.handle(ServerList{Kind: ListFull, Rev: 2, Servers: c.list})
		if h.usableServers() != c.usable {
			t.Errorf("%s: usable %q, want %q", name, h.usableServers(), c.usable)
		}
		for _, s := range h.b.servers {
			if !(s.Rating > 0) {
				t.Errorf("%s: server with rating %v", name, s.Rating)
			}
		}
	}
	if s, _ := func() (Server, bool) {
		h := newListHarness(t, nil)
		h.handle(ServerList{Kind: ListFull, Rev: 2, Servers: []Server{{ID: 1, AddressKey: 6, StartedAt: 1}, {ID: 1, AddressKey: 5, StartedAt: 2}}})
		return h.b.UsableServer(1)
	}(); s.AddressKey != 5 {
		t.Errorf("of two entries for a server, the older one was used: %+v", s)
	}
}

// A new address ends the ejection of a server, as failures at the old address say nothing about the new one. A new zone
// in the entry is applied.
func TestEndpointList_addressChange(t *testing.T) {
	h := newListHarness(t, nil, Server{ID: 1, AddressKey: 4}, Server{ID: 2, AddressKey: 5})
	for range 4 {
		id, actions := h.sendRequest(idempotentClass)
		if s, _ := sentTo(actions); s == 1 {
			h.endAttempt(id, 0, ConnectFailed, 5)
			break
		}
	}
	if !h.b.outliers.ejected(h.b.byID[1]) {
		t.Fatal("server not ejected after a failed connection")
	}
	h.handle(ServerList{Kind: ListDelta, Rev: 3, Servers: []Server{{ID: 1, AddressKey: 9, Zone: 3}}})
	if s := h.b.byID[1]; h.b.outliers.ejected(s) || s.Zone != 3 || h.b.slowStart.warmingUp(s) {
		t.Errorf("after the change of address: %+v", s)
	}
}

// For any sequence of lists from several services, the revision decreases only after a rejected list, a server that is
// named as draining or removed is not used, and requests go only to usable servers.
func TestEndpointList_property(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := baseConfig()
		cfg.Subscribe, cfg.ListServices = true, rapid.IntRange(2, 3).Draw(rt, "services")
		cfg.SuspectFraction = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "suspect fraction")
		b := mustNew(t, cfg)
		now := 1000.0
		b.Start(now)
		next := RequestID(0)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now += rapid.Float64Range(0, 4000).Draw(rt, "pause")
			ev := ServerList{Kind: rapid.SampledFrom([]ListKind{ListFull, ListDelta, ListDelta, ListFailed, ListUnchanged}).Draw(rt, "kind"),
				Source: rapid.IntRange(0, cfg.ListServices-1).Draw(rt, "source"), FromFetch: rapid.IntRange(0, 4).Draw(rt, "check") == 0,
				Rev: rapid.Int64Range(1, 12).Draw(rt, "rev") + rapid.Int64Range(0, 1).Draw(rt, "epoch")<<epochBits}
			for range rapid.IntRange(0, 5).Draw(rt, "entries") {
				ev.Servers = append(ev.Servers, Server{ID: ServerID(rapid.IntRange(1, 6).Draw(rt, "id")),
					State:     rapid.SampledFrom([]ServerState{Ready, Ready, Draining, Removed}).Draw(rt, "state"),
					StartedAt: float64(rapid.IntRange(0, 3).Draw(rt, "start")), AddressKey: uint64(rapid.IntRange(0, 4).Draw(rt, "address"))})
			}
			if ev.Kind == ListFailed || ev.Kind == ListUnchanged {
				ev.Servers = nil
			}
			before := b.ListStatus(now)
			if _, err := b.Handle(now, ev); err != nil {
				rt.Fatal(err)
			}
			after := b.ListStatus(now)
			if after.Rev < before.Rev && after.Rev != 0 && !before.Rejected {
				rt.Fatalf("revision decreased from %d to %d", before.Rev, after.Rev)
			}
			for _, e := range b.list.normalizeEntries(ev.Servers) {
				s, used := b.UsableServer(e.ID)
				if used && e.State != Ready && e.StartedAt >= s.StartedAt {
					rt.Fatalf("server %+v is usable although an entry removes it: %+v", s, e)
				}
			}
			next++
			actions, err := b.Handle(now, Request{ID: next, Remaining: 1500})
			if err != nil {
				rt.Fatal(err)
			}
			if to, ok := sentTo(actions); ok {
				if _, used := b.UsableServer(to); !used {
					rt.Fatalf("request sent to server %d, which is not usable", to)
				}
			}
		}
	})
}

// A draining server gets no new requests, and a full list removes the servers that it omits.
func TestEndpointList_drainingServer(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(2)...)
	draining := identicalServers(1)[0]
	draining.State = Draining
	h.handle(ServerList{Kind: ListDelta, Servers: []Server{draining}})
	for range 20 {
		id, actions := h.sendRequest(idempotentClass)
		if s, _ := sentTo(actions); s != 2 {
			t.Fatalf("sent to %d", s)
		}
		h.endAttempt(id, 0, OK, 10)
	}
	draining.State = Ready
	h.handle(ServerList{Kind: ListFull, Servers: []Server{draining}}) // the list omits the other server
	id, actions := h.sendRequest(idempotentClass)
	if s, _ := sentTo(actions); s != 1 {
		t.Fatalf("sent to %d, request %d", s, id)
	}
}
