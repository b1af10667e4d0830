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

// noClientPoll is an interval between two checks of a client connection that is longer than any test.
const noClientPoll = time.Hour

// setClientPoll sets the interval at which the sidecar checks whether a client has closed its connection.
func (s *Sidecar) setClientPoll(interval time.Duration) {
	s.clients.Configure(func(o *clientserver.Options) { o.ClientPollInterval = interval })
}

// leavingClient is a client that sends one request and closes its connection before the response.
type leavingClient struct {
	*net.TCPConn
	t        *testing.T
	accepted *clientserver.ClientConn // the sidecar's end of the connection
}

// newLeavingClient sends a request, and returns the client once the sidecar has read the request.
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

// sendAhead sends the possible start of a next request, so that unread bytes hide a close of the connection. net/http
// reads only the first of these bytes while a request is being handled. sendAhead returns once it has.
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
	sidecartest.Until(c.t, "more bytes to arrive", func() bool { _, unread := netcall.Peek(c.accepted.Conn); return unread })
}

// leave closes the connection, and returns once the operating system has reported that to the sidecar's end.
func (c *leavingClient) leave(end func(*net.TCPConn)) {
	c.t.Helper()
	end(c.TCPConn)
	sidecartest.Until(c.t, "the close to arrive", func() bool {
		state, err := netcall.NewConnStateReader().State(c.accepted.Conn)
		return err != nil || state != unix.BPF_TCP_ESTABLISHED
	})
}

// Settings that let a request wait for a connection, or for a server, for longer than any test.
const (
	longDial = `"connect_timeout_ms": 60000`
	longWait = `"on_time_ms": 60000, "hard_limit_ms": 60000`
)

// startHeldDial starts a sidecar with one server. Connections to the server are established only once the barrier is
// released.
func startHeldDial(t *testing.T, poll time.Duration, changes ...func(*Sidecar)) (*running, *sidecartest.Backend, *sidecartest.Barrier) {
	t.Helper()
	b, dialing := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBarrier()
	c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target).ReplaceSetting(`"connect_timeout_ms": 100`, longDial)
	changes = append(changes, func(s *Sidecar) {
		s.setClientPoll(poll)
		s.loop.Pool.SetDialControl(func(string, string, syscall.RawConn) error { dialing.Pass(); return nil })
	})
	s := start(t, c, changes...)
	t.Cleanup(dialing.Release) // runs before the sidecar shuts down
	return s, b, dialing
}

// expectNothingSent waits until all requests have ended, and fails if a server got one of them.
func (r *running) expectNothingSent(t *testing.T, servers ...*sidecartest.Backend) {
	t.Helper()
	sidecartest.Until(t, "the request to end", func() bool { return r.clients.OpenRequests() == 0 })
	before := int64(0)
	for _, b := range servers {
		before += b.Requests.Load()
	}
	if got := r.do(r.request("lookup", sidecartest.WaitTimeout)); got.status != 200 { // when it has its response, servers have read everything that was sent
		t.Errorf("the request of another client: %+v", got)
	}
	after := int64(-1)
	for _, b := range servers {
		after += b.Requests.Load()
	}
	if after > 0 || before > 0 {
		t.Errorf("servers got %d requests of a client that has closed its connection", max(after, before))
	}
}

// Right before its first byte an attempt notices that its client has closed the connection, even if unread bytes hide the
// close.
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

// A request whose client closes the connection while the request waits ends long before its deadline, even if unread
// bytes hide the close. It does not count as load, and the connection that was being established for it stays in the
// pool.
func TestClientGone_whileWaiting(t *testing.T) {
	for name, end := range sidecartest.CloseMethods {
		t.Run("without a server, "+name, func(t *testing.T) {
			registry := sidecartest.NewFakeDiscovery(t)
			s := start(t, configtest.NewConf(registry.Addr()).ReplaceSetting(`"on_time_ms": 750, "hard_limit_ms": 2500`, longWait))
			watch := sidecartest.Receive(t, "a call", registry.Calls)
			client := s.newLeavingClient(t, "lookup", "HTTP/1.1", "", "")
			client.sendAhead()
			client.leave(end)
			sidecartest.Until(t, "the request to end", func() bool { return s.clients.OpenRequests() == 0 })
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
			sidecartest.Until(t, "the request to end", func() bool { return s.clients.OpenRequests() == 0 })
			dialing.Release()
			sidecartest.Until(t, "the connection to be idle in the pool", func() bool {
				_, idle := s.loop.Pool.Counts()
				return idle == 1
			})
			s.expectNothingSent(t, b)
			if n := b.Conns.Load(); n != 1 {
				t.Errorf("%d connections, want only the one that was being established", n)
			}
		})
	}
}

// A request that waits for a server is not sent to one that appears right after its client has closed the connection.
func TestClientGone_beforeListEvent(t *testing.T) {
	for name, end := range sidecartest.CloseMethods {
		t.Run(name, func(t *testing.T) {
			registry := sidecartest.NewFakeDiscovery(t)
			c := configtest.NewConf(registry.Addr()).ReplaceSetting(`"on_time_ms": 750, "hard_limit_ms": 2500`, longWait)
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

// There is no retry for a client that closed its connection during the attempt before, however that attempt ended.
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
				respond := sidecartest.NewBarrier()
				var attempts atomic.Int64
				serve := func(c net.Conn, r *http.Request, body string) bool {
					if attempts.Add(1) > 1 {
						return sidecartest.OK(c, r, body)
					}
					respond.Pass()
					return first(c, r, body)
				}
				b, other := sidecartest.NewBackend(t, "a", serve), sidecartest.NewBackend(t, "b", serve)
				s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target, other.Target), func(s *Sidecar) {
					s.setClientPoll(noClientPoll)
				})
				t.Cleanup(respond.Release)
				client := s.newLeavingClient(t, "lookup", "HTTP/1.1", "", "")
				respond.WaitFor(t, 1)
				client.sendAhead()
				client.leave(end)
				respond.Release()
				sidecartest.Until(t, "the request to end", func() bool { return s.clients.OpenRequests() == 0 })
				if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
					t.Errorf("the request of another client: %+v", got)
				}
				if n := attempts.Load(); n != 2 { // one attempt for each client
					t.Errorf("%d attempts, want 2", n)
				}
			})
		}
	}
}

// An attempt with a streamed body notices before its first byte that its client has closed the connection, whether the
// body is complete or not.
func TestClientGone_beforeUpload(t *testing.T) {
	const length = inflight.MaxHeldBody / 2 // fits into the socket buffers
	for _, sent := range []int{length / 2, length} {
		for name, end := range sidecartest.CloseMethods {
			t.Run(fmt.Sprintf("%d bytes, %s", sent, name), func(t *testing.T) {
				s, b, dialing := startHeldDial(t, noClientPoll)
				s.clients.SetBodyMemory(0) // only inflight.MinHeldBody of a body is held
				client := s.newLeavingClient(t, "charge", "HTTP/1.1", fmt.Sprintf("Content-Length: %d\r\n", length), string(sidecartest.PatternBody(sent)))
				dialing.WaitFor(t, 1)
				client.leave(end)
				dialing.Release()
				s.expectNothingSent(t, b)
			})
		}
	}
}

// A client that has half-closed its connection counts as gone but may still read: it gets a failure response and
// nothing else.
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
				t.Fatalf("%+v, %v, want %d and a close", resp, err, inflight.StatusFailed)
			}
			io.Copy(io.Discard, resp.Body)
			if more, _ := io.ReadAll(in); len(more) > 0 { // the close may be a reset
				t.Errorf("%q after the response", more)
			}
		})
	}
}

// If the state of TCP connections is unavailable, pipelined requests are served all the same, and an attempt still
// notices right before its first byte that a client which has sent nothing more has closed the connection.
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
