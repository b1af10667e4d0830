package discovery

import (
	"context"
	"net"
	"sync"
	"time"

	"marblelane/internal/sidecar/netcall"
)

// silenceGuard ends a call that falls silent. Any bytes, of the head too, are a sign of life until the first object is
// whole, as an answer may come in small pieces; afterwards only whole objects and empty lines between them are.
type silenceGuard struct {
	mu       sync.Mutex
	timer    *time.Timer
	timeout  time.Duration // before the first object is whole
	end      time.Time     // when it has to be whole
	complete bool
}

func newSilenceGuard(quiet, most time.Duration, fire func()) *silenceGuard {
	return &silenceGuard{timer: time.AfterFunc(quiet, fire), timeout: quiet, end: time.Now().Add(most)}
}

func (g *silenceGuard) received() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.complete {
		g.timer.Reset(min(g.timeout, time.Until(g.end)))
	}
}

// objectRead notes an object or an empty line; the next one has to come in time.
func (g *silenceGuard) objectRead(next time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.complete = true
	g.timer.Reset(next)
}

func (g *silenceGuard) stop() { g.timer.Stop() }

// receivedKey is the key of a request's context under which stands what to call when bytes come.
type receivedKey struct{}

// reportingConn reports that bytes have come.
type reportingConn struct {
	net.Conn
	steady   *netcall.RetryingReader
	received func()
}

func (c reportingConn) Read(b []byte) (int, error) {
	n, err := c.steady.Read(c.Conn, b)
	if n > 0 {
		c.received()
	}
	return n, err
}

// dialReporting makes connections tell the request that they are made for of each read. Without kept connections one
// connection serves one request.
func dialReporting(dial netcall.DialFunc) netcall.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if received, ok := ctx.Value(receivedKey{}).(func()); ok {
			return reportingConn{conn, new(netcall.RetryingReader), received}, nil
		}
		return conn, nil
	}
}
