package balance

import (
	"math"
	"testing"
)

// serverRecord is the state of a server that failures can change.
type serverRecord struct {
	consecutiveErrors, ejections    int
	ejectedUntil, slowStartAt, size float64
	processDown, healthCheckFailed  bool
	zoneEvidence                    float64
}

// recordOf returns the record of a server.
func (h *harness) recordOf(id ServerID) serverRecord {
	s := h.b.byID[id]
	return serverRecord{
		s.consecutiveErrors, s.consecutiveEjections, s.ejectedUntil, s.slowStartAt, s.logSize, s.processDown,
		s.healthCheckFailed, s.zone.evidence,
	}
}

// fireNextTimer advances the clock to a request's next timer, fires it, and returns the actions and the time
// waited.
func (h *harness) fireNextTimer(id RequestID) (actions []Action, waited float64) {
	h.t.Helper()
	due := h.b.requests[id].wakeAt
	if math.IsInf(due, 1) {
		h.t.Fatalf("request %d has no timer", id)
	}
	waited = due - h.now
	h.now = due
	return h.handle(Timer{Token: uint64(id)}), waited
}

// A local failure counts neither as an error of the server nor as an attempt. The request is sent again after a
// backoff that doubles, whatever its idempotency.
func TestRetry_localFailure(t *testing.T) {
	for name, class := range map[string]int{
		"idempotent": idempotentClass, "non-idempotent": nonIdempotentClass, "with key": cellKeyClass,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), identicalServers(8)...)
			id, actions := h.sendRequest(class)
			for n, pause := range []float64{5, 10, 20, 40} {
				server, sent := sentTo(actions)
				if !sent {
					t.Fatalf("attempt %d was not sent: %+v", n, actions)
				}
				before := h.recordOf(server)
				actions = h.endAttempt(id, n, LocalFailure, 0.1)
				if hasAction(actions, Send) || hasAction(actions, Reject) || hasAction(actions, Fail) {
					t.Fatalf("after failure %d: %+v, want a pause", n, actions)
				}
				if after := h.recordOf(server); after != before {
					t.Errorf("server %d: %+v, was %+v", server, after, before)
				}
				var waited float64
				if actions, waited = h.fireNextTimer(id); waited != pause {
					t.Errorf("pause %d lasts %v ms, want %v", n, waited, pause)
				}
			}
			sends := 0
			for n := 4; hasAction(actions, Send); n++ { // all attempts are still available
				sends++
				actions = h.endAttempt(id, n, ConnectFailed, 0.1)
			}
			if sends != baseConfig().MaxAttempts || !hasAction(actions, Reject) {
				t.Errorf("%d further attempts, then %+v, want %d and a rejection", sends, actions, baseConfig().MaxAttempts)
			}
		})
	}
}

// If all attempts of a request fail locally, it is rejected at its deadline, after at most 12 attempts.
func TestRetry_localFailureUntilDeadline(t *testing.T) {
	for name, class := range map[string]int{
		"idempotent": idempotentClass, "non-idempotent": nonIdempotentClass, "with key": globalKeyClass,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), identicalServers(8)...)
			start, n := h.now, 0
			id, actions := h.sendRequest(class)
			for !hasAction(actions, Reject) {
				if hasAction(actions, Send) {
					actions = h.endAttempt(id, n, LocalFailure, 0.1)
					n++
				} else {
					actions, _ = h.fireNextTimer(id)
				}
				if hasAction(actions, Fail) {
					t.Fatalf("%+v, want a rejection", actions)
				}
			}
			if elapsed := h.now - start; elapsed > h.b.cfg.Classes[class].Deadline || n > 12 {
				t.Errorf("rejected after %v ms and %d attempts, want by the deadline and at most 12", elapsed, n)
			}
		})
	}
}

// While the body of a request is arriving there is no deadline, and maxLocalFailures limits the attempts.
func TestRetry_localFailureLimit(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(8)...)
	h.lastID++
	id, n := h.lastID, 0
	actions := h.handle(Request{ID: id, Class: idempotentClass, Remaining: 500, BodyStreaming: true})
	for !hasAction(actions, Reject) {
		if n > maxLocalFailures+h.b.cfg.MaxAttempts {
			t.Fatalf("no final response after %d attempts", n)
		}
		if hasAction(actions, Send) {
			actions = h.endAttempt(id, n, LocalFailure, 0.1)
			n++
		} else {
			actions, _ = h.fireNextTimer(id)
		}
	}
}
