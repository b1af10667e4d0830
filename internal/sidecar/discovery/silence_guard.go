package discovery

import (
	"context"
	"net"
	"sync"
	"time"

	"marblelane/internal/sidecar/netcall"
)

// silenceGuard ends a call that falls silent. Until the first object is complete any bytes, of the head too, show that the
// list service is alive, as an answer may come in small pieces. Afterwards only complete objects and the empty lines between
// them do.
type silenceGuard struct {
	mu              sync.Mutex // guards all
	timer           *time.Timer
	timeout         time.Duration // between two reads, before the first object is complete
	deadline        time.Time     // for the first object
	firstObjectRead bool          // the first object
}

// newSilenceGuard calls expire when no byte comes for timeout, or when the first object is not complete within limit.
func newSilenceGuard(timeout, limit time.Duration, expire func()) *silenceGuard {
	return &silenceGuard{timer: time.AfterFunc(timeout, expire), timeout: timeout, deadline: time.Now().Add(limit)}
}

// received notes that bytes came.
func (g *silenceGuard) received() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.firstObjectRead {
		g.timer.Reset(min(g.timeout, time.Until(g.deadline)))
	}
}

// objectRead notes an object or an empty line; the next one has to come within a time.
func (g *silenceGuard) objectRead(nextTimeout time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.firstObjectRead = true
	g.timer.Reset(nextTimeout)
}

// stop ends the guard.
func (g *silenceGuard) stop() { g.timer.Stop() }

// onReceivedKey is the key in a request's context of the function that reportingConn calls.
type onReceivedKey struct{}

// reportingConn reports each read that got bytes.
type reportingConn struct {
	net.Conn
	retrying *netcall.RetryingReader
	received func()
}

// Read implements net.Conn.
func (c reportingConn) Read(b []byte) (int, error) {
	n, err := c.retrying.Read(c.Conn, b)
	if n > 0 {
		c.received()
	}
	return n, err
}

// dialReporting makes a connection report its reads to the request that it was dialed for. Without keep-alives it serves no
// other.
func dialReporting(dial netcall.DialFunc) netcall.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if received, ok := ctx.Value(onReceivedKey{}).(func()); ok {
			return reportingConn{conn, new(netcall.RetryingReader), received}, nil
		}
		return conn, nil
	}
}
