package balance

import (
	"math"
	"testing"
)

// rejectedWithLateConnects plays 4000 requests, of which each third waits for its first connection until the connect
// timeout, at a load that servers answer in a sixth of the latency objective. It returns the number of rejected
// requests.
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
	var running []attemptInFlight
	send := func(id RequestID, attempt int, acts []Action, late bool) {
		if hasAction(acts, Reject) {
			rejected++
		}
		if _, sent := sentTo(acts); !sent {
			return
		}
		o := attemptInFlight{id, attempt, h.now + latency, OK}
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
		var still []attemptInFlight
		for _, o := range running {
			if o.end > h.now {
				still = append(still, o)
				continue
			}
			elapsed := latency
			if o.result == ConnectFailed {
				elapsed = int(cfg.ConnectTimeout)
			}
			acts := h.endAttempt(o.id, o.attempt, o.result, float64(elapsed))
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

// An attempt that waits for its connection uses no server capacity, so it must not count as load: otherwise requests
// are rejected while servers have free capacity.
func TestAdmission_lateConnectsExcluded(t *testing.T) {
	if rejected := rejectedWithLateConnects(t, true); rejected > 0 {
		t.Errorf("%d of 4000 requests are rejected while servers have free capacity", rejected)
	}
	if rejected := rejectedWithLateConnects(t, false); rejected == 0 {
		t.Error("the load is too small to show a wrong estimate")
	}
}

// Requests whose client leaves before the answer say nothing about the latency of answers. If their time counted as
// load, requests would be rejected while servers have free capacity.
func TestAdmission_clientAbortsExcluded(t *testing.T) {
	cfg := baseConfig()
	h := newHarness(t, cfg, identicalServers(12)...)
	const step, latency, leaveAfter = 30, 75, 70 // ms
	type attemptInFlight struct {
		id   RequestID
		end  float64
		gone bool
	}
	var running []attemptInFlight
	rejected := 0
	for n := range 4000 {
		h.now += step
		var still []attemptInFlight
		for _, o := range running {
			switch {
			case o.end > h.now:
				still = append(still, o)
			case o.gone:
				h.handle(ClientDisconnected{Request: o.id})
				h.endAttempt(o.id, 0, Cancelled, leaveAfter)
			default:
				h.endAttempt(o.id, 0, OK, latency)
			}
		}
		running = still
		id, acts := h.sendRequest(idempotentClass)
		if _, sent := sentTo(acts); !sent {
			rejected++
			continue
		}
		o := attemptInFlight{id, h.now + latency, n%2 == 0}
		if o.gone {
			o.end = h.now + leaveAfter
		}
		running = append(running, o)
	}
	if rejected > 0 {
		t.Errorf("%d of 4000 requests are rejected while servers have free capacity", rejected)
	}
}

// Overdue attempts at an ejected server do not count as load: one hung server is no overload of the others.
func TestAdmission_ejectedServerExcluded(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(1)...)
	var ids []RequestID
	for range errorsToEject {
		id, _ := h.sendRequest(idempotentClass)
		ids = append(ids, id)
	}
	before := h.b.admission.inFlightLoad
	h.now += baseConfig().Classes[idempotentClass].LatencyObjective / 2 // with few answers known, an attempt is overdue then
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

// A server that hangs is avoided at once for what it has in flight, and ejected after errorsToEject failures. Its
// pending attempts must not be taken for an overload of the fleet.
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
			t.Fatalf("request %d was rejected: shed %v", id, h.b.admission.lastingShed)
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

// dueTimers returns the timers of unanswered requests whose time has come.
func (h *harness) dueTimers() []Timer {
	var list []Timer
	for id := RequestID(1); id <= h.lastID; id++ {
		if r := h.b.requests[id]; r != nil && r.wakeAt <= h.now && r.state != requestDone {
			list = append(list, Timer{Token: uint64(id)})
		}
	}
	return list
}

// A pending attempt counts as load for one latency objective at most, so that a hung server does not shed load.
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

// A few requests that arrive together are no overload.
func TestAdmission_smallBurst(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	for range 40 {
		h.now += 2000
		var inFlight []RequestID
		for range 4 {
			id, acts := h.sendRequest(idempotentClass)
			if hasAction(acts, Reject) {
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

// Traffic that grows tenfold within nine seconds is no overload while answers stay fast: the load in flight must not
// be compared with an answer rate of the past.
func TestAdmission_fastTrafficGrowth(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(12)...)
	var inFlight []RequestID
	rejected := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold within nine seconds
		h.now += gap
		id, acts := h.sendRequest(idempotentClass)
		if hasAction(acts, Reject) {
			rejected++
			continue
		}
		inFlight = append(inFlight, id)
		for len(inFlight) > 0 && h.b.requests[inFlight[0]].arrivedAt <= h.now-80 { // each answer takes about 80 ms
			h.endAttempt(inFlight[0], 0, OK, 80)
			inFlight = inFlight[1:]
		}
	}
	if rejected > 0 {
		t.Fatalf("%d requests were rejected", rejected)
	}
}
