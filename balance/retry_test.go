package balance

import (
	"fmt"
	"testing"
)

// What may follow the end of a first attempt, for each effect, group and result, within the
// window and after it: another send, a refusal, a failure.
func TestRetry_afterFirstAttempt(t *testing.T) {
	for _, class := range []int{idempotentClass, nonIdempotentClass, cellKeyClass, globalKeyClass, zoneKeyClass} {
		for _, res := range []Result{Failed, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, WriteFailed} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("class%d/result%d/late=%v", class, res, late), func(t *testing.T) {
					checkAfterFirstAttempt(t, class, res, late)
				})
			}
		}
	}
}

func checkAfterFirstAttempt(t *testing.T, class int, res Result, late bool) {
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = cfg.Classes[i].Deadline // a re-route is worth its while to the end
		cfg.Classes[i].KeyWindow = 200
	}
	g := newHarness(t, cfg, identicalServers(8)...)
	id, acts := g.sendRequest(class)
	first, ok := sentTo(acts)
	if !ok {
		t.Fatal("the request was not sent")
	}
	if g.now += 100; late {
		g.now += 200
	}
	acts = g.endAttempt(id, 0, res, 100)
	c := cfg.Classes[class]
	mayResend := c.Idempotency == Idempotent || res.NeverRan() || c.Idempotency == IdempotentWithKey && !late
	second, sent := sentTo(acts)
	if sent != mayResend {
		t.Fatalf("sent again: %v, want %v (%+v)", sent, mayResend, acts)
	}
	if !sent {
		mayReject := c.Idempotency == IdempotentWithKey && c.KeyScope == KeyScopeAll
		if hasAction(acts, Reject) != mayReject || hasAction(acts, Fail) == mayReject {
			t.Fatalf("refusal allowed: %v, got %+v", mayReject, acts)
		}
		return
	}
	a, b := g.b.byID[first], g.b.byID[second]
	dirty := !res.NeverRan()
	if a == b || dirty && class == cellKeyClass && a.Cell != b.Cell || dirty && class == zoneKeyClass && a.Zone != b.Zone {
		t.Fatalf("sent to %+v after %+v", b.Server, a.Server)
	}
}

// A repeat may wait for a new connection before its first byte leaves, as long as connects may take: one that was
// decided within the window left after it, when servers may have forgotten its key.
func TestRetry_keyWindow(t *testing.T) {
	const connect, window = 120.0, 300.0
	cfg := baseConfig()
	cfg.ConnectTimeout = connect
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = cfg.Classes[i].Deadline // a re-route is worth its while to the end
		cfg.Classes[i].KeyWindow = window
	}
	for _, class := range []int{idempotentClass, cellKeyClass, globalKeyClass, zoneKeyClass} {
		for _, after := range []float64{0, 100, window - connect - 1, window - connect, window - 1, window, window + 1} {
			g := newHarness(t, cfg, identicalServers(8)...)
			id, _ := g.sendRequest(class)
			g.now += after
			acts := g.endAttempt(id, 0, Failed, after)
			if sent, may := hasAction(acts, Send), class == idempotentClass || after+connect < window; sent != may {
				t.Errorf("class %d, failed after %v ms: sent again %v, want %v", class, after, sent, may)
			}
		}
	}
}

// The window begins with the first attempt that may have run: what never ran uses up none of it.
func TestRetry_keyWindowStart(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnectTimeout = 120
	cfg.Classes[globalKeyClass].KeyWindow = 200
	g := newHarness(t, cfg, identicalServers(8)...)
	id, _ := g.sendRequest(globalKeyClass)
	g.now += 250
	if !hasAction(g.endAttempt(id, 0, ConnectFailed, 250), Send) {
		t.Fatal("not sent again after a connect that failed")
	}
	g.now += 70
	if !hasAction(g.endAttempt(id, 1, Failed, 70), Send) {
		t.Error("not repeated within the window of the attempt that may have run")
	}
}

func TestRetry_deadlineAfterSend(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(4)...)
	for _, class := range []int{nonIdempotentClass, cellKeyClass, zoneKeyClass} {
		id, _ := g.sendRequest(class)
		g.now = g.b.requests[id].deadline
		acts := g.handle(Timer{Token: uint64(id)})
		if hasAction(acts, Reject) || !hasAction(acts, Fail) {
			t.Errorf("class %d at its deadline with an attempt out: %+v", class, acts)
		}
	}
}

func TestRetry_noTimeLeft(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(4)...)
	acts := g.handle(Request{ID: 1, Class: nonIdempotentClass, Remaining: 0})
	if !hasAction(acts, Reject) || hasAction(acts, Send) {
		t.Fatalf("a request without time left: %+v", acts)
	}
}

func TestRetry_noUsableServer(t *testing.T) {
	drained := identicalServers(3)
	for i := range drained {
		drained[i].State = Draining
	}
	for name, servers := range map[string][]Server{"empty": nil, "draining": drained} {
		g := newHarness(t, baseConfig(), servers...)
		id, acts := g.sendRequest(nonIdempotentClass)
		if hasAction(acts, Send) || !hasAction(acts, SetTimer) {
			t.Fatalf("%s: %+v", name, acts)
		}
		refused := false
		for g.now < 1000+baseConfig().Classes[nonIdempotentClass].Deadline {
			g.now += 10
			refused = refused || hasAction(g.handle(Timer{Token: uint64(id)}), Reject)
		}
		if !refused || len(g.b.requests) != 0 {
			t.Fatalf("%s: refused %v, %d requests left", name, refused, len(g.b.requests))
		}
	}
}

func TestRetry_attemptLimit(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	g := newHarness(t, cfg, identicalServers(4)...)
	id, _ := g.sendRequest(idempotentClass)
	if acts := g.endAttempt(id, 0, Rejected, 1); hasAction(acts, Send) || !hasAction(acts, Reject) {
		t.Fatalf("after the only attempt allowed: %+v", acts)
	}
}

// Once a streamed answer has begun the client owns it: no deadline, no repeat, no answer of ours.
func TestRetry_startedStream(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].Stream = true
	g := newHarness(t, cfg, identicalServers(3)...)
	id, acts := g.sendRequest(idempotentClass)
	s, _ := sentTo(acts)
	g.handle(AnswerStarted{Request: id, Server: s, Elapsed: 20})
	if a := g.b.requests[id].attempts[0]; a.server.inFlight != 0 || g.b.demand.classes[idempotentClass].mean != 20 {
		t.Errorf("the server holds %d, answers take %v", a.server.inFlight, g.b.demand.classes[idempotentClass].mean)
	}
	g.now += 5000
	if acts := g.handle(Timer{Token: uint64(id)}); hasAction(acts, Fail) || hasAction(acts, Reject) || hasAction(acts, Send) {
		t.Fatalf("a running stream got %+v", acts)
	}
	g.handle(Outcome{Request: id, Server: s, Result: Reset, Elapsed: 5000, Finished: true})
	if len(g.b.requests) != 0 {
		t.Fatal("an ended stream is remembered")
	}
	if server := g.b.byID[s]; server.consecutiveErrors != 1 || server.inFlight != 0 {
		t.Errorf("after a break: %d errors, %d held", server.consecutiveErrors, server.inFlight)
	}
}

// While a body comes no time passes, for the request or its server; from its last byte on both count.
func TestRetry_streamingBodyDeadline(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(3)...)
	g.lastID++
	id := g.lastID
	g.handle(Request{ID: id, Class: nonIdempotentClass, Remaining: 600, BodyStreaming: true})
	r := g.b.requests[id]
	if len(r.attempts) != 1 {
		t.Fatal("it is not sent at once")
	}
	g.now += 60000
	if acts := g.handle(Timer{Token: uint64(id)}); len(acts) > 0 || r.attempts[0].server.consecutiveErrors > 0 || g.b.admission.inFlightLoad > 0 {
		t.Fatalf("while its body comes: %+v, %d errors, load %v", acts, r.attempts[0].server.consecutiveErrors, g.b.admission.inFlightLoad)
	}
	if acts := g.handle(BodyComplete{Request: id, Remaining: 600}); !hasAction(acts, SetTimer) || g.b.admission.inFlightLoad == 0 {
		t.Fatalf("at its last byte: %+v, load %v", acts, g.b.admission.inFlightLoad)
	}
	g.now += 601
	if acts := g.handle(Timer{Token: uint64(id)}); !hasAction(acts, Fail) {
		t.Errorf("at its deadline: %+v", acts)
	}
	g.endAttempt(id, 0, Cancelled, 601)
	if g.b.admission.inFlightLoad != 0 {
		t.Errorf("load %v is left", g.b.admission.inFlightLoad)
	}
}

// What never ran is sent again only while its body is held.
func TestRetry_consumedBody(t *testing.T) {
	for _, spent := range []bool{false, true} {
		g := newHarness(t, baseConfig(), identicalServers(3)...)
		g.lastID++
		g.handle(Request{ID: g.lastID, Class: nonIdempotentClass, Remaining: 600, BodyStreaming: true})
		s := g.b.requests[g.lastID].attempts[0].server.ID
		acts := g.handle(Outcome{Request: g.lastID, Server: s, Result: Rejected, Elapsed: 5, BodyConsumed: spent})
		if hasAction(acts, Send) == spent || hasAction(acts, Reject) != spent {
			t.Errorf("spent %v: %+v", spent, acts)
		}
	}
}

// After a crash two failed connects refused a request although attempts and time were left; what may have
// run is re-routed once at most.
func TestRetry_rerouteLimit(t *testing.T) {
	for res, sends := range map[Result]int{ConnectFailed: 4, WriteFailed: 4, Rejected: 4, Failed: 2} {
		g := newHarness(t, baseConfig(), identicalServers(8)...)
		id, _ := g.sendRequest(idempotentClass)
		n := 1
		for ; hasAction(g.endAttempt(id, n-1, res, 1), Send); n++ {
		}
		if n != sends {
			t.Errorf("result %v: %d attempts, want %d of at most %d", res, n, sends, baseConfig().MaxAttempts)
		}
	}
}
