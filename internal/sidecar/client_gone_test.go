package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/balance"
	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/eventloop"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// never is a time between looks that no test lives to see.
const never = time.Hour

// leaver is a client that sends one request and leaves before its answer.
type leaver struct {
	*net.TCPConn
	t    *testing.T
	host *clientserver.ClientConn // its connection in the sidecar
}

// leave sends a request and returns the client once the sidecar works at it.
func (r *running) leaver(t *testing.T, class, proto, lines, body string) *leaver {
	t.Helper()
	before := r.clients.Requests.Load()
	known := map[*clientserver.ClientConn]bool{}
	r.listener.Mu.Lock()
	for g := range r.listener.Conns {
		known[g] = true
	}
	r.listener.Mu.Unlock()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(sidecartest.Patience))
	method := "POST"
	if class == "lookup" {
		method = "GET"
	}
	_, err = fmt.Fprintf(c, "%s /api %s\r\nHost: h\r\nX-Request-ID: %d\r\nX-Priority-Class: %s\r\nX-Tenant-Id: kita\r\n"+
		"X-Timeout-Ms: 3600000\r\n%s\r\n%s", method, proto, requestIDs.Add(1), class, lines, body)
	if err != nil {
		t.Fatal(err)
	}
	sidecartest.Until(t, "the request to be taken", func() bool { return r.clients.Requests.Load() > before })
	l := &leaver{TCPConn: c.(*net.TCPConn), t: t}
	r.listener.Mu.Lock()
	defer r.listener.Mu.Unlock()
	for g := range r.listener.Conns {
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
	heard := l.host.LastRead.Load()
	if _, err := io.WriteString(l, "\r"); err != nil {
		l.t.Fatal(err)
	}
	sidecartest.Until(l.t, "a byte to be read ahead", func() bool { return l.host.LastRead.Load() > heard })
	if _, err := io.WriteString(l, "\nGET"); err != nil {
		l.t.Fatal(err)
	}
	sidecartest.Until(l.t, "more bytes to come", func() bool { _, unread := netcall.Peek(l.host.Conn); return unread })
}

// leave ends the connection in one of the ways and returns once the system of the sidecar knows.
func (l *leaver) leave(end func(*net.TCPConn)) {
	l.t.Helper()
	end(l.TCPConn)
	sidecartest.Until(l.t, "the end to arrive", func() bool {
		state, err := netcall.SystemConnStates.State(l.host.Conn)
		return err != nil || state != unix.BPF_TCP_ESTABLISHED
	})
}

// Settings under which a request waits for a connection, or for a server to ask, longer than any test.
const (
	longDial = `"connect_timeout_ms": 60000`
	longWait = `"on_time_ms": 60000, "hard_limit_ms": 60000`
)

// atDial starts a sidecar with one server, to which connections come up only once the gate is open.
func atDial(t *testing.T, poll time.Duration) (*running, *sidecartest.Backend, *sidecartest.Barrier) {
	t.Helper()
	b, g := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBarrier()
	c := configtest.NewConf(sidecartest.NewRegistry(t).Addr(), b.Target).Setting(`"connect_timeout_ms": 100`, longDial)
	s := start(t, c, func(s *Sidecar) {
		s.clients.ClientPoll = poll
		s.loop.Pool.SetDialControl(func(string, string, syscall.RawConn) error { g.Pass(); return nil })
	})
	t.Cleanup(g.Release) // before the sidecar ends
	return s, b, g
}

// nothingSent returns once all requests are over, and fails if a server got one of them.
func (r *running) nothingSent(t *testing.T, servers ...*sidecartest.Backend) {
	t.Helper()
	sidecartest.Until(t, "the request to be over", func() bool { return r.clients.Requests.Load() == 0 })
	before := int64(0)
	for _, b := range servers {
		before += b.Requests.Load()
	}
	if got := r.do(r.request("lookup", sidecartest.Patience)); got.status != 200 { // servers have read all by then
		t.Errorf("another client gets %+v", got)
	}
	after := int64(-1)
	for _, b := range servers {
		after += b.Requests.Load()
	}
	if after > 0 || before > 0 {
		t.Errorf("servers got %d requests of a client that had gone", max(after, before))
	}
}

// A client that leaves behind bytes that nobody reads is seen by the attempt right before its first byte.
func TestNoFirstByteForAClientThatHasGone(t *testing.T) {
	for name, end := range sidecartest.Ends {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+proto, func(t *testing.T) {
				s, b, dialing := atDial(t, never)
				client := s.leaver(t, "lookup", proto, "", "")
				dialing.WaitFor(t, 1)
				client.sendAhead()
				client.leave(end)
				dialing.Release()
				s.nothingSent(t, b)
			})
		}
	}
}

// A client that leaves behind unread bytes while its request waits ends it long before its time is over: it does not
// count as load, and a connection that was on its way for it is kept for others.
func TestWaitingRequestEndsWithItsClient(t *testing.T) {
	for name, end := range sidecartest.Ends {
		t.Run("held, "+name, func(t *testing.T) {
			registry := sidecartest.NewRegistry(t)
			s := start(t, configtest.NewConf(registry.Addr()).Setting(`"on_time_ms": 750, "hard_limit_ms": 2500`, longWait))
			watch := sidecartest.Receive(t, "a call", registry.Calls)
			client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
			client.sendAhead()
			client.leave(end)
			sidecartest.Until(t, "the request to be over", func() bool { return s.clients.Requests.Load() == 0 })
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			watch.Send(t, endpointlist.List{Rev: 2, All: true, Targets: []endpointlist.Target{b.Target}})
			s.nothingSent(t, b)
		})
		t.Run("dialing, "+name, func(t *testing.T) {
			s, b, dialing := atDial(t, 0)
			client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
			dialing.WaitFor(t, 1)
			client.sendAhead()
			client.leave(end)
			sidecartest.Until(t, "the request to be over", func() bool { return s.clients.Requests.Load() == 0 })
			dialing.Release()
			sidecartest.Until(t, "the connection to be kept", func() bool {
				_, idle := s.loop.Pool.Counts()
				return idle == 1
			})
			s.nothingSent(t, b)
			if n := b.Conns.Load(); n != 1 {
				t.Errorf("%d connections, want the one that was on its way", n)
			}
		})
	}
}

// A request that nobody could be asked for is not sent to a server that is told of after its client has left, however
// soon that is.
func TestHeldRequestIsNotSentForAClientThatHasGone(t *testing.T) {
	for name, end := range sidecartest.Ends {
		t.Run(name, func(t *testing.T) {
			registry := sidecartest.NewRegistry(t)
			c := configtest.NewConf(registry.Addr()).Setting(`"on_time_ms": 750, "hard_limit_ms": 2500`, longWait)
			s := start(t, c, func(s *Sidecar) { s.clients.ClientPoll = never })
			watch := sidecartest.Receive(t, "a call", registry.Calls)
			client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
			client.sendAhead()
			client.leave(end)
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			watch.Send(t, endpointlist.List{Rev: 2, All: true, Targets: []endpointlist.Target{b.Target}})
			s.nothingSent(t, b)
		})
	}
}

// No further attempt begins for a client that left during the one before, however that ended.
func TestNoFurtherAttemptForAClientThatHasGone(t *testing.T) {
	for how, first := range map[string]sidecartest.ServeOne{
		"turned away": sidecartest.Respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true),
		"failed":      sidecartest.Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true),
		"reset": func(c net.Conn, _ *http.Request, _ string) bool {
			c.(*net.TCPConn).SetLinger(0)
			return false
		},
	} {
		for name, end := range sidecartest.Ends {
			t.Run(how+", "+name, func(t *testing.T) {
				answer := sidecartest.NewBarrier()
				var asked atomic.Int64
				serve := func(c net.Conn, r *http.Request, body string) bool {
					if asked.Add(1) > 1 {
						return sidecartest.OK(c, r, body)
					}
					answer.Pass()
					return first(c, r, body)
				}
				b, other := sidecartest.NewBackend(t, "a", serve), sidecartest.NewBackend(t, "b", serve)
				s := start(t, configtest.NewConf(sidecartest.NewRegistry(t).Addr(), b.Target, other.Target), func(s *Sidecar) {
					s.clients.ClientPoll = never
				})
				t.Cleanup(answer.Release)
				client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
				answer.WaitFor(t, 1)
				client.sendAhead()
				client.leave(end)
				answer.Release()
				sidecartest.Until(t, "the request to be over", func() bool { return s.clients.Requests.Load() == 0 })
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
	const length = inflight.MaxHeldBody / 2 // that the system takes in whole
	for _, sent := range []int{length / 2, length} {
		for name, end := range sidecartest.Ends {
			t.Run(fmt.Sprintf("%d bytes, %s", sent, name), func(t *testing.T) {
				s, b, dialing := atDial(t, never)
				s.clients.Memory.SetLimit(0) // nothing more than the least is held
				client := s.leaver(t, "charge", "HTTP/1.1", fmt.Sprintf("Content-Length: %d\r\n", length), string(sidecartest.Pattern(sent)))
				dialing.WaitFor(t, 1)
				client.leave(end)
				dialing.Release()
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
			dialing.WaitFor(t, 1)
			if ahead {
				client.sendAhead()
			}
			client.leave(sidecartest.Ends["half-close"])
			in := bufio.NewReader(client)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != inflight.StatusFailed || !resp.Close {
				t.Fatalf("%+v, %v, want %d and the end", resp, err, inflight.StatusFailed)
			}
			io.Copy(io.Discard, resp.Body)
			if more, _ := io.ReadAll(in); len(more) > 0 { // its end may be a reset
				t.Errorf("%q after the answer", more)
			}
		})
	}
}

// Where states cannot be had, requests of clients with pipelined bytes are served as before, and the end of one
// without is still seen right before the first byte.
func TestClientGoneWithoutStates(t *testing.T) {
	blind := func(s *Sidecar) {
		s.clients.States = &netcall.ConnStates{Query: func(int) (uint8, error) { return 0, syscall.ENOPROTOOPT }}
	}
	t.Run("pipelined", func(t *testing.T) {
		b := sidecartest.NewBackend(t, "a", sidecartest.OK)
		s := start(t, configtest.NewConf(sidecartest.NewRegistry(t).Addr(), b.Target), blind)
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(sidecartest.Patience))
		io.WriteString(c, sidecartest.WireRequest("1", "", "")+sidecartest.WireRequest("2", "", ""))
		in := bufio.NewReader(c)
		for range 2 {
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("%+v, %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
		}
	})
	for name, end := range sidecartest.Ends {
		t.Run(name, func(t *testing.T) {
			s, b, dialing := atDial(t, never)
			blind(s.Sidecar)
			client := s.leaver(t, "lookup", "HTTP/1.1", "", "")
			dialing.WaitFor(t, 1)
			client.leave(end)
			dialing.Release()
			s.nothingSent(t, b)
		})
	}
}

// An attempt that sees that its client has gone and the client's own end cross: the call ends once, whoever is first,
// and no further attempt is made.
func TestAttemptAndHangUpCross(t *testing.T) {
	for name, frontendFirst := range map[string]bool{"the attempt first": false, "the client's end first": true} {
		t.Run(name, func(t *testing.T) {
			b, other := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBackend(t, "b", sidecartest.OK)
			cfg, err := configtest.NewConf(sidecartest.NewRegistry(t).Addr(), b.Target, other.Target).Load(t)
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
				close(l.Stopped)
				l.Workers.Wait()
				l.Pool.Close()
				s.listener.Close()
			})
			l.Ctx = ctx
			now := l.Clock.Millis(time.Now())
			l.Act(now, l.Balancer.Start(now))
			l.TakeListEvent(now, discovery.ListEvent{Kind: balance.ListCached, List: cfg.Known})
			left, looked := sidecartest.NewBarrier(), &atomic.Int64{}
			t.Cleanup(left.Release)
			r, err := http.NewRequest(http.MethodGet, "http://h/api", nil)
			if err != nil {
				t.Fatal(err)
			}
			for name, value := range map[string]string{
				"X-Request-ID": "1", "X-Priority-Class": "lookup", "X-Tenant-Id": "kita", "X-Timeout-Ms": "3600000",
			} {
				r.Header.Set(name, value)
			}
			c, _, err := s.clients.Parse(nil, r)
			if err != nil {
				t.Fatal(err)
			}
			c.ClientGone = func() bool { looked.Add(1); left.Pass(); return true }
			l.Take(now, clientserver.Arrival{Call: c})
			open := l.Calls[c.Request.ID]
			left.WaitFor(t, 1) // the attempt has passed all other checks
			if frontendFirst && !c.Finish() {
				t.Fatal("the call is over before its end")
			}
			left.Release()
			for over := false; !over; {
				ev := sidecartest.Receive(t, "the attempt's outcome", l.Inbox)
				_, over = ev.(eventloop.AttemptDone)
				l.Take(l.Clock.Millis(time.Now()), ev)
			}
			if told := len(c.Answers) == 1; told == frontendFirst || !c.Final.Load() {
				t.Errorf("the loop ends the call: %v, final %v", told, c.Final.Load())
			}
			l.Take(l.Clock.Millis(time.Now()), clientserver.ClientGone{Call: c}) // late, or twice
			if n := len(l.Calls); n != 0 {
				t.Errorf("%d calls are left", n)
			}
			if n := looked.Load(); n != 1 || len(open.Attempts) != 1 {
				t.Errorf("%d attempts, want 1", len(open.Attempts))
			}
			if n := b.Requests.Load() + other.Requests.Load(); n != 0 {
				t.Errorf("servers got %d requests", n)
			}
		})
	}
}
