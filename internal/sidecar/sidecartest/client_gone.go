package sidecartest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// Ends are the ways in which a client leaves.
var Ends = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half-close": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// Barrier holds whoever passes until it is opened.
type Barrier struct {
	waiting atomic.Int64
	open    chan struct{}
	once    sync.Once
}

func NewBarrier() *Barrier { return &Barrier{open: make(chan struct{})} }

func (g *Barrier) Pass() {
	g.waiting.Add(1)
	<-g.open
}

func (g *Barrier) Release() { g.once.Do(func() { close(g.open) }) }

// WaitFor returns once so many wait at the gate.
func (g *Barrier) WaitFor(t *testing.T, n int64) {
	t.Helper()
	Until(t, "the gate to be reached", func() bool { return g.waiting.Load() >= n })
}
