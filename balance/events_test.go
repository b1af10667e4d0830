package balance

import "testing"

// At the end of a process each request gets its one answer, and none is sent any more.
func TestEvents_shutdown(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(4)...)
	safe, _ := g.sendRequest(idempotentClass)
	unsafe, _ := g.sendRequest(nonIdempotentClass)
	acts := g.handle(Shutdown{})
	want := map[RequestID]ActionKind{safe: Reject, unsafe: Fail}
	for _, a := range acts {
		if kind, asked := want[a.Request]; asked && a.Kind == kind {
			delete(want, a.Request)
		}
	}
	if len(want) > 0 {
		t.Errorf("not answered: %v in %v", want, acts)
	}
	if _, acts := g.sendRequest(idempotentClass); len(acts) != 1 || acts[0].Kind != Reject {
		t.Errorf("after the end a request gets %v", acts)
	}
	if acts := g.endAttempt(safe, 0, ConnectFailed, 1); hasAction(acts, Send) {
		t.Errorf("sent again after the end: %v", acts)
	}
}

// In overload an alarm came a rounding error before its time and was not set again, so that the
// request got no answer at its deadline.
func TestEvents_earlyTimer(t *testing.T) {
	g := newHarness(t, baseConfig(), identicalServers(4)...)
	id, _ := g.sendRequest(nonIdempotentClass)
	g.now = g.b.requests[id].wakeAt - 1e-4
	if acts := g.handle(Timer{Token: uint64(id)}); !hasAction(acts, SetTimer) {
		t.Fatalf("no timer after an early alarm: %+v", acts)
	}
}
