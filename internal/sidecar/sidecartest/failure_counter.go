package sidecartest

import (
	"net"
	"sync/atomic"
)

// FailureCounter is a listener that counts failed calls of Accept.
type FailureCounter struct {
	net.Listener
	Failures *atomic.Int64
}

// Accept accepts a connection, and counts a failure.
func (c FailureCounter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		c.Failures.Add(1)
	}
	return conn, err
}
