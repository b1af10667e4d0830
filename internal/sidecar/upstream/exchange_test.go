package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"syscall"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// newExchange prepares an attempt with an open connection, right before its first byte is written.
func newExchange(t *testing.T, b *sidecartest.Backend) (*Pool, *Attempt, *serverConn, *http.Request) {
	t.Helper()
	cfg, err := configtest.NewConf("127.0.0.1:1").Load(t)
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool(cfg, 10)
	t.Cleanup(p.Close)
	server := &Server{ID: 1, Endpoint: b.Target.Endpoint}
	a := &Attempt{Call: &inflight.Call{Outbound: &inflight.Outbound{}}, Server: server, Deadline: time.Now().Add(sidecartest.WaitTimeout)}
	a.Context, a.Cancel = context.WithCancel(t.Context())
	t.Cleanup(a.Cancel)
	conn, _, err := p.acquire(a.Context, server, a.Deadline, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	req := &http.Request{Method: "GET", URL: &url.URL{Path: "/api"}, Host: "b", Header: http.Header{}}
	return p, a, conn, req
}

// Between the decision and the first byte the endpoint list may change, or the request may get its response. Nothing
// is sent then, and it is not a failure of the server.
func TestWrite_checksBeforeFirstByte(t *testing.T) {
	for name, change := range map[string]func(*Pool, *Attempt){
		"server retired": func(p *Pool, a *Attempt) { p.Retire(a.Server) },
		"response sent":  func(_ *Pool, a *Attempt) { a.Call.Finish() },
		"no time left":   func(_ *Pool, a *Attempt) { a.Deadline = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, conn, req := newExchange(t, b)
			change(p, a)
			written, err := (&requestWriter{conn: conn}).write(a.Deadline, req, a)
			if written || err != errAttemptObsolete || unsentResult(a.Context, a.Deadline, err) != balance.NotSent {
				t.Errorf("written %v, error %v", written, err)
			}
			conn.Close()
			if b.Requests.Load() != 0 {
				t.Error("the server got a request")
			}
		})
	}
}

// An incomplete write guarantees that nothing ran.
func TestWrite_shortNeverRan(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	_, a, conn, req := newExchange(t, b)
	conn.Conn.(*net.TCPConn).CloseWrite()
	written, err := (&requestWriter{conn: conn}).write(a.Deadline, req, a)
	if got := unsentResult(a.Context, a.Deadline, err); written || got != balance.WriteFailed {
		t.Errorf("written %v, error %v, result %v", written, err, got)
	}
	if a.Written.Load() {
		t.Error("the attempt counts as written")
	}
}

// A connect counts as failed only if no process responded: a reset shows that a process is there.
func TestUnsentResult(t *testing.T) {
	op := func(op string, err error) error {
		return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, err)}
	}
	for _, test := range []struct {
		err  error
		want balance.Result
	}{
		{op("connect", syscall.ECONNREFUSED), balance.ConnectFailed},
		{&net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}, balance.ConnectFailed},
		{op("connect", syscall.ECONNRESET), balance.WriteFailed},
		{op("write", syscall.ECONNRESET), balance.WriteFailed},
		{op("write", syscall.EPIPE), balance.WriteFailed},
		{op("socket", syscall.EMFILE), balance.LocalFailure},
		{op("socket", syscall.ENFILE), balance.LocalFailure},
		{op("connect", syscall.EADDRNOTAVAIL), balance.LocalFailure},
		{op("connect", syscall.EADDRINUSE), balance.LocalFailure},
		{op("write", syscall.ENOBUFS), balance.LocalFailure},
		{op("connect", syscall.EHOSTUNREACH), balance.Unreachable},
		{errAttemptObsolete, balance.NotSent},
		{errPoolExhausted, balance.NotSent},
	} {
		if got := unsentResult(t.Context(), time.Now().Add(time.Hour), test.err); got != test.want || !got.NeverRan() {
			t.Errorf("%v: result %v, want %v", test.err, got, test.want)
		}
	}
}

// A request whose reused connection breaks during the write moves to a new one: nothing of it has run, and it is not a
// failure of the server.
func TestReusedConn_writeBreaks(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p, a, conn, _ := newExchange(t, b)
	a.Call.Outbound = &inflight.Outbound{
		Method: "POST", URL: &url.URL{Path: "/api"}, Host: "b", Header: http.Header{}, Body: []byte("plate 12-34"),
	}
	conn.Conn.(*net.TCPConn).CloseWrite() // a peek still shows the connection as open
	p.release(conn)
	if r := p.Send(a); r.Result != balance.OK {
		t.Errorf("result %v", r.Result)
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("the server got %d requests, want 1", n)
	}
}

// The limit applies to the connections of all servers together. At the limit an idle connection of another server is
// closed.
func TestPool_limitOverAllServers(t *testing.T) {
	b, other := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBackend(t, "b", sidecartest.OK)
	p, a, conn, _ := newExchange(t, b)
	p.limit = 1
	server := &Server{ID: 2, Endpoint: other.Target.Endpoint}
	if _, _, err := p.acquire(a.Context, server, a.Deadline, nil); err != errPoolExhausted || unsentResult(a.Context, a.Deadline, err) != balance.NotSent {
		t.Fatalf("a second connection: error %v, want errPoolExhausted", err)
	}
	p.release(conn)
	second, reused, err := p.acquire(a.Context, server, a.Deadline, nil)
	if err != nil || reused {
		t.Fatalf("with an idle connection to close: %v", err)
	}
	p.release(second)
	if p.open != 1 {
		t.Errorf("%d connections are counted", p.open)
	}
}

// Idle connections are closed before their server closes them.
func TestPool_reapIdle(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p, _, conn, _ := newExchange(t, b)
	p.release(conn)
	p.ReapIdle(time.Now().Add(8 * time.Second))
	if p.open != 1 {
		t.Error("the connection was closed early")
	}
	p.ReapIdle(time.Now().Add(9 * time.Second))
	if p.open != 0 || len(p.idleServers) != 0 {
		t.Error("the connection was not closed in time")
	}
}

// A health check returns the load report in the body of the response.
func TestHealthCheck_loadReport(t *testing.T) {
	paths := make(chan string, 1)
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, _ string) bool {
		paths <- r.URL.Path
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nbusy=0.5,rate=7")
		return err == nil
	})
	p, a, conn, _ := newExchange(t, b)
	p.release(conn)
	r := p.HealthCheck(a.Context, a.Server)
	if r.Result != balance.OK || len(r.LoadReport) != 2 || r.LoadReport[0] != 0.5 || r.LoadReport[1] != 7 {
		t.Errorf("outcome %+v, want the report in the body", r)
	}
	if path := <-paths; path != "/stats" {
		t.Errorf("the health check requested %s", path)
	}
}

// A connection that is established too late for its attempt serves an attempt that is waiting then, or is idle for the
// next one.
func TestDial_lateConnectionServesNext(t *testing.T) {
	cfg, err := configtest.NewConf("127.0.0.1:1").Load(t)
	if err != nil {
		t.Fatal(err)
	}
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p := NewPool(cfg, 10)
	t.Cleanup(p.Close)
	handshake := make(chan struct{}) // each connection waits for one value
	p.dialer.Control = func(string, string, syscall.RawConn) error { <-handshake; return nil }
	server := &Server{ID: 1, Endpoint: b.Target.Endpoint}
	deadline := time.Now().Add(sidecartest.WaitTimeout)

	if _, _, err := p.acquire(t.Context(), server, deadline, nil); unsentResult(t.Context(), deadline, err) != balance.ConnectFailed {
		t.Fatalf("an attempt with a late connection ended with %v", err)
	}
	p.connectTimeout = sidecartest.WaitTimeout
	got := make(chan error, 1)
	go func() {
		conn, reused, err := p.acquire(t.Context(), server, deadline, nil)
		if err == nil && reused {
			err = errors.New("the waiting attempt got an idle connection")
		}
		if err == nil {
			p.discard(conn)
		}
		got <- err
	}()
	sidecartest.Until(t, "the second attempt to wait", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(server.waiting) == 1 && server.dialing == 2
	})
	handshake <- struct{}{} // for either dial: the attempt takes the first connection
	if err := sidecartest.Receive(t, "a connection", got); err != nil {
		t.Error(err)
	}
	handshake <- struct{}{}
	sidecartest.Until(t, "the other connection to be idle", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(server.idle) == 1 && server.dialing == 0
	})
	next, reused, err := p.acquire(t.Context(), server, deadline, nil)
	if !reused || err != nil {
		t.Fatalf("the next attempt got no idle connection: %v", err)
	}
	p.discard(next)
}
