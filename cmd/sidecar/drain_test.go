package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/sidecar/sidecartest"
)

// These tests check the table of docs/on-call.md, which defines what a process does between SIGTERM and its exit.

const (
	deadline     = 400 * time.Millisecond // deadline of all classes in the settings
	killAt       = deadline + 700*time.Millisecond
	finalMargin  = 250 * time.Millisecond // time between the end of service and the earliest SIGKILL
	serviceEndAt = killAt - finalMargin
	stayOpen     = 500 * time.Millisecond
	waitTimeout  = 20 * time.Second // bounds every wait; a passing test does not come close to it

	heldBody     = 1000    // size in bytes of a request body that the sidecar buffers
	streamedBody = 2 << 20 // size in bytes of a request body that the sidecar streams
	longBody     = 200_000 // size in bytes of a response body that the sidecar streams
)

// standInServer is a server that responds at once, in two parts, or never, depending on the query of the request.
type standInServer struct {
	*httptest.Server
	received       chan string   // IDs of requests whose head was read
	sendSecondPart chan struct{} // closed to send the second part of responses

	mu        sync.Mutex
	completed map[string]int // number of requests that were read completely, by ID
}

func newStandInServer(t *testing.T) *standInServer {
	s := &standInServer{received: make(chan string, 100), sendSecondPart: make(chan struct{}), completed: map[string]int{}}
	s.Server = httptest.NewServer(s)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *standInServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-ID")
	s.received <- id
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.completed[id]++
	s.mu.Unlock()
	switch r.URL.RawQuery {
	case "hang":
		<-r.Context().Done()
	case "pieces":
		w.Header().Set("Content-Length", fmt.Sprint(longBody))
		w.Write(make([]byte, longBody/2))
		w.(http.Flusher).Flush()
		select {
		case <-s.sendSecondPart:
			w.Write(make([]byte, longBody/2))
		case <-r.Context().Done():
		}
	case "short":
		w.Write(make([]byte, longBody/4))
	default:
		io.WriteString(w, "done")
	}
}

// awaitRequest waits for the head of a request.
func (s *standInServer) awaitRequest(t *testing.T) {
	t.Helper()
	select {
	case <-s.received:
	case <-time.After(waitTimeout):
		t.Fatal("the server received no request")
	}
}

func (s *standInServer) timesRun(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completed[id]
}

// process is a sidecar that a test terminates.
type process struct {
	t         *testing.T
	cmd       *command
	addr      string
	log       <-chan string // lines of its log
	server    *standInServer
	sigtermAt time.Time
	lag       atomic.Int64 // largest delay of the test's timers since SIGTERM, in ns
}

type conf map[string]any

func settings(objective, deadline time.Duration) conf {
	class := func(name, effect string) conf {
		return conf{"name": name, "effect": effect, "on_time_ms": objective.Milliseconds(), "hard_limit_ms": deadline.Milliseconds()}
	}
	return conf{
		"classes": []conf{class("safe", "read_like"), class("unsafe", "non_idempotent")},
		"zones":   []string{"z"}, "kinds": []string{"m"},
		"limits": conf{"cancel": true, "connect_timeout_ms": 5000, "max_attempts": 6},
	}
}

// launch starts a sidecar whose list contains one server, which is started as well, and waits until the sidecar is
// ready.
func launch(t *testing.T, changes conf) *process {
	t.Helper()
	p, _ := launchWithLine(t, changes)
	return p
}

// launchWithLine is launch that also returns the log line "ready".
func launchWithLine(t *testing.T, changes conf) (p *process, ready string) {
	t.Helper()
	s := newStandInServer(t)
	c := conf{
		"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
		"known": conf{"rev": 1, "all": true, "targets": []conf{{
			"uid": "s", "endpoint": s.Listener.Addr().String(), "az": "z", "model": "m", "state": "Ready", "capacity_hint": 1,
		}}},
		"settings": settings(deadline*3/4, deadline),
	}
	for key, value := range changes {
		c[key] = value
	}
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	cmd := newCommand(t, string(text))
	if path, ok := changes["PROGRAM"].(string); ok {
		cmd.Path = path
	}
	if dir, ok := changes["TMPDIR"].(string); ok {
		cmd.Env = append(cmd.Env, "TMPDIR="+dir)
	}
	p = &process{t: t, cmd: cmd, log: cmd.startLogged(t), server: s}
	ready = p.awaitLine("listen=")
	_, p.addr, _ = strings.Cut(ready, "listen=")
	return p, ready
}

// awaitLine waits for a line of the log that contains a text.
func (p *process) awaitLine(with string) string {
	p.t.Helper()
	var seen []string
	for limit := time.After(waitTimeout); ; {
		select {
		case line, more := <-p.log:
			if strings.Contains(line, with) {
				return line
			}
			if seen = append(seen, line); more {
				continue
			}
		case <-limit:
		}
		p.t.Fatalf("no log line contains %q, got %q", with, seen)
	}
}

func (p *process) sigterm() {
	p.t.Helper()
	p.sigtermAt = time.Now()
	go p.followLag()
	p.cmd.signal(p.t, syscall.SIGTERM)
	p.awaitLine("draining")
}

// followLag measures the delay of timers. Time limits cannot be checked more precisely than this.
func (p *process) followLag() {
	const step = 2 * time.Millisecond
	for last := time.Now(); p.t.Context().Err() == nil; {
		time.Sleep(step)
		now := time.Now()
		p.lag.Store(max(p.lag.Load(), int64(now.Sub(last)-step)))
		last = now
	}
}

// expectNotBefore checks that an event which has just happened was not earlier than d after SIGTERM.
func (p *process) expectNotBefore(d time.Duration, what string) {
	p.t.Helper()
	if after := time.Since(p.sigtermAt); after < d {
		p.t.Errorf("%s after %v, want not before %v", what, after, d)
	}
}

// expectBetween checks that an event which has just happened was between from and to after SIGTERM.
func (p *process) expectBetween(from, to time.Duration, what string) {
	p.t.Helper()
	p.expectNotBefore(from, what)
	if after, lag := time.Since(p.sigtermAt), time.Duration(p.lag.Load()); after > to+lag {
		p.t.Errorf("%s after %v, want at most %v; timers were up to %v late", what, after, to, lag)
	}
}

// awaitRejectedConnections waits until new connections are refused.
func (p *process) awaitRejectedConnections() {
	p.t.Helper()
	for limit := time.Now().Add(waitTimeout); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			return
		}
		c.Close()
	}
	p.t.Fatal("new connections are still accepted")
}

// awaitEnd waits until the process has drained and exited with status 0.
func (p *process) awaitEnd() {
	p.t.Helper()
	p.awaitLine("drained")
	for range p.log {
	}
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("the sidecar exited with %v", err)
	}
}

// client is a connection to the sidecar.
type client struct {
	*net.TCPConn
	t  *testing.T
	in *bufio.Reader
}

func (p *process) dial() *client {
	p.t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(waitTimeout))
	return &client{c.(*net.TCPConn), p.t, bufio.NewReader(c)}
}

var ids atomic.Int64

// request returns the ID and the text of a request. Its timeout is longer than all waits of these tests.
func request(class, query string, body int) (id, text string) {
	method := "GET"
	if class == "unsafe" {
		method = "POST"
	}
	id = fmt.Sprintf("%016x", ids.Add(1))
	return id, fmt.Sprintf("%s /api?%s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Timeout-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", method, query, id, class, body, strings.Repeat("b", body))
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// request sends a request without waiting for the response.
func (c *client) request(class, query string) (id string) {
	c.t.Helper()
	id, text := request(class, query, 0)
	c.send(text)
	return id
}

// expectResponse reads a complete response. If last is set, the response has to close the connection.
func (c *client) expectResponse(status int, last bool) []byte {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Errorf("reading the response: %v, want status %d", err, status)
		return nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status {
		c.t.Errorf("status %d with a body of %d bytes and error %v, want status %d", resp.StatusCode, len(body), err, status)
	}
	if last {
		if !resp.Close {
			c.t.Error("the response has no Connection: close")
		}
		c.expectEnd()
	}
	return body
}

// expectEnd waits until the sidecar closes the connection in an orderly way, and checks that nothing is sent before.
func (c *client) expectEnd() {
	c.t.Helper()
	if remainder, err := io.ReadAll(c.in); err != nil || len(remainder) > 0 {
		c.t.Errorf("read %q and error %v before the end of the connection, want neither", remainder, err)
	}
}

// idleClient returns a connection that is idle after a request.
func (p *process) idleClient() *client {
	p.t.Helper()
	c := p.dial()
	c.request("safe", "")
	c.expectResponse(200, false)
	return c
}

// halves splits the text of a request; the second part has secondSize bytes.
func halves(text string, secondSize int) (first, second string) {
	return text[:len(text)-secondSize], text[len(text)-secondSize:]
}

// connectionStates has a test for each state of a connection at SIGTERM. Each test gets a sidecar process and
// terminates it.
var connectionStates = map[string]func(*process){
	"new": func(p *process) {
		p.sigterm()
		c := p.dial()
		c.request("unsafe", "")
		c.expectResponse(200, true)
		p.awaitEnd()
		if c, err := net.Dial("tcp", p.addr); err == nil {
			c.Close()
			p.t.Error("connections are accepted after the process has exited")
		}
	},
	"new, after the end of service": func(p *process) {
		c := p.dial()
		c.request("unsafe", "hang")
		p.server.awaitRequest(p.t)
		p.sigterm()
		c.expectResponse(502, false)
		p.awaitRejectedConnections()
		p.expectBetween(serviceEndAt, killAt, "new connections were refused")
		c.Close()
		p.awaitEnd()
	},
	"idle": func(p *process) {
		used, unused, silent := p.idleClient(), p.idleClient(), p.dial()
		p.sigterm()
		used.request("unsafe", "")
		used.expectResponse(200, true)
		silent.expectEnd()
		p.expectNotBefore(stayOpen, "a silent connection ended")
		unused.expectEnd()
		p.expectNotBefore(stayOpen, "an idle connection ended")
		unused.Close()
		silent.Close()
		p.awaitEnd()
	},
	"idle, and its client keeps it open": func(p *process) {
		unused := p.idleClient()
		p.sigterm()
		unused.expectEnd()
		p.awaitEnd()
	},
	"head half read": func(p *process) {
		c, never, idle := p.dial(), p.dial(), p.idleClient()
		p.sigterm()
		_, text := request("unsafe", "", 0)
		first, second := halves(text, 20)
		c.send(first)
		never.send(first)
		idle.expectEnd()
		c.send(second)
		c.expectResponse(200, true)
		never.expectResponse(503, true)
		p.expectBetween(serviceEndAt, killAt, "the request with half a head got its response")
		p.awaitEnd()
	},
	"head half read, after the end of service": func(p *process) {
		hung, c, stream := p.dial(), p.dial(), p.dial()
		stream.request("safe", "pieces")
		hung.request("unsafe", "hang")
		p.server.awaitRequest(p.t)
		p.server.awaitRequest(p.t)
		p.sigterm()
		id, text := request("unsafe", "", 0)
		first, second := halves(text, 20)
		c.send(first)
		hung.expectResponse(502, false)
		c.send(second)
		c.expectResponse(503, true)
		if p.server.timesRun(id) != 0 {
			p.t.Error("a request was sent to a server after the end of service")
		}
		close(p.server.sendSecondPart)
		stream.expectResponse(200, false)
		stream.Close()
		p.awaitEnd()
	},
	"body half read, buffered": func(p *process) {
		c, never, idle := p.dial(), p.dial(), p.idleClient()
		_, text := request("unsafe", "", heldBody)
		first, second := halves(text, heldBody/2)
		p.sigterm()
		c.send(first)
		neverID, text := request("unsafe", "", heldBody)
		first, _ = halves(text, heldBody/2)
		never.send(first)
		idle.expectEnd()
		c.send(second)
		c.expectResponse(200, true)
		never.expectResponse(503, true)
		p.expectBetween(serviceEndAt, killAt, "the request with half a body got its response")
		p.awaitEnd()
		if p.server.timesRun(neverID) != 0 {
			p.t.Error("a request with half a body has run")
		}
	},
	"body half read, streamed": func(p *process) {
		c, never, idle := p.dial(), p.dial(), p.idleClient()
		p.server.awaitRequest(p.t)
		_, text := request("unsafe", "", streamedBody)
		first, second := halves(text, streamedBody/4)
		neverID, text := request("unsafe", "", streamedBody)
		neverFirst, _ := halves(text, streamedBody/4)
		p.sigterm()
		c.send(first)
		never.send(neverFirst)
		p.server.awaitRequest(p.t)
		p.server.awaitRequest(p.t)
		idle.expectEnd()
		c.send(second)
		c.expectResponse(200, true)
		never.expectResponse(502, false)
		p.expectBetween(serviceEndAt, killAt, "the request with half a body got its response")
		never.Close()
		p.awaitEnd()
		if p.server.timesRun(neverID) != 0 {
			p.t.Error("a request with half a body has run")
		}
	},
	"in flight at a server": func(p *process) {
		idempotent, nonIdempotent := p.dial(), p.dial()
		idempotent.request("safe", "hang")
		nonIdempotent.request("unsafe", "hang")
		p.server.awaitRequest(p.t)
		p.server.awaitRequest(p.t)
		p.sigterm()
		idempotent.expectResponse(503, false)
		p.expectBetween(serviceEndAt, killAt, "a request was ended")
		nonIdempotent.expectResponse(502, false)
		idempotent.Close()
		nonIdempotent.Close()
		p.awaitEnd()
	},
	"response half written": func(p *process) {
		c := p.dial()
		c.request("safe", "pieces")
		if _, err := c.in.Peek(1); err != nil {
			p.t.Fatal(err)
		}
		p.sigterm()
		time.AfterFunc(time.Until(p.sigtermAt.Add(killAt+stayOpen)), func() { close(p.server.sendSecondPart) })
		if body := c.expectResponse(200, false); len(body) != longBody {
			p.t.Errorf("%d bytes of a response of %d", len(body), longBody)
		}
		c.Close()
		p.awaitEnd()
	},
	"response written and not read": func(p *process) {
		c := p.dial()
		c.SetReadBuffer(4096)
		id := c.request("safe", "short")
		if _, err := c.in.Peek(1); err != nil || p.server.timesRun(id) != 1 {
			p.t.Fatal("no response has started", err)
		}
		p.sigterm()
		p.awaitEnd()
		if body := c.expectResponse(200, false); len(body) != longBody/4 {
			p.t.Errorf("%d bytes of a response of %d", len(body), longBody/4)
		}
		c.expectEnd()
	},
	"kept alive, a request crosses the close": func(p *process) {
		busy, c := p.dial(), p.idleClient()
		busy.request("unsafe", "hang") // while it is in flight, new connections are accepted until the end of service
		p.sigterm()
		c.expectEnd()
		id, text := request("unsafe", "", 0)
		c.send(text) // as from a client that has not seen the close yet
		again := p.dial()
		again.send(text)
		again.expectResponse(200, true)
		busy.expectResponse(502, false)
		busy.Close()
		p.awaitEnd()
		if n := p.server.timesRun(id); n != 1 {
			p.t.Errorf("the request has run %d times", n)
		}
	},
	"kept alive, a request crosses the last close": func(p *process) {
		c := p.idleClient()
		p.sigterm()
		c.expectEnd()
		id, text := request("unsafe", "", 0)
		c.send(text)
		again := p.dial()
		again.send(text)
		again.expectResponse(200, true)
		p.awaitEnd()
		if n := p.server.timesRun(id); n != 1 {
			p.t.Errorf("the request has run %d times", n)
		}
	},
}

func TestShutdown_connectionStates(t *testing.T) {
	t.Parallel()
	for name, row := range connectionStates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			row(launch(t, nil))
		})
	}
}

// With short deadlines there is little time between SIGTERM and SIGKILL. A request that crosses the close of an idle
// connection still gets a response on a new connection, and a request in flight is ended before SIGKILL.
func TestShutdown_shortDeadlines(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
		for _, row := range []string{
			"kept alive, a request crosses the last close", "kept alive, a request crosses the close",
		} {
			t.Run(fmt.Sprint(deadline, ", ", row), func(t *testing.T) {
				t.Parallel()
				connectionStates[row](launch(t, conf{"settings": settings(deadline, deadline)}))
			})
		}
		t.Run(fmt.Sprint(deadline, ", in flight at a server"), func(t *testing.T) {
			t.Parallel()
			p := launch(t, conf{"settings": settings(deadline, deadline)})
			c := p.dial()
			c.request("unsafe", "hang")
			p.server.awaitRequest(t)
			p.sigterm()
			c.expectResponse(502, false)
			kill := deadline + 700*time.Millisecond
			p.expectBetween(kill-finalMargin, kill, "a request was ended")
			c.Close()
			p.awaitEnd()
		})
	}
}

// A request that waits in the balancer, because no server can be used, is rejected at the same time as a request in
// flight. Deadlines over 3 s count as 3 s.
func TestShutdown_requestWithoutServer(t *testing.T) {
	t.Parallel()
	p := launch(t, conf{"settings": settings(waitTimeout, waitTimeout), "known": conf{"rev": 1, "all": true, "targets": []conf{{
		"uid": "s", "endpoint": sidecartest.BindAddr(t, 0), "az": "z", "model": "m", "state": "Ready", "capacity_hint": 1,
	}}}})
	idempotent, nonIdempotent := p.dial(), p.dial()
	idempotent.request("safe", "")
	nonIdempotent.request("unsafe", "")
	p.sigterm()
	idempotent.expectResponse(503, false)
	p.expectBetween(3700*time.Millisecond-finalMargin, 3700*time.Millisecond, "a request was ended")
	nonIdempotent.expectResponse(503, false) // it was never sent
	idempotent.Close()
	nonIdempotent.Close()
	p.awaitEnd()
}

// shortDir returns a temporary directory whose path is short enough for a Unix socket in it.
func shortDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// upgradable starts a process whose address a successor can share; next starts the successor. From then on either
// process may accept a connection, so connections to the predecessor have to be opened before.
func upgradable(t *testing.T) (predecessor *process, next func() *process) {
	t.Helper()
	dir := shortDir(t)
	c := conf{
		"listen": sidecartest.BindAddr(t, unix.SO_REUSEPORT), "management": "127.0.0.1:0", "TMPDIR": dir,
	}
	predecessor = launch(t, c)
	predecessor.awaitHandoverSocket(dir)
	return predecessor, func() *process {
		successor := launch(t, c)
		predecessor.awaitLine("the successor started serving")
		return successor
	}
}

// awaitHandoverSocket waits until a successor can find the handover socket of this process.
func (p *process) awaitHandoverSocket(dir string) {
	p.t.Helper()
	for limit := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		if found, _ := filepath.Glob(filepath.Join(dir, "serving-*")); len(found) == 1 && !strings.Contains(filepath.Base(found[0]), ".") {
			return
		}
		if time.Now().After(limit) {
			p.t.Fatal("the handover socket was not created")
		}
	}
}

func TestUpgrade_connectionStates(t *testing.T) {
	t.Parallel()
	for name, row := range map[string]func(predecessor *process, next func() *process){
		"new": func(predecessor *process, next func() *process) {
			successor := next()
			predecessor.sigterm()
			predecessor.awaitEnd() // it has no open connections
			successor.awaitResponse()
		},
		"idle, a request crosses the close": func(predecessor *process, next func() *process) {
			used, c := predecessor.idleClient(), predecessor.idleClient()
			successor := next()
			predecessor.sigterm()
			used.request("unsafe", "")
			used.expectResponse(200, true)
			c.expectEnd()
			predecessor.expectNotBefore(stayOpen, "an idle connection ended")
			id, text := request("unsafe", "", 0)
			c.send(text)
			again := successor.dial()
			again.send(text)
			again.expectResponse(200, false)
			predecessor.awaitEnd()
			if o, n := predecessor.server.timesRun(id), successor.server.timesRun(id); o != 0 || n != 1 {
				predecessor.t.Errorf("the request has run %d times by the predecessor and %d times by the successor", o, n)
			}
		},
		"in flight at a server, and response half written": func(predecessor *process, next func() *process) {
			hung, stream := predecessor.dial(), predecessor.dial()
			hung.request("unsafe", "hang")
			stream.request("safe", "pieces")
			predecessor.server.awaitRequest(predecessor.t)
			predecessor.server.awaitRequest(predecessor.t)
			successor := next()
			predecessor.sigterm()
			successor.awaitResponse()
			hung.expectResponse(502, false)
			predecessor.expectBetween(serviceEndAt, killAt, "a request was ended")
			time.AfterFunc(time.Until(predecessor.sigtermAt.Add(killAt+stayOpen)), func() { close(predecessor.server.sendSecondPart) })
			if body := stream.expectResponse(200, false); len(body) != longBody {
				predecessor.t.Errorf("%d bytes of a response of %d", len(body), longBody)
			}
			hung.Close()
			stream.Close()
			predecessor.awaitEnd()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			row(upgradable(t))
		})
	}
}

// awaitResponse sends requests on new connections until this process has handled one. Another process that is about to
// stop accepting may handle some of them.
func (p *process) awaitResponse() {
	p.t.Helper()
	for limit := time.Now().Add(waitTimeout); ; {
		c := p.dial()
		id := c.request("unsafe", "")
		c.expectResponse(200, false)
		c.Close()
		if p.server.timesRun(id) == 1 {
			return
		}
		if time.Now().After(limit) {
			p.t.Fatal("other processes handle all requests")
		}
	}
}
