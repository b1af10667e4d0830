package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// noClientPoll is an interval between two checks of a client that is longer than any test.
const noClientPoll = time.Hour

// setClientPoll sets the time between two checks whether a client has gone.
func (s *Sidecar) setClientPoll(interval time.Duration) {
	s.clients.Configure(func(o *clientserver.Options) { o.ClientPollInterval = interval })
}

// leavingClient is a client that sends one request and leaves before its answer.
type leavingClient struct {
	*net.TCPConn
	t        *testing.T
	accepted *clientserver.ClientConn // its connection in the sidecar
}

// newLeavingClient sends a request, and returns the client once the sidecar works at it.
func (r *running) newLeavingClient(t *testing.T, class, proto, lines, body string) *leavingClient {
	t.Helper()
	before := r.clients.OpenRequests()
	known := map[*clientserver.ClientConn]bool{}
	r.listener.Each(func(conn *clientserver.ClientConn) { known[conn] = true })
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	method := "POST"
	if class == "lookup" {
		method = "GET"
	}
	_, err = fmt.Fprintf(c, "%s /api %s\r\nHost: h\r\nX-Request-ID: %d\r\nX-Priority-Class: %s\r\nX-Tenant-Id: kita\r\n"+
		"X-Timeout-Ms: 3600000\r\n%s\r\n%s", method, proto, requestIDs.Add(1), class, lines, body)
	if err != nil {
		t.Fatal(err)
	}
	sidecartest.Until(t, "the request to be read", func() bool { return r.clients.OpenRequests() > before })
	client := &leavingClient{TCPConn: c.(*net.TCPConn), t: t}
	r.listener.Each(func(conn *clientserver.ClientConn) {
		if !known[conn] {
			client.accepted = conn
		}
	})
	return client
}

// sendAhead sends what may be the start of a next request, and returns once net/http has read its first byte, behind
// which it reads no more while a request is at work.
func (c *leavingClient) sendAhead() {
	c.t.Helper()
	before := c.accepted.LastRead()
	if _, err := io.WriteString(c, "\r"); err != nil {
		c.t.Fatal(err)
	}
	sidecartest.Until(c.t, "a byte to be read ahead", func() bool { return c.accepted.LastRead().After(before) })
	if _, err := io.WriteString(c, "\nGET"); err != nil {
		c.t.Fatal(err)
	}
	sidecartest.Until(c.t, "more bytes to come", func() bool { _, unread := netcall.Peek(c.accepted.Conn); return unread })
}

// leave ends the connection, and returns once the system of the sidecar knows it.
func (c *leavingClient) leave(end func(*net.TCPConn)) {
	c.t.Helper()
	end(c.TCPConn)
	sidecartest.Until(c.t, "the end to arrive", func() bool {
		state, err := netcall.NewConnStateReader().State(c.accepted.Conn)
		return err != nil || state != unix.BPF_TCP_ESTABLISHED
	})
}

// Settings under which a request waits for a connection, or for a server, longer than any test.
const (
	longDial = `"connect_timeout_ms": 60000`
	longWait = `"on_time_ms": 60000, "hard_limit_ms": 60000`
)

// startHeldDial starts a sidecar with one server, to which connections are set up only once the barrier is released.
func startHeldDial(t *testing.T, poll time.Duration, changes ...func(*Sidecar)) (*running, *sidecartest.Backend, *sidecartest.Barrier) {
	t.Helper()
	b, dialing := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBarrier()
	c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target).Setting(`"connect_timeout_ms": 100`, longDial)
	changes = append(changes, func(s *Sidecar) {
		s.setClientPoll(poll)
		s.loop.Pool.SetDialControl(func(string, string, syscall.RawConn) error { dialing.Pass(); return nil })
	})
	s := start(t, c, changes...)
	t.Cleanup(dialing.Release) // before the sidecar ends
	return s, b, dialing
}

// expectNothingSent returns once all requests are over, and fails if a server got one of them.
func (r *running) expectNothingSent(t *testing.T, servers ...*sidecartest.Backend) {
	t.Helper()
	sidecartest.Until(t, "the request to be over", func() bool { return r.clients.OpenRequests() == 0 })
	before := int64(0)
	for _, b := range servers {
		before += b.Requests.Load()
	}
	if got := r.do(r.request("lookup", sidecartest.WaitTimeout)); got.status != 200 { // by its answer servers have read all that was sent
		t.Errorf("another client gets %+v", got)
	}
	after := int64(-1)
	for _, b := range servers {
		after += b.Requests.Load()
	}
	if after > 0 || before > 0 {
		t.Errorf("servers got %d requests of a client that has gone", max(after, before))
	}
}

// Right before its first byte an attempt sees that its client has gone, though unread bytes hide the end of the
// connection.
func TestClientGone_beforeFirstByte(t *testing.T) {
	for name, end := range sidecartest.CloseMethods {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+proto, func(t *testing.T) {
				s, b, dialing := startHeldDial(t, noClientPoll)
				client := s.newLeavingClient(t, "lookup", proto, "", "")
				dialing.WaitFor(t, 1)
				client.sendAhead()
				client.leave(end)
				dialing.Release()
				s.expectNothingSent(t, b)
			})
		}
	}
}

// A request whose client leaves while it waits ends long before its deadline, though unread bytes hide the end of the
// connection: it does not count as load, and the connection that was being set up for it stays in the pool for others.
func TestClientGone_whileWaiting(t *testing.T) {
	for name, end := range sidecartest.CloseMethods {
		t.Run("without a server, "+name, func(t *testing.T) {
			registry := sidecartest.NewFakeDiscovery(t)
			s := start(t, configtest.NewConf(registry.Addr()).Setting(`"on_time_ms": 750, "hard_limit_ms": 2500`, longWait))
			watch := sidecartest.Receive(t, "a call", registry.Calls)
			client := s.newLeavingClient(t, "lookup", "HTTP/1.1", "", "")
			client.sendAhead()
			client.leave(end)
			sidecartest.Until(t, "the request to be over", func() bool { return s.clients.OpenRequests() == 0 })
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			watch.SendList(t, endpointlist.List{Rev: 2, All: true, Targets: []endpointlist.Target{b.Target}})
			s.expectNothingSent(t, b)
		})
		t.Run("dialing, "+name, func(t *testing.T) {
			s, b, dialing := startHeldDial(t, 0)
			client := s.newLeavingClient(t, "lookup", "HTTP/1.1", "", "")
			dialing.WaitFor(t, 1)
			client.sendAhead()
			client.leave(end)
			sidecartest.Until(t, "the request to be over", func() bool { return s.clients.OpenRequests() == 0 })
			dialing.Release()
			sidecartest.Until(t, "the connection to be idle in the pool", func() bool {
				_, idle := s.loop.Pool.Counts()
				return idle == 1
			})
			s.expectNothingSent(t, b)
			if n := b.Conns.Load(); n != 1 {
				t.Errorf("%d connections, want the one that was being set up", n)
			}
		})
	}
}

// A request without a server is not sent to one that a list event names right after its client has left.
func TestClientGone_beforeListEvent(t *testing.T) {
	for name, end := range sidecartest.CloseMethods {
		t.Run(name, func(t *testing.T) {
			registry := sidecartest.NewFakeDiscovery(t)
			c := configtest.NewConf(registry.Addr()).Setting(`"on_time_ms": 750, "hard_limit_ms": 2500`, longWait)
			s := start(t, c, func(s *Sidecar) { s.setClientPoll(noClientPoll) })
			watch := sidecartest.Receive(t, "a call", registry.Calls)
			client := s.newLeavingClient(t, "lookup", "HTTP/1.1", "", "")
			client.sendAhead()
			client.leave(end)
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			watch.SendList(t, endpointlist.List{Rev: 2, All: true, Targets: []endpointlist.Target{b.Target}})
			s.expectNothingSent(t, b)
		})
	}
}

// No retry starts for a client that left during the attempt before, however that ended.
func TestClientGone_noRetry(t *testing.T) {
	for how, first := range map[string]sidecartest.ServeFunc{
		"rejected": sidecartest.Respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true),
		"failed":   sidecartest.Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true),
		"reset": func(c net.Conn, _ *http.Request, _ string) bool {
			c.(*net.TCPConn).SetLinger(0)
			return false
		},
	} {
		for name, end := range sidecartest.CloseMethods {
			t.Run(how+", "+name, func(t *testing.T) {
				answer := sidecartest.NewBarrier()
				var attempts atomic.Int64
				serve := func(c net.Conn, r *http.Request, body string) bool {
					if attempts.Add(1) > 1 {
						return sidecartest.OK(c, r, body)
					}
					answer.Pass()
					return first(c, r, body)
				}
				b, other := sidecartest.NewBackend(t, "a", serve), sidecartest.NewBackend(t, "b", serve)
				s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target, other.Target), func(s *Sidecar) {
					s.setClientPoll(noClientPoll)
				})
				t.Cleanup(answer.Release)
				client := s.newLeavingClient(t, "lookup", "HTTP/1.1", "", "")
				answer.WaitFor(t, 1)
				client.sendAhead()
				client.leave(end)
				answer.Release()
				sidecartest.Until(t, "the request to be over", func() bool { return s.clients.OpenRequests() == 0 })
				if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
					t.Errorf("another client gets %+v", got)
				}
				if n := attempts.Load(); n != 2 { // one attempt for either client
					t.Errorf("%d attempts, want 2", n)
				}
			})
		}
	}
}

// An attempt with a streamed body sees before its first byte that its client has gone, whether the body is complete or
// not.
func TestClientGone_beforeUpload(t *testing.T) {
	const length = inflight.MaxHeldBody / 2 // which fits into the buffers of the system
	for _, sent := range []int{length / 2, length} {
		for name, end := range sidecartest.CloseMethods {
			t.Run(fmt.Sprintf("%d bytes, %s", sent, name), func(t *testing.T) {
				s, b, dialing := startHeldDial(t, noClientPoll)
				s.clients.SetBodyMemory(0) // of a body only inflight.MinHeldBody is held
				client := s.newLeavingClient(t, "charge", "HTTP/1.1", fmt.Sprintf("Content-Length: %d\r\n", length), string(sidecartest.PatternBody(sent)))
				dialing.WaitFor(t, 1)
				client.leave(end)
				dialing.Release()
				s.expectNothingSent(t, b)
			})
		}
	}
}

// A client that has half-closed counts as gone, but may still read: it gets a failure, and nothing else.
func TestClientGone_halfClose(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		t.Run(fmt.Sprintf("more sent %v", ahead), func(t *testing.T) {
			s, _, dialing := startHeldDial(t, 0)
			client := s.newLeavingClient(t, "charge", "HTTP/1.1", "", "")
			dialing.WaitFor(t, 1)
			if ahead {
				client.sendAhead()
			}
			client.leave(sidecartest.CloseMethods["half-close"])
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

// Where the state of a connection is unavailable, pipelined requests are served all the same, and the end of a client
// that has sent nothing more is still seen right before the first byte.
func TestClientGone_withoutConnStates(t *testing.T) {
	withoutConnStates := func(s *Sidecar) {
		s.clients.Configure(func(o *clientserver.Options) {
			o.ConnStates = &netcall.ConnStateReader{Query: func(int) (uint8, error) { return 0, syscall.ENOPROTOOPT }}
		})
	}
	t.Run("pipelined", func(t *testing.T) {
		b := sidecartest.NewBackend(t, "a", sidecartest.OK)
		s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target), withoutConnStates)
		c := s.dial(t)
		defer c.Close()
		io.WriteString(c, sidecartest.RequestText("1", "", "")+sidecartest.RequestText("2", "", ""))
		in := bufio.NewReader(c)
		for range 2 {
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("%+v, %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
		}
	})
	for name, end := range sidecartest.CloseMethods {
		t.Run(name, func(t *testing.T) {
			s, b, dialing := startHeldDial(t, noClientPoll, withoutConnStates)
			client := s.newLeavingClient(t, "lookup", "HTTP/1.1", "", "")
			dialing.WaitFor(t, 1)
			client.leave(end)
			dialing.Release()
			s.expectNothingSent(t, b)
		})
	}
}
