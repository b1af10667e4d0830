package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/sidecartest"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// running is a sidecar under test whose Run has been called.
type running struct {
	*Sidecar
	t      *testing.T
	client *http.Client
	term   context.CancelFunc // has the effect of SIGTERM
	ended  chan error         // result of Run
}

// newFromConf returns the sidecar of a configuration. It does not run yet.
func newFromConf(t *testing.T, c configtest.Conf) *Sidecar {
	t.Helper()
	cfg, err := c.Load(t)
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// start runs a sidecar, to which changes are applied before, until the end of the test. Then no goroutine may be left.
func start(t *testing.T, c configtest.Conf, changes ...func(*Sidecar)) *running {
	t.Helper()
	before := runtime.NumGoroutine()
	s := newFromConf(t, c)
	s.drainAccept = 0
	for _, change := range changes {
		change(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Sidecar: s, t: t, term: cancel, ended: make(chan error, 1)}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: sidecartest.WaitTimeout}
	go func() { r.ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		cancel()
		if err := <-r.ended; err != nil {
			t.Errorf("the sidecar ended with %v", err)
		}
		r.ended <- nil
		awaitGoroutinesEnded(t, before)
	})
	return r
}

// dial connects to the sidecar. The caller closes the connection.
func (r *running) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	return c
}

// writeRequests opens connections and writes one request on each, without waiting until they are accepted.
func (r *running) writeRequests(t *testing.T, connections int) (all []net.Conn) {
	t.Helper()
	for range connections {
		c := r.dial(t)
		t.Cleanup(func() { c.Close() })
		if err := r.request("charge", 5*time.Second).Write(c); err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	return all
}

// awaitGoroutinesEnded waits until there are no more goroutines than before, except for a few of the test's own servers.
func awaitGoroutinesEnded(t *testing.T, before int) {
	t.Helper()
	sidecartest.Until(t, "goroutines to end", func() bool { return runtime.NumGoroutine() <= before+3 })
}

var requestIDs atomic.Int64

// request returns a well-formed request of a class.
func (r *running) request(class string, timeout time.Duration) *http.Request {
	r.t.Helper()
	method, body := http.MethodPost, io.Reader(strings.NewReader("plate 12-34"))
	if class == "lookup" {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequest(method, "http://"+r.Addr()+"/api?q=1", body)
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("X-Request-ID", fmt.Sprintf("%016x", requestIDs.Add(1)))
	req.Header.Set("X-Priority-Class", class)
	req.Header.Set("X-Tenant-Id", "kita")
	req.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if class == "reserve" {
		req.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59")
	}
	return req
}

// result is the response to a request.
type result struct {
	status int
	header http.Header
	body   string
	took   time.Duration
}

// do sends a request and returns its response.
func (r *running) do(req *http.Request) result {
	r.t.Helper()
	startedAt := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		r.t.Error(err)
		return result{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Error(err)
	}
	return result{resp.StatusCode, resp.Header, string(body), time.Since(startedAt)}
}

// goDo sends a request in the background.
func (r *running) goDo(req *http.Request) <-chan result {
	done := make(chan result, 1)
	go func() { done <- r.do(req) }()
	return done
}
