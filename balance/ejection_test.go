package balance

import (
	"fmt"
	"math"
	"testing"
)

// A server whose connection came up after all is there: it neither rests nor stands against its zone, nor is it cold.
func TestEjection_lateConnection(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnectTimeout = 120
	play := func(late bool) (left, avoided, cold int) {
		g := newHarness(t, cfg, identicalServers(8)...) // two zones of four
		failed := map[ServerID]bool{}
		for range 40 {
			g.now += 30
			id, acts := g.sendRequest(idempotentClass)
			for attempt := 0; ; attempt++ {
				s, sent := sentTo(acts)
				if !sent {
					break
				}
				if g.b.byID[s].Zone != 0 || failed[s] && late {
					g.endAttempt(id, attempt, OK, 20)
					break
				}
				failed[s] = true
				acts = g.endAttempt(id, attempt, ConnectFailed, cfg.ConnectTimeout)
				if late {
					g.handle(ConnectionReady{Server: s})
				}
			}
			left = max(left, g.b.ZoneStatus().Left)
		}
		_, avoided = g.b.CountServers(g.now)
		for s := range failed {
			if g.b.slowStart.warmingUp(g.b.byID[s]) {
				cold++
			}
		}
		return left, avoided, cold
	}
	if left, avoided, cold := play(true); left+avoided+cold > 0 {
		t.Errorf("connections come up late: %d zones left, %d servers avoided, %d cold", left, avoided, cold)
	}
	if left, _, _ := play(false); left == 0 {
		t.Error("they never come up, and the zone is not left")
	}
}

// A server that drops without a word what it cannot answer in the time that is left is not held at fault: it is
// neither rested nor weighed less, and each request gets one answer after one attempt at most.
func TestEjection_shortTimeout(t *testing.T) {
	for class, name := range map[int]string{idempotentClass: "safe", nonIdempotentClass: "unsafe", globalKeyClass: "keyed"} {
		for _, left := range []float64{1, 2, 5, 10, 20} {
			t.Run(fmt.Sprint(name, ", ", left, " ms"), func(t *testing.T) {
				g := newHarness(t, baseConfig(), identicalServers(4)...)
				for range 100 { // answers take 60 ms
					id, _ := g.sendRequest(class)
					g.now += 60
					g.endAttempt(id, 0, OK, 60)
				}
				for range 20 {
					g.lastID++
					id := g.lastID
					acts := g.handle(Request{ID: id, Class: class, Remaining: left})
					if _, sent := sentTo(acts); !sent {
						continue // refused: there is no time for it
					}
					g.now += left
					acts = g.handle(Timer{Token: uint64(id)})
					if !hasAction(acts, Fail) && !hasAction(acts, Reject) {
						t.Fatalf("%v ms: no answer at the deadline: %+v", left, acts)
					}
					if hasAction(acts, Send) {
						t.Errorf("%v ms: a second attempt", left)
					}
					g.endAttempt(id, 0, TimedOut, left)
					g.now += 50
				}
				for _, s := range g.b.servers {
					if s.consecutiveErrors > 0 || s.ejections > 0 || g.b.outliers.ejected(s) || g.b.picker.health(s) < 1 {
						t.Errorf("%v ms: server %d is held at fault: %d errors, %d rests", left, s.ID, s.consecutiveErrors, s.ejections)
					}
				}
			})
		}
	}
}

// A server that has had the time that answers take, and is silent, is at fault as before.
func TestEjection_timeoutBeyondMean(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(4)...)
	for range 100 {
		id, _ := g.sendRequest(idempotentClass)
		g.now += 60
		g.endAttempt(id, 0, OK, 60)
	}
	g.lastID++
	g.handle(Request{ID: g.lastID, Class: idempotentClass, Remaining: 61})
	g.now += 61
	g.handle(Timer{Token: uint64(g.lastID)})
	s := g.b.requests[g.lastID].attempts[0].server
	g.endAttempt(g.lastID, 0, TimedOut, 61)
	if s.consecutiveErrors != 1 {
		t.Errorf("%d errors, want 1", s.consecutiveErrors)
	}
}

// A server to which there is no way is rested as one that is gone, but it does not start again: it stays warm.
func TestEjection_unreachableServer(t *testing.T) {
	for _, test := range []struct {
		result Result
		cold   bool
	}{{ConnectFailed, true}, {Unreachable, false}} {
		g := newHarness(t, baseConfig(), identicalServers(8)...)
		id, acts := g.sendRequest(idempotentClass)
		server, _ := sentTo(acts)
		s := g.b.byID[server]
		if acts = g.endAttempt(id, 0, test.result, 1); !hasAction(acts, Send) || !g.b.outliers.ejected(s) {
			t.Errorf("result %v: %+v, resting %v, want another attempt and a rest", test.result, acts, g.b.outliers.ejected(s))
		}
		g.now = s.ejectedUntil
		for g.b.outliers.ejected(s) || s.consecutiveErrors > 0 { // until it answers again
			g.now += 10
			id, acts := g.sendRequest(idempotentClass)
			if to, sent := sentTo(acts); !sent || to == 0 {
				t.Fatalf("%+v", acts)
			}
			g.endAttempt(id, 0, OK, 10)
		}
		if cold := g.b.slowStart.warmingUp(s); cold != test.cold {
			t.Errorf("result %v: it starts anew: %v, want %v", test.result, cold, test.cold)
		}
	}
}

func TestEjection_healthScore(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(2)...)
	s := g.b.servers[0]
	if m := g.b.picker.health(s); m != 1 {
		t.Fatalf("m without errors is %v", m)
	}
	s.consecutiveErrors, s.lastErrorAt = 2, g.now
	if m := g.b.picker.health(s); math.Abs(m-(1-2*penaltyPerError)) > 1e-9 {
		t.Fatalf("m after two errors is %v", m)
	}
	g.b.now += halfLife
	if m := g.b.picker.health(s); math.Abs(m-(1-penaltyPerError)) > 1e-9 {
		t.Fatalf("m after a half-life is %v", m)
	}
	s.consecutiveErrors = 1000
	if m := g.b.picker.health(s); m != minHealth {
		t.Fatalf("m after very many errors is %v, want the floor", m)
	}
	if m := g.b.picker.health(g.b.servers[1]); m != 1 {
		t.Fatalf("another server's errors moved m to %v", m)
	}
	s.consecutiveErrors = 2
	id, _ := g.sendRequest(idempotentClass)
	g.b.requests[id].attempts[0].server = s
	s.inFlight, g.b.servers[1].inFlight = 1, 0
	g.endAttempt(id, 0, OK, 10)
	if m := g.b.picker.health(s); m != 1 {
		t.Fatalf("m after a success is %v", m)
	}
}

// A connection that broke under a request tells nothing of the process: after resets all over the network,
// a whole warm fleet was held to have restarted, and was sent next to nothing for the time of a warm-up.
func TestEjection_brokenConnection(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(2)...)
	id, acts := g.sendRequest(nonIdempotentClass)
	s, _ := sentTo(acts)
	next, sent := sentTo(g.endAttempt(id, 0, WriteFailed, 1))
	if !sent || next == s {
		t.Fatalf("re-routed %v, to %d: it never ran", sent, next)
	}
	g.endAttempt(id, 1, OK, 10)
	server := g.b.byID[s]
	if g.b.outliers.ejected(server) || g.b.picker.health(server) == 1 {
		t.Errorf("rested %v, health %v: one error counts, but doesn't take it out", g.b.outliers.ejected(server), g.b.picker.health(server))
	}
	g.now += 60000
	for range 8 {
		id, _ = g.sendRequest(idempotentClass)
		g.endAttempt(id, 0, OK, 10)
	}
	if g.b.slowStart.warmingUp(server) {
		t.Error("held to have restarted")
	}
}

// Crowded servers turn slow and stay so until they have been idle for a while: a reported wait beyond the
// aim rests a server.
func TestEjection_reportedQueue(t *testing.T) {
	cfg := baseConfig()
	cfg.Reports, cfg.Fields = ReportPiggyback, []Field{FieldErrorRate, FieldLatency, FieldQueue}
	for queue, rests := range map[float32]bool{2: false, 8: true} {
		g := newHarness(t, cfg, identicalServers(3)...)
		id, acts := g.sendRequest(idempotentClass)
		s, _ := sentTo(acts)
		g.now += 200
		g.handle(Outcome{Request: id, Server: s, Elapsed: 200, Finished: true, Report: []float32{0, 50, queue}})
		if got := g.b.outliers.ejected(g.b.byID[s]); got != rests {
			t.Errorf("%v waiting for 50 ms each, aim 300 ms: resting %v", queue, got)
		}
	}
}

// A busy sidecar rested a crowded server for a whole aim on one report, and crowded the others: the rest is
// one turn of the rotation.
func TestEjection_reportedQueueDuration(t *testing.T) {
	cfg := baseConfig()
	cfg.Reports, cfg.Fields = ReportPiggyback, []Field{FieldLatency, FieldQueue}
	g := newHarness(t, cfg, identicalServers(3)...)
	for range 400 { // a hundred requests a second
		g.now += 10
		id, acts := g.sendRequest(idempotentClass)
		to, _ := sentTo(acts)
		g.handle(Outcome{Request: id, Server: to, Elapsed: 5, Finished: true, Report: []float32{50, 0}})
	}
	id, acts := g.sendRequest(idempotentClass)
	to, _ := sentTo(acts)
	s := g.b.byID[to]
	g.handle(Outcome{Request: id, Server: to, Elapsed: 5, Finished: true, Report: []float32{50, 40}})
	if rest := s.ejectedUntil - g.now; rest < 10 || rest > 60 {
		t.Fatalf("rests for %.0f ms, a turn over three servers takes 30", rest)
	}
}

// In a congested fleet all answers are late, and that is no server's fault: once the class is
// known to take long, an attempt of 430 ms with an aim of 300 is no error.
func TestEjection_congestedFleet(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(4)...)
	times := []float64{370, 430, 400}
	for i := range 60 {
		id, acts := g.sendRequest(nonIdempotentClass)
		if !hasAction(acts, Send) {
			continue
		}
		end := g.now + times[i%3]
		for r := g.b.requests[id]; r.state != requestAnswered && r.wakeAt < end; {
			g.now = r.wakeAt
			g.handle(Timer{Token: uint64(id)})
		}
		g.now = end
		if i > 30 && g.b.requests[id].attempts[0].overdue {
			t.Fatalf("attempt %d of %v ms is held to be overdue after %v", i, times[i%3], g.b.outliers.overdueAfter(g.b.requests[id]))
		}
		g.endAttempt(id, 0, OK, times[i%3])
	}
	g.b.admission.lastingShed = 0
	id, _ := g.sendRequest(nonIdempotentClass)
	r := g.b.requests[id]
	for !r.attempts[0].overdue {
		if g.now = r.wakeAt; g.now >= r.deadline {
			t.Fatal("nothing looks at the attempt before its deadline")
		}
		g.handle(Timer{Token: uint64(id)})
	}
	if r.attempts[0].server.consecutiveErrors == 0 {
		t.Fatal("an attempt far beyond all others is no error")
	}
}

// A restarted server starts afresh: nothing of its rests, nor that it was dark, is left.
func TestEjection_clearedByRestart(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(2)...)
	s := g.b.servers[0]
	g.handle(HealthCheckResult{Server: s.ID, Result: TimedOut})
	if !s.healthCheckFailed || !g.b.outliers.ejected(s) {
		t.Fatal("a probe without answer does not rest the server")
	}
	entry := s.Server
	entry.StartedAt = g.now
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	if s.healthCheckFailed || s.ejections != 0 || g.b.outliers.ejected(s) {
		t.Fatalf("after the restart: dark %v, rests %d", s.healthCheckFailed, s.ejections)
	}
}

// A server that leaves several attempts unanswered is rested, and used again after an answer.
func TestEjection_consecutiveErrors(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(3)...)
	s := g.b.servers[0]
	for range errorsToEject - 1 {
		g.b.outliers.recordFailure(s, false, partialEvidence)
	}
	if g.b.outliers.ejected(s) {
		t.Fatal("rested before the last strike")
	}
	g.b.outliers.recordFailure(s, false, partialEvidence)
	if !g.b.outliers.ejected(s) {
		t.Fatal("not rested after the last strike")
	}
	for range 12 {
		id, acts := g.sendRequest(idempotentClass)
		if to, _ := sentTo(acts); to == s.ID {
			t.Fatal("a resting server got a request")
		}
		g.endAttempt(id, 0, OK, 10)
	}
	g.now = s.ejectedUntil
	for range 12 {
		id, acts := g.sendRequest(idempotentClass)
		to, _ := sentTo(acts)
		if g.endAttempt(id, 0, OK, 10); to == s.ID && s.ejectedUntil == 0 && s.consecutiveErrors == 0 {
			return
		}
	}
	t.Fatal("the server was not tried after its rest")
}

// When all servers rest the cause is hardly theirs.
func TestEjection_allServersEjected(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(3)...)
	for _, s := range g.b.servers {
		g.b.outliers.recordFailure(s, true, partialEvidence)
	}
	if _, acts := g.sendRequest(idempotentClass); !hasAction(acts, Send) {
		t.Fatalf("nothing was sent: %+v", acts)
	}
}

// Who is avoided now: servers that rest, for as long as they do, and those that drain.
func TestEjection_serverCounts(t *testing.T) {
	servers := identicalServers(4)
	servers[3].State = Draining
	g := newHarness(t, baseConfig(), servers...)
	wants := func(listed, avoided int) {
		t.Helper()
		if l, a := g.b.CountServers(g.now); l != listed || a != avoided {
			t.Errorf("%d listed, %d avoided; want %d, %d", l, a, listed, avoided)
		}
	}
	wants(4, 1)
	id, _ := g.sendRequest(idempotentClass)
	g.endAttempt(id, 0, ConnectFailed, 1)
	wants(4, 2)
	g.now += 60000
	wants(4, 1)
	g.handle(ServerList{Kind: ListFull, Servers: servers[:2]})
	wants(2, 0)
}
