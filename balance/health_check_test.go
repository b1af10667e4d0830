package balance

import "testing"

// A health check that this machine could not send does not affect the server.
func TestHealthCheck_localFailure(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(8)...)
	before := h.recordOf(3)
	h.b.byID[3].checkPending = true
	h.handle(HealthCheckResult{Server: 3, Result: LocalFailure, Elapsed: 0.1})
	if after := h.recordOf(3); after != before || h.b.byID[3].checkPending {
		t.Errorf("record %+v, was %+v; another check is possible: %v", after, before, !h.b.byID[3].checkPending)
	}
}

// healthCheckConfig returns settings with health checks that report the requests in flight.
func healthCheckConfig() Config {
	cfg := baseConfig()
	cfg.HealthChecks, cfg.Reports, cfg.Fields = true, ReportHealthCheck, []Field{FieldInFlight}
	return cfg
}

// answerHealthChecks answers the health checks among the actions: unreachable servers time out, others report n
// requests in flight.
func (h *harness) answerHealthChecks(actions []Action, n float32, unreachable map[ServerID]bool) []Action {
	var after []Action
	for _, a := range actions {
		if a.Kind != HealthCheck {
			continue
		}
		res := HealthCheckResult{Server: a.Server, Report: []float32{n}}
		if unreachable[a.Server] {
			res = HealthCheckResult{Server: a.Server, Result: TimedOut}
		}
		after = append(after, h.handle(res)...)
	}
	return after
}

// Servers that do not answer health checks are ejected, so that they are not checked again for each request. They
// are used again when they answer.
func TestHealthCheck_unreachableServers(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), identicalServers(3)...)
	unreachable := map[ServerID]bool{1: true, 2: true}
	for i := range 4 {
		id, actions := h.sendRequest(idempotentClass)
		if checked := len(actions) - 1; i > 0 && checked > 1 {
			t.Fatalf("request %d: %d servers are checked, want at most 1 while two are ejected", id, checked)
		}
		if s, ok := sentTo(h.answerHealthChecks(actions, 0, unreachable)); !ok || s != 3 {
			t.Fatalf("request %d went to %d", id, s)
		}
		h.endAttempt(id, 0, OK, 10)
	}
	h.now += 10000 // the ejections have ended and the servers answer again
	used := map[ServerID]bool{}
	for range 6 {
		id, actions := h.sendRequest(idempotentClass)
		s, _ := sentTo(h.answerHealthChecks(actions, 0, nil))
		used[s] = true
		h.endAttempt(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("used %v after they answer again", used)
	}
}

// A request waits for its health checks and goes to the server with the fewest reported requests, because a sidecar
// with little traffic does not know the load that others cause.
func TestHealthCheck_reportedQueue(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), identicalServers(3)...)
	h.b.servers[0].currentWeight = 1000 // next in the rotation
	id, actions := h.sendRequest(idempotentClass)
	if hasAction(actions, Send) {
		t.Fatal("sent before the health checks were answered")
	}
	h.handle(HealthCheckResult{Server: 1, Report: []float32{5}})
	h.handle(HealthCheckResult{Server: 2, Report: []float32{0}})
	if s, ok := sentTo(h.handle(HealthCheckResult{Server: 3, Report: []float32{4}})); !ok || s != 2 {
		t.Fatalf("request %d went to %d, want the idle server", id, s)
	}
}

// A request waits for health checks for at most a tenth of its latency objective.
func TestHealthCheck_waitLimit(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), identicalServers(3)...)
	id, _ := h.sendRequest(idempotentClass)
	h.now = h.b.requests[id].wakeAt
	if actions := h.handle(Timer{Token: uint64(id)}); !hasAction(actions, Send) || h.now > 1000+0.1*300 {
		t.Fatalf("at %v: %+v", h.now, actions)
	}
}

// Few servers are checked per request while servers are idle, and all while they are busy, because each check has a
// cost.
func TestHealthCheck_countFollowsLoad(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), identicalServers(12)...)
	checksSent := func(inFlight float32) int {
		n := 0
		for range 60 {
			h.now += 10
			id, actions := h.sendRequest(idempotentClass)
			n = 0
			for _, a := range actions {
				if a.Kind == HealthCheck {
					n++
				}
			}
			h.answerHealthChecks(actions, inFlight, nil)
			h.endAttempt(id, 0, OK, 10)
		}
		return n
	}
	idle := checksSent(0)
	if busy := checksSent(1); idle > 3 || busy != 12 {
		t.Fatalf("%d servers checked when all are idle, %d when all are busy", idle, busy)
	}
}
