package balance

import (
	"math"
	"testing"
)

// rejectedWithLateConnects sends 4000 requests at a load that servers answer within a sixth of the latency
// objective. Every third request waits for its first connection until the connect timeout. reported states whether
// the balancer gets Connecting events. The function returns the number of rejected requests.
func rejectedWithLateConnects(t *testing.T, reported bool) (rejected int) {
	cfg := baseConfig()
	cfg.ConnectTimeout = 160
	h := newHarness(t, cfg, identicalServers(12)...)
	const step, latency = 25, 50 // ms
	type attemptInFlight struct {
		id      RequestID
		attempt int
		end     float64
		result  Result
	}
	var inFlight []attemptInFlight
	send := func(id RequestID, attempt int, actions []Action, connectFails bool) {
		if hasAction(actions, Reject) {
			rejected++
		}
		if _, sent := sentTo(actions); !sent {
			return
		}
		o := attemptInFlight{id, attempt, h.now + latency, OK}
		if connectFails {
			o.end, o.result = h.now+cfg.ConnectTimeout, ConnectFailed
			if reported {
				h.handle(Connecting{Request: id, Attempt: attempt})
			}
		}
		inFlight = append(inFlight, o)
	}
	for n := range 4000 {
		h.now += step
		var remaining []attemptInFlight
		for _, o := range inFlight {
			if o.end > h.now {
				remaining = append(remaining, o)
				continue
			}
			elapsed := latency
			if o.result == ConnectFailed {
				elapsed = int(cfg.ConnectTimeout)
			}
			actions := h.endAttempt(o.id, o.attempt, o.result, float64(elapsed))
			if o.result == ConnectFailed {
				inFlight = nil
				send(o.id, o.attempt+1, actions, false)
				remaining = append(remaining, inFlight...)
			}
		}
		inFlight = remaining
		id, actions := h.sendRequest(idempotentClass)
		send(id, 0, actions, n%3 == 0)
	}
	return rejected
}

// An attempt that waits for its connection uses no server capacity and must not count as load. Otherwise requests
// would be rejected while servers have free capacity.
func TestAdmission_lateConnectsExcluded(t *testing.T) {
	if rejected := rejectedWithLateConnects(t, true); rejected > 0 {
		t.Errorf("%d of 4000 requests are rejected while servers have free capacity", rejected)
	}
	if rejected := rejectedWithLateConnects(t, false); rejected == 0 {
		t.Error("the load is too small to show a wrong estimate")
	}
}

// Requests whose client disconnects before the response are no measure of the latency of responses. If their time
// counted as load, requests would be rejected while servers have free capacity.
func TestAdmission_clientAbortsExcluded(t *testing.T) {
	cfg := baseConfig()
	h := newHarness(t, cfg, identicalServers(12)...)
	const step, latency, leaveAfter = 30, 75, 70 // ms
	type attemptInFlight struct {
		id           RequestID
		end          float64
		clientLeaves bool
	}
	var inFlight []attemptInFlight
	rejected := 0
	for n := range 4000 {
		h.now += step
		var remaining []attemptInFlight
		for _, o := range inFlight {
			switch {
			case o.end > h.now:
				remaining = append(remaining, o)
			case o.clientLeaves:
				h.handle(ClientDisconnected{Request: o.id})
				h.endAttempt(o.id, 0, Cancelled, leaveAfter)
			default:
				h.endAttempt(o.id, 0, OK, latency)
			}
		}
		inFlight = remaining
		id, actions := h.sendRequest(idempotentClass)
		if _, sent := sentTo(actions); !sent {
			rejected++
			continue
		}
		o := attemptInFlight{id, h.now + latency, n%2 == 0}
		if o.clientLeaves {
			o.end = h.now + leaveAfter
		}
		inFlight = append(inFlight, o)
	}
	if rejected > 0 {
		t.Errorf("%d of 4000 requests are rejected while servers have free capacity", rejected)
	}
}

// Overdue attempts at an ejected server do not count as load: one hung server does not overload the others.
func TestAdmission_ejectedServerExcluded(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(1)...)
	var ids []RequestID
	for range errorsToEject {
		id, _ := h.sendRequest(idempotentClass)
		ids = append(ids, id)
	}
	before := h.b.admission.inFlightLoad
	h.now += baseConfig().Classes[idempotentClass].LatencyObjective / 2 // with few known latencies, an attempt is overdue then
	for _, id := range ids {
		h.handle(Timer{Token: uint64(id)})
	}
	if _, avoided := h.b.CountServers(h.now); avoided != 1 {
		t.Fatalf("%d servers are avoided, want 1", avoided)
	}
	if h.b.admission.inFlightLoad >= before {
		t.Errorf("the load is %v after the ejection, and was %v before", h.b.admission.inFlightLoad, before)
	}
}

// A hung server is passed over immediately because of its requests in flight, and ejected after errorsToEject
// failures. Its pending attempts must not be mistaken for an overload of the fleet.
func TestAdmission_hungServer(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(6)...)
	hung := 0
	for range 900 {
		h.now += 5
		for _, a := range h.dueTimers() {
			h.handle(a)
		}
		id, actions := h.sendRequest(idempotentClass)
		s, ok := sentTo(actions)
		if !ok {
			t.Fatalf("request %d was rejected: shed %v", id, h.b.admission.sustainedShed)
		}
		if s == 1 {
			hung++
			continue
		}
		h.now++
		h.endAttempt(id, 0, OK, 10)
	}
	if hung > 40 {
		t.Fatalf("the hung server got %d of 900 requests", hung)
	}
}

// dueTimers returns the timers of unanswered requests that are due.
func (h *harness) dueTimers() []Timer {
	var list []Timer
	for id := RequestID(1); id <= h.lastID; id++ {
		if r := h.b.requests[id]; r != nil && r.wakeAt <= h.now && r.state != requestDone {
			list = append(list, Timer{Token: uint64(id)})
		}
	}
	return list
}

// A pending attempt counts as load for at most one latency objective, so that a hung server causes no load
// shedding.
func TestAdmission_overdueAttemptExcluded(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(2)...)
	id, _ := h.sendRequest(idempotentClass)
	h.sendRequest(idempotentClass)
	if want := 2.0 / 300; h.b.admission.inFlightLoad != want {
		t.Fatalf("load %v of two requests, want %v", h.b.admission.inFlightLoad, want)
	}
	h.now += 300
	h.handle(Timer{Token: uint64(id)})
	h.endAttempt(id, 0, OK, 300)
	if want := 1.0 / 300; math.Abs(h.b.admission.inFlightLoad-want) > 1e-12 {
		t.Fatalf("load %v after one of them ended at its objective, want %v", h.b.admission.inFlightLoad, want)
	}
}

// A few requests that arrive together are not treated as an overload.
func TestAdmission_smallBurst(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	for range 40 {
		h.now += 2000
		var inFlight []RequestID
		for range 4 {
			id, actions := h.sendRequest(idempotentClass)
			if hasAction(actions, Reject) {
				t.Fatalf("request %d was rejected", id)
			}
			inFlight = append(inFlight, id)
		}
		h.now += 60
		for _, id := range inFlight {
			h.endAttempt(id, 0, OK, 60)
		}
	}
}

// Traffic that grows tenfold within nine seconds is not an overload while responses stay fast. The load in flight
// must not be compared with a response rate of the past.
func TestAdmission_fastTrafficGrowth(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(12)...)
	var inFlight []RequestID
	rejected := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold within nine seconds
		h.now += gap
		id, actions := h.sendRequest(idempotentClass)
		if hasAction(actions, Reject) {
			rejected++
			continue
		}
		inFlight = append(inFlight, id)
		for len(inFlight) > 0 && h.b.requests[inFlight[0]].arrivedAt <= h.now-80 { // each response takes about 80 ms
			h.endAttempt(inFlight[0], 0, OK, 80)
			inFlight = inFlight[1:]
		}
	}
	if rejected > 0 {
		t.Fatalf("%d requests were rejected", rejected)
	}
}
