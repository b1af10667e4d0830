package balance

import (
	"fmt"
	"math"
	"testing"
)

// A start in the future is of a clock that is off; the server is cold for its time and no longer.
func TestWallClock_startInFuture(t *testing.T) {
	g := newListHarness(t, nil)
	list := ServerList{Kind: ListFull, Rev: 2, Servers: []Server{{ID: 1, StartedAt: g.now + 3.6e6}}}
	g.handle(list)
	if !g.b.slowStart.warmingUp(g.b.byID[1]) {
		t.Error("a server that has just started is not cold")
	}
	g.now += g.b.cfg.SlowStartTime
	g.handle(list) // told again: it has not started again
	if g.b.slowStart.warmingUp(g.b.byID[1]) {
		t.Error("it is still cold")
	}
}

const (
	testHour = 3.6e6
	testBoot = 1.7e12 // a time as servers' starts are told
)

// clockRig has one service, as on the platform, and servers 1 to 3 that started long ago. Server 4 started an hour and
// a half before.
func newClockHarness(t *testing.T) *harness {
	t.Helper()
	g := &harness{t: t, b: mustNew(t, baseConfig()), now: testBoot}
	g.handle(ServerList{Kind: ListFull, Rev: 10, Servers: append(identicalServers(3), Server{ID: 4, StartedAt: testBoot - 1.5*testHour})})
	return g
}

// told takes in a change of server 4, or of another.
func (g *harness) updateServer(rev int64, s Server) *server {
	g.t.Helper()
	g.handle(ServerList{Kind: ListDelta, Rev: rev, Servers: []Server{s}})
	return g.b.byID[s.ID]
}

// pass lets time go by in which a service says that it is there.
func (g *harness) passTime(ms float64) {
	g.t.Helper()
	g.now += ms
	g.handle(ServerList{Kind: ListAlive})
}

func (g *harness) stepClock(offset float64) {
	g.t.Helper()
	g.handle(ClockStepped{Offset: offset})
	g.now += 50
}

// A server that starts behind a step that this process has noticed is cold from its true start on.
func TestWallClock_startAfterStep(t *testing.T) {
	for _, step := range []float64{-testHour, -30e3, -1e3, 1e3, 30e3, testHour} {
		for name, id := range map[string]ServerID{"a new one": 9, "a restart": 4, "a restart of long ago": 2} {
			t.Run(fmt.Sprintf("%v s, %s", step/1000, name), func(t *testing.T) {
				g := newClockHarness(t)
				g.now += 60e3
				g.stepClock(step)
				g.now += 8e3
				started := g.now - 200
				s := g.updateServer(11, Server{ID: id, StartedAt: started + step})
				if !g.b.slowStart.warmingUp(s) || s.slowStartAt < started-futureSlack || s.slowStartAt > g.now {
					t.Fatalf("started %.0f ms ago, taken for %.0f", g.now-started, g.now-s.slowStartAt)
				}
				g.passTime(g.b.cfg.SlowStartTime + 1)
				if g.b.slowStart.warmingUp(s) {
					t.Error("it stays cold")
				}
			})
		}
	}
}

// Machines' clocks are not stepped together: another one's stays as it is, or is stepped before this process's.
func TestWallClock_otherMachine(t *testing.T) {
	for _, step := range []float64{-testHour, -30e3, -1e3, 1e3, 30e3, testHour} {
		check := func(g *harness, began, told float64) {
			t.Helper()
			g.now += 500
			if s := g.updateServer(11, Server{ID: 9, StartedAt: told}); !g.b.slowStart.warmingUp(s) || s.slowStartAt < began-futureSlack {
				t.Errorf("step %v s: started %.0f ms ago, taken for %.0f", step/1000, g.now-began, g.now-s.slowStartAt)
			}
		}
		t.Run("not stepped", func(t *testing.T) {
			g := newClockHarness(t)
			g.stepClock(step)
			g.now += 2 * testHour
			check(g, g.now, g.now)
		})
		t.Run("stepped before", func(t *testing.T) {
			g := newClockHarness(t)
			began := g.now
			g.now += 5000
			g.stepClock(step)
			check(g, began, began+step)
		})
	}
}

// Two steps that cancel each other out leave what was told between them an hour off.
func TestWallClock_stepForthAndBack(t *testing.T) {
	for _, step := range []float64{-testHour, testHour} {
		g := newClockHarness(t)
		g.stepClock(step)
		s := g.updateServer(11, Server{ID: 4, StartedAt: g.now + step})
		g.passTime(2 * g.b.cfg.SlowStartTime)
		if g.b.slowStart.warmingUp(s) {
			t.Fatalf("%v: a warm server is cold", step)
		}
		g.stepClock(0)
		g.now += 1000
		if s = g.updateServer(12, Server{ID: 4, StartedAt: g.now - 100}); !g.b.slowStart.warmingUp(s) || s.slowStartAt < g.now-1100 {
			t.Errorf("%v: a restart behind the second step is %v ms old", step, g.now-s.slowStartAt)
		}
	}
}

// What this process did not notice shows in starts that cannot be.
func TestWallClock_implausibleStarts(t *testing.T) {
	for name, c := range map[string]struct {
		told []float64 // starts of server 4, one list after the other, on the time of the test
		cold bool
	}{
		"in the future":                           {[]float64{testHour}, true},
		"smaller than before":                     {[]float64{-2 * testHour}, true},
		"smaller than one in the future":          {[]float64{testHour, -100}, true},
		"later than before, long before it ended": {[]float64{-testHour}, true},
		"plausible":                               {[]float64{10e3}, false},
		"the same":                                {[]float64{-1.5 * testHour}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newClockHarness(t)
			var s *server
			for i, start := range c.told {
				g.passTime(2 * g.b.cfg.SlowStartTime)
				g.now += 100
				s = g.updateServer(int64(11+i), Server{ID: 4, StartedAt: testBoot + start})
			}
			if g.b.slowStart.warmingUp(s) != c.cold || c.cold && s.slowStartAt < g.now-200 {
				t.Errorf("cold %v since %v ms", g.b.slowStart.warmingUp(s), g.now-s.slowStartAt)
			}
		})
	}
}

// A list that is not later than the one held tells of no restart, however small its starts are.
func TestWallClock_olderLists(t *testing.T) {
	for name, list := range map[string]ServerList{
		"the same revision":  {Kind: ListFull, Rev: 10},
		"an older one":       {Kind: ListFull, Rev: 9},
		"another history":    {Kind: ListFull, Rev: 1<<epochBits + 20},
		"without a revision": {Kind: ListFull},
		"a start not known":  {Kind: ListFull, Rev: 11},
	} {
		t.Run(name, func(t *testing.T) {
			g := newClockHarness(t)
			list.Servers = append(identicalServers(3), Server{ID: 4, StartedAt: testBoot - 2*testHour})
			if list.Rev == 11 {
				list.Servers[3].StartedAt = 0
			}
			g.handle(list)
			if g.b.slowStart.warmingUp(g.b.byID[4]) || g.b.clock.stepped {
				t.Errorf("a restart is seen: %+v", g.b.byID[4])
			}
		})
	}
}

// Of two servers in one place the one that started later is there, though a step back came between the two starts.
func TestWallClock_sharedAddress(t *testing.T) {
	for _, step := range []float64{-testHour, -30e3} {
		g := newClockHarness(t)
		g.handle(ServerList{Kind: ListFull, Rev: 11, Servers: []Server{{ID: 1, AddressKey: 6, StartedAt: g.now - 20e3}}})
		g.stepClock(step)
		g.now += 1000
		g.handle(ServerList{Kind: ListFull, Rev: 12, Servers: []Server{
			{ID: 1, AddressKey: 6, StartedAt: testBoot - 20e3}, {ID: 2, AddressKey: 6, StartedAt: g.now - 100 + step}}})
		g.requireUsable(fmt.Sprintf("%v s", step/1000), "2")
	}
}

// Whatever steps there were, a server that has started is never taken for warm, and none stays cold for longer than its
// time. Nor do offsets grow in number.
func TestWallClock_manySteps(t *testing.T) {
	for seed := range uint64(200) {
		g, offset, rev, draw := newClockHarness(t), 0.0, int64(10), seed
		for range 30 {
			draw = mix(draw + 1)
			g.now += 10e3 + float64(draw%7)*10e3
			offset += []float64{1e3, -1e3, 30e3, -30e3, testHour, -testHour}[mix(draw)%6]
			g.stepClock(offset)
			g.now += 1000
			rev++
			s := g.updateServer(rev, Server{ID: 4, StartedAt: g.now - 100 + offset})
			if !g.b.slowStart.warmingUp(s) || s.slowStartAt > g.now || s.slowStartAt < g.now-2000 {
				t.Fatalf("seed %d, offset %v: started %v ms ago", seed, offset, g.now-s.slowStartAt)
			}
			if len(g.b.clock.offsets) > maxOffsets {
				t.Fatal(len(g.b.clock.offsets), "offsets are kept")
			}
		}
	}
}

// Without a step no start is read otherwise than it is told.
func TestWallClock_noStep(t *testing.T) {
	g := newClockHarness(t)
	for rev, start := range []float64{-30e3, -100, 500} {
		g.passTime(60e3)
		s := g.updateServer(int64(11+rev), Server{ID: 4, StartedAt: g.now + start})
		if s.slowStartAt != g.now+start || g.b.clock.stepped {
			t.Errorf("%v: since %v", start, s.slowStartAt-g.now)
		}
	}
	if s := g.b.byID[1]; !math.IsInf(s.slowStartAt, -1) {
		t.Errorf("started long ago: since %v", s.slowStartAt)
	}
}
