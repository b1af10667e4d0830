package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

func TestReadyCheck(t *testing.T) {
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr()))
	resp, err := s.client.Get("http://" + s.Addr() + clientserver.ReadyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("ready check: %s", resp.Status)
	}
}

// A malformed request gets a 4xx response, not a rejection, and does not reach a server.
func TestMalformedRequests(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	for name, test := range map[string]struct {
		class  string
		change func(*http.Request)
		want   int
	}{
		"no id":                {"charge", func(r *http.Request) { r.Header.Del("X-Request-ID") }, 400},
		"no class":             {"charge", func(r *http.Request) { r.Header.Del("X-Priority-Class") }, 400},
		"unknown class":        {"charge", func(r *http.Request) { r.Header.Set("X-Priority-Class", "nope") }, 400},
		"no tenant":            {"charge", func(r *http.Request) { r.Header.Del("X-Tenant-Id") }, 400},
		"unknown tenant":       {"charge", func(r *http.Request) { r.Header.Set("X-Tenant-Id", "nope") }, 400},
		"timeout not a number": {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "soon") }, 400},
		"timeout zero":         {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "0") }, 400},
		"timeout negative":     {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "-5") }, 400},
		"timeout too long":     {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "4294967295") }, 400},
		"cost not a number":    {"charge", func(r *http.Request) { r.Header.Set("X-Cost", "NaN") }, 400},
		"with key, no key":     {"reserve", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"not idempotent, key":  {"charge", func(r *http.Request) { r.Header.Set("Idempotency-Key", "1") }, 400},
		"not idempotent, GET":  {"charge", func(r *http.Request) { r.Method, r.Body, r.ContentLength = "GET", nil, 0 }, 400},
		"idempotent, POST":     {"lookup", func(r *http.Request) { r.Method = "POST" }, 400},
		"idempotent, body": {"lookup", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("x")), 1
		}, 400},
		"other method":        {"charge", func(r *http.Request) { r.Method = "PUT" }, 405},
		"other path":          {"charge", func(r *http.Request) { r.URL.Path = "/other" }, 404},
		"ready check by POST": {"charge", func(r *http.Request) { r.URL.Path = clientserver.ReadyPath }, 405},
		"body too large": {"charge", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, inflight.MaxBody+1))), inflight.MaxBody+1
		}, 413},
		"body too large, chunked": {"charge", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, inflight.MaxBody+1))), -1
		}, 413},
	} {
		t.Run(name, func(t *testing.T) {
			req := s.request(test.class, time.Second)
			test.change(req)
			if got := s.do(req); got.status != test.want {
				t.Errorf("%d %q, want %d", got.status, got.body, test.want)
			}
		})
	}
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
	req := s.request("charge", time.Second)
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, inflight.MaxBody))), inflight.MaxBody
	if got := s.do(req); got.status != 200 {
		t.Errorf("the largest body: %+v", got)
	}
	if got := s.do(s.request("reserve", time.Second)); got.status != 200 {
		t.Errorf("a request with a key: %+v", got)
	}
}

// Without X-Timeout-Ms the timeout of a request is the deadline of its class.
func TestTimeout_classDefault(t *testing.T) {
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr()).ReplaceSetting(`"hard_limit_ms": 2500`, `"hard_limit_ms": 100`).
		ReplaceSetting(`"on_time_ms": 750`, `"on_time_ms": 100`))
	req := s.request("lookup", time.Second)
	req.Header.Del("X-Timeout-Ms")
	if got := s.do(req); got.status != inflight.StatusRejected || got.took > 900*time.Millisecond {
		t.Errorf("%+v, want a rejection after 100 ms", got)
	}
}

// Requests above the limit get a rejection at once, and the others are served.
func TestRequestLimit_rejects(t *testing.T) {
	release := make(chan struct{})
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		<-release
		return sidecartest.OK(c, r, body)
	})
	c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target)
	c["limits"] = map[string]any{"sockets": config.MinSockets, "memory_mb": 64}
	c.ReplaceSetting(`"open_cap": 20000`, `"open_cap": 5`)
	s := start(t, c)
	var held []<-chan result
	for range 5 {
		held = append(held, s.goDo(s.request("reserve", time.Second)))
	}
	sidecartest.Until(t, "five requests at the server", func() bool { return b.Requests.Load() == 5 })
	for range 3 {
		if got := s.do(s.request("charge", time.Second)); got.status != inflight.StatusRejected || got.took > 500*time.Millisecond {
			t.Errorf("%+v, want a rejection at once", got)
		}
	}
	close(release)
	for _, h := range held {
		if got := sidecartest.Receive(t, "a response", h); got.status != 200 {
			t.Errorf("response %+v, want 200", got)
		}
	}
}

// Above the keep-alive limit connections are closed after their response, so that idle connections do not shut out new
// ones.
func TestKeepAliveLimit(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target)
	c["limits"] = map[string]any{"sockets": config.MinSockets}
	s := start(t, c)
	for i := range 2 * config.MinSockets {
		conn := s.dial(t)
		defer conn.Close()
		req := s.request("charge", time.Second)
		if err := req.Write(conn); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Fatalf("connection %d: %s", i, resp.Status)
		}
	}
}

// The connection of a client that does not read its responses is closed, and its requests no longer count as open.
func TestWriteTimeout(t *testing.T) {
	body := strings.Repeat("x", inflight.MaxBody)
	b := sidecartest.NewBackend(t, "a", sidecartest.Respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true))
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target), func(s *Sidecar) {
		s.clients.Configure(func(o *clientserver.Options) { o.WriteTimeout = 100 * time.Millisecond })
	})
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4096)
	conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	for range 1000 { // more responses than the socket buffers hold
		if err := s.request("lookup", time.Second).Write(conn); err != nil {
			break
		}
	}
	sidecartest.Until(t, "the connection to close", func() bool {
		return s.clients.OpenConns() == 0 && s.clients.OpenRequests() == 0
	})
}

// After SIGTERM open requests are served, new connections are accepted for a while, and each connection is closed after a
// response. Afterwards the address can be bound again.
func TestDrain(t *testing.T) {
	release, got := make(chan struct{}), make(chan struct{}, 1)
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		if r.URL.RawQuery == "slow" {
			got <- struct{}{}
			<-release
		}
		return sidecartest.OK(c, r, body)
	})
	conf := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target)
	s := start(t, conf)
	s.drainAccept = time.Second
	s.do(s.request("charge", time.Second)) // leaves an idle connection behind
	slow := s.request("lookup", 2500*time.Millisecond)
	slow.URL.RawQuery = "slow"
	held := s.goDo(slow)
	sidecartest.Receive(t, "the slow request", got)

	s.term()
	sidecartest.Until(t, "the drain to start", s.clients.Draining)
	late := s.request("charge", time.Second)
	if r := s.do(late); r.status != 200 {
		t.Errorf("on an idle connection while draining: %+v", r)
	}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: false}}
	resp, err := fresh.Do(s.request("charge", time.Second))
	if err != nil {
		t.Fatal("on a new connection while draining:", err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 || !resp.Close {
		t.Errorf("on a new connection while draining: %s, closed %v", resp.Status, resp.Close)
	}
	time.AfterFunc(1200*time.Millisecond, func() { close(release) }) // later than the last connection is accepted
	if r := sidecartest.Receive(t, "the slow response", held); r.status != 200 {
		t.Errorf("%+v", r)
	}
	if err := sidecartest.Receive(t, "the sidecar to end", s.ended); err != nil {
		t.Error(err)
	}
	s.ended <- nil

	conf["listen"] = s.Addr()
	again := start(t, conf)
	if r := again.do(again.request("charge", time.Second)); r.status != 200 {
		t.Errorf("after a restart: %+v", r)
	}
}

// Clients may send requests for a while after SIGTERM: all of them are served.
func TestDrain_underLoad(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	s.drainAccept = 2 * time.Second
	stop := make(chan struct{})
	served := make(chan int)
	for range 8 {
		go func() {
			n := 0
			for {
				select {
				case <-stop:
					served <- n
					return
				default:
				}
				if got := s.do(s.request("charge", time.Second)); got.status != 200 {
					t.Errorf("response %+v, want 200", got)
				}
				n++
			}
		}()
	}
	sidecartest.Until(t, "some load", func() bool { return b.Requests.Load() > 50 })
	s.term()
	sidecartest.Until(t, "the drain to start", s.clients.Draining)
	before := b.Requests.Load()
	sidecartest.Until(t, "requests during the drain", func() bool { return b.Requests.Load() > before+50 })
	close(stop)
	for range 8 {
		if n := sidecartest.Receive(t, "a client", served); n == 0 {
			t.Error("a client was served nothing")
		}
	}
	if err := sidecartest.Receive(t, "the sidecar to end", s.ended); err != nil {
		t.Error(err)
	}
	s.ended <- nil
}

// A connection that never sends a request does not delay the shutdown beyond the longest deadline.
func TestDrain_unusedConnection(t *testing.T) {
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr()).ReplaceSetting(`"hard_limit_ms": 2500`, `"hard_limit_ms": 1000`))
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sidecartest.Until(t, "the connection", func() bool { return s.clients.OpenConns() == 1 })
	startedAt := time.Now()
	s.term()
	err = sidecartest.Receive(t, "the sidecar to end", s.ended)
	if took := time.Since(startedAt); err != nil || took > 3*time.Second {
		t.Errorf("%v after %v", err, took)
	}
	s.ended <- nil
}

// After concurrent requests, some of whose clients close their connection early, no call and no connection is left.
func TestRequest_releasesAll(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	b2 := sidecartest.NewBackend(t, "b", sidecartest.Respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false))
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target, b2.Target))
	var responses []<-chan result
	for i := range 60 {
		req := s.request([]string{"lookup", "reserve", "charge"}[i%3], time.Second)
		if i%5 == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*100*time.Microsecond)
			defer cancel()
			if resp, err := s.client.Do(req.WithContext(ctx)); err == nil {
				resp.Body.Close()
			}
			continue
		}
		responses = append(responses, s.goDo(req))
	}
	for _, r := range responses {
		if got := sidecartest.Receive(t, "a response", r); got.status != 200 && got.status != inflight.StatusRejected {
			t.Errorf("response %+v, want 200 or %d", got, inflight.StatusRejected)
		}
	}
	sidecartest.Until(t, "all requests to end", func() bool { return s.clients.OpenRequests() == 0 })
	s.term()
	if err := sidecartest.Receive(t, "the sidecar to end", s.ended); err != nil {
		t.Error(err)
	}
	s.ended <- nil
	if n := s.loop.OpenCalls(); n != 0 {
		t.Errorf("%d calls are left in the table", n)
	}
	if open, _ := s.loop.Pool.Counts(); open != 0 {
		t.Errorf("%d connections still count as open", open)
	}
}

// If the address for clients is in use, the error names the key of the address.
func TestAddressInUse(t *testing.T) {
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr()))
	c := configtest.NewConf("127.0.0.1:1")
	c["listen"] = s.Addr()
	cfg, err := c.Load(t)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("error %v, want one that names the key listen", err)
	}
}
