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

// When partialNextRequest is sent: never, together with the request, or pipelineDelay after it, when the sidecar has
// read the request.
const (
	notPipelined = iota
	pipelinedWithRequest
	pipelinedLater
	pipelineDelay = 5 * time.Millisecond
)

// clientBehaviour is how an attempt's client deviates from a plain exchange. Its random source is seeded by the
// attempt's ID, so that it does not change other random draws.
type clientBehaviour struct {
	leaveMode string // how the client ends the connection if it leaves early: one of the scenario's LeaveModes
	pipelined int    // when the client sends partialNextRequest
}

// drawBehaviour returns the behaviour of the attempt's client, which depends on the attempt's ID alone.
func (t *attempt) drawBehaviour() clientBehaviour {
	traffic := &t.load.Plan.Scenario.Traffic
	rng := rand.New(rand.NewPCG(t.id, 0x6c65617665))
	leaveMode := traffic.LeaveModes[rng.IntN(len(traffic.LeaveModes))]
	behaviour := clientBehaviour{leaveMode: leaveMode, pipelined: notPipelined}
	if rng.Float64() < traffic.PipelinedFraction {
		behaviour.pipelined = pipelinedWithRequest + rng.IntN(2)
	}
	return behaviour
}

// leave ends the attempt's connection before its response has arrived.
func (t *attempt) leave(c *conn, mode string) {
	switch mode {
	case scenario.LeaveHalfClose:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // fails only if the connection has ended
		}
		t.load.wg.Go(func() { t.drain(c) })
	case scenario.LeaveReset:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection has ended
		}
		c.Close()
	default:
		c.Close()
	}
	t.recordEvent(record.ClientDisconnected, record.Event{Note: mode})
}

// drain reads and discards what arrives on a half-closed connection, for at most the attempt's timeout plus
// lateResponseGrace.
func (t *attempt) drain(c *conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(t.timeout + lateResponseGrace)) // on a closed connection the read below fails
	_, _ = io.Copy(io.Discard, c.reader)                             // the client has left: nothing is recorded
}

// awaitingResponse holds the attempts whose clients wait for a response, with their connections.
type awaitingResponse struct {
	mu       sync.Mutex
	attempts map[*attempt]*conn
}

func (w *awaitingResponse) add(t *attempt, c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempts == nil {
		w.attempts = map[*attempt]*conn{}
	}
	w.attempts[t] = c
}

func (w *awaitingResponse) remove(t *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.attempts, t)
}

// LeaveEarly makes the clients of a random fraction of the attempts that wait for a response of these sidecars leave
// immediately.
func (l *Load) LeaveEarly(sidecars []int, fraction float64) {
	l.awaiting.mu.Lock()
	defer l.awaiting.mu.Unlock()
	for t, c := range l.awaiting.attempts {
		if !slices.Contains(sidecars, t.arrival.Sidecar) || rand.New(rand.NewPCG(t.id, 1)).Float64() >= fraction {
			continue
		}
		t.leaveRequested.Store(true)
		_ = c.SetDeadline(time.Unix(1, 0)) // interrupts the client's read
	}
}
