package balance

import "testing"

// On Shutdown each request gets its one answer; later requests are rejected and nothing is sent.
func TestEvents_shutdown(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	idempotent, _ := h.sendRequest(idempotentClass)
	nonIdempotent, _ := h.sendRequest(nonIdempotentClass)
	acts := h.handle(Shutdown{})
	want := map[RequestID]ActionKind{idempotent: Reject, nonIdempotent: Fail}
	for _, a := range acts {
		if kind, pending := want[a.Request]; pending && a.Kind == kind {
			delete(want, a.Request)
		}
	}
	if len(want) > 0 {
		t.Errorf("not answered: %v in %v", want, acts)
	}
	if _, acts := h.sendRequest(idempotentClass); len(acts) != 1 || acts[0].Kind != Reject {
		t.Errorf("after the shutdown a request gets %v", acts)
	}
	if acts := h.endAttempt(idempotent, 0, ConnectFailed, 1); hasAction(acts, Send) {
		t.Errorf("sent again after the shutdown: %v", acts)
	}
}

// A timer that fires a rounding error too early is set again, so that the request still gets its answer at the
// deadline.
func TestEvents_earlyTimer(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	id, _ := h.sendRequest(nonIdempotentClass)
	h.now = h.b.requests[id].wakeAt - 1e-4
	if acts := h.handle(Timer{Token: uint64(id)}); !hasAction(acts, SetTimer) {
		t.Fatalf("no timer is set after an early one: %+v", acts)
	}
}
