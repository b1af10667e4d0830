package sidecar

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// heldListener accepts no connection before held is closed.
type heldListener struct {
	*net.TCPListener
	held   chan struct{}
	closed *atomic.Bool
}

func (l heldListener) Accept() (net.Conn, error) {
	<-l.held
	return l.TCPListener.Accept()
}

func (l heldListener) Close() error {
	l.closed.Store(true)
	return l.TCPListener.Close()
}

// Connections in the accept queue at SIGTERM are accepted and get their response before the listener closes.
func TestShutdown_acceptQueue(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	held := make(chan struct{})
	var closed, queried atomic.Bool
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target), func(s *Sidecar) {
		s.listener.Listener = heldListener{s.tcpListener, held, &closed}
		s.countUnaccepted = func(l *net.TCPListener) int {
			n := netcall.AcceptQueueLength(l)
			queried.Store(true)
			return n
		}
	})
	sidecartest.Until(t, "a server", func() bool { return s.loop.Metrics.Servers.Load().Ready > 0 })
	waiting := s.writeRequests(t, 10)
	s.term()
	sidecartest.Until(t, "the listener to close, or to wait for the queue", func() bool { return closed.Load() || queried.Load() })
	close(held)
	for _, c := range waiting {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != 200 || !resp.Close {
			t.Errorf("%s, close: %v", resp.Status, resp.Close)
		}
		c.Close()
	}
	if err := sidecartest.Receive(t, "the sidecar to end", s.ended); err != nil {
		t.Error(err)
	}
	s.ended <- nil
	if _, err := net.Dial("tcp", s.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connecting after the shutdown: %v, want ECONNREFUSED", err)
	}
}

// A connection that is never accepted does not keep the process from ending.
func TestShutdown_AcceptStalled(t *testing.T) {
	held := make(chan struct{})
	var closed atomic.Bool
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr()), func(s *Sidecar) {
		s.listener.Listener = heldListener{s.tcpListener, held, &closed}
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s.term()
	sidecartest.Until(t, "the listener to close", closed.Load)
	close(held)
}
