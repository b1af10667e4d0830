package sidecar

import (
	"io"
	"net"
	"net/http"
	"testing"

	"marblelane/balance"
)

// A kept connection was good when it was taken. What comes over it until the first byte is written is no answer to the
// request, and its end is no reset of the request.
func TestKeptConnectionThatChangesBeforeTheFirstByte(t *testing.T) {
	second := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	for name, change := range map[string]func(net.Conn){
		"second answer": func(c net.Conn) { io.WriteString(c, second) },
		"half a line":   func(c net.Conn) { io.WriteString(c, second[:9]) },
		"closed":        func(c net.Conn) { c.Close() },
		"reset": func(c net.Conn) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			servers := make(chan net.Conn, 2)
			b := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				servers <- c
				return ok(c, r, body)
			})
			p, a, conn, _ := exchanging(t, b)
			p.put(conn)
			a.call.out = outboundPost([]byte("plate 12-34"))
			if r := p.send(a); r.result != balance.OK {
				t.Fatalf("the first request: result %v", r.result)
			}
			kept := receive(t, "the server's connection", servers)
			until(t, "the connection to be kept", func() bool { return idleOf(p, a.up) == 1 })

			next := further(a)
			next.call.writing.Lock() // it takes the connection, and waits here
			done := make(chan reply, 1)
			go func() { done <- p.send(next) }()
			until(t, "the connection to be taken", func() bool { return idleOf(p, a.up) == 0 })
			change(kept)
			until(t, "the change to arrive", func() bool { return !conn.quiet() })
			next.call.writing.Unlock()
			if r := receive(t, "the answer", done); r.result != balance.OK || string(r.answer.body) != "done" {
				t.Errorf("result %v with %q, want the answer to this request", r.result, r.answer.body)
			}
			if n := b.requests.Load(); n != 2 {
				t.Errorf("the server got %d requests, want 2", n)
			}
			if n := openOf(p); n != 1 {
				t.Errorf("%d connections are counted, want the kept one", n)
			}
		})
	}
}

func idleOf(p *upstreams, up *upstream) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(up.idle)
}

func openOf(p *upstreams) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
