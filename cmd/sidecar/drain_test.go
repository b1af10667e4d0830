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

// These tests check the table of docs/on-call.md: what a process does from SIGTERM to its end.

const (
	deadline     = 400 * time.Millisecond // of all classes of the settings
	killAt       = deadline + 700*time.Millisecond
	finalMargin  = 250 * time.Millisecond // from the end of service to the earliest SIGKILL
	serviceEndAt = killAt - finalMargin
	stayOpen     = 500 * time.Millisecond
	waitTimeout  = 20 * time.Second // bounds every wait; none is expected to last

	heldBody     = 1000    // bytes of a body that is held
	streamedBody = 2 << 20 // of a body that is forwarded as it comes
	longBody     = 200_000 // of an answer that is forwarded as it comes
)

// standInServer answers, by the query of the request, at once, in two parts, or never.
type standInServer struct {
	*httptest.Server
	received       chan string   // the IDs of requests whose head was read
	sendSecondPart chan struct{} // closed: second parts are sent

	mu        sync.Mutex
	completed map[string]int // requests that were read completely, by ID
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
		t.Fatal("no request came")
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
	lag       atomic.Int64 // by how many ns a timer of the test was late at most since SIGTERM
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

// launch starts a sidecar that knows one server of its own, and waits until it is ready.
func launch(t *testing.T, changes conf) *process {
	t.Helper()
	p, _ := launchWithLine(t, changes)
	return p
}

// launchWithLine also gives the log line that says that it is ready.
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
	if dir, ok := changes["TMPDIR"].(string); ok {
		cmd.Env = append(cmd.Env, "TMPDIR="+dir)
	}
	p = &process{t: t, cmd: cmd, log: cmd.startLogged(t), server: s}
	ready = p.awaitLine("listen=")
	_, p.addr, _ = strings.Cut(ready, "listen=")
	return p, ready
}

// awaitLine waits for a line of the log.
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
		p.t.Fatalf("no line with %q, but %q", with, seen)
	}
}

func (p *process) sigterm() {
	p.t.Helper()
	p.sigtermAt = time.Now()
	go p.followLag()
	p.cmd.signal(p.t, syscall.SIGTERM)
	p.awaitLine("draining")
}

// followLag measures how late timers are: no time limit can be checked closer.
func (p *process) followLag() {
	const step = 2 * time.Millisecond
	for last := time.Now(); p.t.Context().Err() == nil; {
		time.Sleep(step)
		now := time.Now()
		p.lag.Store(max(p.lag.Load(), int64(now.Sub(last)-step)))
		last = now
	}
}

// expectNotBefore checks that what has just happened was not too early after SIGTERM.
func (p *process) expectNotBefore(d time.Duration, what string) {
	p.t.Helper()
	if after := time.Since(p.sigtermAt); after < d {
		p.t.Errorf("%s after %v, want not before %v", what, after, d)
	}
}

// expectBetween checks that what has just happened was in time after SIGTERM.
func (p *process) expectBetween(from, to time.Duration, what string) {
	p.t.Helper()
	p.expectNotBefore(from, what)
	if after, lag := time.Since(p.sigtermAt), time.Duration(p.lag.Load()); after > to+lag {
		p.t.Errorf("%s after %v, want at most %v, with timers at most %v late", what, after, to, lag)
	}
}

// awaitRejectedConnections waits until new connections are rejected.
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

// awaitEnd waits for the process's end.
func (p *process) awaitEnd() {
	p.t.Helper()
	p.awaitLine("drained")
	for range p.log {
	}
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("ended with %v", err)
	}
}

// client is one connection of a client.
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

// request is the text of a request. Its timeout is longer than all waits of these tests.
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

// request sends a request without waiting for its answer.
func (c *client) request(class, query string) (id string) {
	c.t.Helper()
	id, text := request(class, query, 0)
	c.send(text)
	return id
}

// expectResponse reads a complete answer; last: it has to end the connection.
func (c *client) expectResponse(status int, last bool) []byte {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Errorf("no answer but %v, want %d", err, status)
		return nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status {
		c.t.Errorf("%d with %d bytes, %v, want %d", resp.StatusCode, len(body), err, status)
	}
	if last {
		if !resp.Close {
			c.t.Error("the answer does not say that it ends the connection")
		}
		c.expectEnd()
	}
	return body
}

// expectEnd waits for the orderly end of the connection, with nothing before it.
func (c *client) expectEnd() {
	c.t.Helper()
	if remainder, err := io.ReadAll(c.in); err != nil || len(remainder) > 0 {
		c.t.Errorf("not just the connection's end but %q, %v", remainder, err)
	}
}

// idleClient is a connection that has had a request.
func (p *process) idleClient() *client {
	p.t.Helper()
	c := p.dial()
	c.request("safe", "")
	c.expectResponse(200, false)
	return c
}

// halves are a request's two parts, cut in its head or so many bytes before its end.
func halves(text string, left int) (first, second string) {
	return text[:len(text)-left], text[len(text)-left:]
}

// connectionStates tests the states of a connection; each has a process of its own and terminates it.
var connectionStates = map[string]func(*process){
	"new": func(p *process) {
		p.sigterm()
		c := p.dial()
		c.request("unsafe", "")
		c.expectResponse(200, true)
		p.awaitEnd()
		if c, err := net.Dial("tcp", p.addr); err == nil {
			c.Close()
			p.t.Error("connections are accepted after the end")
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
		used, left, silent := p.idleClient(), p.idleClient(), p.dial()
		p.sigterm()
		used.request("unsafe", "")
		used.expectResponse(200, true)
		silent.expectEnd()
		p.expectNotBefore(stayOpen, "a silent connection ended")
		left.expectEnd()
		p.expectNotBefore(stayOpen, "an idle connection ended")
		left.Close()
		silent.Close()
		p.awaitEnd()
	},
	"idle, and its client does not go": func(p *process) {
		left := p.idleClient()
		p.sigterm()
		left.expectEnd()
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
		p.expectBetween(serviceEndAt, killAt, "half a head was answered")
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
	"body half read, held": func(p *process) {
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
		p.expectBetween(serviceEndAt, killAt, "half a body was answered")
		p.awaitEnd()
		if p.server.timesRun(neverID) != 0 {
			p.t.Error("half a request has run")
		}
	},
	"body half read, forwarded": func(p *process) {
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
		p.expectBetween(serviceEndAt, killAt, "half a body was answered")
		never.Close()
		p.awaitEnd()
		if p.server.timesRun(neverID) != 0 {
			p.t.Error("half a request has run")
		}
	},
	"out at a server": func(p *process) {
		idempotent, nonIdempotent := p.dial(), p.dial()
		idempotent.request("safe", "hang")
		nonIdempotent.request("unsafe", "hang")
		p.server.awaitRequest(p.t)
		p.server.awaitRequest(p.t)
		p.sigterm()
		idempotent.expectResponse(503, false)
		p.expectBetween(serviceEndAt, killAt, "a request was given up")
		nonIdempotent.expectResponse(502, false)
		idempotent.Close()
		nonIdempotent.Close()
		p.awaitEnd()
	},
	"answer half written": func(p *process) {
		c := p.dial()
		c.request("safe", "pieces")
		if _, err := c.in.Peek(1); err != nil {
			p.t.Fatal(err)
		}
		p.sigterm()
		time.AfterFunc(time.Until(p.sigtermAt.Add(killAt+stayOpen)), func() { close(p.server.sendSecondPart) })
		if body := c.expectResponse(200, false); len(body) != longBody {
			p.t.Errorf("%d bytes of an answer of %d", len(body), longBody)
		}
		c.Close()
		p.awaitEnd()
	},
	"answer written and not read": func(p *process) {
		c := p.dial()
		c.SetReadBuffer(4096)
		id := c.request("safe", "short")
		if _, err := c.in.Peek(1); err != nil || p.server.timesRun(id) != 1 {
			p.t.Fatal("no answer begins", err)
		}
		p.sigterm()
		p.awaitEnd()
		if body := c.expectResponse(200, false); len(body) != longBody/4 {
			p.t.Errorf("%d bytes of an answer of %d", len(body), longBody/4)
		}
		c.expectEnd()
	},
	"kept alive, a request crosses the close": func(p *process) {
		busy, c := p.dial(), p.idleClient()
		busy.request("unsafe", "hang") // its answer will leave an idle connection: so new ones are taken to the end
		p.sigterm()
		c.expectEnd()
		id, text := request("unsafe", "", 0)
		c.send(text) // to the process this is as if it had not seen the end yet
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

// Where deadlines are short there is little time between SIGTERM and SIGKILL: what crosses the end of an idle
// connection is still answered on a new one, and what is out is given up in time.
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
		t.Run(fmt.Sprint(deadline, ", out at a server"), func(t *testing.T) {
			t.Parallel()
			p := launch(t, conf{"settings": settings(deadline, deadline)})
			c := p.dial()
			c.request("unsafe", "hang")
			p.server.awaitRequest(t)
			p.sigterm()
			c.expectResponse(502, false)
			kill := deadline + 700*time.Millisecond
			p.expectBetween(kill-finalMargin, kill, "a request was given up")
			c.Close()
			p.awaitEnd()
		})
	}
}

// A request that the balancer holds, as no server can be used, is rejected like one that is in flight. Of a deadline 3 s
// count at most.
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
	p.expectBetween(3700*time.Millisecond-finalMargin, 3700*time.Millisecond, "a request was given up")
	nonIdempotent.expectResponse(503, false) // it was never sent
	idempotent.Close()
	nonIdempotent.Close()
	p.awaitEnd()
}

// shortDir is a directory whose path is short enough for that of a Unix socket.
func shortDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// upgradable starts a process for an address that a newer one, which next starts, can share. Once there is one, either
// may accept: connections to the older one are made before.
func upgradable(t *testing.T) (older *process, next func() *process) {
	t.Helper()
	dir := shortDir(t)
	c := conf{
		"listen": sidecartest.BindAddr(t, unix.SO_REUSEPORT), "management": "127.0.0.1:0", "TMPDIR": dir,
	}
	older = launch(t, c)
	older.awaitHandoverSocket(dir)
	return older, func() *process {
		newer := launch(t, c)
		older.awaitLine("the successor serves")
		return newer
	}
}

// awaitHandoverSocket waits until a newer process can find this one.
func (p *process) awaitHandoverSocket(dir string) {
	p.t.Helper()
	for limit := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		if found, _ := filepath.Glob(filepath.Join(dir, "serving-*")); len(found) == 1 && !strings.Contains(filepath.Base(found[0]), ".") {
			return
		}
		if time.Now().After(limit) {
			p.t.Fatal("its socket does not appear")
		}
	}
}

func TestUpgrade_connectionStates(t *testing.T) {
	t.Parallel()
	for name, row := range map[string]func(older *process, next func() *process){
		"new": func(older *process, next func() *process) {
			newer := next()
			older.sigterm()
			older.awaitEnd() // nothing is open
			newer.awaitResponse()
		},
		"idle, a request crosses the close": func(older *process, next func() *process) {
			used, c := older.idleClient(), older.idleClient()
			newer := next()
			older.sigterm()
			used.request("unsafe", "")
			used.expectResponse(200, true)
			c.expectEnd()
			older.expectNotBefore(stayOpen, "an idle connection ended")
			id, text := request("unsafe", "", 0)
			c.send(text)
			again := newer.dial()
			again.send(text)
			again.expectResponse(200, false)
			older.awaitEnd()
			if o, n := older.server.timesRun(id), newer.server.timesRun(id); o != 0 || n != 1 {
				older.t.Errorf("the request has run %d times by the older process and %d by the newer one", o, n)
			}
		},
		"out at a server, and answer half written": func(older *process, next func() *process) {
			hung, stream := older.dial(), older.dial()
			hung.request("unsafe", "hang")
			stream.request("safe", "pieces")
			older.server.awaitRequest(older.t)
			older.server.awaitRequest(older.t)
			newer := next()
			older.sigterm()
			newer.awaitResponse()
			hung.expectResponse(502, false)
			older.expectBetween(serviceEndAt, killAt, "a request was given up")
			time.AfterFunc(time.Until(older.sigtermAt.Add(killAt+stayOpen)), func() { close(older.server.sendSecondPart) })
			if body := stream.expectResponse(200, false); len(body) != longBody {
				older.t.Errorf("%d bytes of an answer of %d", len(body), longBody)
			}
			hung.Close()
			stream.Close()
			older.awaitEnd()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			row(upgradable(t))
		})
	}
}

// awaitResponse sends requests on new connections until this process has answered one. Another process that is about to stop
// accepting may answer some.
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
			p.t.Fatal("other processes answer all requests")
		}
	}
}
