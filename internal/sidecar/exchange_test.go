package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// If a reused connection breaks during a non-idempotent request, the request is not sent again, and its response is a
// failure, as it may have run.
func TestReusedConn_brokenNotResent(t *testing.T) {
	served := 0
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		served++
		return served == 1 && sidecartest.OK(c, r, body)
	})
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	if got := s.do(s.request("charge", time.Second)); got.status != 200 || got.body != "done" {
		t.Fatalf("first: %+v", got)
	}
	if got := s.do(s.request("charge", time.Second)); got.status != inflight.StatusFailed {
		t.Errorf("second: %+v, want a failure", got)
	}
	if n, conns := b.Requests.Load(), b.Conns.Load(); n != 2 || conns != 1 {
		t.Errorf("%d requests on %d connections reached the server, want 2 on one connection", n, conns)
	}
}

// The pool notices that a server has closed an idle connection before it writes a request to it.
func TestReusedConn_closedWhileIdle(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	for i := range 3 {
		if got := s.do(s.request("charge", time.Second)); got.status != 200 {
			t.Fatalf("request %d: %+v", i, got)
		}
		b.CloseConns()
	}
	if n := b.Conns.Load(); n != 3 {
		t.Errorf("%d connections, want 3", n)
	}
}

// Sequential requests reuse one connection.
func TestReusedConn_sequentialRequests(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	for range 5 {
		s.do(s.request("lookup", time.Second))
	}
	if n, conns := b.Requests.Load(), b.Conns.Load(); n != 5 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 5 on 1", n, conns)
	}
}

// A non-idempotent request is rejected only if the response proves that it did not run, and fails otherwise.
func TestAttempt_nonIdempotentOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		want     int
	}{
		"error":                    {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", inflight.StatusFailed},
		"503 without mark":         {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", inflight.StatusFailed},
		"504 without mark":         {"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", inflight.StatusFailed},
		"429":                      {"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", inflight.StatusFailed},
		"500 with mark":            {"HTTP/1.1 500 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", inflight.StatusFailed},
		"503 with mark":            {"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", inflight.StatusRejected},
		"504 with mark":            {"HTTP/1.1 504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", inflight.StatusRejected},
		"body cut short":           {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ndone", inflight.StatusFailed},
		"chunks cut short":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", inflight.StatusFailed},
		"no framing, no body":      {"HTTP/1.1 200 OK\r\n\r\n", inflight.StatusFailed},
		"no framing":               {"HTTP/1.1 200\r\n\r\ndone", 200},
		"headers without end":      {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: of the same\r\n", 20000) + "Content-Length: 4\r\n\r\ndone", inflight.StatusFailed},
		"hints without end":        {strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 20000), inflight.StatusFailed},
		"not HTTP":                 {"hello\r\n\r\n", inflight.StatusFailed},
		"complete":                 {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 200},
		"complete after a hint":    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 200},
		"complete, chunked":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", 200},
		"head cut short":           {"HTTP/1.1 200 OK\r\nConte", inflight.StatusFailed},
		"error above the limit":    {"HTTP/1.1 500 Oh\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), inflight.StatusFailed},
		"response above the limit": {"HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n" + strings.Repeat("x", 70000), inflight.StatusFailed},
		"error without end":        {"HTTP/1.1 500 Oh\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 1<<17), inflight.StatusFailed},
	} {
		t.Run(name, func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.Respond(test.response, false))
			s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
			got := s.do(s.request("charge", 300*time.Millisecond))
			if got.status != test.want || test.want == 200 && got.body != "done" {
				t.Errorf("response %d %q, want %d", got.status, got.body, test.want)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("%d requests at the server, want 1", n)
			}
		})
	}
}

// A response without a length that ends with its connection is complete only if the connection was not reset.
func TestResponse_endsWithReset(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\ndo")
		c.(*net.TCPConn).SetLinger(0)
		return false
	})
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	if got := s.do(s.request("charge", time.Second)); got.status != inflight.StatusFailed {
		t.Errorf("response %+v, want %d", got, inflight.StatusFailed)
	}
}

// A request that a server rejected unprocessed, or whose dial failed, is sent to another server, even if non-idempotent.
func TestRetry_neverRan(t *testing.T) {
	full := sidecartest.NewBackend(t, "a", sidecartest.Respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true))
	refusing := sidecartest.NewBackend(t, "c", sidecartest.OK)
	refusing.Close()
	good := sidecartest.NewBackend(t, "b", sidecartest.OK)
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), full.Target, refusing.Target, good.Target))
	for i := range 6 {
		if got := s.do(s.request("charge", time.Second)); got.status != 200 {
			t.Errorf("request %d: %+v", i, got)
		}
	}
	if n := good.Requests.Load(); n != 6 {
		t.Errorf("%d requests served, want 6", n)
	}
}

// A server gets the request unchanged except for hop-by-hop headers, with the remaining time as X-Timeout-Ms.
func TestAttempt_requestAtServer(t *testing.T) {
	type seen struct {
		req  *http.Request
		body string
	}
	requests := make(chan seen, 1)
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		requests <- seen{r, body}
		return sidecartest.OK(c, r, body)
	})
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	req := s.request("reserve", 800*time.Millisecond)
	req.URL.RawQuery = "b=2&a=%2F"
	req.Header.Set("X-Other", "kept")
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "mine")
	req.Host = "backend.local"
	s.do(req)
	got := sidecartest.Receive(t, "the request", requests)
	h := got.req.Header
	if got.req.Method != "POST" || got.req.RequestURI != "/api?b=2&a=%2F" || got.body != "plate 12-34" ||
		got.req.Host != "backend.local" || h.Get("X-Request-ID") != req.Header.Get("X-Request-ID") ||
		h.Get("Idempotency-Key") != "5c0f6e1a2b3d4c59" || h.Get("X-Other") != "kept" || h.Get("X-Hop") != "" {
		t.Errorf("the server got %s %s %q %v", got.req.Method, got.req.RequestURI, got.body, h)
	}
	if ms := h.Get("X-Timeout-Ms"); len(ms) != 3 || ms > "800" || ms < "500" {
		t.Errorf("X-Timeout-Ms is %s, want a little under 800", ms)
	}
}

// If the server does not respond the client gets a timeout, not a rejection, at its deadline, and the connection is
// closed.
func TestSilentServer(t *testing.T) {
	closed := make(chan struct{})
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
		io.Copy(io.Discard, c)
		close(closed)
		return false
	})
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	got := s.do(s.request("charge", 200*time.Millisecond))
	if got.status != inflight.StatusTimedOut || got.took < 200*time.Millisecond || got.took > time.Second {
		t.Errorf("%d after %v, want %d at the deadline", got.status, got.took, inflight.StatusTimedOut)
	}
	sidecartest.Receive(t, "the connection to close", closed)
}

// unresponsiveAddr returns the address of a listener whose accept queue is full: connecting to it never completes.
func unresponsiveAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// The time for dialing is limited by the settings and by the remaining time of the request.
func TestDial_neverConnects(t *testing.T) {
	addr := unresponsiveAddr(t)
	t.Run("settings", func(t *testing.T) {
		good := sidecartest.NewBackend(t, "b", sidecartest.OK)
		s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), sidecartest.Ready("a", addr), good.Target))
		for i := range 3 {
			if got := s.do(s.request("charge", time.Second)); got.status != 200 || got.took > 600*time.Millisecond {
				t.Errorf("request %d: %+v", i, got)
			}
		}
	})
	t.Run("time left", func(t *testing.T) {
		c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), sidecartest.Ready("a", addr)).
			ReplaceSetting(`"connect_timeout_ms": 100`, `"connect_timeout_ms": 60000`)
		s := start(t, c)
		got := s.do(s.request("charge", 100*time.Millisecond))
		if got.status != inflight.StatusRejected && got.status != inflight.StatusTimedOut || got.took > time.Second {
			t.Errorf("%+v, want a response at the deadline", got)
		}
	})
}

// An attempt ends when its client closes the connection.
func TestAttempt_clientLeaves(t *testing.T) {
	got, closed := make(chan struct{}), make(chan struct{})
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
		close(got)
		io.Copy(io.Discard, c)
		close(closed)
		return false
	})
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan error, 1)
	req := s.request("lookup", 2500*time.Millisecond).WithContext(ctx)
	go func() {
		_, err := s.client.Do(req)
		done <- err
	}()
	sidecartest.Receive(t, "the request", got)
	leave()
	leftAt := time.Now()
	sidecartest.Receive(t, "the connection to close", closed)
	if took := time.Since(leftAt); took > time.Second {
		t.Errorf("the attempt continued for %v", took)
	}
	if sidecartest.Receive(t, "the client", done) == nil {
		t.Error("a client that had left got a response")
	}
}
