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

// responseProxy is a proxy between clients and a sidecar that drops or doubles answers while a planted defect is on.
type responseProxy struct {
	addr     string
	defect   atomic.Pointer[string]
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

func openResponseProxy(target string) (*responseProxy, error) {
	l, err := net.Listen("tcp4", harness.HostOf(target)+":0")
	if err != nil {
		return nil, fmt.Errorf("lab: answer proxy: %w", err)
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

func (p *responseProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

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

// forward carries one connection.
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
		_, _ = io.Copy(server, client) // the end of either side ends both
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
