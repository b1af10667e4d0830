package balance

import "testing"

// At the end of a process each request gets its one answer, and none is sent any more.
func TestEvents_shutdown(t *testing.T) {
	g := newRig(t, baseConfig(), fleet(4)...)
	safe, _ := g.ask(safeClass)
	unsafe, _ := g.ask(unsafeClass)
	acts := g.do(Shutdown{})
	want := map[RequestID]ActionKind{safe: Reject, unsafe: Fail}
	for _, a := range acts {
		if kind, asked := want[a.Request]; asked && a.Kind == kind {
			delete(want, a.Request)
		}
	}
	if len(want) > 0 {
		t.Errorf("not answered: %v in %v", want, acts)
	}
	if _, acts := g.ask(safeClass); len(acts) != 1 || acts[0].Kind != Reject {
		t.Errorf("after the end a request gets %v", acts)
	}
	if acts := g.answer(safe, 0, ConnectFailed, 1); has(acts, Send) {
		t.Errorf("sent again after the end: %v", acts)
	}
}

// In overload an alarm came a rounding error before its time and was not set again, so that the
// request got no answer at its deadline.
func TestEvents_earlyTimer(t *testing.T) {
	g := newRig(t, baseConfig(), fleet(4)...)
	id, _ := g.ask(unsafeClass)
	g.now = g.b.reqs[id].wakeAt - 1e-4
	if acts := g.do(Timer{Token: uint64(id)}); !has(acts, SetTimer) {
		t.Fatalf("no timer after an early alarm: %+v", acts)
	}
}
