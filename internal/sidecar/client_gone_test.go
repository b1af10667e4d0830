package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/balance"
)

// never is a time between looks that no test lives to see.
const never = time.Hour

// ends are the ways in which a client leaves.
var ends = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half-close": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// leaver is a client that sends one request and leaves before its answer.
type leaver struct {
	*net.TCPConn
	t    *testing.T
	host *clientConn // its connection in the sidecar
}

// leave sends a request and returns the client once the sidecar works at it.
func (r *running) leaver(t *testing.T, class, proto, lines, body string) *leaver {
	t.Helper()
	before := r.frontend.taken.Load()
	known := map[*clientConn]bool{}
	r.listener.mu.Lock()
	for g := range r.listener.conns {
		known[g] = true
	}
	r.listener.mu.Unlock()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	method := "POST"
	if class == "lookup" {
		method = "GET"
	}
	_, err = fmt.Fprintf(c, "%s /api %s\r\nHost: h\r\nX-Request-ID: %d\r\nX-Priority-Class: %s\r\nX-Tenant-Id: kita\r\n"+
		"X-Timeout-Ms: 3600000\r\n%s\r\n%s", method, proto, requestIDs.Add(1), class, lines, body)
	if err != nil {
		t.Fatal(err)
	}
	until(t, "the request to be taken", func() bool { return r.frontend.taken.Load() > before })
	l := &leaver{TCPConn: c.(*net.TCPConn), t: t}
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	for g := range r.listener.conns {
		if !known[g] {
			l.host = g
		}
	}
	return l
}

// sendAhead sends what may be the beginning of a next request, and returns once the one byte of it is read that
// net/http reads while a request is at work.
func (l *leaver) sendAhead() {
	l.t.Helper()
	heard := l.host.heard.Load()
	if _, err := io.WriteString(l, "\r"); err != nil {
		l.t.Fatal(err)
	}
	until(l.t, "a byte to be read ahead", func() bool { return l.host.heard.Load() > heard })
	if _, err := io.WriteString(l, "\nGET"); err != nil {
		l.t.Fatal(err)
	}
	until(l.t, "more bytes to come", func() bool { _, unread := peek(l.host.Conn); return unread })
}

// leave ends the connection in one of the ways and returns once the system of the sidecar knows.
func (l *leaver) leave(end func(*net.TCPConn)) {
	l.t.Helper()
	end(l.TCPConn)
	until(l.t, "the end to arrive", func() bool {
		state, err := systemStates.state(l.host.Conn)
		return err != nil || state != unix.BPF_TCP_ESTABLISHED
	})
}

// barrier holds whoever passes until it is opened.
type barrier struct {
	waiting atomic.Int64
	open    chan struct{}
	once    sync.Once
}

func newBarrier() *barrier { return &barrier{open: make(chan struct{})} }

func (g *barrier) pass() {
	g.waiting.Add(1)
	<-g.open
}

func (g *barrier) release() { g.once.Do(func() { close(g.open) }) }

// waitFor returns once so many wait at the gate.
func (g *barrier) waitFor(t *testing.T, n int64) {
	t.Helper()
	until(t, "the gate to be reached", func() bool { return g.waiting.Load() >= n })
}

// Settings under which a request waits for a connection, or for a server to ask, longer than any test.
const (
	longDial = `"connect_timeout_ms": 60000`
	longWait = `"on_time_ms": 60000, "hard_limit_ms": 60000`
)

// atDial starts a sidecar with one server, to which connections come up only once the gate is open.
func atDial(t *testing.T, poll time.Duration) (*running, *backend, *barrier) {
	t.Helper()
	b, g := newBackend(t, "a", ok), newBarrier()
	c := newConf(newRegistry(t).addr(), b.target).setting(`"connect_timeout_ms": 100`, longDial)
	s := start(t, c, func(s *Sidecar) {
		s.frontend.clientPoll = poll
		s.loop.pool.dialer.Control = func(string, string, syscall.RawConn) error { g.pass(); return nil }
	})
	t.Cleanup(g.release) // before the sidecar ends
	return s, b, g
}

// nothingSent returns once all requests are over, and fails if a server got one of them.
func (r *running) nothingSent(t *testing.T, servers ...*backend) {
	t.Helper()
	until(t, "the request to be over", func() bool { return r.frontend.taken.Load() == 0 })
	before := int64(0)
	for _, b := range servers {
		before += b.requests.Load()
	}
	if got := r.do(r.request("lookup", patience)); got.status != 200 { // servers have read all by then
		t.Errorf("another client gets %+v", got)
	}
	after := int64(-1)
	for _, b := range servers {
		after += b.requests.Load()
	}
	if after > 0 || before > 0 {
		t.Errorf("servers got %d requests of a client that had gone", max(after, before))
	}
}

// A client that leaves behind bytes that nobody reads is seen by the attempt right before its first byte.
func TestNoFirstByteForAClientThatHasGone(t *testing.T) {
	for name, end := range ends {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+proto, func(t *testing.T) {
				s, b, dialing := atDial(t, never)
				client := s.leaver(t, "lookup", proto, "", "")
				dialing.waitFor(t, 1)
				client.sendAhead()
				client.leave(end)
				dialing.release()
				s.nothingSent(t, b)
			})
		}
	}
}

// A client that leaves behind unread bytes while its request waits ends it long before its time is over: it does not
// count as load, and a connection that was on its way for it is kept for others.
func TestWaitingRequestEndsWithItsClient(t *testing.T) {
	for name, end := range ends {
		t.Run("held, "+name, func(t *testing.T) {
			registry := newRegistry(t)
			s := start(t, newConf(registry.addr()).setting(`"on_time_ms": 750, "hard_limit_ms": 2500`, longWait))
			watch := receive(t, "a call", registry.calls)
			client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
			client.sendAhead()
			client.leave(end)
			until(t, "the request to be over", func() bool { return s.frontend.taken.Load() == 0 })
			b := newBackend(t, "a", ok)
			watch.send(t, list{Rev: 2, All: true, Targets: []target{b.target}})
			s.nothingSent(t, b)
		})
		t.Run("dialing, "+name, func(t *testing.T) {
			s, b, dialing := atDial(t, 0)
			client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
			dialing.waitFor(t, 1)
			client.sendAhead()
			client.leave(end)
			until(t, "the request to be over", func() bool { return s.frontend.taken.Load() == 0 })
			dialing.release()
			until(t, "the connection to be kept", func() bool {
				s.loop.pool.mu.Lock()
				defer s.loop.pool.mu.Unlock()
				return len(s.loop.pool.kept) == 1
			})
			s.nothingSent(t, b)
			if n := b.conns.Load(); n != 1 {
				t.Errorf("%d connections, want the one that was on its way", n)
			}
		})
	}
}

// A request that nobody could be asked for is not sent to a server that is told of after its client has left, however
// soon that is.
func TestHeldRequestIsNotSentForAClientThatHasGone(t *testing.T) {
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			registry := newRegistry(t)
			c := newConf(registry.addr()).setting(`"on_time_ms": 750, "hard_limit_ms": 2500`, longWait)
			s := start(t, c, func(s *Sidecar) { s.frontend.clientPoll = never })
			watch := receive(t, "a call", registry.calls)
			client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
			client.sendAhead()
			client.leave(end)
			b := newBackend(t, "a", ok)
			watch.send(t, list{Rev: 2, All: true, Targets: []target{b.target}})
			s.nothingSent(t, b)
		})
	}
}

// No further attempt begins for a client that left during the one before, however that ended.
func TestNoFurtherAttemptForAClientThatHasGone(t *testing.T) {
	for how, first := range map[string]serveOne{
		"turned away": respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true),
		"failed":      respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true),
		"reset": func(c net.Conn, _ *http.Request, _ string) bool {
			c.(*net.TCPConn).SetLinger(0)
			return false
		},
	} {
		for name, end := range ends {
			t.Run(how+", "+name, func(t *testing.T) {
				answer := newBarrier()
				var asked atomic.Int64
				serve := func(c net.Conn, r *http.Request, body string) bool {
					if asked.Add(1) > 1 {
						return ok(c, r, body)
					}
					answer.pass()
					return first(c, r, body)
				}
				b, other := newBackend(t, "a", serve), newBackend(t, "b", serve)
				s := start(t, newConf(newRegistry(t).addr(), b.target, other.target), func(s *Sidecar) {
					s.frontend.clientPoll = never
				})
				t.Cleanup(answer.release)
				client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
				answer.waitFor(t, 1)
				client.sendAhead()
				client.leave(end)
				answer.release()
				until(t, "the request to be over", func() bool { return s.frontend.taken.Load() == 0 })
				if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
					t.Errorf("another client gets %+v", got)
				}
				if n := asked.Load(); n != 2 { // one attempt for either client
					t.Errorf("%d attempts, want 2", n)
				}
			})
		}
	}
}

// The same holds for a body that is passed on, whole or not when its client leaves.
func TestNoFirstByteOfAnUploadForAClientThatHasGone(t *testing.T) {
	const length = holdMost / 2 // that the system takes in whole
	for _, sent := range []int{length / 2, length} {
		for name, end := range ends {
			t.Run(fmt.Sprintf("%d bytes, %s", sent, name), func(t *testing.T) {
				s, b, dialing := atDial(t, never)
				s.frontend.memory.set(0) // nothing more than the least is held
				client := s.leaver(t, "charge", "HTTP/1.1", fmt.Sprintf("Content-Length: %d\r\n", length), string(pattern(sent)))
				dialing.waitFor(t, 1)
				client.leave(end)
				dialing.release()
				s.nothingSent(t, b)
			})
		}
	}
}

// A client that has half-closed has gone, but may still read: it is told that its request failed, and nothing else.
func TestHalfClosedClientIsToldOfFailure(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		t.Run(fmt.Sprintf("more sent %v", ahead), func(t *testing.T) {
			s, _, dialing := atDial(t, 0)
			client := s.leaver(t, "charge", "HTTP/1.1", "", "")
			dialing.waitFor(t, 1)
			if ahead {
				client.sendAhead()
			}
			client.leave(ends["half-close"])
			in := bufio.NewReader(client)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != statusFailed || !resp.Close {
				t.Fatalf("%+v, %v, want %d and the end", resp, err, statusFailed)
			}
			io.Copy(io.Discard, resp.Body)
			if more, _ := io.ReadAll(in); len(more) > 0 { // its end may be a reset
				t.Errorf("%q after the answer", more)
			}
		})
	}
}

// tcpPair returns both sides of a connection.
func tcpPair(t *testing.T) (client *net.TCPConn, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return c.(*net.TCPConn), server
}

// Where the state of a connection cannot be had, or is that of something else, an end is seen as far as a look at what
// is unread shows it, and a client that is there is never taken for one that has gone.
func TestPeerGone(t *testing.T) {
	type call = func(int) (uint8, error)
	unknown := func(int) (uint8, error) { return 0, syscall.ENOPROTOOPT }
	wrong := func(int) (uint8, error) { return unix.BPF_TCP_CLOSE, nil }
	nothing := func(int) (uint8, error) { return 0, nil }
	for name, test := range map[string]struct {
		call   call
		behind bool // an end behind unread bytes is seen
	}{
		"known":                 {tcpState, true},
		"unknown":               {unknown, false},
		"about something else":  {wrong, false},
		"answered with nothing": {nothing, false},
	} {
		for how, end := range ends {
			for _, unread := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, unread %v", name, how, unread), func(t *testing.T) {
					states := &connStates{tcpState: test.call}
					client, server := tcpPair(t)
					states.learn(server)
					if states.peerGone(server) {
						t.Fatal("a client that is there has gone")
					}
					if unread {
						if _, err := io.WriteString(client, "x"); err != nil {
							t.Fatal(err)
						}
						until(t, "a byte", func() bool { _, unread := peek(server); return unread })
						if states.peerGone(server) {
							t.Fatal("a client that has sent something has gone")
						}
					}
					end(client)
					until(t, "the end to arrive", func() bool {
						state, err := systemStates.state(server)
						return err == nil && state != unix.BPF_TCP_ESTABLISHED
					})
					want := test.behind || !unread
					if got := states.peerGone(server); got != want {
						t.Errorf("gone: %v, want %v", got, want)
					}
				})
			}
		}
	}
	if client, _ := net.Pipe(); systemStates.peerGone(client) {
		t.Error("what is no connection of the system has gone")
	}
}

// Where states cannot be had, requests of clients with pipelined bytes are served as before, and the end of one
// without is still seen right before the first byte.
func TestClientGoneWithoutStates(t *testing.T) {
	blind := func(s *Sidecar) {
		s.frontend.states = &connStates{tcpState: func(int) (uint8, error) { return 0, syscall.ENOPROTOOPT }}
	}
	t.Run("pipelined", func(t *testing.T) {
		b := newBackend(t, "a", ok)
		s := start(t, newConf(newRegistry(t).addr(), b.target), blind)
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, wireRequest("1", "", "")+wireRequest("2", "", ""))
		in := bufio.NewReader(c)
		for range 2 {
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("%+v, %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
		}
	})
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			s, b, dialing := atDial(t, never)
			blind(s.Sidecar)
			client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
			dialing.waitFor(t, 1)
			client.leave(end)
			dialing.release()
			s.nothingSent(t, b)
		})
	}
}

// An attempt that sees that its client has gone and the client's own end cross: the call ends once, whoever is first,
// and no further attempt is made.
func TestAttemptAndHangUpCross(t *testing.T) {
	for name, frontendFirst := range map[string]bool{"the attempt first": false, "the client's end first": true} {
		t.Run(name, func(t *testing.T) {
			b, other := newBackend(t, "a", ok), newBackend(t, "b", ok)
			cfg, err := newConf(newRegistry(t).addr(), b.target, other.target).load(t)
			if err != nil {
				t.Fatal(err)
			}
			s, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			l := s.loop // led by this test, in place of run
			ctx, cancel := context.WithCancel(t.Context())
			t.Cleanup(func() {
				cancel()
				close(l.stopped)
				l.workers.Wait()
				l.pool.closeAll()
				s.listener.Close()
			})
			l.ctx = ctx
			now := l.clock.ms(time.Now())
			l.act(now, l.bal.Start(now))
			l.takeListEvent(now, listEvent{kind: balance.ListCached, list: cfg.known})
			left, looked := newBarrier(), &atomic.Int64{}
			t.Cleanup(left.release)
			r, err := http.NewRequest(http.MethodGet, "http://h/api", nil)
			if err != nil {
				t.Fatal(err)
			}
			for name, value := range map[string]string{
				"X-Request-ID": "1", "X-Priority-Class": "lookup", "X-Tenant-Id": "kita", "X-Timeout-Ms": "3600000",
			} {
				r.Header.Set(name, value)
			}
			c, _, err := s.frontend.parse(nil, r)
			if err != nil {
				t.Fatal(err)
			}
			c.clientGone = func() bool { looked.Add(1); left.pass(); return true }
			l.take(now, arrival{c})
			open := l.calls[c.ev.ID]
			left.waitFor(t, 1) // the attempt has passed all other checks
			if frontendFirst && !c.finish() {
				t.Fatal("the call is over before its end")
			}
			left.release()
			for over := false; !over; {
				ev := receive(t, "the attempt's outcome", l.inbox)
				_, over = ev.(outcome)
				l.take(l.clock.ms(time.Now()), ev)
			}
			if told := len(c.answers) == 1; told == frontendFirst || !c.final.Load() {
				t.Errorf("the loop ends the call: %v, final %v", told, c.final.Load())
			}
			l.take(l.clock.ms(time.Now()), clientGoneEvent{c}) // late, or twice
			if n := len(l.calls); n != 0 {
				t.Errorf("%d calls are left", n)
			}
			if n := looked.Load(); n != 1 || len(open.attempts) != 1 {
				t.Errorf("%d attempts, want 1", len(open.attempts))
			}
			if n := b.requests.Load() + other.requests.Load(); n != 0 {
				t.Errorf("servers got %d requests", n)
			}
		})
	}
}
