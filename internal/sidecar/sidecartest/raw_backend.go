package sidecartest

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"

	"marblelane/internal/sidecar/endpointlist"
)

// PatternBody returns a body of n pseudorandom bytes, so that a missing, repeated or swapped part is detected.
func PatternBody(n int) []byte {
	b := make([]byte, n)
	x := uint32(n)
	for i := range b {
		x = x*1664525 + 1013904223
		b[i] = byte(x >> 24)
	}
	return b
}

// RawBackend starts a server that calls serve for each connection, and returns its list entry.
func RawBackend(t *testing.T, uid string, serve func(c net.Conn, in *bufio.Reader)) endpointlist.Target {
	t.Helper()
	l, err := net.Listen("tcp", Loopback)
	if err != nil {
		t.Fatal(err)
	}
	var ended sync.WaitGroup
	ended.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			ended.Go(func() {
				defer c.Close()
				c.SetDeadline(time.Now().Add(WaitTimeout))
				serve(c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		ended.Wait()
	})
	return Ready(uid, l.Addr().String())
}

// ZeroReader is a body without an end. It leaves the buffer unchanged, which holds zeros if it is new.
type ZeroReader struct{}

// Read implements io.Reader.
func (ZeroReader) Read(p []byte) (int, error) { return len(p), nil }
