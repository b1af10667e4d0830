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

// hearing is a discovery whose reports the test takes in place of the loop.
func hearing(t *testing.T, addr string) (*Client, chan ListEvent) {
	heard := make(chan ListEvent, 16)
	var work sync.WaitGroup
	d := New([]string{addr}, 0, func(ev any) { heard <- ev.(ListEvent) }, func(f func()) { work.Go(f) })
	t.Cleanup(func() {
		d.stopWatch()
		work.Wait()
	})
	return d, heard
}

func TestWatchTellsEachKindOfNews(t *testing.T) {
	r := sidecartest.NewRegistry(t)
	d, heard := hearing(t, r.Addr())
	d.Revision.Store(41)
	d.Watch(t.Context(), 0)
	call := sidecartest.Receive(t, "the call", r.Calls)
	if call.Query != "watch=1&after=41" {
		t.Errorf("asked %q", call.Query)
	}
	call.Send(t, endpointlist.List{Rev: 43, Targets: []endpointlist.Target{sidecartest.Ready("a", "127.0.0.1:1")}})
	if n := sidecartest.Receive(t, "the change", heard); n.Kind != balance.ListDelta || n.List.Rev != 43 || n.List.Targets[0].UID != "a" {
		t.Errorf("%+v", n)
	}
	call.Line(t, "")
	if n := sidecartest.Receive(t, "that it is alive", heard); n.Kind != balance.ListAlive {
		t.Errorf("%+v", n)
	}
	call.Send(t, endpointlist.List{Rev: 44, All: true})
	if n := sidecartest.Receive(t, "the list", heard); n.Kind != balance.ListFull {
		t.Errorf("%+v", n)
	}
	close(call.Lines)
	if n := sidecartest.Receive(t, "the end", heard); n.Kind != balance.ListFailed {
		t.Errorf("%+v", n)
	}
	if len(heard)+len(r.Calls) > 0 {
		t.Error("more than one report of the end, or a call by itself")
	}
}

func TestFailedCallIsHeardOnce(t *testing.T) {
	r := sidecartest.NewRegistry(t)
	d, heard := hearing(t, r.Addr())
	for name, call := range map[string]func(context.Context, int){"watch": d.Watch, "list": d.Fetch} {
		call(t.Context(), 0)
		sidecartest.Receive(t, "the call", r.Calls).Fail <- http.StatusServiceUnavailable
		if n := sidecartest.Receive(t, "the failure", heard); n.Kind != balance.ListFailed {
			t.Errorf("%s: %+v", name, n)
		}
	}
	r.Close()
	d.Watch(t.Context(), 0)
	if n := sidecartest.Receive(t, "the refused connection", heard); n.Kind != balance.ListFailed {
		t.Errorf("%+v", n)
	}
	if len(heard)+len(r.Calls) > 0 {
		t.Error("more than one report of a failure, or a call by itself")
	}
}

func TestFetchTellsTheWholeList(t *testing.T) {
	r := sidecartest.NewRegistry(t)
	d, heard := hearing(t, r.Addr())
	d.Fetch(t.Context(), 0)
	call := sidecartest.Receive(t, "the call", r.Calls)
	call.Send(t, endpointlist.List{Rev: 7, All: true, Targets: []endpointlist.Target{sidecartest.Ready("a", "127.0.0.1:1")}})
	close(call.Lines)
	if n := sidecartest.Receive(t, "the list", heard); n.Kind != balance.ListFull || len(n.List.Targets) != 1 {
		t.Errorf("%+v", n)
	}
	if call.Query != "" || len(heard) > 0 {
		t.Errorf("asked %q, heard %d more", call.Query, len(heard))
	}
}

// A watch without a line for well over the heartbeat has ended, though its connection stays open.
func TestSilentWatchHasEnded(t *testing.T) {
	r := sidecartest.NewRegistry(t)
	d, heard := hearing(t, r.Addr())
	d.timeouts.Watch = 50 * time.Millisecond
	d.Watch(t.Context(), 0)
	call := sidecartest.Receive(t, "the call", r.Calls)
	call.Send(t, endpointlist.List{Rev: 1})
	sidecartest.Receive(t, "the first line", heard)
	if n := sidecartest.Receive(t, "the end", heard); n.Kind != balance.ListFailed || n.Busy { // it is broken, not in demand
		t.Errorf("%+v", n)
	}
	select {
	case <-call.Gone:
	case <-time.After(sidecartest.Patience):
		t.Error("the silent connection is still open")
	}
}

// A call that discovery takes and never answers fails as well.
func TestUnansweredCallFails(t *testing.T) {
	ln, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	d, heard := hearing(t, ln.Addr().String())
	d.timeouts.Call = 50 * time.Millisecond
	d.Watch(t.Context(), 0)
	if n := sidecartest.Receive(t, "the failure", heard); n.Kind != balance.ListFailed || !n.Busy {
		t.Errorf("%+v", n)
	}
}

// A watch that another replaced reports nothing any more.
func TestReplacedWatchIsQuiet(t *testing.T) {
	r := sidecartest.NewRegistry(t)
	d, heard := hearing(t, r.Addr())
	d.Watch(t.Context(), 0)
	first := sidecartest.Receive(t, "the first call", r.Calls)
	d.Watch(t.Context(), 0)
	second := sidecartest.Receive(t, "the second call", r.Calls)
	sidecartest.Receive(t, "the first to end", first.Gone)
	second.Send(t, endpointlist.List{Rev: 2})
	if n := sidecartest.Receive(t, "the second's line", heard); n.Kind != balance.ListDelta || len(heard) > 0 {
		t.Errorf("%+v", n)
	}
}
