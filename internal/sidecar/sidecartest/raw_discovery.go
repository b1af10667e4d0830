package sidecartest

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
)

// RawDiscovery is a list service whose connections are served by the test.
type RawDiscovery struct{ Conns chan net.Conn }

// NewRawDiscovery starts a list service and returns it with its address.
func NewRawDiscovery(t *testing.T) (*RawDiscovery, string) {
	ln, err := net.Listen("tcp", Loopback)
	if err != nil {
		t.Fatal(err)
	}
	a := &RawDiscovery{Conns: make(chan net.Conn, 1024)}
	var accepting sync.WaitGroup
	accepting.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			a.Conns <- c
		}
	})
	t.Cleanup(func() {
		ln.Close()
		accepting.Wait()
		close(a.Conns)
		for c := range a.Conns {
			c.Close()
		}
	})
	return a, ln.Addr().String()
}

// NextCall returns the connection of the next call, after reading the head of the request.
func (a *RawDiscovery) NextCall(t *testing.T) net.Conn {
	t.Helper()
	c := Receive(t, "a call of the list service", a.Conns)
	t.Cleanup(func() { c.Close() })
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	return c
}

// WatchHead is the head of the response to a watch.
const WatchHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
