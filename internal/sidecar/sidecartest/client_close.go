package sidecartest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// CloseMethods are the ways in which a client ends its connection, by name.
var CloseMethods = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half-close": func(c *net.TCPConn) { _ = c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
}

// Barrier blocks all goroutines that call Pass until it is released.
type Barrier struct {
	waiting atomic.Int64
	open    chan struct{}
	once    sync.Once
}

// NewBarrier returns a barrier that is not released.
func NewBarrier() *Barrier { return &Barrier{open: make(chan struct{})} }

// Pass waits for Release.
func (g *Barrier) Pass() {
	g.waiting.Add(1)
	<-g.open
}

// Release releases the barrier permanently. It may be called several times.
func (g *Barrier) Release() { g.once.Do(func() { close(g.open) }) }

// WaitFor waits until Pass has been called at least n times.
func (g *Barrier) WaitFor(t *testing.T, n int64) {
	t.Helper()
	Until(t, "goroutines to reach the barrier", func() bool { return g.waiting.Load() >= n })
}
