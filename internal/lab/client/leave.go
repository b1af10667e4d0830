package client

import (
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
)

// partialNextRequest is the start of a pipelined request that is never completed.
const partialNextRequest = "GET /api HTTP/1.1\r\nHost: back"

// When it is sent: never, with the request, or pipelineDelay later, when the request has been read.
const (
	notPipelined = iota
	pipelinedWithRequest
	pipelinedLater
	pipelineDelay = 5 * time.Millisecond
)

// clientBehaviour is how an attempt's client deviates from a plain exchange. It is drawn from the attempt's id, so that it
// does not change other random draws.
type clientBehaviour struct {
	leaveWay  string // how it ends the connection if it leaves early: one of scenario.LeaveModes
	pipelined int    // when it sends partialNextRequest
}

func (t *attempt) drawBehaviour() clientBehaviour {
	traffic := &t.load.Plan.Scenario.Traffic
	r := rand.New(rand.NewPCG(t.id, 0x6c65617665))
	way := traffic.LeaveModes[r.IntN(len(traffic.LeaveModes))]
	h := clientBehaviour{leaveWay: way, pipelined: notPipelined}
	if r.Float64() < traffic.PipelinedFraction {
		h.pipelined = pipelinedWithRequest + r.IntN(2)
	}
	return h
}

// leave ends the attempt's connection before its answer has arrived.
func (t *attempt) leave(c *conn, way string) {
	switch way {
	case scenario.LeaveHalfClose:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // fails only if the connection has ended
		}
		t.load.wg.Go(func() { t.drain(c) })
	case scenario.LeaveReset:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // as above
		}
		c.Close()
	default:
		c.Close()
	}
	t.note(record.ClientDisconnected, record.Event{Note: way})
}

// drain reads and discards what still arrives on a half-closed connection, up to the attempt's timeout and the grace
// period.
func (t *attempt) drain(c *conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(t.timeout + lateAnswerGrace)) // on a closed connection the read below fails
	_, _ = io.Copy(io.Discard, c.in)                               // the client has left: the bytes are discarded
}

// awaitingAnswer has the attempts whose clients wait for an answer.
type awaitingAnswer struct {
	mu       sync.Mutex
	attempts map[*attempt]*conn
}

func (w *awaitingAnswer) add(t *attempt, c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempts == nil {
		w.attempts = map[*attempt]*conn{}
	}
	w.attempts[t] = c
}

func (w *awaitingAnswer) remove(t *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.attempts, t)
}

// LeaveEarly makes the clients of a fraction of the attempts that wait for an answer of these sidecars leave immediately.
func (l *Load) LeaveEarly(sidecars []int, fraction float64) {
	l.waiting.mu.Lock()
	defer l.waiting.mu.Unlock()
	for t, c := range l.waiting.attempts {
		if !slices.Contains(sidecars, t.arrival.Sidecar) || rand.New(rand.NewPCG(t.id, 1)).Float64() >= fraction {
			continue
		}
		t.leaveRequested.Store(true)
		_ = c.SetDeadline(time.Unix(1, 0)) // ends the client's read
	}
}
