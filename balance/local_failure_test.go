package balance

import (
	"math"
	"testing"
)

// judged is what may be held against a server.
type serverRecord struct {
	consecutiveErrors, ejections    int
	ejectedUntil, slowStartAt, size float64
	processDown, healthCheckFailed  bool
	zoneEvidence                    float64
}

func (g *harness) recordOf(id ServerID) serverRecord {
	s := g.b.byID[id]
	return serverRecord{s.consecutiveErrors, s.ejections, s.ejectedUntil, s.slowStartAt, s.size, s.processDown, s.healthCheckFailed, s.zone.evidence}
}

// wait lets the time of a request's next timer come, and tells how long that was.
func (g *harness) fireNextTimer(id RequestID) (acts []Action, waited float64) {
	g.t.Helper()
	due := g.b.requests[id].wakeAt
	if math.IsInf(due, 1) {
		g.t.Fatalf("request %d waits for nothing", id)
	}
	waited = due - g.now
	g.now = due
	return g.handle(Timer{Token: uint64(id)}), waited
}

// A failure of this machine is held against no server, uses up no attempt, and the request goes on after a pause that
// doubles, even one that must not run twice.
func TestRetry_localFailure(t *testing.T) {
	for name, class := range map[string]int{"safe": idempotentClass, "unsafe": nonIdempotentClass, "keyed": cellKeyClass} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, baseConfig(), identicalServers(8)...)
			id, acts := g.sendRequest(class)
			for n, pause := range []float64{5, 10, 20, 40} {
				server, sent := sentTo(acts)
				if !sent {
					t.Fatalf("attempt %d was not sent: %+v", n, acts)
				}
				before := g.recordOf(server)
				if acts = g.endAttempt(id, n, LocalFailure, 0.1); hasAction(acts, Send) || hasAction(acts, Reject) || hasAction(acts, Fail) {
					t.Fatalf("after failure %d: %+v, want a pause", n, acts)
				}
				if after := g.recordOf(server); after != before {
					t.Errorf("server %d: %+v, was %+v", server, after, before)
				}
				var waited float64
				if acts, waited = g.fireNextTimer(id); waited != pause {
					t.Errorf("pause %d lasts %v ms, want %v", n, waited, pause)
				}
			}
			sends := 0
			for n := 4; hasAction(acts, Send); n++ { // all of its attempts are left
				sends++
				acts = g.endAttempt(id, n, ConnectFailed, 0.1)
			}
			if sends != baseConfig().MaxAttempts || !hasAction(acts, Reject) {
				t.Errorf("%d further attempts, then %+v, want %d and a refusal", sends, acts, baseConfig().MaxAttempts)
			}
		})
	}
}

// However long this machine fails, the request is refused when its time is up, after few tries.
func TestRetry_localFailureUntilDeadline(t *testing.T) {
	for name, class := range map[string]int{"safe": idempotentClass, "unsafe": nonIdempotentClass, "keyed": globalKeyClass} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, baseConfig(), identicalServers(8)...)
			earliestStart, n := g.now, 0
			id, acts := g.sendRequest(class)
			for !hasAction(acts, Reject) {
				if hasAction(acts, Send) {
					acts = g.endAttempt(id, n, LocalFailure, 0.1)
					n++
				} else {
					acts, _ = g.fireNextTimer(id)
				}
				if hasAction(acts, Fail) {
					t.Fatalf("%+v, want a refusal", acts)
				}
			}
			if took := g.now - earliestStart; took > g.b.cfg.Classes[class].Deadline || n > 12 {
				t.Errorf("refused after %v ms and %d tries, want at its time and within 12", took, n)
			}
		})
	}
}

// Where no time bounds it, as the body is still coming, the number of failures does.
func TestRetry_localFailureLimit(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(8)...)
	g.lastID++
	id, n := g.lastID, 0
	acts := g.handle(Request{ID: id, Class: idempotentClass, Remaining: 500, BodyStreaming: true})
	for !hasAction(acts, Reject) {
		if n > maxLocalFailures+g.b.cfg.MaxAttempts {
			t.Fatalf("%d tries and no end", n)
		}
		if hasAction(acts, Send) {
			acts = g.endAttempt(id, n, LocalFailure, 0.1)
			n++
		} else {
			acts, _ = g.fireNextTimer(id)
		}
	}
}
