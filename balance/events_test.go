package balance

import "testing"

// At the end of a process each request gets its one answer, and none is sent any more.
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
		t.Errorf("after the end a request gets %v", acts)
	}
	if acts := h.endAttempt(idempotent, 0, ConnectFailed, 1); hasAction(acts, Send) {
		t.Errorf("sent again after the end: %v", acts)
	}
}

// In overload an alarm came a rounding error before its time and was not set again, so that the
// request got no answer at its deadline.
func TestEvents_earlyTimer(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	id, _ := h.sendRequest(nonIdempotentClass)
	h.now = h.b.reqs[id].wakeAt - 1e-4
	if acts := h.handle(Timer{Token: uint64(id)}); !hasAction(acts, SetTimer) {
		t.Fatalf("no timer after an early alarm: %+v", acts)
	}
}
