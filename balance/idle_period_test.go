package balance

import (
	"fmt"
	"math"
	"testing"
)

const quiet = 600_000 // ms without a request

// before are the states in which the quiet time may begin.
var before = map[string]func(*rig){
	"calm": func(g *rig) { g.serve(200, 50) },
	"overload": func(g *rig) {
		g.serve(200, 50)
		for range 2000 {
			id, acts := g.ask(safeClass)
			if _, sent := sentTo(acts); sent {
				g.late = append(g.late, id)
			}
			g.now += 5
		}
		g.endLate()
	},
	"all fail": func(g *rig) {
		g.serve(200, 50)
		g.fail(100)
	},
}

// serve plays requests one after another that are answered well.
func (g *rig) serve(n int, took float64) {
	g.t.Helper()
	for range n {
		if id, acts := g.ask(safeClass); has(acts, Send) {
			g.now += took
			g.answer(id, 0, OK, took)
		}
	}
}

// fail plays requests all of whose attempts fail at once, and reports how many attempts they had.
func (g *rig) fail(n int) (attempts int) {
	g.t.Helper()
	for range n {
		id, acts := g.ask(safeClass)
		for i := 0; has(acts, Send); i++ {
			attempts++
			g.now++
			acts = g.answer(id, i, Failed, 1)
		}
		g.now += 10
	}
	return attempts
}

// endLate ends all attempts that are out as timed out.
func (g *rig) endLate() {
	g.now += 10_000
	for _, id := range g.late {
		g.do(Timer{Token: uint64(id)})
		if r := g.b.reqs[id]; r != nil && r.liveAttempts > 0 {
			g.answer(id, 0, TimedOut, 10_000)
		}
	}
	g.late = nil
}

// fresh is a balancer that has just started, and rested one that has had a quiet time after what came before.
func rested(t *testing.T, what string) (fresh, rested *rig) {
	t.Helper()
	fresh, rested = newRig(t, baseConfig(), fleet(4)...), newRig(t, baseConfig(), fleet(4)...)
	before[what](rested)
	rested.now += quiet
	rested.do(ServerList{Kind: ListAlive})
	return fresh, rested
}

// After ten minutes without a request a burst is taken as by a sidecar that has just started: nothing that was shed,
// counted or held against servers before is left.
func TestAdmission_burstAfterIdlePeriod(t *testing.T) {
	for what := range before {
		t.Run(what, func(t *testing.T) {
			fresh, rested := rested(t, what)
			var refused [2]int
			for i, g := range []*rig{fresh, rested} {
				for range 40 {
					id, acts := g.ask(safeClass)
					if has(acts, Reject) {
						refused[i]++
						continue
					}
					g.now += 20
					g.answer(id, 0, OK, 20)
				}
			}
			if refused[1] > refused[0] {
				t.Errorf("%d of 40 requests are refused after the quiet time, %d by a new sidecar", refused[1], refused[0])
			}
		})
	}
}

// Servers that begin to fail after a quiet time are judged as by a sidecar that has just started.
func TestEjection_failuresAfterIdlePeriod(t *testing.T) {
	for what := range before {
		t.Run(what, func(t *testing.T) {
			fresh, rested := rested(t, what)
			for _, g := range []*rig{fresh, rested} {
				id, acts := g.ask(safeClass)
				if !has(acts, Send) {
					t.Fatal("the first request after the quiet time is not sent")
				}
				g.now++
				s := g.b.reqs[id].attempts[0].server
				g.answer(id, 0, Failed, 1)
				if m := g.b.health(s); math.Abs(m-(1-penaltyPerError)) > 1e-9 || g.b.ejected(s) {
					t.Errorf("after one error: multiplier %v, resting %v", m, g.b.ejected(s))
				}
			}
			// What was learned of answers stays, so what is shed while nobody answers may differ a little.
			if a, b := fresh.fail(50), rested.fail(50); 5*b < 4*a || 5*b > 6*a {
				t.Errorf("%d attempts after the quiet time, %d by a new sidecar", b, a)
			}
		})
	}
}

// A list that changes after a quiet time counts at once: who drains gets nothing, who starts is warmed up.
func TestEndpointList_changeAfterIdlePeriod(t *testing.T) {
	for what := range before {
		t.Run(what, func(t *testing.T) {
			_, g := rested(t, what)
			drains := fleet(4)[0]
			drains.State = Draining
			starts := Server{ID: 9, Rating: 1, Cell: 9, Zone: 9, StartedAt: g.now}
			g.do(ServerList{Kind: ListDelta, Rev: 2, Servers: []Server{drains, starts}})
			if s := g.b.byID[9]; s == nil || !g.b.warmingUp(s) {
				t.Fatal("the server that starts is not warmed up")
			}
			sent := map[ServerID]int{}
			for range 100 {
				id, acts := g.ask(safeClass)
				if to, ok := sentTo(acts); ok {
					sent[to]++
					g.now += 20
					g.answer(id, 0, OK, 20)
				}
			}
			if sent[drains.ID] > 0 || sent[2]+sent[3]+sent[4] < 50 {
				t.Error(fmt.Sprint("sent by server: ", sent))
			}
		})
	}
}
