package balance

import (
	"fmt"
	"math"
	"testing"
)

// A start time in the future comes from a wrong clock: the server is in slow start for SlowStartTime and no longer.
func TestWallClock_startInFuture(t *testing.T) {
	h := newListHarness(t, nil)
	list := ServerList{Kind: ListFull, Rev: 2, Servers: []Server{{ID: 1, StartedAt: h.now + 3.6e6}}}
	h.handle(list)
	if !h.b.slowStart.warmingUp(h.b.byID[1]) {
		t.Error("server not in slow start after its start")
	}
	h.now += h.b.cfg.SlowStartTime
	h.handle(list) // the same start again is no restart
	if h.b.slowStart.warmingUp(h.b.byID[1]) {
		t.Error("server still in slow start after SlowStartTime")
	}
}

const (
	testHour = 3.6e6
	testBoot = 1.7e12 // start of the test in ms since 1970, as in lists
)

// newClockHarness returns a harness with one list service and servers 1 to 3 that started long ago. Server 4 started
// 90 minutes before.
func newClockHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, b: mustNew(t, baseConfig()), now: testBoot}
	servers := append(identicalServers(3), Server{ID: 4, StartedAt: testBoot - 1.5*testHour})
	h.handle(ServerList{Kind: ListFull, Rev: 10, Servers: servers})
	return h
}

// updateServer applies a list change of one server and returns the server's state.
func (h *harness) updateServer(rev int64, s Server) *server {
	h.t.Helper()
	h.handle(ServerList{Kind: ListDelta, Rev: rev, Servers: []Server{s}})
	return h.b.byID[s.ID]
}

// passTime lets time pass and then reports an unchanged list.
func (h *harness) passTime(ms float64) {
	h.t.Helper()
	h.now += ms
	h.handle(ServerList{Kind: ListUnchanged})
}

// stepClock steps this machine's wall clock to this total offset.
func (h *harness) stepClock(offset float64) {
	h.t.Helper()
	h.handle(ClockStepped{Offset: offset})
	h.now += 50
}

// After a reported step of the wall clock, the slow start of a server begins at its true start.
func TestWallClock_startAfterStep(t *testing.T) {
	for _, step := range []float64{-testHour, -30e3, -1e3, 1e3, 30e3, testHour} {
		for name, id := range map[string]ServerID{"new": 9, "restarted": 4, "restarted, started long ago": 2} {
			t.Run(fmt.Sprintf("%v s, %s", step/1000, name), func(t *testing.T) {
				h := newClockHarness(t)
				h.now += 60e3
				h.stepClock(step)
				h.now += 8e3
				started := h.now - 200
				s := h.updateServer(11, Server{ID: id, StartedAt: started + step})
				if !h.b.slowStart.warmingUp(s) || s.slowStartAt < started-maxFutureStart || s.slowStartAt > h.now {
					t.Fatalf("started %.0f ms ago, slow start is %.0f ms old", h.now-started, h.now-s.slowStartAt)
				}
				h.passTime(h.b.cfg.SlowStartTime + 1)
				if h.b.slowStart.warmingUp(s) {
					t.Error("the slow start does not end")
				}
			})
		}
	}
}

// Clocks of machines are not stepped together: the one that stamped a start may not be stepped, or be stepped before
// this one.
func TestWallClock_otherMachine(t *testing.T) {
	for _, step := range []float64{-testHour, -30e3, -1e3, 1e3, 30e3, testHour} {
		check := func(h *harness, started, listed float64) {
			t.Helper()
			h.now += 500
			if s := h.updateServer(11, Server{ID: 9, StartedAt: listed}); !h.b.slowStart.warmingUp(s) || s.slowStartAt < started-maxFutureStart {
				t.Errorf("step %v s: started %.0f ms ago, slow start is %.0f ms old", step/1000, h.now-started, h.now-s.slowStartAt)
			}
		}
		t.Run("not stepped", func(t *testing.T) {
			h := newClockHarness(t)
			h.stepClock(step)
			h.now += 2 * testHour
			check(h, h.now, h.now)
		})
		t.Run("stepped before", func(t *testing.T) {
			h := newClockHarness(t)
			started := h.now
			h.now += 5000
			h.stepClock(step)
			check(h, started, started+step)
		})
	}
}

// After two steps that cancel each other out, a start time listed between them is an hour off, and a later restart is
// still noticed.
func TestWallClock_stepForthAndBack(t *testing.T) {
	for _, step := range []float64{-testHour, testHour} {
		h := newClockHarness(t)
		h.stepClock(step)
		s := h.updateServer(11, Server{ID: 4, StartedAt: h.now + step})
		h.passTime(2 * h.b.cfg.SlowStartTime)
		if h.b.slowStart.warmingUp(s) {
			t.Fatalf("step %v: a warm server is in slow start", step)
		}
		h.stepClock(0)
		h.now += 1000
		if s = h.updateServer(12, Server{ID: 4, StartedAt: h.now - 100}); !h.b.slowStart.warmingUp(s) || s.slowStartAt < h.now-1100 {
			t.Errorf("step %v: after a restart following the second step, the slow start is %v ms old", step, h.now-s.slowStartAt)
		}
	}
}

// A step that was not reported shows in implausible start times, which count as a restart at the present time. Plausible
// start times are used unchanged.
func TestWallClock_implausibleStarts(t *testing.T) {
	for name, c := range map[string]struct {
		starts    []float64 // successive listed start times of server 4, relative to testBoot
		warmingUp bool
	}{
		"in the future":                     {[]float64{testHour}, true},
		"before the known one":              {[]float64{-2 * testHour}, true},
		"before one in the future":          {[]float64{testHour, -100}, true},
		"after the known one, but long ago": {[]float64{-testHour}, true},
		"plausible":                         {[]float64{10e3}, false},
		"the same":                          {[]float64{-1.5 * testHour}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newClockHarness(t)
			var s *server
			for i, start := range c.starts {
				h.passTime(2 * h.b.cfg.SlowStartTime)
				h.now += 100
				s = h.updateServer(int64(11+i), Server{ID: 4, StartedAt: testBoot + start})
			}
			if h.b.slowStart.warmingUp(s) != c.warmingUp || c.warmingUp && s.slowStartAt < h.now-200 {
				t.Errorf("slow start %v, %v ms old", h.b.slowStart.warmingUp(s), h.now-s.slowStartAt)
			}
		})
	}
}

// A list that is not newer than the current one is no evidence of a restart, however old its start times are.
func TestWallClock_olderLists(t *testing.T) {
	for name, list := range map[string]ServerList{
		"the same revision":  {Kind: ListFull, Rev: 10},
		"an older revision":  {Kind: ListFull, Rev: 9},
		"another epoch":      {Kind: ListFull, Rev: 1<<epochBits + 20},
		"without a revision": {Kind: ListFull},
		"unknown start":      {Kind: ListFull, Rev: 11},
	} {
		t.Run(name, func(t *testing.T) {
			h := newClockHarness(t)
			list.Servers = append(identicalServers(3), Server{ID: 4, StartedAt: testBoot - 2*testHour})
			if list.Rev == 11 {
				list.Servers[3].StartedAt = 0
			}
			h.handle(list)
			if h.b.slowStart.warmingUp(h.b.byID[4]) || h.b.clock.stepDetected {
				t.Errorf("restart assumed: %+v", h.b.byID[4])
			}
		})
	}
}

// Of two servers at one address the one that started later is used, even if a step back came between the starts.
func TestWallClock_sharedAddress(t *testing.T) {
	for _, step := range []float64{-testHour, -30e3} {
		h := newClockHarness(t)
		h.handle(ServerList{Kind: ListFull, Rev: 11, Servers: []Server{{ID: 1, AddressKey: 6, StartedAt: h.now - 20e3}}})
		h.stepClock(step)
		h.now += 1000
		h.handle(ServerList{Kind: ListFull, Rev: 12, Servers: []Server{
			{ID: 1, AddressKey: 6, StartedAt: testBoot - 20e3}, {ID: 2, AddressKey: 6, StartedAt: h.now - 100 + step}}})
		h.requireUsable(fmt.Sprintf("%v s", step/1000), "2")
	}
}

// After any number of steps, the slow start of a restarted server begins at about its true start, and the number of
// offsets kept is limited.
func TestWallClock_manySteps(t *testing.T) {
	for seed := range uint64(200) {
		h, offset, rev, random := newClockHarness(t), 0.0, int64(10), seed
		for range 30 {
			random = mix(random + 1)
			h.now += 10e3 + float64(random%7)*10e3
			offset += []float64{1e3, -1e3, 30e3, -30e3, testHour, -testHour}[mix(random)%6]
			h.stepClock(offset)
			h.now += 1000
			rev++
			s := h.updateServer(rev, Server{ID: 4, StartedAt: h.now - 100 + offset})
			if !h.b.slowStart.warmingUp(s) || s.slowStartAt > h.now || s.slowStartAt < h.now-2000 {
				t.Fatalf("seed %d, offset %v: started %v ms ago", seed, offset, h.now-s.slowStartAt)
			}
			if len(h.b.clock.offsets) > maxOffsets {
				t.Fatal(len(h.b.clock.offsets), "offsets are kept")
			}
		}
	}
}

// Without a step, listed start times are used unchanged.
func TestWallClock_noStep(t *testing.T) {
	h := newClockHarness(t)
	for rev, start := range []float64{-30e3, -100, 500} {
		h.passTime(60e3)
		s := h.updateServer(int64(11+rev), Server{ID: 4, StartedAt: h.now + start})
		if s.slowStartAt != h.now+start || h.b.clock.stepDetected {
			t.Errorf("start %v: slow start begins at %v", start, s.slowStartAt-h.now)
		}
	}
	if s := h.b.byID[1]; !math.IsInf(s.slowStartAt, -1) {
		t.Errorf("server started long ago: slow start begins at %v", s.slowStartAt)
	}
}
