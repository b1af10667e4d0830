package balance

import "testing"

// A probe that this machine could not send says nothing of its server.
func TestHealthCheck_localFailure(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(8)...)
	before := g.recordOf(3)
	g.b.byID[3].checkPending = true
	g.handle(HealthCheckResult{Server: 3, Result: LocalFailure, Elapsed: 0.1})
	if after := g.recordOf(3); after != before || g.b.byID[3].checkPending {
		t.Errorf("%+v, was %+v; it may be probed again: %v", after, before, !g.b.byID[3].checkPending)
	}
}

func healthCheckConfig() Config {
	cfg := baseConfig()
	cfg.HealthChecks, cfg.Reports, cfg.Fields = true, ReportHealthCheck, []Field{FieldInFlight}
	return cfg
}

// probes answers the probes of acts: servers in dark give no answer, the others hold n requests.
func (g *harness) answerHealthChecks(acts []Action, n float32, unreachable map[ServerID]bool) []Action {
	var after []Action
	for _, a := range acts {
		if a.Kind != HealthCheck {
			continue
		}
		res := HealthCheckResult{Server: a.Server, Report: []float32{n}}
		if unreachable[a.Server] {
			res = HealthCheckResult{Server: a.Server, Result: TimedOut}
		}
		after = append(after, g.handle(res)...)
	}
	return after
}

// Links were cut and most probes lost, and the servers next in turn, which nobody could use,
// were probed again for every request.
func TestHealthCheck_unreachableServers(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), identicalServers(3)...)
	dark := map[ServerID]bool{1: true, 2: true}
	for i := range 4 {
		id, acts := g.sendRequest(idempotentClass)
		if asked := len(acts) - 1; i > 0 && asked > 1 {
			t.Fatalf("request %d: %d servers probed though two are out of reach", id, asked)
		}
		if s, ok := sentTo(g.answerHealthChecks(acts, 0, dark)); !ok || s != 3 {
			t.Fatalf("request %d went to %d", id, s)
		}
		g.endAttempt(id, 0, OK, 10)
	}
	g.now += 10000 // their rest is over and they answer again
	used := map[ServerID]bool{}
	for range 6 {
		id, acts := g.sendRequest(idempotentClass)
		s, _ := sentTo(g.answerHealthChecks(acts, 0, nil))
		used[s] = true
		g.endAttempt(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("used %v after they came back", used)
	}
}

// A sidecar with little traffic cannot know from its own requests what others fill.
func TestHealthCheck_reportedQueue(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), identicalServers(3)...)
	g.b.servers[0].running = 1000 // its turn
	id, acts := g.sendRequest(idempotentClass)
	if hasAction(acts, Send) {
		t.Fatal("sent before the probes were answered")
	}
	g.handle(HealthCheckResult{Server: 1, Report: []float32{5}})
	g.handle(HealthCheckResult{Server: 2, Report: []float32{0}})
	if s, ok := sentTo(g.handle(HealthCheckResult{Server: 3, Report: []float32{4}})); !ok || s != 2 {
		t.Fatalf("request %d went to %d, want the empty server", id, s)
	}
}

func TestHealthCheck_waitLimit(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), identicalServers(3)...)
	id, _ := g.sendRequest(idempotentClass)
	g.now = g.b.requests[id].wakeAt
	if acts := g.handle(Timer{Token: uint64(id)}); !hasAction(acts, Send) || g.now > 1000+0.1*300 {
		t.Fatalf("at %v: %+v", g.now, acts)
	}
}

// Probes cost: in quiet hours a few find an idle server, in busy ones all are asked.
func TestHealthCheck_countFollowsLoad(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), identicalServers(12)...)
	asked := func(holds float32) int {
		n := 0
		for range 60 {
			g.now += 10
			id, acts := g.sendRequest(idempotentClass)
			n = 0
			for _, a := range acts {
				if a.Kind == HealthCheck {
					n++
				}
			}
			g.answerHealthChecks(acts, holds, nil)
			g.endAttempt(id, 0, OK, 10)
		}
		return n
	}
	idle := asked(0)
	if busy := asked(1); idle > 3 || busy != 12 {
		t.Fatalf("%d servers probed when all are idle, %d when all are busy", idle, busy)
	}
}
