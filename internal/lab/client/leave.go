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

// nextRequest is what stands behind a request whose client has begun to send the next one.
const nextRequest = "GET /api HTTP/1.1\r\nHost: back"

// When it is sent: with the request, or so much later that the request has been read by then.
const (
	never = iota
	together
	later
	nextAfter = 5 * time.Millisecond
)

// habits is what a try's client does beside asking. It is drawn from the try's id, so that it moves no other draw.
type habits struct {
	leave     string // how it leaves if it leaves early: one of scenario.LeaveWays
	pipelined int    // when it sends the first bytes of a next request
}

func (t *try1) habits() habits {
	traffic := &t.l.Plan.Scenario.Traffic
	r := rand.New(rand.NewPCG(t.id, 0x6c65617665))
	way := traffic.Leave[r.IntN(len(traffic.Leave))]
	h := habits{leave: way, pipelined: never}
	if r.Float64() < traffic.Pipelined {
		h.pipelined = together + r.IntN(2)
	}
	return h
}

// leave ends the try's connection before its answer has come.
func (t *try1) leave(c *conn, way string) {
	switch way {
	case scenario.LeaveHalfClose:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // on a connection that has ended there is nothing left to close
		}
		t.l.wg.Go(func() { t.readOut(c) })
	case scenario.LeaveReset:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // as above
		}
		c.Close()
	default:
		c.Close()
	}
	t.note(record.ClientLeft, record.Event{Note: way})
}

// readOut takes what still comes on a half-closed connection, for no longer than its request had.
func (t *try1) readOut(c *conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(t.patience + listen)) // a closed connection says so when it is read
	_, _ = io.Copy(io.Discard, c.in)                       // whatever comes is for nobody
}

// waiting are the tries whose clients wait for an answer.
type waiting struct {
	mu    sync.Mutex
	tries map[*try1]*conn
}

func (w *waiting) add(t *try1, c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tries == nil {
		w.tries = map[*try1]*conn{}
	}
	w.tries[t] = c
}

func (w *waiting) remove(t *try1) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tries, t)
}

// Leave makes the clients of a share of the requests that wait for an answer at these sidecars leave at once.
func (l *Load) Leave(sidecars []int, share float64) {
	l.waiting.mu.Lock()
	defer l.waiting.mu.Unlock()
	for t, c := range l.waiting.tries {
		if !slices.Contains(sidecars, t.a.Sidecar) || rand.New(rand.NewPCG(t.id, 1)).Float64() >= share {
			continue
		}
		t.told.Store(true)
		_ = c.SetDeadline(time.Unix(1, 0)) // wakes the client
	}
}
