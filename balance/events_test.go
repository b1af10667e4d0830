package balance

import "testing"

// On Shutdown each request gets its one final response. Later requests are rejected and nothing is sent.
func TestEvents_shutdown(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	idempotent, _ := h.sendRequest(idempotentClass)
	nonIdempotent, _ := h.sendRequest(nonIdempotentClass)
	actions := h.handle(Shutdown{})
	want := map[RequestID]ActionKind{idempotent: Reject, nonIdempotent: Fail}
	for _, a := range actions {
		if kind, pending := want[a.Request]; pending && a.Kind == kind {
			delete(want, a.Request)
		}
	}
	if len(want) > 0 {
		t.Errorf("requests without a final response: %v, actions %v", want, actions)
	}
	if _, actions := h.sendRequest(idempotentClass); len(actions) != 1 || actions[0].Kind != Reject {
		t.Errorf("a request after the shutdown: got actions %v, want one Reject", actions)
	}
	if actions := h.endAttempt(idempotent, 0, ConnectFailed, 1); hasAction(actions, Send) {
		t.Errorf("request sent again after the shutdown: %v", actions)
	}
}

// A timer that fires a rounding error too early is set again, so that the request still gets its final response at the
// deadline.
func TestEvents_earlyTimer(t *testing.T) {
	h := newHarness(t, baseConfig(), identicalServers(4)...)
	id, _ := h.sendRequest(nonIdempotentClass)
	h.now = h.b.requests[id].wakeAt - 1e-4
	if actions := h.handle(Timer{Token: uint64(id)}); !hasAction(actions, SetTimer) {
		t.Fatalf("timer not set again after it fired early: %+v", actions)
	}
}
