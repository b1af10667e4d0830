package clientserver

import (
	"net/http"
	"time"

	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
)

// defaultClientPoll is the time between two checks of a client whose connection is not being read. It bounds how long a
// request counts as load after its client has gone; attempts check by themselves before their first byte.
const defaultClientPoll = 50 * time.Millisecond

// watchClient lets a call learn that its client has gone, and returns the connection to watch; nil: it is not known.
func (s *Server) watchClient(r *http.Request, call *inflight.Call) *framing.HeadConn {
	conn := headConn(r)
	if conn == nil {
		return nil
	}
	states := s.options.ConnStates
	call.PollDisconnect = func() bool { return r.Context().Err() != nil || clientGone(conn, states) }
	return conn
}

// clientGone reports whether the client of a connection is known to have gone.
func clientGone(conn *framing.HeadConn, states *netcall.ConnStateReader) bool {
	tracked, ok := conn.Conn.(framing.TrackedConn)
	return ok && states.PeerClosed(tracked.NetConn())
}

// clientWatch says when to check whether the client of a request has gone. net/http sees the end of a connection only
// while it reads: once it has read a byte behind a request it stops until that request is answered.
type clientWatch struct {
	conn     *framing.HeadConn // nil: not known
	interval time.Duration
	timer    *time.Timer
	due      <-chan time.Time // a check is due
	received <-chan struct{}  // something was read from the connection
}

func newClientWatch(conn *framing.HeadConn, interval time.Duration) *clientWatch {
	w := &clientWatch{conn: conn, interval: interval}
	if conn != nil {
		w.timer = time.NewTimer(interval)
		w.due, w.received = w.timer.C, conn.Received()
	}
	return w
}

func (w *clientWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// schedule sets the time of the next check.
func (w *clientWatch) schedule() { w.timer.Reset(w.interval) }

// clientGone reports whether the call's client has gone. While the connection is being read its reader sees the end, and
// the next check is scheduled when something was read.
func (w *clientWatch) clientGone(call *inflight.Call) bool {
	if w.conn.Reading() {
		return false
	}
	if call.ClientDisconnected() {
		return true
	}
	w.schedule()
	return false
}
