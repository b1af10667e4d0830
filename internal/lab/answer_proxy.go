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

// answerProxy is a proxy between clients and a sidecar that drops or doubles answers while a planted defect is on.
type answerProxy struct {
	addr     string
	defect   atomic.Pointer[string]
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

func openAnswerProxy(target string) (*answerProxy, error) {
	l, err := net.Listen("tcp4", harness.Host(target)+":0")
	if err != nil {
		return nil, fmt.Errorf("lab: answer proxy: %w", err)
	}
	t := &answerProxy{addr: l.Addr().String(), listener: l, conns: map[net.Conn]struct{}{}}
	none := ""
	t.defect.Store(&none)
	t.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.wg.Go(func() { t.forward(c, target) })
		}
	})
	return t, nil
}

func (t *answerProxy) track(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.conns[c] = struct{}{}
	}
	return !t.closed
}

func (t *answerProxy) close() {
	t.listener.Close()
	t.mu.Lock()
	t.closed = true
	for c := range t.conns {
		c.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// forward carries one connection.
func (t *answerProxy) forward(client net.Conn, target string) {
	defer client.Close()
	server, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer server.Close()
	if !t.track(client) || !t.track(server) {
		return
	}
	t.wg.Go(func() {
		_, _ = io.Copy(server, client) // the end of either side ends both
		_ = server.(*net.TCPConn).CloseWrite()
	})
	buf := make([]byte, 64<<10)
	for {
		n, err := server.Read(buf)
		if errors.Is(err, net.ErrClosed) || n == 0 {
			return
		}
		switch *t.defect.Load() {
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
