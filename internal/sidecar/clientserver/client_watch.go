package clientserver

import (
	"net/http"
	"time"

	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
)

// defaultClientPollInterval is the time between two checks whether a client has disconnected while its connection is
// not being read. It limits how long a request counts as load after its client has disconnected. Attempts make a check
// of their own before their first byte.
const defaultClientPollInterval = 50 * time.Millisecond

// watchClient sets the call's PollDisconnect. It returns the connection to watch, or nil if the connection of the
// request is not known.
func (s *Server) watchClient(r *http.Request, call *inflight.Call) *framing.HeadConn {
	conn := headConn(r)
	if conn == nil {
		return nil
	}
	states := s.options.ConnStates
	call.PollDisconnect = func() bool { return r.Context().Err() != nil || clientDisconnected(conn, states) }
	return conn
}

// clientDisconnected reports whether the client of a connection is known to have disconnected.
func clientDisconnected(conn *framing.HeadConn, states *netcall.ConnStateReader) bool {
	tracked, ok := conn.Conn.(framing.TrackedConn)
	return ok && states.PeerClosed(tracked.NetConn())
}

// clientWatch schedules the checks whether the client of a request has disconnected. net/http notices the end of a
// connection only while it reads: once it has read a byte that follows a request, it does not read again until the
// response to that request is written.
type clientWatch struct {
	conn     *framing.HeadConn // nil: the connection is not known and no checks are made
	interval time.Duration
	timer    *time.Timer
	due      <-chan time.Time // receives a value when a check is due
	received <-chan struct{}  // receives a token after bytes were read from the connection
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

// schedule schedules the next check.
func (w *clientWatch) schedule() { w.timer.Reset(w.interval) }

// clientDisconnected reports whether the call's client has disconnected, and schedules the next check if it has not.
// While the connection is being read the reader notices the end, so it returns false and schedules no check: the next
// one is scheduled after bytes were read.
func (w *clientWatch) clientDisconnected(call *inflight.Call) bool {
	if w.conn.Reading() {
		return false
	}
	if call.ClientDisconnected() {
		return true
	}
	w.schedule()
	return false
}
