package balance

import (
	"fmt"
	"math"
	"testing"
)

// A server whose connection is established only after the connect timeout is up: it is not ejected, is no evidence
// against its zone, and does not go into slow start.
func TestEjection_lateConnection(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnectTimeout = 120
	play := func(comesUp bool) (suspended, avoided, warmingUp int) {
		h := newHarness(t, cfg, identicalServers(8)...) // two zones of four
		failed := map[ServerID]bool{}
		for range 40 {
			h.now += 30
			id, actions := h.sendRequest(idempotentClass)
			for attempt := 0; ; attempt++ {
				s, sent := sentTo(actions)
				if !sent {
					break
				}
				if h.b.byID[s].Zone != 0 || failed[s] && comesUp {
					h.endAttempt(id, attempt, OK, 20)
					break
				}
				failed[s] = true
				actions = h.endAttempt(id, attempt, ConnectFailed, cfg.ConnectTimeout)
				if comesUp {
					h.handle(ConnectionReady{Server: s})
				}
			}
			suspended = max(suspended, h.b.ZoneStatus().Suspended)
		}
		_, avoided = h.b.CountServers(h.now)
		for s := range failed {
			if h.b.slowStart.warmingUp(h.b.byID[s]) {
				warmingUp++
			}
		}
		return suspended, avoided, warmingUp
	}
	if suspended, avoided, warmingUp := play(true); suspended+avoided+warmingUp > 0 {
		t.Errorf("late connections: %d zones suspended, %d servers avoided, %d in slow start", suspended, avoided, warmingUp)
	}
	if suspended, _, _ := play(false); suspended == 0 {
		t.Error("no connection is established, and the zone is not suspended")
	}
}

// A server that does not answer within a very short deadline is not at fault: it is not ejected and its weight does
// not fall. Each request gets one final response after at most one attempt.
func TestEjection_shortTimeout(t *testing.T) {
	for class, name := range map[int]string{
		idempotentClass: "idempotent", nonIdempotentClass: "non-idempotent", globalKeyClass: "with key",
	} {
		for _, remaining := range []float64{1, 2, 5, 10, 20} {
			t.Run(fmt.Sprint(name, ", ", remaining, " ms"), func(t *testing.T) {
				h := newHarness(t, baseConfig(), identicalServers(4)...)
				for range 100 { // responses take 60 ms
					id, _ := h.sendRequest(class)
					h.now += 60
					h.endAttempt(id, 0, OK, 60)
				}
				for range 20 {
					h.lastID++
					id := h.lastID
					actions := h.handle(Request{ID: id, Class: class, Remaining: remaining})
					if _, sent := sentTo(actions); !sent {
						continue // rejected, as the remaining time is too short
					}
					h.now += remaining
					actions = h.handle(Timer{Token: uint64(id)})
					if !hasAction(actions, Fail) && !hasAction(actions, Reject) {
						t.Fatalf("%v ms: no final response at the deadline: %+v", remaining, actions)
					}
					if hasAction(actions, Send) {
						t.Errorf("%v ms: a second attempt", remaining)
					}
					h.endAttempt(id, 0, TimedOut, remaining)
					h.now += 50
				}
				for _, s := range h.b.servers {
					if s.consecutiveErrors > 0 || s.consecutiveEjections > 0 || h.b.outliers.ejected(s) || h.b.picker.health(s) < 1 {
						t.Errorf("%v ms: server %d has %d errors and %d ejections", remaining, s.ID, s.consecutiveErrors, s.consecutiveEjections)
					}
				}
			})
		}
	}
}

// A server that has not answered within the mean latency of its class has failed.
func TestEjection_timeoutBeyondMean(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	for range 100 {
		id, _ := h.sendRequest(idempotentClass)
		h.now += 60
		h.endAttempt(id, 0, OK, 60)
	}
	h.lastID++
	h.handle(Request{ID: h.lastID, Class: idempotentClass, Remaining: 61})
	h.now += 61
	h.handle(Timer{Token: uint64(h.lastID)})
	s := h.b.requests[h.lastID].attempts[0].server
	h.endAttempt(h.lastID, 0, TimedOut, 61)
	if s.consecutiveErrors != 1 {
		t.Errorf("%d errors, want 1", s.consecutiveErrors)
	}
}

// A server without a network path is ejected like one whose process is down. Its process has not restarted, so it
// does not go into slow start when it can be reached again.
func TestEjection_unreachableServer(t *testing.T) {
	for _, test := range []struct {
		result    Result
		warmingUp bool
	}{{ConnectFailed, true}, {Unreachable, false}} {
		h := newHarness(t, baseConfig(), identicalServers(8)...)
		id, actions := h.sendRequest(idempotentClass)
		server, _ := sentTo(actions)
		s := h.b.byID[server]
		if actions = h.endAttempt(id, 0, test.result, 1); !hasAction(actions, Send) || !h.b.outliers.ejected(s) {
			t.Errorf("result %v: %+v, ejected %v, want another attempt and an ejection", test.result, actions, h.b.outliers.ejected(s))
		}
		h.now = s.ejectedUntil
		for h.b.outliers.ejected(s) || s.consecutiveErrors > 0 { // until it answers again
			h.now += 10
			id, actions := h.sendRequest(idempotentClass)
			if to, sent := sentTo(actions); !sent || to == 0 {
				t.Fatalf("%+v", actions)
			}
			h.endAttempt(id, 0, OK, 10)
		}
		if warmingUp := h.b.slowStart.warmingUp(s); warmingUp != test.warmingUp {
			t.Errorf("result %v: slow start %v, want %v", test.result, warmingUp, test.warmingUp)
		}
	}
}

// The health falls by penaltyPerError for each error down to minHealth, recovers by half within a half-life, and is
// restored by one success.
func TestEjection_healthScore(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(2)...)
	s := h.b.servers[0]
	if m := h.b.picker.health(s); m != 1 {
		t.Fatalf("health without errors is %v", m)
	}
	s.consecutiveErrors, s.lastErrorAt = 2, h.now
	if m := h.b.picker.health(s); math.Abs(m-(1-2*penaltyPerError)) > 1e-9 {
		t.Fatalf("health after two errors is %v", m)
	}
	h.b.now += halfLife
	if m := h.b.picker.health(s); math.Abs(m-(1-penaltyPerError)) > 1e-9 {
		t.Fatalf("health after a half-life is %v", m)
	}
	s.consecutiveErrors = 1000
	if m := h.b.picker.health(s); m != minHealth {
		t.Fatalf("health after 1000 errors is %v, want the floor", m)
	}
	if m := h.b.picker.health(h.b.servers[1]); m != 1 {
		t.Fatalf("another server's errors changed the health to %v", m)
	}
	s.consecutiveErrors = 2
	id, _ := h.sendRequest(idempotentClass)
	h.b.requests[id].attempts[0].server = s
	s.inFlight, h.b.servers[1].inFlight = 1, 0
	h.endAttempt(id, 0, OK, 10)
	if m := h.b.picker.health(s); m != 1 {
		t.Fatalf("health after a success is %v", m)
	}
}

// A connection that breaks while a request is written counts as one error. It is no evidence of a restart, so the
// server does not go into slow start.
func TestEjection_brokenConnection(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(2)...)
	id, actions := h.sendRequest(nonIdempotentClass)
	s, _ := sentTo(actions)
	next, sent := sentTo(h.endAttempt(id, 0, WriteFailed, 1))
	if !sent || next == s {
		t.Fatalf("sent again %v, to server %d: want another server, as the request never ran", sent, next)
	}
	h.endAttempt(id, 1, OK, 10)
	server := h.b.byID[s]
	if h.b.outliers.ejected(server) || h.b.picker.health(server) == 1 {
		t.Errorf("ejected %v, health %v: want one error and no ejection", h.b.outliers.ejected(server), h.b.picker.health(server))
	}
	h.now += 60000
	for range 8 {
		id, _ = h.sendRequest(idempotentClass)
		h.endAttempt(id, 0, OK, 10)
	}
	if h.b.slowStart.warmingUp(server) {
		t.Error("the server is in slow start")
	}
}

// A server that reports a queue with a wait longer than the latency objective is ejected.
func TestEjection_reportedQueue(t *testing.T) {
	cfg := baseConfig()
	cfg.Reports, cfg.Fields = ReportPiggyback, []Field{FieldErrorRate, FieldLatency, FieldQueue}
	for queue, ejected := range map[float32]bool{2: false, 8: true} {
		h := newHarness(t, cfg, identicalServers(3)...)
		id, actions := h.sendRequest(idempotentClass)
		s, _ := sentTo(actions)
		h.now += 200
		h.handle(Outcome{Request: id, Server: s, Elapsed: 200, Finished: true, Report: []float32{0, 50, queue}})
		if got := h.b.outliers.ejected(h.b.byID[s]); got != ejected {
			t.Errorf("a queue of %v at 50 ms each, objective 300 ms: ejected %v", queue, got)
		}
	}
}

// An ejection for a reported queue lasts for one round of the rotation, so that a busy sidecar does not overload
// the other servers meanwhile.
func TestEjection_reportedQueueDuration(t *testing.T) {
	cfg := baseConfig()
	cfg.Reports, cfg.Fields = ReportPiggyback, []Field{FieldLatency, FieldQueue}
	h := newHarness(t, cfg, identicalServers(3)...)
	for range 400 { // a hundred requests a second
		h.now += 10
		id, actions := h.sendRequest(idempotentClass)
		to, _ := sentTo(actions)
		h.handle(Outcome{Request: id, Server: to, Elapsed: 5, Finished: true, Report: []float32{50, 0}})
	}
	id, actions := h.sendRequest(idempotentClass)
	to, _ := sentTo(actions)
	s := h.b.byID[to]
	h.handle(Outcome{Request: id, Server: to, Elapsed: 5, Finished: true, Report: []float32{50, 40}})
	if duration := s.ejectedUntil - h.now; duration < 10 || duration > 60 {
		t.Fatalf("ejected for %.0f ms, a round of the rotation takes 30", duration)
	}
}

// In a congested fleet, late responses are no server's fault. Once the mean latency of a class is high, an attempt
// of 430 ms with an objective of 300 ms is not an error. An attempt far slower than all others still is.
func TestEjection_congestedFleet(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	times := []float64{370, 430, 400}
	for i := range 60 {
		id, actions := h.sendRequest(nonIdempotentClass)
		if !hasAction(actions, Send) {
			continue
		}
		end := h.now + times[i%3]
		for r := h.b.requests[id]; r.state != requestDone && r.wakeAt < end; {
			h.now = r.wakeAt
			h.handle(Timer{Token: uint64(id)})
		}
		h.now = end
		if i > 30 && h.b.requests[id].attempts[0].overdue {
			t.Fatalf("attempt %d of %v ms counts as overdue after %v", i, times[i%3], h.b.outliers.overdueAfter(h.b.requests[id]))
		}
		h.endAttempt(id, 0, OK, times[i%3])
	}
	h.b.admission.sustainedShed = 0
	id, _ := h.sendRequest(nonIdempotentClass)
	r := h.b.requests[id]
	for !r.attempts[0].overdue {
		if h.now = r.wakeAt; h.now >= r.deadline {
			t.Fatal("no timer checks the attempt before its deadline")
		}
		h.handle(Timer{Token: uint64(id)})
	}
	if r.attempts[0].server.consecutiveErrors == 0 {
		t.Fatal("an attempt far slower than all others does not count as an error")
	}
}

// A restart clears the ejections and the failed health check of a server.
func TestEjection_clearedByRestart(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(2)...)
	s := h.b.servers[0]
	h.handle(HealthCheckResult{Server: s.ID, Result: TimedOut})
	if !s.healthCheckFailed || !h.b.outliers.ejected(s) {
		t.Fatal("a health check without an answer does not eject the server")
	}
	entry := s.Server
	entry.StartedAt = h.now
	h.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	if s.healthCheckFailed || s.consecutiveEjections != 0 || h.b.outliers.ejected(s) {
		t.Fatalf("after the restart: health check failed %v, %d ejections", s.healthCheckFailed, s.consecutiveEjections)
	}
}

// A server is ejected after errorsToEject consecutive errors, gets no request meanwhile, and is used again after
// one successful response.
func TestEjection_consecutiveErrors(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(3)...)
	s := h.b.servers[0]
	for range errorsToEject - 1 {
		h.b.outliers.recordFailure(s, false, partialEvidence)
	}
	if h.b.outliers.ejected(s) {
		t.Fatal("ejected before the last error")
	}
	h.b.outliers.recordFailure(s, false, partialEvidence)
	if !h.b.outliers.ejected(s) {
		t.Fatal("not ejected after the last error")
	}
	for range 12 {
		id, actions := h.sendRequest(idempotentClass)
		if to, _ := sentTo(actions); to == s.ID {
			t.Fatal("an ejected server got a request")
		}
		h.endAttempt(id, 0, OK, 10)
	}
	h.now = s.ejectedUntil
	for range 12 {
		id, actions := h.sendRequest(idempotentClass)
		to, _ := sentTo(actions)
		if h.endAttempt(id, 0, OK, 10); to == s.ID && s.ejectedUntil == 0 && s.consecutiveErrors == 0 {
			return
		}
	}
	t.Fatal("the server was not used after its ejection")
}

// If all servers are ejected, requests are still sent.
func TestEjection_allServersEjected(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(3)...)
	for _, s := range h.b.servers {
		h.b.outliers.recordFailure(s, true, partialEvidence)
	}
	if _, actions := h.sendRequest(idempotentClass); !hasAction(actions, Send) {
		t.Fatalf("nothing was sent: %+v", actions)
	}
}

// CountServers counts draining servers, and ejected servers while their ejection lasts, as avoided.
func TestEjection_serverCounts(t *testing.T) {
	servers := identicalServers(4)
	servers[3].State = Draining
	h := newHarness(t, baseConfig(), servers...)
	expect := func(listed, avoided int) {
		t.Helper()
		if l, a := h.b.CountServers(h.now); l != listed || a != avoided {
			t.Errorf("%d listed, %d avoided; want %d, %d", l, a, listed, avoided)
		}
	}
	expect(4, 1)
	id, _ := h.sendRequest(idempotentClass)
	h.endAttempt(id, 0, ConnectFailed, 1)
	expect(4, 2)
	h.now += 60000
	expect(4, 1)
	h.handle(ServerList{Kind: ListFull, Servers: servers[:2]})
	expect(2, 0)
}
