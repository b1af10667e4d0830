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
func (h *harness) serveRequests(n int, elapsed float64) {
	h.t.Helper()
	for range n {
		if id, acts := h.sendRequest(idempotentClass); hasAction(acts, Send) {
			h.now += elapsed
			h.endAttempt(id, 0, OK, elapsed)
		}
	}
}

// fail plays requests all of whose attempts fail at once, and reports how many attempts they had.
func (h *harness) failRequests(n int) (attempts int) {
	h.t.Helper()
	for range n {
		id, acts := h.sendRequest(idempotentClass)
		for i := 0; hasAction(acts, Send); i++ {
			attempts++
			h.now++
			acts = h.endAttempt(id, i, Failed, 1)
		}
		h.now += 10
	}
	return attempts
}

// endLate ends all attempts that are out as timed out.
func (h *harness) timeOutUnanswered() {
	h.now += 10_000
	for _, id := range h.unanswered {
		h.handle(Timer{Token: uint64(id)})
		if r := h.b.reqs[id]; r != nil && r.liveAttempts > 0 {
			h.endAttempt(id, 0, TimedOut, 10_000)
		}
	}
	h.unanswered = nil
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
	for state := range priorStates {
		t.Run(state, func(t *testing.T) {
			newProcess, idleProcess := afterIdlePeriod(t, state)
			var rejected [2]int
			for i, h := range []*harness{newProcess, idleProcess} {
				for range 40 {
					id, acts := h.sendRequest(idempotentClass)
					if hasAction(acts, Reject) {
						rejected[i]++
						continue
					}
					h.now += 20
					h.endAttempt(id, 0, OK, 20)
				}
			}
			if rejected[1] > rejected[0] {
				t.Errorf("%d of 40 requests are refused after the quiet time, %d by a new sidecar", rejected[1], rejected[0])
			}
		})
	}
}

// Servers that begin to fail after a quiet time are judged as by a sidecar that has just started.
func TestEjection_failuresAfterIdlePeriod(t *testing.T) {
	for state := range priorStates {
		t.Run(state, func(t *testing.T) {
			newProcess, idleProcess := afterIdlePeriod(t, state)
			for _, h := range []*harness{newProcess, idleProcess} {
				id, acts := h.sendRequest(idempotentClass)
				if !hasAction(acts, Send) {
					t.Fatal("the first request after the quiet time is not sent")
				}
				h.now++
				s := h.b.reqs[id].attempts[0].server
				h.endAttempt(id, 0, Failed, 1)
				if m := h.b.health(s); math.Abs(m-(1-penaltyPerError)) > 1e-9 || h.b.ejected(s) {
					t.Errorf("after one error: multiplier %v, resting %v", m, h.b.ejected(s))
				}
			}
			// What was learned of answers stays, so what is shed while nobody answers may differ a little.
			if a, b := newProcess.failRequests(50), idleProcess.failRequests(50); 5*b < 4*a || 5*b > 6*a {
				t.Errorf("%d attempts after the quiet time, %d by a new sidecar", b, a)
			}
		})
	}
}

// A list that changes after a quiet time counts at once: who drains gets nothing, who starts is warmed up.
func TestEndpointList_changeAfterIdlePeriod(t *testing.T) {
	for state := range priorStates {
		t.Run(state, func(t *testing.T) {
			_, h := afterIdlePeriod(t, state)
			draining := identicalServers(4)[0]
			draining.State = Draining
			starting := Server{ID: 9, Rating: 1, Cell: 9, Zone: 9, StartedAt: h.now}
			h.handle(ServerList{Kind: ListDelta, Rev: 2, Servers: []Server{draining, starting}})
			if s := h.b.byID[9]; s == nil || !h.b.warmingUp(s) {
				t.Fatal("the server that starts is not warmed up")
			}
			sent := map[ServerID]int{}
			for range 100 {
				id, acts := h.sendRequest(idempotentClass)
				if to, ok := sentTo(acts); ok {
					sent[to]++
					h.now += 20
					h.endAttempt(id, 0, OK, 20)
				}
			}
			if sent[draining.ID] > 0 || sent[2]+sent[3]+sent[4] < 50 {
				t.Error(fmt.Sprint("sent by server: ", sent))
			}
		})
	}
}
