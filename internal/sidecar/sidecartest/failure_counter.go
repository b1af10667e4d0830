package sidecartest

import (
	"net"
	"sync/atomic"
)

// FailureCounter counts the accepts that fail.
type FailureCounter struct {
	net.Listener
	Failures *atomic.Int64
}

// Accept accepts, and counts a failure.
func (c FailureCounter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		c.Failures.Add(1)
	}
	return conn, err
}
