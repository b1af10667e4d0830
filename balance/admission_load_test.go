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
	h := newHarness(t, cfg, identicalServers(12)...)
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
		o := out{id, attempt, h.now + answer, OK}
		if late {
			o.end, o.result = h.now+cfg.ConnectTimeout, ConnectFailed
			if reported {
				h.handle(Connecting{Request: id, Attempt: attempt})
			}
		}
		running = append(running, o)
	}
	for n := range 4000 {
		h.now += step
		var still []out
		for _, o := range running {
			if o.end > h.now {
				still = append(still, o)
				continue
			}
			took := answer
			if o.result == ConnectFailed {
				took = int(cfg.ConnectTimeout)
			}
			acts := h.endAttempt(o.id, o.attempt, o.result, float64(took))
			if o.result == ConnectFailed {
				running = nil
				send(o.id, o.attempt+1, acts, false)
				still = append(still, running...)
			}
		}
		running = still
		id, acts := h.sendRequest(idempotentClass)
		send(id, 0, acts, n%3 == 0)
	}
	return rejected
}

// An attempt that waits for its connection is no work of a server's: with it in the estimate of how long answers
// take, load was refused while servers had room.
func TestAdmission_lateConnectsExcluded(t *testing.T) {
	if rejected := rejectedWithLateConnects(t, true); rejected > 0 {
		t.Errorf("%d of 4000 requests are refused while servers have room", rejected)
	}
	if rejected := rejectedWithLateConnects(t, false); rejected == 0 {
		t.Error("the load is too small to show a wrong estimate")
	}
}

// Clients that leave long before the aim say nothing of how long answers take: with their time in the estimate and
// no answer of theirs in the rate, load was refused while servers had room.
func TestAdmission_clientAbortsExcluded(t *testing.T) {
	cfg := baseConfig()
	h := newHarness(t, cfg, identicalServers(12)...)
	const step, answer, leaves = 30, 75, 70 // ms
	type out struct {
		id   RequestID
		end  float64
		gone bool
	}
	var running []out
	rejected := 0
	for n := range 4000 {
		h.now += step
		var still []out
		for _, o := range running {
			switch {
			case o.end > h.now:
				still = append(still, o)
			case o.gone:
				h.handle(ClientGone{Request: o.id})
				h.endAttempt(o.id, 0, Cancelled, leaves)
			default:
				h.endAttempt(o.id, 0, OK, answer)
			}
		}
		running = still
		id, acts := h.sendRequest(idempotentClass)
		if _, sent := sentTo(acts); !sent {
			rejected++
			continue
		}
		o := out{id, h.now + answer, n%2 == 0}
		if o.gone {
			o.end = h.now + leaves
		}
		running = append(running, o)
	}
	if rejected > 0 {
		t.Errorf("%d of 4000 requests are refused while servers have room", rejected)
	}
}

// What is overdue at a server that rests is no load any more: it hangs, and that is no overload of the others.
func TestAdmission_ejectedServerExcluded(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(1)...)
	var ids []RequestID
	for range errorsToEject {
		id, _ := h.sendRequest(idempotentClass)
		ids = append(ids, id)
	}
	before := h.b.inFlightLoad
	h.now += baseConfig().Classes[idempotentClass].LatencyObjective / 2 // few answers are known: then an attempt is overdue
	for _, id := range ids {
		h.handle(Timer{Token: uint64(id)})
	}
	if _, avoided := h.b.CountServers(h.now); avoided != 1 {
		t.Fatalf("%d servers rest", avoided)
	}
	if h.b.inFlightLoad >= before {
		t.Errorf("the load is %v, and was %v before the server was found to hang", h.b.inFlightLoad, before)
	}
}

// A hung server is passed over at once, for what it holds, and rested after several strikes;
// what is stuck there must not look like overload of the whole fleet.
func TestAdmission_hungServer(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(6)...)
	hung := 0
	for range 900 {
		h.now += 5
		for _, a := range h.dueTimers() {
			h.handle(a)
		}
		id, acts := h.sendRequest(idempotentClass)
		s, ok := sentTo(acts)
		if !ok {
			t.Fatalf("request %d was refused: shed %v", id, h.b.lastingShed)
		}
		if s == 1 {
			hung++
			continue
		}
		h.now++
		h.endAttempt(id, 0, OK, 10)
	}
	if hung > 40 {
		t.Fatalf("the hung server got %d of 900", hung)
	}
}

// due returns the timers of open requests that have come.
func (h *harness) dueTimers() []Timer {
	var list []Timer
	for id := RequestID(1); id <= h.lastID; id++ {
		if r := h.b.reqs[id]; r != nil && r.wakeAt <= h.now && !r.done {
			list = append(list, Timer{Token: uint64(id)})
		}
	}
	return list
}

// What hangs is its server's trouble and must not shed load for seconds: it counts for one aim.
func TestAdmission_overdueAttemptExcluded(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(2)...)
	id, _ := h.sendRequest(idempotentClass)
	h.sendRequest(idempotentClass)
	if want := 2.0 / 300; h.b.inFlightLoad != want {
		t.Fatalf("load %v of two requests, want %v", h.b.inFlightLoad, want)
	}
	h.now += 300
	h.handle(Timer{Token: uint64(id)})
	h.endAttempt(id, 0, OK, 300)
	if want := 1.0 / 300; math.Abs(h.b.inFlightLoad-want) > 1e-12 {
		t.Fatalf("load %v when one has taken its aim and ended, want %v", h.b.inFlightLoad, want)
	}
}

// A handful of requests that meet by chance is no overload.
func TestAdmission_smallBurst(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	for range 40 {
		h.now += 2000
		var inFlight []RequestID
		for range 4 {
			id, acts := h.sendRequest(idempotentClass)
			if hasAction(acts, Reject) {
				t.Fatalf("request %d was refused", id)
			}
			inFlight = append(inFlight, id)
		}
		h.now += 60
		for _, id := range inFlight {
			h.endAttempt(id, 0, OK, 60)
		}
	}
}

// Traffic grew sevenfold within seconds on an enlarged fleet; answers stayed fast, but the attempts
// in flight were set against the rate of answers of some time before, and half was refused.
func TestAdmission_fastTrafficGrowth(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(12)...)
	var inFlight []RequestID
	rejected := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold in some nine seconds
		h.now += gap
		id, acts := h.sendRequest(idempotentClass)
		if hasAction(acts, Reject) {
			rejected++
			continue
		}
		inFlight = append(inFlight, id)
		for len(inFlight) > 0 && h.b.reqs[inFlight[0]].arrived <= h.now-80 { // each answer takes about 80 ms
			h.endAttempt(inFlight[0], 0, OK, 80)
			inFlight = inFlight[1:]
		}
	}
	if rejected > 0 {
		t.Fatalf("%d requests were refused", rejected)
	}
}
