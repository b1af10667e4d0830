package discovery

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

// After a failed call the balancer pauses for seconds. What a list service has counts as notified 4 s after SIGHUP, so a
// change of the address during the pause calls the new one at once. There is no balancer here: nothing but the change can
// make the second call.
func TestSetAddrs_endsPauseAfterFailure(t *testing.T) {
	for name, fail := range map[string]func(*testing.T, *sidecartest.FakeDiscovery){
		"refused": func(_ *testing.T, r *sidecartest.FakeDiscovery) { r.Close() },
		"rejected": func(t *testing.T, r *sidecartest.FakeDiscovery) {
			sidecartest.Receive(t, "the call", r.Calls).Fail <- http.StatusServiceUnavailable
		},
		"ended early": func(t *testing.T, r *sidecartest.FakeDiscovery) {
			close(sidecartest.Receive(t, "the call", r.Calls).Lines)
		},
		"reset": func(t *testing.T, r *sidecartest.FakeDiscovery) {
			call := sidecartest.Receive(t, "the call", r.Calls)
			call.SendList(t, endpointlist.List{Rev: 6})
			r.CloseClientConnections()
		},
	} {
		t.Run(name, func(t *testing.T) {
			before, after, third := sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t)
			client, events := newTestClient(t, before.Addr())
			if name == "refused" {
				fail(t, before)
			}
			client.Watch(t.Context(), 0)
			if name != "refused" {
				fail(t, before)
			}
			for sidecartest.Receive(t, "the failure", events).Kind != balance.ListFailed {
			}
			client.SetAddrs([]string{after.Addr()})
			call := sidecartest.Receive(t, "the call at the new address", after.Calls)
			call.SendList(t, endpointlist.List{Rev: 7})
			if n := sidecartest.Receive(t, "what it has", events); n.List.Rev != 7 {
				t.Errorf("%+v", n)
			}
			close(call.Lines) // the balancer's next call is due: a second report would make it call twice
			client.SetAddrs([]string{third.Addr()})
			sidecartest.Receive(t, "the call after the second change", third.Calls)
			if len(events) > 0 {
				t.Errorf("a second failure is reported: %+v", <-events)
			}
		})
	}
}

// inPieces writes an answer one byte at a time; its list ends after duration at the earliest.
func inPieces(c net.Conn, lasting time.Duration, text string) {
	startedAt := time.Now()
	pieces := time.NewTicker(2 * time.Millisecond)
	defer pieces.Stop()
	for i := 0; i < len(text); {
		<-pieces.C
		piece := text[i]
		if i == len(text)-1 && time.Since(startedAt) < lasting {
			piece = ' ' // before the end of the object
		} else {
			i++
		}
		if _, err := c.Write([]byte{piece}); err != nil {
			return
		}
	}
	io.WriteString(c, "\n")
}

// The patient call is from before the agent's return and stays silent. The eager ones are answered in pieces, head and list,
// over twice the time after which a silent agent is called again: they must be read to the end.
func TestSubscribe_answerInPieces(t *testing.T) {
	a, addr := sidecartest.NewRawDiscovery(t)
	client, events := newTestClient(t, addr)
	client.timeouts.PushedDelay, client.timeouts.Call, client.timeouts.Watch = 400*time.Millisecond, time.Hour, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client.Subscribe(ctx)
	a.NextCall(t) // silent for good
	for end := time.After(sidecartest.WaitTimeout); ; {
		select {
		case n := <-events:
			if n.Kind != balance.ListFull || n.List.Rev != 7 {
				t.Errorf("%+v", n)
			}
			return
		case c := <-a.Conns:
			defer c.Close()
			inPieces(c, 2*client.timeouts.PushedDelay, sidecartest.WatchHead+`{"rev": 7, "all": true, "targets": []}`)
		case <-end:
			t.Fatal("no answer in pieces is read to its end")
		}
	}
}

// A call whose first object is not complete in time ends, though bytes keep coming. One that stops within the object ends as
// soon as one that never started.
func TestSilenceGuard(t *testing.T) {
	var fired atomic.Bool
	now := make(chan struct{}, 1)
	g := newSilenceGuard(time.Hour, 0, func() { fired.Store(true); now <- struct{}{} })
	g.received()
	sidecartest.Receive(t, "the end of a call past its time", now)
	g = newSilenceGuard(time.Millisecond, time.Hour, func() { now <- struct{}{} })
	g.received()
	sidecartest.Receive(t, "the end of a call that stopped", now)
	g = newSilenceGuard(time.Hour, time.Hour, func() { t.Error("a watch that has its first object is ended by bytes") })
	g.objectRead(time.Hour)
	g.timeout = 0
	g.received()
	g.stop()
}
