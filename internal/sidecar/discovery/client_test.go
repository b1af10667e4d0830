package discovery

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

// newTestClient returns a client of the list service at addr, and the channel that receives its events in place of the
// event loop.
func newTestClient(t *testing.T, addr string) (*Client, chan ListEvent) {
	events := make(chan ListEvent, 16)
	var work sync.WaitGroup
	client := New([]string{addr}, 0, func(ev any) { events <- ev.(ListEvent) }, func(f func()) { work.Go(f) })
	t.Cleanup(func() {
		client.stopWatch()
		work.Wait()
	})
	return client, events
}

// expectEvent waits for the next event and checks its kind.
func expectEvent(t *testing.T, what string, events <-chan ListEvent, want balance.ListKind) {
	t.Helper()
	if n := sidecartest.Receive(t, what, events); n.Kind != want {
		t.Errorf("%s: unexpected kind of event: %+v", what, n)
	}
}

// A watch posts an event for each change, each heartbeat, each full list and its end.
func TestWatch_eventKinds(t *testing.T) {
	r := sidecartest.NewFakeDiscovery(t)
	client, events := newTestClient(t, r.Addr())
	client.Revision.Store(41)
	client.Watch(t.Context(), 0)
	call := sidecartest.Receive(t, "the call", r.Calls)
	if call.Query != "watch=1&after=41" {
		t.Errorf("unexpected query %q", call.Query)
	}
	call.SendList(t, endpointlist.List{Rev: 43, Targets: []endpointlist.Target{sidecartest.Ready("a", "127.0.0.1:1")}})
	if n := sidecartest.Receive(t, "the change", events); n.Kind != balance.ListDelta || n.List.Rev != 43 || n.List.Targets[0].UID != "a" {
		t.Errorf("%+v", n)
	}
	call.SendLine(t, "")
	expectEvent(t, "the heartbeat", events, balance.ListUnchanged)
	call.SendList(t, endpointlist.List{Rev: 44, All: true})
	expectEvent(t, "the list", events, balance.ListFull)
	close(call.Lines)
	expectEvent(t, "the end", events, balance.ListFailed)
	if len(events)+len(r.Calls) > 0 {
		t.Error("the end was posted more than once, or the client called again by itself")
	}
}

// Each failed call is reported once. The client does not repeat it by itself.
func TestCall_failureReportedOnce(t *testing.T) {
	r := sidecartest.NewFakeDiscovery(t)
	client, events := newTestClient(t, r.Addr())
	for name, call := range map[string]func(context.Context, int){"watch": client.Watch, "list": client.Fetch} {
		call(t.Context(), 0)
		sidecartest.Receive(t, "the call", r.Calls).Fail <- http.StatusServiceUnavailable
		expectEvent(t, "the failure"+" of "+name, events, balance.ListFailed)
	}
	r.Close()
	client.Watch(t.Context(), 0)
	expectEvent(t, "the refused connection", events, balance.ListFailed)
	if len(events)+len(r.Calls) > 0 {
		t.Error("a failure was posted more than once, or the client called again by itself")
	}
}

// A fetch posts one event with the full list.
func TestFetch_fullList(t *testing.T) {
	r := sidecartest.NewFakeDiscovery(t)
	client, events := newTestClient(t, r.Addr())
	client.Fetch(t.Context(), 0)
	call := sidecartest.Receive(t, "the call", r.Calls)
	call.SendList(t, endpointlist.List{Rev: 7, All: true, Targets: []endpointlist.Target{sidecartest.Ready("a", "127.0.0.1:1")}})
	close(call.Lines)
	if n := sidecartest.Receive(t, "the list", events); n.Kind != balance.ListFull || len(n.List.Targets) != 1 {
		t.Errorf("%+v", n)
	}
	if call.Query != "" || len(events) > 0 {
		t.Errorf("query %q, %d more events", call.Query, len(events))
	}
}

// A watch that receives no line within the watch timeout ends although its connection is open.
func TestWatch_silentEnds(t *testing.T) {
	r := sidecartest.NewFakeDiscovery(t)
	client, events := newTestClient(t, r.Addr())
	client.timeouts.Watch = 50 * time.Millisecond
	client.Watch(t.Context(), 0)
	call := sidecartest.Receive(t, "the call", r.Calls)
	call.SendList(t, endpointlist.List{Rev: 1})
	sidecartest.Receive(t, "the first line", events)
	if n := sidecartest.Receive(t, "the end", events); n.Kind != balance.ListFailed || n.Busy { // the connection is broken: not busy
		t.Errorf("%+v", n)
	}
	select {
	case <-call.Cancelled:
	case <-time.After(sidecartest.WaitTimeout):
		t.Error("the silent connection is still open")
	}
}

// A call that a list service accepts without sending a response fails after the call timeout, and the list service
// counts as busy.
func TestWatch_unanswered(t *testing.T) {
	ln, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, events := newTestClient(t, ln.Addr().String())
	client.timeouts.Call = 50 * time.Millisecond
	client.Watch(t.Context(), 0)
	if n := sidecartest.Receive(t, "the failure", events); n.Kind != balance.ListFailed || !n.Busy {
		t.Errorf("%+v", n)
	}
}

// A watch that another watch has replaced posts no more events.
func TestWatch_replaced(t *testing.T) {
	r := sidecartest.NewFakeDiscovery(t)
	client, events := newTestClient(t, r.Addr())
	client.Watch(t.Context(), 0)
	first := sidecartest.Receive(t, "the first call", r.Calls)
	client.Watch(t.Context(), 0)
	second := sidecartest.Receive(t, "the second call", r.Calls)
	sidecartest.Receive(t, "the end of the first call", first.Cancelled)
	second.SendList(t, endpointlist.List{Rev: 2})
	if n := sidecartest.Receive(t, "the list of the second call", events); n.Kind != balance.ListDelta || len(events) > 0 {
		t.Errorf("%+v", n)
	}
}
