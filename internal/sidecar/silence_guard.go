package sidecar

// This file ends calls to discovery that fall silent.

import (
	"context"
	"net"
	"sync"
	"time"
)

// silenceGuard ends a call that falls silent. Any bytes, of the head too, are a sign of life until the first object is
// whole, as an answer may come in small pieces; afterwards only whole objects and empty lines between them are.
type silenceGuard struct {
	mu    sync.Mutex
	timer *time.Timer
	quiet time.Duration // before the first object is whole
	end   time.Time     // when it has to be whole
	whole bool
}

func newSilenceGuard(quiet, most time.Duration, fire func()) *silenceGuard {
	return &silenceGuard{timer: time.AfterFunc(quiet, fire), quiet: quiet, end: time.Now().Add(most)}
}

func (g *silenceGuard) received() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.whole {
		g.timer.Reset(min(g.quiet, time.Until(g.end)))
	}
}

// told notes an object or an empty line; the next one has to come in time.
func (g *silenceGuard) told(next time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.whole = true
	g.timer.Reset(next)
}

func (g *silenceGuard) stop() { g.timer.Stop() }

// receivedKey is the key of a request's context under which stands what to call when bytes come.
type receivedKey struct{}

// reportingConn reports that bytes have come.
type reportingConn struct {
	net.Conn
	steady   *steadyReader
	received func()
}

func (c reportingConn) Read(b []byte) (int, error) {
	n, err := c.steady.read(c.Conn, b)
	if n > 0 {
		c.received()
	}
	return n, err
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialReporting makes connections tell the request that they are made for of each read. Without kept connections one
// connection serves one request.
func dialReporting(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if received, ok := ctx.Value(receivedKey{}).(func()); ok {
			return reportingConn{conn, new(steadyReader), received}, nil
		}
		return conn, nil
	}
}
