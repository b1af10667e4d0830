package balance

import (
	"fmt"
	"math"
	"testing"
)

// After a failed call the next service is called. The backoff grows only after all services have failed. A failed check
// of another service does not switch the watch.
func TestEndpointList_serviceFailover(t *testing.T) {
	h := newListHarness(t, func(c *Config) { c.ListServices = 3 }, identicalServers(3)...)
	var order []int
	for i := range 6 {
		actions := h.handle(ServerList{Kind: ListFailed, Source: h.b.list.source})
		if at := findAction(actions, SetTimer).At; i < 3 && at > minPollBackoff {
			t.Errorf("call %d: backoff of %v ms", i, at)
		}
		h.now += findAction(actions, SetTimer).At
		order = append(order, findAction(h.fireTimer(listRetryTimer), Watch).Source)
	}
	if fmt.Sprint(order) != "[1 2 0 1 2 0]" {
		t.Errorf("services called in the order %v", order)
	}
	if h.handle(ServerList{Kind: ListFailed, FromFetch: true}); h.b.list.source != 0 {
		t.Error("failed check switched the watch")
	}
}

// If a check finds a newer revision at another service and the watch does not deliver it in time, the watch switches to
// that service. It returns to the preferred service after checksToSwitchBack up-to-date checks.
func TestEndpointList_stalledWatch(t *testing.T) {
	h := newListHarness(t, nil, identicalServers(3)...)
	h.handle(ServerList{Kind: ListFull, Rev: 5, Servers: identicalServers(3)})
	expectCheck := func(source int) {
		t.Helper()
		if f := findAction(h.fireTimer(serviceCheckTimer), Fetch); f == nil || f.Source != source {
			t.Fatalf("check %+v, want a check of service %d", f, source)
		}
	}
	expectCheck(1)
	actions := h.handle(ServerList{Kind: ListFull, Rev: 8, Source: 1, FromFetch: true, Servers: identicalServers(4)})
	if h.requireUsable("a newer list at another service", "1 2 3 4"); findAction(actions, SetTimer) == nil {
		t.Fatal("no timer set for the watch to deliver the revision")
	}
	h.handle(ServerList{Kind: ListDelta, Rev: 8, Servers: identicalServers(4)})
	if hasAction(h.fireTimer(stalledWatchTimer), Watch) {
		t.Fatal("watch switched although it delivered the revision")
	}
	expectCheck(1)
	h.handle(ServerList{Kind: ListFull, Rev: 9, Source: 1, FromFetch: true, Servers: identicalServers(5)})
	h.handle(ServerList{Kind: ListUnchanged})
	if w := findAction(h.fireTimer(stalledWatchTimer), Watch); w == nil || w.Source != 1 {
		t.Fatalf("stalled watch not switched: %+v", w)
	}
	for i := range checksToSwitchBack {
		expectCheck(0)
		w := findAction(h.handle(ServerList{Kind: ListFull, Rev: 9, FromFetch: true, Servers: identicalServers(5)}), Watch)
		if last := i == checksToSwitchBack-1; (w != nil) != last || last && w.Source != 0 {
			t.Fatalf("check %d of the preferred service: %+v", i, w)
		}
	}
}

// Checks start when there is a second service, stop when there is none, and are never scheduled twice.
func TestEndpointList_checksByServiceCount(t *testing.T) {
	h := newListHarness(t, func(c *Config) { c.ListServices = 1 }, identicalServers(3)...)
	scheduledChecks := func(actions []Action) (n int) {
		for _, a := range actions {
			if a.Kind == SetTimer && a.Token == serviceCheckTimer {
				n++
			}
		}
		return n
	}
	for i, c := range []struct {
		ev   Event
		want int
	}{
		{ListServices{Count: 1}, 0}, {ListServices{Count: 2}, 1}, {ListServices{Count: 3}, 0}, {Timer{Token: serviceCheckTimer}, 1},
		{ListServices{Count: 1}, 0}, {Timer{Token: serviceCheckTimer}, 0}, {ListServices{Count: 2}, 1},
	} {
		if got := scheduledChecks(h.handle(c.ev)); got != c.want {
			t.Errorf("step %d, %+v: %d checks scheduled, want %d", i, c.ev, got, c.want)
		}
	}
	if scheduledChecks(h.actions) != 3 {
		t.Errorf("%d checks in all, want 3", scheduledChecks(h.actions))
	}
}

// While the list is stale, a server that refuses connections is ejected for longer. A watch that reports no change ends
// this.
func TestEndpointList_stale(t *testing.T) {
	h := newListHarness(t, nil, identicalServers(1)...)
	h.handle(ServerList{Kind: ListFull, Rev: 2, Servers: identicalServers(1)})
	s := h.b.byID[1]
	ejectionTime := func() float64 {
		s.consecutiveEjections, s.processDown = 10, true
		h.b.now = h.now
		h.b.outliers.eject(s)
		return s.ejectedUntil - h.now
	}
	beforeStale := ejectionTime()
	h.now += h.b.cfg.StaleAfter + 1
	if h.fireTimer(listRetryTimer); !h.b.ListStatus(h.now).Stale || ejectionTime() <= beforeStale {
		t.Errorf("stale %v: ejected for %v ms, before that for %v ms", h.b.ListStatus(h.now).Stale, ejectionTime(), beforeStale)
	}
	if actions := h.handle(ServerList{Kind: ListUnchanged}); h.b.ListStatus(h.now).Stale || !hasAction(actions, Log) || ejectionTime() != beforeStale {
		t.Error("list still stale after an event of the watch")
	}
}

// A watch that delivers anything, even without a change, resets the backoff.
func TestEndpointList_backoffReset(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe = true
	h := newHarness(t, cfg, identicalServers(4)...)
	pause := func() float64 {
		for _, a := range h.handle(ServerList{Kind: ListFailed}) {
			if a.Kind == SetTimer && a.Token == listRetryTimer {
				return a.At
			}
		}
		t.Fatal("no retry scheduled")
		return 0
	}
	var last float64
	for range 4 {
		last = pause()
	}
	if last <= minPollBackoff {
		t.Fatalf("fourth backoff: %v ms", last)
	}
	h.handle(ServerList{Kind: ListUnchanged})
	if got := pause(); got > minPollBackoff {
		t.Errorf("backoff after an event of the watch: %v ms, want at most %v", got, minPollBackoff)
	}
}

// A watch that starts from the cached revision and delivers nothing counts as stalled only if another service has a
// newer revision.
func TestEndpointList_quietWatch(t *testing.T) {
	h := newListHarness(t, nil)
	h.handle(ServerList{Kind: ListCached, Rev: 5, Servers: identicalServers(4)})
	h.handle(ServerList{Kind: ListUnchanged})
	actions := h.handle(ServerList{Kind: ListFull, Rev: 5, Source: 1, FromFetch: true, Servers: identicalServers(4)})
	if hasAction(actions, SetTimer) || hasAction(h.fireTimer(stalledWatchTimer), Watch) {
		t.Fatal("watch counts as stalled although there is no newer revision")
	}
	h.handle(ServerList{Kind: ListFull, Rev: 6, Source: 1, FromFetch: true, Servers: identicalServers(4)})
	if w := findAction(h.fireTimer(stalledWatchTimer), Watch); w == nil || w.Source != 1 {
		t.Fatal("stalled watch not switched")
	}
}

// MaxPollBackoff limits each backoff, whatever PollInterval and RetryAfter are.
func TestEndpointList_maxPollBackoff(t *testing.T) {
	for _, pollInterval := range []float64{0, 10000, 600000} {
		cfg := baseConfig()
		cfg.Subscribe, cfg.PollInterval, cfg.MaxPollBackoff = true, pollInterval, 4500
		for name, failure := range map[string]ServerList{
			"unreachable": {Kind: ListFailed}, "busy": {Kind: ListFailed, Busy: true},
			"busy for an hour": {Kind: ListFailed, Busy: true, RetryAfter: 3.6e6},
		} {
			h := newHarness(t, cfg, identicalServers(3)...)
			maxPause := 0.0
			for range 40 {
				at := findAction(h.handle(failure), SetTimer).At
				maxPause = math.Max(maxPause, at)
				h.now += at
				h.fireTimer(listRetryTimer)
			}
			if maxPause > cfg.MaxPollBackoff || maxPause < cfg.MaxPollBackoff/2 && (pollInterval != 10000 || failure.Busy) {
				t.Errorf("%s, PollInterval %v: the longest of 40 backoffs is %v ms", name, pollInterval, maxPause)
			}
		}
	}
}

// Failed list calls keep the current list and are retried with a growing backoff up to a limit. The limit is larger for a
// busy service, and the RetryAfter of a service is respected.
func TestEndpointList_pollBackoff(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe = true
	h := newHarness(t, cfg, identicalServers(3)...)
	if !hasAction(h.actions, Watch) {
		t.Fatal("watch not started at once")
	}
	for _, c := range []struct {
		busy     bool
		maxPause float64
	}{{false, cfg.PollInterval / 3}, {true, 3 * cfg.PollInterval}} { // a busy service has too many callers
		h.handle(ServerList{Kind: ListFull, Servers: identicalServers(3)})
		var pauses []float64
		for range 6 {
			actions := h.handle(ServerList{Kind: ListFailed, Busy: c.busy})
			if len(actions) != 1 || actions[0].Token != listRetryTimer || actions[0].At > c.maxPause {
				t.Fatalf("actions after a failed call: %+v", actions)
			}
			pauses = append(pauses, actions[0].At)
			h.now += actions[0].At
			if !hasAction(h.handle(Timer{Token: listRetryTimer}), Watch) {
				t.Fatal("call not retried")
			}
		}
		if pauses[5] < c.maxPause/2 || pauses[0] > minPollBackoff || len(h.b.servers) != 3 {
			t.Fatalf("busy %v: backoffs %v, %d servers", c.busy, pauses, len(h.b.servers))
		}
	}
	for range 20 { // the RetryAfter of the service is respected
		if at := findAction(h.handle(ServerList{Kind: ListFailed, Busy: true, RetryAfter: 700}), SetTimer).At; at < 700 || at > 1400 {
			t.Fatalf("with RetryAfter 700 ms the next call comes after %v ms", at)
		}
	}
}
