package balance

import (
	"fmt"
	"math"
	"testing"
)

const idlePeriod = 600_000 // ms without a request

// before are the states in which the quiet time may begin.
var priorStates = map[string]func(*harness){
	"calm": func(g *harness) { g.serveRequests(200, 50) },
	"overload": func(g *harness) {
		g.serveRequests(200, 50)
		for range 2000 {
			id, acts := g.sendRequest(idempotentClass)
			if _, sent := sentTo(acts); sent {
				g.unanswered = append(g.unanswered, id)
			}
			g.now += 5
		}
		g.timeOutUnanswered()
	},
	"all fail": func(g *harness) {
		g.serveRequests(200, 50)
		g.failRequests(100)
	},
}

// serve plays requests one after another that are answered well.
func (g *harness) serveRequests(n int, elapsed float64) {
	g.t.Helper()
	for range n {
		if id, acts := g.sendRequest(idempotentClass); hasAction(acts, Send) {
			g.now += elapsed
			g.endAttempt(id, 0, OK, elapsed)
		}
	}
}

// fail plays requests all of whose attempts fail at once, and reports how many attempts they had.
func (g *harness) failRequests(n int) (attempts int) {
	g.t.Helper()
	for range n {
		id, acts := g.sendRequest(idempotentClass)
		for i := 0; hasAction(acts, Send); i++ {
			attempts++
			g.now++
			acts = g.endAttempt(id, i, Failed, 1)
		}
		g.now += 10
	}
	return attempts
}

// endLate ends all attempts that are out as timed out.
func (g *harness) timeOutUnanswered() {
	g.now += 10_000
	for _, id := range g.unanswered {
		g.handle(Timer{Token: uint64(id)})
		if r := g.b.requests[id]; r != nil && r.liveAttempts > 0 {
			g.endAttempt(id, 0, TimedOut, 10_000)
		}
	}
	g.unanswered = nil
}

// fresh is a balancer that has just started, and rested one that has had a quiet time after what came before.
func afterIdlePeriod(t *testing.T, state string) (newProcess, idleProcess *harness) {
	t.Helper()
	newProcess, idleProcess = newHarness(t, baseConfig(), identicalServers(4)...), newHarness(t, baseConfig(), identicalServers(4)...)
	priorStates[state](idleProcess)
	idleProcess.now += idlePeriod
	idleProcess.handle(ServerList{Kind: ListAlive})
	return newProcess, idleProcess
}

// After ten minutes without a request a burst is taken as by a sidecar that has just started: nothing that was shed,
// counted or held against servers before is left.
func TestAdmission_burstAfterIdlePeriod(t *testing.T) {
	for what := range priorStates {
		t.Run(what, func(t *testing.T) {
			fresh, rested := afterIdlePeriod(t, what)
			var refused [2]int
			for i, g := range []*harness{fresh, rested} {
				for range 40 {
					id, acts := g.sendRequest(idempotentClass)
					if hasAction(acts, Reject) {
						refused[i]++
						continue
					}
					g.now += 20
					g.endAttempt(id, 0, OK, 20)
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
	for what := range priorStates {
		t.Run(what, func(t *testing.T) {
			fresh, rested := afterIdlePeriod(t, what)
			for _, g := range []*harness{fresh, rested} {
				id, acts := g.sendRequest(idempotentClass)
				if !hasAction(acts, Send) {
					t.Fatal("the first request after the quiet time is not sent")
				}
				g.now++
				s := g.b.requests[id].attempts[0].server
				g.endAttempt(id, 0, Failed, 1)
				if m := g.b.picker.health(s); math.Abs(m-(1-penaltyPerError)) > 1e-9 || g.b.outliers.ejected(s) {
					t.Errorf("after one error: multiplier %v, resting %v", m, g.b.outliers.ejected(s))
				}
			}
			// What was learned of answers stays, so what is shed while nobody answers may differ a little.
			if a, b := fresh.failRequests(50), rested.failRequests(50); 5*b < 4*a || 5*b > 6*a {
				t.Errorf("%d attempts after the quiet time, %d by a new sidecar", b, a)
			}
		})
	}
}

// A list that changes after a quiet time counts at once: who drains gets nothing, who starts is warmed up.
func TestEndpointList_changeAfterIdlePeriod(t *testing.T) {
	for what := range priorStates {
		t.Run(what, func(t *testing.T) {
			_, g := afterIdlePeriod(t, what)
			drains := identicalServers(4)[0]
			drains.State = Draining
			starts := Server{ID: 9, Rating: 1, Cell: 9, Zone: 9, StartedAt: g.now}
			g.handle(ServerList{Kind: ListDelta, Rev: 2, Servers: []Server{drains, starts}})
			if s := g.b.byID[9]; s == nil || !g.b.slowStart.warmingUp(s) {
				t.Fatal("the server that starts is not warmed up")
			}
			sent := map[ServerID]int{}
			for range 100 {
				id, acts := g.sendRequest(idempotentClass)
				if to, ok := sentTo(acts); ok {
					sent[to]++
					g.now += 20
					g.endAttempt(id, 0, OK, 20)
				}
			}
			if sent[drains.ID] > 0 || sent[2]+sent[3]+sent[4] < 50 {
				t.Error(fmt.Sprint("sent by server: ", sent))
			}
		})
	}
}
