package balance

import (
	"fmt"
	"math"
	"testing"
)

func TestEndpointList_serviceFailover(t *testing.T) {
	g := newListHarness(t, func(c *Config) { c.ListServices = 3 }, identicalServers(3)...)
	var order []int
	for i := range 6 {
		acts := g.handle(ServerList{Kind: ListFailed, Source: g.b.list.source})
		if at := findAction(acts, SetTimer).At; i < 3 && at > minPollBackoff {
			t.Errorf("call %d is made %v ms later", i, at)
		}
		g.now += findAction(acts, SetTimer).At
		order = append(order, findAction(g.fireTimer(listTimer), Watch).Source)
	}
	if fmt.Sprint(order) != "[1 2 0 1 2 0]" {
		t.Errorf("asked in the order %v", order)
	}
	if g.handle(ServerList{Kind: ListFailed, FromFetch: true}); g.b.list.source != 0 {
		t.Error("a look that failed moves the watch")
	}
}

func TestEndpointList_stuckWatch(t *testing.T) {
	g := newListHarness(t, nil, identicalServers(3)...)
	g.handle(ServerList{Kind: ListFull, Rev: 5, Servers: identicalServers(3)})
	look := func(source int) {
		t.Helper()
		if f := findAction(g.fireTimer(checkTimer), Fetch); f == nil || f.Source != source {
			t.Fatalf("a look at %+v, want at service %d", f, source)
		}
	}
	look(1)
	acts := g.handle(ServerList{Kind: ListFull, Rev: 8, Source: 1, FromFetch: true, Servers: identicalServers(4)})
	if g.requireUsable("a newer list elsewhere", "1 2 3 4"); findAction(acts, SetTimer) == nil {
		t.Fatal("the watch is given no time")
	}
	g.handle(ServerList{Kind: ListDelta, Rev: 8, Servers: identicalServers(4)})
	if hasAction(g.fireTimer(stuckTimer), Watch) {
		t.Fatal("a watch that told it is left")
	}
	look(1)
	g.handle(ServerList{Kind: ListFull, Rev: 9, Source: 1, FromFetch: true, Servers: identicalServers(5)})
	g.handle(ServerList{Kind: ListAlive})
	if w := findAction(g.fireTimer(stuckTimer), Watch); w == nil || w.Source != 1 {
		t.Fatalf("a watch whose changes have stopped is kept: %+v", w)
	}
	for i := range goodChecksToReturn {
		look(0)
		w := findAction(g.handle(ServerList{Kind: ListFull, Rev: 9, FromFetch: true, Servers: identicalServers(5)}), Watch)
		if last := i == goodChecksToReturn-1; (w != nil) != last || last && w.Source != 0 {
			t.Fatalf("look %d at the nearer one: %+v", i, w)
		}
	}
}

// Looks begin when there is a second service, end when there is none, and are never made twice.
func TestEndpointList_checksByServiceCount(t *testing.T) {
	g := newListHarness(t, func(c *Config) { c.ListServices = 1 }, identicalServers(3)...)
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
		if got := looks(g.handle(c.ev)); got != c.want {
			t.Errorf("step %d, %+v: %d looks are to come, want %d", i, c.ev, got, c.want)
		}
	}
	if looks(g.actions) != 3 {
		t.Errorf("%d looks in all", looks(g.actions))
	}
}

// Once the list is stale a server that refuses connections stays out for longer and longer.
func TestEndpointList_stale(t *testing.T) {
	g := newListHarness(t, nil, identicalServers(1)...)
	g.handle(ServerList{Kind: ListFull, Rev: 2, Servers: identicalServers(1)})
	s := g.b.byID[1]
	rest := func() float64 {
		s.ejections, s.processDown = 10, true
		g.b.now = g.now
		g.b.outliers.eject(s)
		return s.ejectedUntil - g.now
	}
	fresh := rest()
	g.now += g.b.cfg.StaleAfter + 1
	if g.fireTimer(listTimer); !g.b.ListStatus(g.now).Stale || rest() <= fresh {
		t.Errorf("stale %v: it rests for %v ms, before for %v", g.b.ListStatus(g.now).Stale, rest(), fresh)
	}
	if acts := g.handle(ServerList{Kind: ListAlive}); g.b.ListStatus(g.now).Stale || !hasAction(acts, Log) || rest() != fresh {
		t.Error("the list is heard of again, and still stale")
	}
}

// A watch that speaks, if only to say that nothing has changed, ends a row of failed calls: the next pause is the
// first one again.
func TestEndpointList_backoffReset(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe = true
	g := newHarness(t, cfg, identicalServers(4)...)
	pause := func() float64 {
		for _, a := range g.handle(ServerList{Kind: ListFailed}) {
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
	if last <= minPollBackoff {
		t.Fatalf("the fourth pause in a row is %v ms", last)
	}
	g.handle(ServerList{Kind: ListAlive})
	if got := pause(); got > minPollBackoff {
		t.Errorf("after a word the next pause is %v ms, want at most %v", got, minPollBackoff)
	}
}

// A watch that begins from the list known at the start has nothing to tell until that changes.
func TestEndpointList_quietWatch(t *testing.T) {
	g := newListHarness(t, nil)
	g.handle(ServerList{Kind: ListCached, Rev: 5, Servers: identicalServers(4)})
	g.handle(ServerList{Kind: ListAlive})
	acts := g.handle(ServerList{Kind: ListFull, Rev: 5, Source: 1, FromFetch: true, Servers: identicalServers(4)})
	if hasAction(acts, SetTimer) || hasAction(g.fireTimer(stuckTimer), Watch) {
		t.Fatal("a watch that has nothing to tell beyond what was known counts as stuck")
	}
	g.handle(ServerList{Kind: ListFull, Rev: 6, Source: 1, FromFetch: true, Servers: identicalServers(4)})
	if w := findAction(g.fireTimer(stuckTimer), Watch); w == nil || w.Source != 1 {
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
			g := newHarness(t, cfg, identicalServers(3)...)
			longest := 0.0
			for range 40 {
				at := findAction(g.handle(failure), SetTimer).At
				longest = math.Max(longest, at)
				g.now += at
				g.fireTimer(listTimer)
			}
			if longest > cfg.MaxPollBackoff || longest < cfg.MaxPollBackoff/2 && (askWithin != 10000 || failure.Busy) {
				t.Errorf("%s, AskWithin %v: the longest of 40 pauses is %v ms", name, askWithin, longest)
			}
		}
	}
}

// Failed list calls keep the old list and are made again, ever later, within the limit.
func TestEndpointList_pollBackoff(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe = true
	g := newHarness(t, cfg, identicalServers(3)...)
	if !hasAction(g.actions, Watch) {
		t.Fatal("not subscribed at once")
	}
	for _, c := range []struct {
		busy bool
		most float64
	}{{false, cfg.PollInterval / 3}, {true, 3 * cfg.PollInterval}} { // who is there and turns calls away has too many
		g.handle(ServerList{Kind: ListFull, Servers: identicalServers(3)})
		var pauses []float64
		for range 6 {
			acts := g.handle(ServerList{Kind: ListFailed, Busy: c.busy})
			if len(acts) != 1 || acts[0].Token != listTimer || acts[0].At > c.most {
				t.Fatalf("after a failed call: %+v", acts)
			}
			pauses = append(pauses, acts[0].At)
			g.now += acts[0].At
			if !hasAction(g.handle(Timer{Token: listTimer}), Watch) {
				t.Fatal("not asked again")
			}
		}
		if pauses[5] < c.most/2 || pauses[0] > minPollBackoff || len(g.b.servers) != 3 {
			t.Fatalf("busy %v: pauses %v, %d servers", c.busy, pauses, len(g.b.servers))
		}
	}
	for range 20 { // who says when is believed
		if at := findAction(g.handle(ServerList{Kind: ListFailed, Busy: true, RetryAfter: 700}), SetTimer).At; at < 700 || at > 1400 {
			t.Fatalf("told to come in 700 ms it comes in %v", at)
		}
	}
}
