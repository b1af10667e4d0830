package balance

import (
	"math"
	"testing"
)

// lateConnects plays requests of which a third waits in vain for its first connection, at a load that the servers
// answer in a sixth of the aim. It returns how many are refused.
func rejectedWithLateConnects(t *testing.T, reported bool) (rejected int) {
	cfg := baseConfig()
	cfg.ConnectTimeout = 160
	g := newHarness(t, cfg, identicalServers(12)...)
	const step, answer = 25, 50 // ms
	type out struct {
		id      RequestID
		attempt int
		end     float64
		result  Result
	}
	var running []out
	send := func(id RequestID, attempt int, acts []Action, late bool) {
		if hasAction(acts, Reject) {
			rejected++
		}
		if _, sent := sentTo(acts); !sent {
			return
		}
		o := out{id, attempt, g.now + answer, OK}
		if late {
			o.end, o.result = g.now+cfg.ConnectTimeout, ConnectFailed
			if reported {
				g.handle(Connecting{Request: id, Attempt: attempt})
			}
		}
		running = append(running, o)
	}
	for n := range 4000 {
		g.now += step
		var still []out
		for _, o := range running {
			if o.end > g.now {
				still = append(still, o)
				continue
			}
			took := answer
			if o.result == ConnectFailed {
				took = int(cfg.ConnectTimeout)
			}
			acts := g.endAttempt(o.id, o.attempt, o.result, float64(took))
			if o.result == ConnectFailed {
				running = nil
				send(o.id, o.attempt+1, acts, false)
				still = append(still, running...)
			}
		}
		running = still
		id, acts := g.sendRequest(idempotentClass)
		send(id, 0, acts, n%3 == 0)
	}
	return rejected
}

// An attempt that waits for its connection is no work of a server's: with it in the estimate of how long answers
// take, load was refused while servers had room.
func TestAdmission_lateConnectsExcluded(t *testing.T) {
	if refused := rejectedWithLateConnects(t, true); refused > 0 {
		t.Errorf("%d of 4000 requests are refused while servers have room", refused)
	}
	if refused := rejectedWithLateConnects(t, false); refused == 0 {
		t.Error("the load is too small to show a wrong estimate")
	}
}

// Clients that leave long before the aim say nothing of how long answers take: with their time in the estimate and
// no answer of theirs in the rate, load was refused while servers had room.
func TestAdmission_clientAbortsExcluded(t *testing.T) {
	cfg := baseConfig()
	g := newHarness(t, cfg, identicalServers(12)...)
	const step, answer, leaves = 30, 75, 70 // ms
	type out struct {
		id   RequestID
		end  float64
		gone bool
	}
	var running []out
	refused := 0
	for n := range 4000 {
		g.now += step
		var still []out
		for _, o := range running {
			switch {
			case o.end > g.now:
				still = append(still, o)
			case o.gone:
				g.handle(ClientGone{Request: o.id})
				g.endAttempt(o.id, 0, Cancelled, leaves)
			default:
				g.endAttempt(o.id, 0, OK, answer)
			}
		}
		running = still
		id, acts := g.sendRequest(idempotentClass)
		if _, sent := sentTo(acts); !sent {
			refused++
			continue
		}
		o := out{id, g.now + answer, n%2 == 0}
		if o.gone {
			o.end = g.now + leaves
		}
		running = append(running, o)
	}
	if refused > 0 {
		t.Errorf("%d of 4000 requests are refused while servers have room", refused)
	}
}

// What is overdue at a server that rests is no load any more: it hangs, and that is no overload of the others.
func TestAdmission_ejectedServerExcluded(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(1)...)
	var ids []RequestID
	for range errorsToEject {
		id, _ := g.sendRequest(idempotentClass)
		ids = append(ids, id)
	}
	before := g.b.admission.inFlightLoad
	g.now += baseConfig().Classes[idempotentClass].LatencyObjective / 2 // few answers are known: then an attempt is overdue
	for _, id := range ids {
		g.handle(Timer{Token: uint64(id)})
	}
	if _, avoided := g.b.CountServers(g.now); avoided != 1 {
		t.Fatalf("%d servers rest", avoided)
	}
	if g.b.admission.inFlightLoad >= before {
		t.Errorf("the load is %v, and was %v before the server was found to hang", g.b.admission.inFlightLoad, before)
	}
}

// A hung server is passed over at once, for what it holds, and rested after several strikes;
// what is stuck there must not look like overload of the whole fleet.
func TestAdmission_hungServer(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(6)...)
	hung := 0
	for range 900 {
		g.now += 5
		for _, a := range g.dueTimers() {
			g.handle(a)
		}
		id, acts := g.sendRequest(idempotentClass)
		s, ok := sentTo(acts)
		if !ok {
			t.Fatalf("request %d was refused: shed %v", id, g.b.admission.lastingShed)
		}
		if s == 1 {
			hung++
			continue
		}
		g.now++
		g.endAttempt(id, 0, OK, 10)
	}
	if hung > 40 {
		t.Fatalf("the hung server got %d of 900", hung)
	}
}

// due returns the timers of open requests that have come.
func (g *harness) dueTimers() []Timer {
	var list []Timer
	for id := RequestID(1); id <= g.lastID; id++ {
		if r := g.b.requests[id]; r != nil && r.wakeAt <= g.now && r.state != requestAnswered {
			list = append(list, Timer{Token: uint64(id)})
		}
	}
	return list
}

// What hangs is its server's trouble and must not shed load for seconds: it counts for one aim.
func TestAdmission_overdueAttemptExcluded(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(2)...)
	id, _ := g.sendRequest(idempotentClass)
	g.sendRequest(idempotentClass)
	if want := 2.0 / 300; g.b.admission.inFlightLoad != want {
		t.Fatalf("load %v of two requests, want %v", g.b.admission.inFlightLoad, want)
	}
	g.now += 300
	g.handle(Timer{Token: uint64(id)})
	g.endAttempt(id, 0, OK, 300)
	if want := 1.0 / 300; math.Abs(g.b.admission.inFlightLoad-want) > 1e-12 {
		t.Fatalf("load %v when one has taken its aim and ended, want %v", g.b.admission.inFlightLoad, want)
	}
}

// A handful of requests that meet by chance is no overload.
func TestAdmission_smallBurst(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(4)...)
	for range 40 {
		g.now += 2000
		var open []RequestID
		for range 4 {
			id, acts := g.sendRequest(idempotentClass)
			if hasAction(acts, Reject) {
				t.Fatalf("request %d was refused", id)
			}
			open = append(open, id)
		}
		g.now += 60
		for _, id := range open {
			g.endAttempt(id, 0, OK, 60)
		}
	}
}

// Traffic grew sevenfold within seconds on an enlarged fleet; answers stayed fast, but the attempts
// in flight were set against the rate of answers of some time before, and half was refused.
func TestAdmission_fastTrafficGrowth(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(12)...)
	var open []RequestID
	refused := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold in some nine seconds
		g.now += gap
		id, acts := g.sendRequest(idempotentClass)
		if hasAction(acts, Reject) {
			refused++
			continue
		}
		open = append(open, id)
		for len(open) > 0 && g.b.requests[open[0]].arrivedAt <= g.now-80 { // each answer takes about 80 ms
			g.endAttempt(open[0], 0, OK, 80)
			open = open[1:]
		}
	}
	if refused > 0 {
		t.Fatalf("%d requests were refused", refused)
	}
}
