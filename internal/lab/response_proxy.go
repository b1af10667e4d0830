package lab

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"marblelane/internal/lab/harness"
)

// responseProxy is a proxy between clients and a sidecar. While a planted defect is on, it drops or duplicates
// responses.
type responseProxy struct {
	addr     string
	defect   atomic.Pointer[string] // name of the planted defect; never nil, an empty string means none
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

// openResponseProxy opens a proxy that forwards connections to the sidecar at target.
func openResponseProxy(target string) (*responseProxy, error) {
	l, err := net.Listen("tcp4", harness.Host(target)+":0")
	if err != nil {
		return nil, fmt.Errorf("lab: open response proxy: %w", err)
	}
	p := &responseProxy{addr: l.Addr().String(), listener: l, conns: map[net.Conn]struct{}{}}
	none := ""
	p.defect.Store(&none)
	p.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.forward(c, target) })
		}
	})
	return p, nil
}

// track registers a connection for close. It returns false if the proxy is already closed.
func (p *responseProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

// close closes the proxy and all its connections, and waits for its goroutines.
func (p *responseProxy) close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// forward forwards one connection of a client to the sidecar at target.
func (p *responseProxy) forward(client net.Conn, target string) {
	defer client.Close()
	server, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer server.Close()
	if !p.track(client) || !p.track(server) {
		return
	}
	p.wg.Go(func() {
		_, _ = io.Copy(server, client) // the end of either connection ends both
		_ = server.(*net.TCPConn).CloseWrite()
	})
	buf := make([]byte, 64<<10)
	for {
		n, err := server.Read(buf)
		if errors.Is(err, net.ErrClosed) || n == 0 {
			return
		}
		switch *p.defect.Load() {
		case "lose-answer":
			continue
		case "answer-twice":
			if _, err := client.Write(buf[:n]); err != nil {
				return
			}
		}
		if _, err := client.Write(buf[:n]); err != nil {
			return
		}
	}
}
