package sidecartest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// CloseMethods are the ways in which a client leaves.
var CloseMethods = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half-close": func(c *net.TCPConn) { _ = c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
}

// Barrier blocks all goroutines that pass it until it is released.
type Barrier struct {
	waiting atomic.Int64
	open    chan struct{}
	once    sync.Once
}

// NewBarrier gives a barrier that blocks.
func NewBarrier() *Barrier { return &Barrier{open: make(chan struct{})} }

// Pass waits for Release.
func (g *Barrier) Pass() {
	g.waiting.Add(1)
	<-g.open
}

// Release opens the barrier for good.
func (g *Barrier) Release() { g.once.Do(func() { close(g.open) }) }

// WaitFor returns once n goroutines have come to the barrier.
func (g *Barrier) WaitFor(t *testing.T, n int64) {
	t.Helper()
	Until(t, "the barrier to be reached", func() bool { return g.waiting.Load() >= n })
}
