package balance

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func listRig(t *testing.T, change func(*Config), servers ...Server) *rig {
	cfg := baseConfig()
	cfg.Subscribe, cfg.ListServices, cfg.SuspectFraction, cfg.StaleAfter = true, 2, 0.3, 5000
	if change != nil {
		change(&cfg)
	}
	return newRig(t, cfg, servers...)
}

func (g *rig) used() string {
	var out []string
	for id := ServerID(1); id < 20; id++ {
		if _, ok := g.b.UsableServer(id); ok {
			out = append(out, fmt.Sprint(id))
		}
	}
	return strings.Join(out, " ")
}

func (g *rig) wantUsed(what, want string) {
	g.t.Helper()
	if got := g.used(); got != want {
		g.t.Fatalf("%s: used %q, want %q", what, got, want)
	}
}

// timer fires a timer of the list.
func (g *rig) timer(token uint64) []Action { return g.do(Timer{Token: token}) }

func find(acts []Action, kind ActionKind) *Action {
	for i := range acts {
		if acts[i].Kind == kind {
			return &acts[i]
		}
	}
	return nil
}

func TestEndpointList_olderRevision(t *testing.T) {
	g := listRig(t, nil)
	g.do(ServerList{Kind: ListFull, Rev: 10, Servers: fleet(4)})
	acts := g.do(ServerList{Kind: ListFull, Rev: 8, Source: 1, Servers: fleet(6)})
	g.wantUsed("an older list", "1 2 3 4")
	if g.b.ListStatus(g.now).Rev != 10 || !g.b.ListStatus(g.now).Rejected || !has(acts, SetTimer) {
		t.Fatalf("an older list: %+v, %+v", g.b.ListStatus(g.now), acts)
	}
	if w := find(g.timer(listTimer), Watch); w == nil || w.Source != 1 || w.After != 10 {
		t.Fatalf("the next service is not watched from what is held: %+v", w)
	}
	g.do(ServerList{Kind: ListDelta, Rev: 9, Servers: []Server{{ID: 7}}})
	g.do(ServerList{Kind: ListDelta, Rev: 10, Servers: []Server{{ID: 7}}})
	g.wantUsed("older changes", "1 2 3 4")
	g.do(ServerList{Kind: ListDelta, Rev: 12, Servers: []Server{{ID: 7}}})
	g.wantUsed("newer changes", "1 2 3 4 7")
	if g.b.ListStatus(g.now).Rejected {
		t.Error("still refused")
	}

	// What an old list says of a server that goes is true, unless it has started again since.
	g.do(ServerList{Kind: ListDelta, Rev: 13, Servers: []Server{{ID: 1, StartedAt: 900}, {ID: 2, StartedAt: 900}}})
	g.do(ServerList{Kind: ListFull, Rev: 5, Source: 1, Servers: []Server{
		{ID: 1, State: Draining}, {ID: 2, State: Draining, StartedAt: 900}, {ID: 3, State: Gone}}})
	g.wantUsed("an older list that names some who go", "1 4 7")

	// A later history is taken at once; an earlier one only when there has been nothing else for long.
	g.do(ServerList{Kind: ListFull, Rev: 1 << epochBits, Servers: fleet(4)})
	g.do(ServerList{Kind: ListDelta, Rev: 2<<epochBits + 5, Servers: []Server{{ID: 9}}})
	g.wantUsed("changes of a history whose beginning is not known", "1 2 3 4")
}

func TestEndpointList_olderHistory(t *testing.T) {
	g := listRig(t, func(c *Config) { c.SuspectFraction = 0 }, fleet(4)...)
	g.do(ServerList{Kind: ListFull, Rev: 3 << epochBits, Servers: fleet(4)})
	old := ServerList{Kind: ListFull, Rev: 1 << epochBits, Servers: fleet(2)}
	var pauses []float64
	for began := g.now; g.now-began <= historyTime; {
		pauses = append(pauses, find(g.do(old), SetTimer).At)
		g.wantUsed("an earlier history", "1 2 3 4")
		g.now += 3000
	}
	if last := len(pauses) - 1; pauses[last] < 2*pauses[0] {
		t.Errorf("refused lists are asked for again as often as ever: %v", pauses)
	}
	g.do(old)
	g.wantUsed("nothing but an earlier history for long", "1 2")
}

func TestEndpointList_suspectedServers(t *testing.T) {
	without := func(from, to int) []Server { f := fleet(9); return append(f[:from:from], f[to:]...) }
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
		g := listRig(t, func(c2 *Config) { c2.SuspectFraction = c.share }, fleet(9)...)
		g.do(ServerList{Kind: ListFull, Rev: 2, Servers: c.list})
		if got := g.b.ListStatus(g.now).Suspected; g.used() != c.used || got != c.doubted {
			t.Errorf("%s: used %q, doubted %d; want %q, %d", name, g.used(), got, c.used, c.doubted)
		}
	}
}

func TestEndpointList_suspicionEnds(t *testing.T) {
	begin := func(list ...Server) *rig {
		g := listRig(t, nil, fleet(6)...)
		if g.do(ServerList{Kind: ListFull, Rev: 2, Servers: list}); g.b.ListStatus(g.now).Suspected == 0 {
			t.Fatal("nothing is doubted")
		}
		return g
	}
	t.Run("by a word", func(t *testing.T) {
		g := begin()
		g.do(ServerList{Kind: ListDelta, Rev: 3, Servers: []Server{{ID: 1, State: Draining}, {ID: 2, State: Gone}, {ID: 3}}})
		g.wantUsed("named", "3 4 5 6")
		if got := g.b.ListStatus(g.now).Suspected; got != 3 {
			t.Errorf("%d are doubted", got)
		}
	})
	t.Run("by a list that names them", func(t *testing.T) {
		g := begin()
		g.do(ServerList{Kind: ListFull, Rev: 3, Servers: fleet(5)})
		if g.wantUsed("a sound list", "1 2 3 4 5"); g.b.ListStatus(g.now).Suspected != 0 {
			t.Error("still doubted")
		}
	})
	t.Run("by a refused connection", func(t *testing.T) {
		g := begin()
		id, acts := g.ask(safeClass)
		first, _ := sentTo(acts)
		acts = g.answer(id, 0, ConnectFailed, 5)
		if f := find(acts, Forget); f == nil || f.Server != first {
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
				list = fleet(2)
			}
			g := begin(list...)
			g.now += suspectLimit
			g.timer(suspectTimer)
			if want := map[bool]string{true: "1 2 3 4 5 6", false: "1 2"}[empty]; g.used() != want {
				t.Errorf("empty %v: used %q", empty, g.used())
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
		g := listRig(t, func(c *Config) { c.SuspectFraction = 0 })
		g.do(ServerList{Kind: ListFull, Rev: 2, Servers: c.list})
		if g.used() != c.used {
			t.Errorf("%s: used %q, want %q", name, g.used(), c.used)
		}
		for _, s := range g.b.servers {
			if !(s.Rating > 0) {
				t.Errorf("%s: a server of the size %v", name, s.Rating)
			}
		}
	}
	if s, _ := func() (Server, bool) {
		g := listRig(t, nil)
		g.do(ServerList{Kind: ListFull, Rev: 2, Servers: []Server{{ID: 1, AddressKey: 6, StartedAt: 1}, {ID: 1, AddressKey: 5, StartedAt: 2}}})
		return g.b.UsableServer(1)
	}(); s.AddressKey != 5 {
		t.Errorf("of two entries the older counts: %+v", s)
	}
}

// A start in the future is of a clock that is off; the server is cold for its time and no longer.
func TestWallClock_startInFuture(t *testing.T) {
	g := listRig(t, nil)
	list := ServerList{Kind: ListFull, Rev: 2, Servers: []Server{{ID: 1, StartedAt: g.now + 3.6e6}}}
	g.do(list)
	if !g.b.warmingUp(g.b.byID[1]) {
		t.Error("a server that has just started is not cold")
	}
	g.now += g.b.cfg.SlowStartTime
	g.do(list) // told again: it has not started again
	if g.b.warmingUp(g.b.byID[1]) {
		t.Error("it is still cold")
	}
}

// Another address is another way to a server: what failed on the old one is not held against it. Another zone moves it.
func TestEndpointList_addressChange(t *testing.T) {
	g := listRig(t, nil, Server{ID: 1, AddressKey: 4}, Server{ID: 2, AddressKey: 5})
	for range 4 {
		id, acts := g.ask(safeClass)
		if s, _ := sentTo(acts); s == 1 {
			g.answer(id, 0, ConnectFailed, 5)
			break
		}
	}
	if !g.b.ejected(g.b.byID[1]) {
		t.Fatal("it does not rest")
	}
	g.do(ServerList{Kind: ListDelta, Rev: 3, Servers: []Server{{ID: 1, AddressKey: 9, Zone: 3}}})
	if s := g.b.byID[1]; g.b.ejected(s) || s.Zone != 3 || g.b.warmingUp(s) {
		t.Errorf("after it moved: %+v", s)
	}
}

func TestEndpointList_serviceFailover(t *testing.T) {
	g := listRig(t, func(c *Config) { c.ListServices = 3 }, fleet(3)...)
	var order []int
	for i := range 6 {
		acts := g.do(ServerList{Kind: ListFailed, Source: g.b.list.source})
		if at := find(acts, SetTimer).At; i < 3 && at > pollBackoff {
			t.Errorf("call %d is made %v ms later", i, at)
		}
		g.now += find(acts, SetTimer).At
		order = append(order, find(g.timer(listTimer), Watch).Source)
	}
	if fmt.Sprint(order) != "[1 2 0 1 2 0]" {
		t.Errorf("asked in the order %v", order)
	}
	if g.do(ServerList{Kind: ListFailed, FromFetch: true}); g.b.list.source != 0 {
		t.Error("a look that failed moves the watch")
	}
}

func TestEndpointList_stuckWatch(t *testing.T) {
	g := listRig(t, nil, fleet(3)...)
	g.do(ServerList{Kind: ListFull, Rev: 5, Servers: fleet(3)})
	look := func(source int) {
		t.Helper()
		if f := find(g.timer(checkTimer), Fetch); f == nil || f.Source != source {
			t.Fatalf("a look at %+v, want at service %d", f, source)
		}
	}
	look(1)
	acts := g.do(ServerList{Kind: ListFull, Rev: 8, Source: 1, FromFetch: true, Servers: fleet(4)})
	if g.wantUsed("a newer list elsewhere", "1 2 3 4"); find(acts, SetTimer) == nil {
		t.Fatal("the watch is given no time")
	}
	g.do(ServerList{Kind: ListDelta, Rev: 8, Servers: fleet(4)})
	if has(g.timer(stuckTimer), Watch) {
		t.Fatal("a watch that told it is left")
	}
	look(1)
	g.do(ServerList{Kind: ListFull, Rev: 9, Source: 1, FromFetch: true, Servers: fleet(5)})
	g.do(ServerList{Kind: ListAlive})
	if w := find(g.timer(stuckTimer), Watch); w == nil || w.Source != 1 {
		t.Fatalf("a watch whose changes have stopped is kept: %+v", w)
	}
	for i := range backChecks {
		look(0)
		w := find(g.do(ServerList{Kind: ListFull, Rev: 9, FromFetch: true, Servers: fleet(5)}), Watch)
		if last := i == backChecks-1; (w != nil) != last || last && w.Source != 0 {
			t.Fatalf("look %d at the nearer one: %+v", i, w)
		}
	}
}

// Looks begin when there is a second service, end when there is none, and are never made twice.
func TestEndpointList_checksByServiceCount(t *testing.T) {
	g := listRig(t, func(c *Config) { c.ListServices = 1 }, fleet(3)...)
	looks := func(acts []Action) (n int) {
		for _, a := range acts {
			if a.Kind == SetTimer && a.Token == checkTimer {
				n++
			}
		}
		return n
	}
	for i, c := range []struct {
		ev   Event
		want int
	}{
		{ListServices{Count: 1}, 0}, {ListServices{Count: 2}, 1}, {ListServices{Count: 3}, 0}, {Timer{Token: checkTimer}, 1},
		{ListServices{Count: 1}, 0}, {Timer{Token: checkTimer}, 0}, {ListServices{Count: 2}, 1},
	} {
		if got := looks(g.do(c.ev)); got != c.want {
			t.Errorf("step %d, %+v: %d looks are to come, want %d", i, c.ev, got, c.want)
		}
	}
	if looks(g.acts) != 3 {
		t.Errorf("%d looks in all", looks(g.acts))
	}
}

// Once the list is stale a server that refuses connections stays out for longer and longer.
func TestEndpointList_stale(t *testing.T) {
	g := listRig(t, nil, fleet(1)...)
	g.do(ServerList{Kind: ListFull, Rev: 2, Servers: fleet(1)})
	s := g.b.byID[1]
	rest := func() float64 {
		s.ejections, s.processDown = 10, true
		g.b.now = g.now
		g.b.eject(s)
		return s.ejectedUntil - g.now
	}
	fresh := rest()
	g.now += g.b.cfg.StaleAfter + 1
	if g.timer(listTimer); !g.b.ListStatus(g.now).Stale || rest() <= fresh {
		t.Errorf("stale %v: it rests for %v ms, before for %v", g.b.ListStatus(g.now).Stale, rest(), fresh)
	}
	if acts := g.do(ServerList{Kind: ListAlive}); g.b.ListStatus(g.now).Stale || !has(acts, Log) || rest() != fresh {
		t.Error("the list is heard of again, and still stale")
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
			for _, e := range b.normalizeEntries(ev.Servers) {
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

// A watch that speaks, if only to say that nothing has changed, ends a row of failed calls: the next pause is the
// first one again.
func TestEndpointList_backoffReset(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe = true
	g := newRig(t, cfg, fleet(4)...)
	pause := func() float64 {
		for _, a := range g.do(ServerList{Kind: ListFailed}) {
			if a.Kind == SetTimer && a.Token == listTimer {
				return a.At
			}
		}
		t.Fatal("no call is to be made again")
		return 0
	}
	var last float64
	for range 4 {
		last = pause()
	}
	if last <= pollBackoff {
		t.Fatalf("the fourth pause in a row is %v ms", last)
	}
	g.do(ServerList{Kind: ListAlive})
	if got := pause(); got > pollBackoff {
		t.Errorf("after a word the next pause is %v ms, want at most %v", got, pollBackoff)
	}
}

// A watch that begins from the list known at the start has nothing to tell until that changes.
func TestEndpointList_quietWatch(t *testing.T) {
	g := listRig(t, nil)
	g.do(ServerList{Kind: ListCached, Rev: 5, Servers: fleet(4)})
	g.do(ServerList{Kind: ListAlive})
	acts := g.do(ServerList{Kind: ListFull, Rev: 5, Source: 1, FromFetch: true, Servers: fleet(4)})
	if has(acts, SetTimer) || has(g.timer(stuckTimer), Watch) {
		t.Fatal("a watch that has nothing to tell beyond what was known counts as stuck")
	}
	g.do(ServerList{Kind: ListFull, Rev: 6, Source: 1, FromFetch: true, Servers: fleet(4)})
	if w := find(g.timer(stuckTimer), Watch); w == nil || w.Source != 1 {
		t.Fatal("a stuck watch is not left")
	}
}

// LongestPause bounds each pause, whatever AskWithin allows and the service says.
func TestEndpointList_maxPollBackoff(t *testing.T) {
	for _, askWithin := range []float64{0, 10000, 600000} {
		cfg := baseConfig()
		cfg.Subscribe, cfg.PollInterval, cfg.MaxPollBackoff = true, askWithin, 4500
		for name, failure := range map[string]ServerList{
			"nobody there": {Kind: ListFailed}, "turned away": {Kind: ListFailed, Busy: true},
			"told to come in an hour": {Kind: ListFailed, Busy: true, RetryAfter: 3.6e6},
		} {
			g := newRig(t, cfg, fleet(3)...)
			longest := 0.0
			for range 40 {
				at := find(g.do(failure), SetTimer).At
				longest = math.Max(longest, at)
				g.now += at
				g.timer(listTimer)
			}
			if longest > cfg.MaxPollBackoff || longest < cfg.MaxPollBackoff/2 && (askWithin != 10000 || failure.Busy) {
				t.Errorf("%s, AskWithin %v: the longest of 40 pauses is %v ms", name, askWithin, longest)
			}
		}
	}
}
