package balance

import (
	"math"
	"testing"
)

const idlePeriod = 600_000 // ms without a request

// priorStates holds functions that bring a balancer into the state in which the idle period begins.
var priorStates = map[string]func(*harness){
	"calm": func(h *harness) { h.serveRequests(200, 50) },
	"overload": func(h *harness) {
		h.serveRequests(200, 50)
		for range 2000 {
			id, actions := h.sendRequest(idempotentClass)
			if _, sent := sentTo(actions); sent {
				h.unanswered = append(h.unanswered, id)
			}
			h.now += 5
		}
		h.timeOutUnanswered()
	},
	"all fail": func(h *harness) {
		h.serveRequests(200, 50)
		h.failRequests(100)
	},
}

// serveRequests sends n requests one after another, each of which is answered after elapsed ms.
func (h *harness) serveRequests(n int, elapsed float64) {
	h.t.Helper()
	for range n {
		if id, actions := h.sendRequest(idempotentClass); hasAction(actions, Send) {
			h.now += elapsed
			h.endAttempt(id, 0, OK, elapsed)
		}
	}
}

// failRequests sends n requests whose attempts all fail after 1 ms, and returns the number of attempts.
func (h *harness) failRequests(n int) (attempts int) {
	h.t.Helper()
	for range n {
		id, actions := h.sendRequest(idempotentClass)
		for i := 0; hasAction(actions, Send); i++ {
			attempts++
			h.now++
			actions = h.endAttempt(id, i, Failed, 1)
		}
		h.now += 10
	}
	return attempts
}

// timeOutUnanswered lets all pending attempts time out.
func (h *harness) timeOutUnanswered() {
	h.now += 10_000
	for _, id := range h.unanswered {
		h.handle(Timer{Token: uint64(id)})
		if r := h.b.requests[id]; r != nil && r.liveAttempts > 0 {
			h.endAttempt(id, 0, TimedOut, 10_000)
		}
	}
	h.unanswered = nil
}

// afterIdlePeriod returns a balancer that has just started, and one that was in the given state before an idle
// period.
func afterIdlePeriod(t *testing.T, state string) (newProcess, idleProcess *harness) {
	t.Helper()
	newProcess, idleProcess = newHarness(t, baseConfig(), identicalServers(4)...), newHarness(t, baseConfig(), identicalServers(4)...)
	priorStates[state](idleProcess)
	idleProcess.now += idlePeriod
	idleProcess.handle(ServerList{Kind: ListUnchanged})
	return newProcess, idleProcess
}

// After ten minutes without a request, a burst is admitted as by a process that has just started: earlier load
// shedding, counts and ejections have no effect.
func TestAdmission_burstAfterIdlePeriod(t *testing.T) {
	for state := range priorStates {
		t.Run(state, func(t *testing.T) {
			newProcess, idleProcess := afterIdlePeriod(t, state)
			var rejected [2]int
			for i, h := range []*harness{newProcess, idleProcess} {
				for range 40 {
					id, actions := h.sendRequest(idempotentClass)
					if hasAction(actions, Reject) {
						rejected[i]++
						continue
					}
					h.now += 20
					h.endAttempt(id, 0, OK, 20)
				}
			}
			if rejected[1] > rejected[0] {
				t.Errorf("%d of 40 requests are rejected after the idle period, %d by a new process", rejected[1], rejected[0])
			}
		})
	}
}

// Servers that start to fail after an idle period are handled as by a process that has just started.
func TestEjection_failuresAfterIdlePeriod(t *testing.T) {
	for state := range priorStates {
		t.Run(state, func(t *testing.T) {
			newProcess, idleProcess := afterIdlePeriod(t, state)
			for _, h := range []*harness{newProcess, idleProcess} {
				id, actions := h.sendRequest(idempotentClass)
				if !hasAction(actions, Send) {
					t.Fatal("the first request after the idle period is not sent")
				}
				h.now++
				s := h.b.requests[id].attempts[0].server
				h.endAttempt(id, 0, Failed, 1)
				if m := h.b.picker.health(s); math.Abs(m-(1-penaltyPerError)) > 1e-9 || h.b.outliers.ejected(s) {
					t.Errorf("after one error: health %v, ejected %v", m, h.b.outliers.ejected(s))
				}
			}
			// Learned latencies are kept, so load shedding may differ slightly while no server responds.
			if a, b := newProcess.failRequests(50), idleProcess.failRequests(50); 5*b < 4*a || 5*b > 6*a {
				t.Errorf("%d attempts after the idle period, %d by a new process", b, a)
			}
		})
	}
}

// A list event after an idle period takes effect at once: a draining server gets no request, and a started one is in
// slow start.
func TestEndpointList_changeAfterIdlePeriod(t *testing.T) {
	for state := range priorStates {
		t.Run(state, func(t *testing.T) {
			_, h := afterIdlePeriod(t, state)
			draining := identicalServers(4)[0]
			draining.State = Draining
			starting := Server{ID: 9, Rating: 1, Cell: 9, Zone: 9, StartedAt: h.now}
			h.handle(ServerList{Kind: ListDelta, Rev: 2, Servers: []Server{draining, starting}})
			if s := h.b.byID[9]; s == nil || !h.b.slowStart.warmingUp(s) {
				t.Fatal("the started server is not in slow start")
			}
			sent := map[ServerID]int{}
			for range 100 {
				id, actions := h.sendRequest(idempotentClass)
				if to, ok := sentTo(actions); ok {
					sent[to]++
					h.now += 20
					h.endAttempt(id, 0, OK, 20)
				}
			}
			if sent[draining.ID] > 0 || sent[2]+sent[3]+sent[4] < 50 {
				t.Errorf("attempts by server: %v", sent)
			}
		})
	}
}
