package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// agent is discovery by hand: each connection that it accepts is the test's.
type agent struct{ conns chan net.Conn }

func newHandAgent(t *testing.T) (*agent, string) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{conns: make(chan net.Conn, 1024)}
	var accepting sync.WaitGroup
	accepting.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			a.conns <- c
		}
	})
	t.Cleanup(func() {
		ln.Close()
		accepting.Wait()
		close(a.conns)
		for c := range a.conns {
			c.Close()
		}
	})
	return a, ln.Addr().String()
}

// next gives the next call, its head read.
func (a *agent) next(t *testing.T) net.Conn {
	t.Helper()
	c := receive(t, "a call", a.conns)
	t.Cleanup(func() { c.Close() })
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	return c
}

const watchHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"

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
	a, addr := newHandAgent(t)
	d, heard := hearing(t, addr)
	d.lag, d.callWait, d.silence = 400*time.Millisecond, time.Hour, time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d.subscribe(ctx)
	a.next(t) // silent for good
	for end := time.After(patience); ; {
		select {
		case n := <-heard:
			if n.kind != balance.ListFull || n.list.Rev != 7 {
				t.Errorf("%+v", n)
			}
			return
		case c := <-a.conns:
			defer c.Close()
			inPieces(c, 2*d.lag, watchHead+`{"rev": 7, "all": true, "targets": []}`)
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
	receive(t, "the end of a call past its time", now)
	g = newSilenceGuard(time.Millisecond, time.Hour, func() { now <- struct{}{} })
	g.received()
	receive(t, "the end of a call that stopped", now)
	g = newSilenceGuard(time.Hour, time.Hour, func() { t.Error("a watch that has told is ended by bytes") })
	g.told(time.Hour)
	g.quiet = 0
	g.received()
	g.stop()
}
