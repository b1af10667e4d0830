package balance

import (
	"fmt"
	"testing"
)

// What may follow the end of a first attempt, for each kind of idempotency, key scope and result, within the key
// window and after it: another attempt, a rejection or a failure.
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

// checkAfterFirstAttempt checks one combination. A second attempt must also keep to the key scope.
func checkAfterFirstAttempt(t *testing.T, class int, result Result, afterWindow bool) {
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = cfg.Classes[i].Deadline // retries are useful until the deadline
		cfg.Classes[i].KeyWindow = 200
	}
	h := newHarness(t, cfg, identicalServers(8)...)
	id, acts := h.sendRequest(class)
	first, ok := sentTo(acts)
	if !ok {
		t.Fatal("the request was not sent")
	}
	if h.now += 100; afterWindow {
		h.now += 200
	}
	acts = h.endAttempt(id, 0, result, 100)
	c := cfg.Classes[class]
	mayResend := c.Idempotency == Idempotent || result.NeverRan() || c.Idempotency == IdempotentWithKey && !afterWindow
	second, sent := sentTo(acts)
	if sent != mayResend {
		t.Fatalf("sent again: %v, want %v (%+v)", sent, mayResend, acts)
	}
	if !sent {
		mayReject := c.Idempotency == IdempotentWithKey && c.KeyScope == KeyScopeAll
		if hasAction(acts, Reject) != mayReject || hasAction(acts, Fail) == mayReject {
			t.Fatalf("rejection allowed: %v, got %+v", mayReject, acts)
		}
		return
	}
	a, b := h.b.byID[first], h.b.byID[second]
	mayHaveRun := !result.NeverRan()
	if a == b || mayHaveRun && class == cellKeyClass && a.Cell != b.Cell || mayHaveRun && class == zoneKeyClass && a.Zone != b.Zone {
		t.Fatalf("sent to %+v after %+v", b.Server, a.Server)
	}
}

// A further attempt must reach its server within the key window. It may wait for a connection for up to the connect
// timeout first, so that time is subtracted from the window.
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
			acts := h.endAttempt(id, 0, Failed, after)
			if sent, allowed := hasAction(acts, Send), class == idempotentClass || after+connect < window; sent != allowed {
				t.Errorf("class %d, failed after %v ms: sent again %v, want %v", class, after, sent, allowed)
			}
		}
	}
}

// The key window starts with the first attempt that may have run: attempts that never ran use up none of it.
func TestRetry_keyWindowStart(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnectTimeout = 120
	cfg.Classes[globalKeyClass].KeyWindow = 200
	h := newHarness(t, cfg, identicalServers(8)...)
	id, _ := h.sendRequest(globalKeyClass)
	h.now += 250
	if !hasAction(h.endAttempt(id, 0, ConnectFailed, 250), Send) {
		t.Fatal("not sent again after a connect that failed")
	}
	h.now += 70
	if !hasAction(h.endAttempt(id, 1, Failed, 70), Send) {
		t.Error("not sent again within the window of the attempt that may have run")
	}
}

// At its deadline, a request with a pending attempt that may run fails: it may not be rejected, which would promise
// that nothing ran.
func TestRetry_deadlineAfterSend(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	for _, class := range []int{nonIdempotentClass, cellKeyClass, zoneKeyClass} {
		id, _ := h.sendRequest(class)
		h.now = h.b.requests[id].deadline
		acts := h.handle(Timer{Token: uint64(id)})
		if hasAction(acts, Reject) || !hasAction(acts, Fail) {
			t.Errorf("class %d at its deadline with a pending attempt: %+v", class, acts)
		}
	}
}

// A request without time left is rejected at once.
func TestRetry_noTimeLeft(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	acts := h.handle(Request{ID: 1, Class: nonIdempotentClass, Remaining: 0})
	if !hasAction(acts, Reject) || hasAction(acts, Send) {
		t.Fatalf("a request without time left: %+v", acts)
	}
}

// Without a usable server a request waits until its deadline, and is then rejected and forgotten.
func TestRetry_noUsableServer(t *testing.T) {
	drained := identicalServers(3)
	for i := range drained {
		drained[i].State = Draining
	}
	for name, servers := range map[string][]Server{"empty": nil, "draining": drained} {
		h := newHarness(t, baseConfig(), servers...)
		id, acts := h.sendRequest(nonIdempotentClass)
		if hasAction(acts, Send) || !hasAction(acts, SetTimer) {
			t.Fatalf("%s: %+v", name, acts)
		}
		rejected := false
		for h.now < 1000+baseConfig().Classes[nonIdempotentClass].Deadline {
			h.now += 10
			rejected = rejected || hasAction(h.handle(Timer{Token: uint64(id)}), Reject)
		}
		if !rejected || len(h.b.requests) != 0 {
			t.Fatalf("%s: rejected %v, %d requests remembered", name, rejected, len(h.b.requests))
		}
	}
}

// After MaxAttempts attempts that never ran, a request is rejected.
func TestRetry_attemptLimit(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	h := newHarness(t, cfg, identicalServers(4)...)
	id, _ := h.sendRequest(idempotentClass)
	if acts := h.endAttempt(id, 0, Rejected, 1); hasAction(acts, Send) || !hasAction(acts, Reject) {
		t.Fatalf("after the only attempt allowed: %+v", acts)
	}
}

// A streamed answer that has started belongs to the client: no deadline, retry or answer of the sidecar follows. Its
// server counts as answered, and a break counts as an error.
func TestRetry_startedStream(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].Stream = true
	h := newHarness(t, cfg, identicalServers(3)...)
	id, acts := h.sendRequest(idempotentClass)
	s, _ := sentTo(acts)
	h.handle(ResponseStarted{Request: id, Server: s, Elapsed: 20})
	if a := h.b.requests[id].attempts[0]; a.server.inFlight != 0 || h.b.demand.classes[idempotentClass].mean != 20 {
		t.Errorf("%d in flight at the server, mean latency %v", a.server.inFlight, h.b.demand.classes[idempotentClass].mean)
	}
	h.now += 5000
	if acts := h.handle(Timer{Token: uint64(id)}); hasAction(acts, Fail) || hasAction(acts, Reject) || hasAction(acts, Send) {
		t.Fatalf("a started stream got %+v", acts)
	}
	h.handle(Outcome{Request: id, Server: s, Result: Reset, Elapsed: 5000, Finished: true})
	if len(h.b.requests) != 0 {
		t.Fatal("an ended stream is remembered")
	}
	if server := h.b.byID[s]; server.consecutiveErrors != 1 || server.inFlight != 0 {
		t.Errorf("after a reset: %d errors, %d in flight", server.consecutiveErrors, server.inFlight)
	}
}

// While the body of a request arrives, neither its deadline nor the server's time runs, and it counts as no load.
// Both start with its last byte.
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
	if acts := h.handle(Timer{Token: uint64(id)}); len(acts) > 0 || r.attempts[0].server.consecutiveErrors > 0 || h.b.admission.inFlightLoad > 0 {
		t.Fatalf("while the body arrives: %+v, %d errors, load %v", acts, r.attempts[0].server.consecutiveErrors, h.b.admission.inFlightLoad)
	}
	if acts := h.handle(BodyComplete{Request: id, Remaining: 600}); !hasAction(acts, SetTimer) || h.b.admission.inFlightLoad == 0 {
		t.Fatalf("at its last byte: %+v, load %v", acts, h.b.admission.inFlightLoad)
	}
	h.now += 601
	if acts := h.handle(Timer{Token: uint64(id)}); !hasAction(acts, Fail) {
		t.Errorf("at its deadline: %+v", acts)
	}
	h.endAttempt(id, 0, Cancelled, 601)
	if h.b.admission.inFlightLoad != 0 {
		t.Errorf("load %v is left", h.b.admission.inFlightLoad)
	}
}

// A request that never ran is sent again only while its body is still held.
func TestRetry_consumedBody(t *testing.T) {
	for _, consumed := range []bool{false, true} {
		h := newHarness(t, baseConfig(), identicalServers(3)...)
		h.lastID++
		h.handle(Request{ID: h.lastID, Class: nonIdempotentClass, Remaining: 600, BodyStreaming: true})
		s := h.b.requests[h.lastID].attempts[0].server.ID
		acts := h.handle(Outcome{Request: h.lastID, Server: s, Result: Rejected, Elapsed: 5, BodyConsumed: consumed})
		if hasAction(acts, Send) == consumed || hasAction(acts, Reject) != consumed {
			t.Errorf("body consumed %v: %+v", consumed, acts)
		}
	}
}

// Attempts that never ran are repeated up to MaxAttempts. A request that may have run is sent again once at most.
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
