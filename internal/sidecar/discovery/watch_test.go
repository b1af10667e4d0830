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

// After a failed call the module pauses for seconds. What discovery has counts as told 4 s after SIGHUP, so a move in the
// pause calls the new address at once. Nothing but the move can make the second call here, as no module is there.
func TestMoveEndsThePauseAfterAFailure(t *testing.T) {
	for name, fail := range map[string]func(*testing.T, *sidecartest.Registry){
		"refused": func(_ *testing.T, r *sidecartest.Registry) { r.Close() },
		"turned away": func(t *testing.T, r *sidecartest.Registry) {
			sidecartest.Receive(t, "the call", r.Calls).Fail <- http.StatusServiceUnavailable
		},
		"ended early": func(t *testing.T, r *sidecartest.Registry) { close(sidecartest.Receive(t, "the call", r.Calls).Lines) },
		"reset": func(t *testing.T, r *sidecartest.Registry) {
			call := sidecartest.Receive(t, "the call", r.Calls)
			call.Send(t, endpointlist.List{Rev: 6})
			r.CloseClientConnections()
		},
	} {
		t.Run(name, func(t *testing.T) {
			before, after, third := sidecartest.NewRegistry(t), sidecartest.NewRegistry(t), sidecartest.NewRegistry(t)
			d, heard := hearing(t, before.Addr())
			if name == "refused" {
				fail(t, before)
			}
			d.Watch(t.Context(), 0)
			if name != "refused" {
				fail(t, before)
			}
			for sidecartest.Receive(t, "the failure", heard).Kind != balance.ListFailed {
			}
			d.SetAddrs([]string{after.Addr()})
			call := sidecartest.Receive(t, "the call at the new address", after.Calls)
			call.Send(t, endpointlist.List{Rev: 7})
			if n := sidecartest.Receive(t, "what it has", heard); n.List.Rev != 7 {
				t.Errorf("%+v", n)
			}
			close(call.Lines) // the module's own next call is due: a second report would make it call twice
			d.SetAddrs([]string{third.Addr()})
			sidecartest.Receive(t, "the call after the second move", third.Calls)
			if len(heard) > 0 {
				t.Errorf("a second failure is reported: %+v", <-heard)
			}
		})
	}
}

// inPieces answers a call one byte at a time, for as long as is said; the list ends only then.
func inPieces(c net.Conn, lasting time.Duration, text string) {
	began := time.Now()
	pieces := time.NewTicker(2 * time.Millisecond)
	defer pieces.Stop()
	for i := 0; i < len(text); {
		<-pieces.C
		piece := text[i]
		if i == len(text)-1 && time.Since(began) < lasting {
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

// The patient call is from before the agent's return and stays silent; those beside it are answered in pieces, head and
// list, over twice the time for which a silent agent is waited for. They have to be heard out.
func TestAnswerInPiecesIsHeardOut(t *testing.T) {
	a, addr := sidecartest.NewHandAgent(t)
	d, heard := hearing(t, addr)
	d.timeouts.PushedDelay, d.timeouts.Call, d.timeouts.Watch = 400*time.Millisecond, time.Hour, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d.Subscribe(ctx)
	a.Next(t) // silent for good
	for end := time.After(sidecartest.Patience); ; {
		select {
		case n := <-heard:
			if n.Kind != balance.ListFull || n.List.Rev != 7 {
				t.Errorf("%+v", n)
			}
			return
		case c := <-a.Conns:
			defer c.Close()
			inPieces(c, 2*d.timeouts.PushedDelay, sidecartest.WatchHead+`{"rev": 7, "all": true, "targets": []}`)
		case <-end:
			t.Fatal("no answer in pieces is heard out")
		}
	}
}

// Bytes without end are no list: a call whose first object is not whole in callWait ends. One that stops in the middle
// is given up as soon as one that never began.
func TestPiecesWithoutEndAreGivenUp(t *testing.T) {
	var fired atomic.Bool
	now := make(chan struct{}, 1)
	g := newSilenceGuard(time.Hour, 0, func() { fired.Store(true); now <- struct{}{} })
	g.received()
	sidecartest.Receive(t, "the end of a call past its time", now)
	g = newSilenceGuard(time.Millisecond, time.Hour, func() { now <- struct{}{} })
	g.received()
	sidecartest.Receive(t, "the end of a call that stopped", now)
	g = newSilenceGuard(time.Hour, time.Hour, func() { t.Error("a watch that has told is ended by bytes") })
	g.objectRead(time.Hour)
	g.timeout = 0
	g.received()
	g.stop()
}
