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

// After a failed call the balancer pauses for seconds, but a list must be known 4 s after SIGHUP. A change of the
// address during the pause must therefore call the new address at once. This test has no balancer, so only the change
// of the address can cause the second call.
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
			if n := sidecartest.Receive(t, "the list at the new address", events); n.List.Rev != 7 {
				t.Errorf("%+v", n)
			}
			close(call.Lines) // the balancer's next call is due; a second failure event would make it call twice
			client.SetAddrs([]string{third.Addr()})
			sidecartest.Receive(t, "the call after the second change", third.Calls)
			if len(events) > 0 {
				t.Errorf("the failure was posted a second time: %+v", <-events)
			}
		})
	}
}

// inPieces writes a response one byte at a time. It writes spaces before the last byte until lasting has passed, so
// that the list is not complete earlier.
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

// The patient call was made before the agent recovered and gets no response. The responses to the eager calls, head and
// list, come in small pieces and take twice the pushed delay, which is their timeout without received bytes. They must
// be read to the end.
func TestSubscribe_answerInPieces(t *testing.T) {
	a, addr := sidecartest.NewRawDiscovery(t)
	client, events := newTestClient(t, addr)
	client.timeouts.PushedDelay, client.timeouts.Call, client.timeouts.Watch = 400*time.Millisecond, time.Hour, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client.Subscribe(ctx)
	a.NextCall(t) // never gets a response
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
			t.Fatal("no response in small pieces was read to its end")
		}
	}
}

// A call ends if its first object is not complete within the limit, even if bytes keep coming. A response that stops
// within the first object ends the call after the same timeout as no response at all.
func TestSilenceGuard(t *testing.T) {
	var fired atomic.Bool
	now := make(chan struct{}, 1)
	g := newSilenceGuard(time.Hour, 0, func() { fired.Store(true); now <- struct{}{} })
	g.received()
	sidecartest.Receive(t, "the end of a call past its limit", now)
	g = newSilenceGuard(time.Millisecond, time.Hour, func() { now <- struct{}{} })
	g.received()
	sidecartest.Receive(t, "the end of a call that stopped", now)
	g = newSilenceGuard(time.Hour, time.Hour, func() { t.Error("received bytes ended a watch after its first object") })
	g.objectRead(time.Hour)
	g.timeout = 0
	g.received()
	g.stop()
}
