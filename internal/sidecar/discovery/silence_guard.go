package discovery

import (
	"context"
	"net"
	"sync"
	"time"

	"marblelane/internal/sidecar/netcall"
)

// silenceGuard ends a call whose response stops coming. Until the first object is complete, any received bytes, those
// of the head included, restart the timeout, as a response may come in small pieces. Afterwards only complete objects
// and the empty lines between them restart it.
type silenceGuard struct {
	mu              sync.Mutex // guards all fields
	timer           *time.Timer
	timeout         time.Duration // time without received bytes before the first object is complete
	deadline        time.Time     // when the first object must be complete, even if bytes keep coming
	firstObjectRead bool          // the first object or empty line is complete
}

// newSilenceGuard returns a guard that calls expire if no byte is received for timeout, or if the first object is not
// complete within limit.
func newSilenceGuard(timeout, limit time.Duration, expire func()) *silenceGuard {
	return &silenceGuard{timer: time.AfterFunc(timeout, expire), timeout: timeout, deadline: time.Now().Add(limit)}
}

// received restarts the timeout after bytes were received, if the first object is not complete yet.
func (g *silenceGuard) received() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.firstObjectRead {
		g.timer.Reset(min(g.timeout, time.Until(g.deadline)))
	}
}

// objectRead restarts the timer after a complete object or an empty line. The next one must follow within nextTimeout.
func (g *silenceGuard) objectRead(nextTimeout time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.firstObjectRead = true
	g.timer.Reset(nextTimeout)
}

// stop stops the timer.
func (g *silenceGuard) stop() { g.timer.Stop() }

// onReceivedKey is the context key of the function that reportingConn calls for a request.
type onReceivedKey struct{}

// reportingConn is a connection that calls received after each read of at least one byte.
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

// dialReporting wraps dial so that a connection reports its reads to the request for which it was dialed. As
// keep-alives are disabled, the connection serves no other request.
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
