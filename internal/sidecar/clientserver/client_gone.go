package clientserver

import (
	"time"

	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
)

// clientPoll is how often a client is looked at whose connection nobody reads. No attempt depends on it, as each asks
// before its first byte: it bounds how long a request counts as load after its client has gone.
const clientPoll = 50 * time.Millisecond

// clientGone reports whether the client of a connection is known to have gone.
func clientGone(c *framing.HeadConn, states *netcall.ConnStates) bool {
	tracked, ok := c.Conn.(framing.TrackedConn)
	return ok && states.PeerGone(tracked.Transport())
}

// clientWatch tells when to look whether the client of a request has gone. net/http sees an end only while it reads:
// once it has taken a byte that follows a request it reads no more until that is answered.
type clientWatch struct {
	conn  *framing.HeadConn // nil: not known
	every time.Duration
	timer *time.Timer
	look  <-chan time.Time // it is time to
	ahead <-chan struct{}  // something was read
}

func newClientWatch(conn *framing.HeadConn, every time.Duration) *clientWatch {
	w := &clientWatch{conn: conn, every: every}
	if conn != nil {
		w.timer = time.NewTimer(every)
		w.look, w.ahead = w.timer.C, conn.Ahead
	}
	return w
}

func (w *clientWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// again sets the time for the next look.
func (w *clientWatch) again() { w.timer.Reset(w.every) }

// gone reports whether the call's client has gone. While its connection is being read that is for who reads to tell,
// and the next look comes after something was read.
func (w *clientWatch) gone(c *inflight.Call) bool {
	if w.conn.Reading() {
		return false
	}
	if c.ClientLeft() {
		return true
	}
	w.again()
	return false
}
