package sidecar

import (
	"net/http"
	"testing"

	"marblelane/balance"
)

// After a failed call the module pauses for seconds. What discovery has counts as told 4 s after SIGHUP, so a move in the
// pause calls the new address at once. Nothing but the move can make the second call here, as no module is there.
func TestMoveEndsThePauseAfterAFailure(t *testing.T) {
	for name, fail := range map[string]func(*testing.T, *registry){
		"refused":     func(_ *testing.T, r *registry) { r.Close() },
		"turned away": func(t *testing.T, r *registry) { receive(t, "the call", r.calls).fail <- http.StatusServiceUnavailable },
		"ended early": func(t *testing.T, r *registry) { close(receive(t, "the call", r.calls).lines) },
		"reset": func(t *testing.T, r *registry) {
			call := receive(t, "the call", r.calls)
			call.send(t, list{Rev: 6})
			r.CloseClientConnections()
		},
	} {
		t.Run(name, func(t *testing.T) {
			before, after, third := newRegistry(t), newRegistry(t), newRegistry(t)
			d, heard := hearing(t, before.addr())
			if name == "refused" {
				fail(t, before)
			}
			d.watch(t.Context(), 0)
			if name != "refused" {
				fail(t, before)
			}
			for receive(t, "the failure", heard).kind != balance.ListFailed {
			}
			d.move([]string{after.addr()})
			call := receive(t, "the call at the new address", after.calls)
			call.send(t, list{Rev: 7})
			if n := receive(t, "what it has", heard); n.list.Rev != 7 {
				t.Errorf("%+v", n)
			}
			close(call.lines) // the module's own next call is due: a second report would make it call twice
			d.move([]string{third.addr()})
			receive(t, "the call after the second move", third.calls)
			if len(heard) > 0 {
				t.Errorf("a second failure is reported: %+v", <-heard)
			}
		})
	}
}
