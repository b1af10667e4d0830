package balance

import (
	"fmt"
	"testing"
)

// After the end of a first attempt, a request gets another attempt, a rejection or a failure, depending on its
// idempotency, its key scope, the result, and whether the key window has ended.
func TestRetry_afterFirstAttempt(t *testing.T) {
	for _, class := range []int{idempotentClass, nonIdempotentClass, cellKeyClass, globalKeyClass, zoneKeyClass} {
		for _, result := range []Result{Failed, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, WriteFailed} {
			for _, afterWindow := range []bool{false, true} {
				t.Run(fmt.Sprintf("class%d/result%d/late=%v", class, result, afterWindow), func(t *testing.T) {
					checkAfterFirstAttempt(t, class, result, afterWindow)
				})
			}
		}
	}
}

// checkAfterFirstAttempt checks one combination. A second attempt must also stay within the key scope.
func checkAfterFirstAttempt(t *testing.T, class int, result Result, afterWindow bool) {
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = cfg.Classes[i].Deadline // retries are useful until the deadline
		cfg.Classes[i].KeyWindow = 200
	}
	h := newHarness(t, cfg, identicalServers(8)...)
	id, actions := h.sendRequest(class)
	first, ok := sentTo(actions)
	if !ok {
		t.Fatal("the request was not sent")
	}
	if h.now += 100; afterWindow {
		h.now += 200
	}
	actions = h.endAttempt(id, 0, result, 100)
	c := cfg.Classes[class]
	mayResend := c.Idempotency == Idempotent || result.NeverRan() || c.Idempotency == IdempotentWithKey && !afterWindow
	second, sent := sentTo(actions)
	if sent != mayResend {
		t.Fatalf("sent again: %v, want %v (%+v)", sent, mayResend, actions)
	}
	if !sent {
		mayReject := c.Idempotency == IdempotentWithKey && c.KeyScope == KeyScopeAll
		if hasAction(actions, Reject) != mayReject || hasAction(actions, Fail) == mayReject {
			t.Fatalf("rejection allowed: %v, got %+v", mayReject, actions)
		}
		return
	}
	a, b := h.b.byID[first], h.b.byID[second]
	mayHaveRun := !result.NeverRan()
	if a == b || mayHaveRun && class == cellKeyClass && a.Cell != b.Cell || mayHaveRun && class == zoneKeyClass && a.Zone != b.Zone {
		t.Fatalf("sent to %+v after %+v", b.Server, a.Server)
	}
}

// A retry must reach its server within the key window. As it may first wait for a connection for up to the connect
// timeout, that time is subtracted from the window.
func TestRetry_keyWindow(t *testing.T) {
	const connect, window = 120.0, 300.0
	cfg := baseConfig()
	cfg.ConnectTimeout = connect
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = cfg.Classes[i].Deadline // retries are useful until the deadline
		cfg.Classes[i].KeyWindow = window
	}
	for _, class := range []int{idempotentClass, cellKeyClass, globalKeyClass, zoneKeyClass} {
		for _, after := range []float64{0, 100, window - connect - 1, window - connect, window - 1, window, window + 1} {
			h := newHarness(t, cfg, identicalServers(8)...)
			id, _ := h.sendRequest(class)
			h.now += after
			actions := h.endAttempt(id, 0, Failed, after)
			if sent, allowed := hasAction(actions, Send), class == idempotentClass || after+connect < window; sent != allowed {
				t.Errorf("class %d, failed after %v ms: sent again %v, want %v", class, after, sent, allowed)
			}
		}
	}
}

// The key window starts with the first attempt that may have run. Attempts that never ran do not shorten it.
func TestRetry_keyWindowStart(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnectTimeout = 120
	cfg.Classes[globalKeyClass].KeyWindow = 200
	h := newHarness(t, cfg, identicalServers(8)...)
	id, _ := h.sendRequest(globalKeyClass)
	h.now += 250
	if !hasAction(h.endAttempt(id, 0, ConnectFailed, 250), Send) {
		t.Fatal("not sent again after a failed connect")
	}
	h.now += 70
	if !hasAction(h.endAttempt(id, 1, Failed, 70), Send) {
		t.Error("not sent again within the window of the attempt that may have run")
	}
}

// At its deadline, a request with a pending attempt that may run fails. It must not be rejected, as a rejection
// promises that nothing ran.
func TestRetry_deadlineAfterSend(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	for _, class := range []int{nonIdempotentClass, cellKeyClass, zoneKeyClass} {
		id, _ := h.sendRequest(class)
		h.now = h.b.requests[id].deadline
		actions := h.handle(Timer{Token: uint64(id)})
		if hasAction(actions, Reject) || !hasAction(actions, Fail) {
			t.Errorf("class %d at its deadline with a pending attempt: %+v", class, actions)
		}
	}
}

// A request whose remaining time is 0 is rejected at once.
func TestRetry_noRemainingTime(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	actions := h.handle(Request{ID: 1, Class: nonIdempotentClass, Remaining: 0})
	if !hasAction(actions, Reject) || hasAction(actions, Send) {
		t.Fatalf("a request with no time remaining: %+v", actions)
	}
}

// If no server is usable, a request waits until its deadline. It is then rejected and removed.
func TestRetry_noUsableServer(t *testing.T) {
	drained := identicalServers(3)
	for i := range drained {
		drained[i].State = Draining
	}
	for name, servers := range map[string][]Server{"empty": nil, "draining": drained} {
		h := newHarness(t, baseConfig(), servers...)
		id, actions := h.sendRequest(nonIdempotentClass)
		if hasAction(actions, Send) || !hasAction(actions, SetTimer) {
			t.Fatalf("%s: %+v", name, actions)
		}
		rejected := false
		for h.now < 1000+baseConfig().Classes[nonIdempotentClass].Deadline {
			h.now += 10
			rejected = rejected || hasAction(h.handle(Timer{Token: uint64(id)}), Reject)
		}
		if !rejected || len(h.b.requests) != 0 {
			t.Fatalf("%s: rejected %v, %d requests kept", name, rejected, len(h.b.requests))
		}
	}
}

// A request is rejected after MaxAttempts attempts that never ran.
func TestRetry_attemptLimit(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	h := newHarness(t, cfg, identicalServers(4)...)
	id, _ := h.sendRequest(idempotentClass)
	if actions := h.endAttempt(id, 0, Rejected, 1); hasAction(actions, Send) || !hasAction(actions, Reject) {
		t.Fatalf("after the only attempt allowed: %+v", actions)
	}
}

// A streamed response that has started belongs to the client: the sidecar applies no deadline and sends no retry or
// response of its own. The attempt no longer counts as in flight, and a broken stream counts as an error of the
// server.
func TestRetry_startedStream(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].Stream = true
	h := newHarness(t, cfg, identicalServers(3)...)
	id, actions := h.sendRequest(idempotentClass)
	s, _ := sentTo(actions)
	h.handle(ResponseStarted{Request: id, Server: s, Elapsed: 20})
	if a := h.b.requests[id].attempts[0]; a.server.inFlight != 0 || h.b.demand.classes[idempotentClass].mean != 20 {
		t.Errorf("%d in flight at the server, mean latency %v", a.server.inFlight, h.b.demand.classes[idempotentClass].mean)
	}
	h.now += 5000
	if actions := h.handle(Timer{Token: uint64(id)}); hasAction(actions, Fail) || hasAction(actions, Reject) || hasAction(actions, Send) {
		t.Fatalf("a started stream got %+v", actions)
	}
	h.handle(Outcome{Request: id, Server: s, Result: Reset, Elapsed: 5000, Finished: true})
	if len(h.b.requests) != 0 {
		t.Fatal("an ended stream is kept")
	}
	if server := h.b.byID[s]; server.consecutiveErrors != 1 || server.inFlight != 0 {
		t.Errorf("after a reset: %d errors, %d in flight", server.consecutiveErrors, server.inFlight)
	}
}

// While the body of a request is arriving, neither its deadline nor the server's time runs, and the attempt does
// not count as load. Both start with the last byte.
func TestRetry_streamingBodyDeadline(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(3)...)
	h.lastID++
	id := h.lastID
	h.handle(Request{ID: id, Class: nonIdempotentClass, Remaining: 600, BodyStreaming: true})
	r := h.b.requests[id]
	if len(r.attempts) != 1 {
		t.Fatal("the request is not sent at once")
	}
	h.now += 60000
	actions := h.handle(Timer{Token: uint64(id)})
	if len(actions) > 0 || r.attempts[0].server.consecutiveErrors > 0 || h.b.admission.inFlightLoad > 0 {
		t.Fatalf("while the body arrives: %+v, %d errors, load %v", actions, r.attempts[0].server.consecutiveErrors, h.b.admission.inFlightLoad)
	}
	if actions := h.handle(BodyComplete{Request: id, Remaining: 600}); !hasAction(actions, SetTimer) || h.b.admission.inFlightLoad == 0 {
		t.Fatalf("at its last byte: %+v, load %v", actions, h.b.admission.inFlightLoad)
	}
	h.now += 601
	if actions := h.handle(Timer{Token: uint64(id)}); !hasAction(actions, Fail) {
		t.Errorf("at its deadline: %+v", actions)
	}
	h.endAttempt(id, 0, Cancelled, 601)
	if h.b.admission.inFlightLoad != 0 {
		t.Errorf("the load is %v after the attempt ended, want 0", h.b.admission.inFlightLoad)
	}
}

// A body that ends after its response has started adds no load, as that of its attempt ended with the start of the response.
func TestRetry_bodyEndsAfterResponseStarted(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(3)...)
	h.lastID++
	id := h.lastID
	h.handle(Request{ID: id, Class: nonIdempotentClass, Remaining: 600, BodyStreaming: true})
	s := h.b.requests[id].attempts[0].server.ID
	h.handle(ResponseStarted{Request: id, Server: s, Elapsed: 20})
	h.now += 10
	h.handle(BodyComplete{Request: id, Remaining: 600})
	h.now += 10
	h.handle(Outcome{Request: id, Server: s, Result: OK, Elapsed: 20, Finished: true})
	if load := h.b.admission.inFlightLoad; load != 0 || len(h.b.requests) != 0 {
		t.Errorf("the load is %v with %d requests, want none", load, len(h.b.requests))
	}
}

// A request that never ran is sent again only if its body is still available.
func TestRetry_consumedBody(t *testing.T) {
	for _, consumed := range []bool{false, true} {
		h := newHarness(t, baseConfig(), identicalServers(3)...)
		h.lastID++
		h.handle(Request{ID: h.lastID, Class: nonIdempotentClass, Remaining: 600, BodyStreaming: true})
		s := h.b.requests[h.lastID].attempts[0].server.ID
		actions := h.handle(Outcome{Request: h.lastID, Server: s, Result: Rejected, Elapsed: 5, BodyConsumed: consumed})
		if hasAction(actions, Send) == consumed || hasAction(actions, Reject) != consumed {
			t.Errorf("body consumed %v: %+v", consumed, actions)
		}
	}
}

// Attempts that never ran are repeated up to MaxAttempts. A request that may have run is sent again at most once.
func TestRetry_rerouteLimit(t *testing.T) {
	for res, sends := range map[Result]int{ConnectFailed: 4, WriteFailed: 4, Rejected: 4, Failed: 2} {
		h := newHarness(t, baseConfig(), identicalServers(8)...)
		id, _ := h.sendRequest(idempotentClass)
		n := 1
		for ; hasAction(h.endAttempt(id, n-1, res, 1), Send); n++ {
		}
		if n != sends {
			t.Errorf("result %v: %d attempts, want %d of at most %d", res, n, sends, baseConfig().MaxAttempts)
		}
	}
}
