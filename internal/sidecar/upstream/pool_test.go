package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// An idle connection may change between the moment at which it is taken and the first byte. What arrives on it then is
// not the response to the request, and its end is not a reset of the request.
func TestReusedConn_changesBeforeFirstByte(t *testing.T) {
	second := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	for name, change := range map[string]func(net.Conn){
		"second response": func(c net.Conn) { io.WriteString(c, second) },
		"half a line":     func(c net.Conn) { io.WriteString(c, second[:9]) },
		"closed":          func(c net.Conn) { c.Close() },
		"reset": func(c net.Conn) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			servers := make(chan net.Conn, 2)
			b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				servers <- c
				return sidecartest.OK(c, r, body)
			})
			p, a, conn, _ := newExchange(t, b)
			p.release(conn)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			if r := p.Send(a); r.Result != balance.OK {
				t.Fatalf("the first request: result %v", r.Result)
			}
			reused := sidecartest.Receive(t, "the server's connection", servers)
			sidecartest.Until(t, "the connection to be idle", func() bool { return idleCount(p, a.Server) == 1 })

			next := nextAttempt(a)
			next.Call.WriteLock.Lock() // the attempt takes the connection and waits here
			done := make(chan inflight.AttemptOutcome, 1)
			go func() { done <- p.Send(next) }()
			sidecartest.Until(t, "the connection to be taken", func() bool { return idleCount(p, a.Server) == 0 })
			change(reused)
			sidecartest.Until(t, "the change to arrive", func() bool { return !conn.reusable() })
			next.Call.WriteLock.Unlock()
			if r := sidecartest.Receive(t, "the response", done); r.Result != balance.OK || string(r.Response.Body) != "done" {
				t.Errorf("result %v with %q, want the response to this request", r.Result, r.Response.Body)
			}
			if n := b.Requests.Load(); n != 2 {
				t.Errorf("the server got %d requests, want 2", n)
			}
			if n := openCount(p); n != 1 {
				t.Errorf("%d connections are counted, want only the reused one", n)
			}
		})
	}
}

// An attempt that ends before its first byte leaves its connection to the next attempt, which writes to it: the connection
// has cost its server a handshake.
func TestUnwrittenConn_staysInPool(t *testing.T) {
	for name, end := range map[string]func(*Attempt){
		"cancelled":              func(a *Attempt) { a.Cancel(); a.Call.Finish() },
		"response sent":          func(a *Attempt) { a.Call.Finish() },
		"cancelled concurrently": func(a *Attempt) { a.Call.Finish(); go a.Cancel() },
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %v", name, reused), func(t *testing.T) {
				b := sidecartest.NewBackend(t, "a", sidecartest.OK)
				p, first, conn, _ := newExchange(t, b)
				first.Call.Outbound = outboundPost([]byte("plate 12-34"))
				maxConns := int64(1)
				if p.release(conn); !reused {
					p.CloseIdle(first.Server)
					maxConns = 2
				}
				first.Call.WriteLock.Lock() // the attempt gets its connection and waits here
				done := make(chan inflight.AttemptOutcome, 1)
				go func() { done <- p.Send(first) }()
				sidecartest.Until(t, "the connection", func() bool {
					return openCount(p) == 1 && idleCount(p, first.Server) == 0 && dialCount(p, first.Server) == 0
				})
				end(first)
				first.Call.WriteLock.Unlock()
				if r := sidecartest.Receive(t, "the end of the attempt", done); r.Result != balance.NotSent {
					t.Fatalf("result %v, want not sent", r.Result)
				}
				next := nextAttempt(first)
				next.Call = &inflight.Call{Outbound: first.Call.Outbound}
				next.Context, next.Cancel = context.WithCancel(t.Context())
				defer next.Cancel()
				if r := p.Send(next); r.Result != balance.OK {
					t.Errorf("the next attempt: result %v", r.Result)
				}
				if n := b.Conns.Load(); n > maxConns || openCount(p) != 1 {
					t.Errorf("%d connections, want %d at most; %d are counted as open, want 1", n, maxConns, openCount(p))
				}
				if n := b.Requests.Load(); n != 1 {
					t.Errorf("the server got %d requests, want only that of the next attempt", n)
				}
			})
		}
	}
}

func dialCount(p *Pool, server *Server) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return server.dialing
}

func idleCount(p *Pool, server *Server) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(server.idle)
}

func openCount(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// checkPool compares the counts of a pool with its connections while no attempt is running.
func checkPool(t *testing.T, p *Pool, servers []*Server) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := 0
	for i, server := range servers {
		idle += len(server.idle)
		if _, listed := p.idleServers[server]; listed != (len(server.idle) > 0) {
			t.Errorf("server %d has %d idle connections, but its entry in idleServers is %v", i, len(server.idle), listed)
		}
		if server.dialing != 0 || len(server.waiting) != 0 {
			t.Errorf("server %d: %d dials are running and %d attempts wait, want none", i, server.dialing, len(server.waiting))
		}
		if server.Retired.Load() && len(server.idle) > 0 {
			t.Errorf("retired server %d has %d idle connections", i, len(server.idle))
		}
		for _, conn := range server.idle[len(server.idle):cap(server.idle)] {
			if conn != nil {
				t.Errorf("server %d still references a connection that was removed", i)
				break
			}
		}
	}
	if p.open != idle || p.open > p.limit {
		t.Errorf("%d connections are counted with a limit of %d, %d are idle", p.open, p.limit, idle)
	}
}

// A connection is counted exactly as long as it is open, whatever attempts, dials, retirements and changes of the
// limit run at the same time.
func TestPool_countsConnections(t *testing.T) {
	cfg, err := configtest.NewConf("127.0.0.1:1").Load(t)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := NewPool(cfg, 12)
			t.Cleanup(p.Close)
			p.connectTimeout = 2 * time.Millisecond // so that some connections are late
			refusing := sidecartest.NewBackend(t, "r", sidecartest.OK)
			refusing.Close()
			targets := []endpointlist.Target{refusing.Target}
			for range 3 {
				targets = append(targets, sidecartest.NewBackend(t, "s", sidecartest.OK).Target)
			}
			// Servers that reject, close the connection within a response, and respond twice.
			targets = append(targets, sidecartest.NewBackend(t, "f", sidecartest.Respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true)).Target)
			targets = append(targets, sidecartest.NewBackend(t, "b", sidecartest.Respond("HTTP/1.1 200 OK\r\nConte", false)).Target)
			targets = append(targets, sidecartest.NewBackend(t, "d", sidecartest.Respond(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 2), true)).Target)
			var servers []*Server
			for _, target := range targets {
				servers = append(servers, &Server{Endpoint: target.Endpoint})
			}
			var attempts sync.WaitGroup
			for worker := range uint64(8) {
				attempts.Go(func() {
					random := rand.New(rand.NewPCG(seed, worker))
					for range 60 {
						useConnection(p, servers[random.IntN(len(servers))], random)
					}
				})
			}
			attempts.Wait()
			p.dialers.Wait()
			checkPool(t, p, servers)
			for i, server := range servers {
				if i%2 == 0 {
					p.Retire(server)
				}
			}
			checkPool(t, p, servers)
			p.Close()
			if n := openCount(p); n != 0 || len(p.idleServers) != 0 {
				t.Errorf("after Close, %d connections are counted and %d servers have idle ones", n, len(p.idleServers))
			}
		})
	}
}

// useConnection performs one random operation on a server's connections.
func useConnection(p *Pool, server *Server, random *rand.Rand) {
	switch random.IntN(12) {
	case 0:
		p.CloseIdle(server)
	case 1:
		p.ReapIdle(time.Now().Add(time.Duration(random.IntN(20)) * time.Second))
	case 2:
		p.SetLimit(4 + random.IntN(9))
	case 3: // cancelled at any time
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(2000))*time.Microsecond)
		p.HealthCheck(ctx, server)
		cancel()
	case 4: // its deadline passes at any time
		a := &Attempt{Call: &inflight.Call{Outbound: outboundPost([]byte("plate 12-34"))}, Server: server}
		a.Context, a.Deadline = context.Background(), time.Now().Add(time.Duration(random.IntN(2000))*time.Microsecond)
		p.Send(a)
	default:
		p.HealthCheck(context.Background(), server)
	}
}

// After the limit was lowered, connections that were busy at that time are closed once they are idle.
func TestPool_lowerLimitForBusyConns(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p, a, first, _ := newExchange(t, b)
	second, _, err := p.acquire(a.Context, a.Server, a.Deadline, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.SetLimit(1)
	p.release(first)
	p.release(second)
	if n := openCount(p); n != 1 || idleCount(p, a.Server) != 1 {
		t.Errorf("%d connections are counted and %d idle, want 1", n, idleCount(p, a.Server))
	}
}

// lateRepeatedResponses is a server that sends each response again on its connection, after the next request and
// before the response to that request.
func lateRepeatedResponses() sidecartest.ServeFunc {
	var mu sync.Mutex
	before := map[net.Conn]string{}
	return func(c net.Conn, _ *http.Request, body string) bool {
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		mu.Lock()
		repeated := before[c]
		before[c] = response
		mu.Unlock()
		_, err := io.WriteString(c, repeated+response)
		return err == nil
	}
}

// A server may send a second response some milliseconds late, after the next request was sent. That request uses a
// connection that has been idle for a while, if there is one.
func TestTakeIdle_reuseDelay(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", lateRepeatedResponses())
	p, a, idleConn, _ := newExchange(t, b)
	a.Call.Outbound = outboundPost([]byte("first"))
	if r := p.Send(a); r.Result != balance.OK { // on a new connection
		t.Fatalf("the first request: result %v", r.Result)
	}
	p.release(idleConn)
	p.mu.Lock()
	slices.Reverse(a.Server.idle) // as if idleConn had been released before the other connection
	a.Server.idle[0].idleSince = time.Now().Add(-time.Second)
	a.Server.idle[1].idleSince = time.Now().Add(sidecartest.WaitTimeout) // within reuseDelay, however slow this machine is
	p.mu.Unlock()
	next := nextAttempt(a)
	next.Call.Outbound = outboundPost([]byte("second"))
	if r := p.Send(next); r.Result != balance.OK || string(r.Response.Body) != "second" {
		t.Errorf("result %v with %q, want the response to this request", r.Result, r.Response.Body)
	}
}

// takeIdle takes the connection that was used last among those idle for reuseDelay, or else the one idle for longest.
func TestTakeIdle_order(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		ages []time.Duration // idle times, longest first
		want int
	}{
		"all idle for long": {[]time.Duration{3 * time.Second, 2 * time.Second, time.Second}, 2},
		"one just put":      {[]time.Duration{3 * time.Second, 2 * time.Second, -time.Hour}, 1},
		"all just put":      {[]time.Duration{-time.Hour, -2 * time.Hour}, 0},
		"a single one":      {[]time.Duration{-time.Hour}, 0},
		"only the longest":  {[]time.Duration{time.Second, -time.Hour, -2 * time.Hour}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server := &Server{}
			p := &Pool{idleServers: map[*Server]struct{}{server: {}}}
			for _, age := range test.ages {
				server.idle = append(server.idle, &serverConn{idleSince: now.Add(-age)})
			}
			all := slices.Clone(server.idle)
			if got := slices.Index(all, p.takeIdle(server)); got != test.want {
				t.Errorf("took connection %d, want %d", got, test.want)
			}
			if _, listed := p.idleServers[server]; listed != (len(all) > 1) || len(server.idle) != len(all)-1 {
				t.Errorf("%d idle connections remain, entry in idleServers: %v", len(server.idle), listed)
			}
		})
	}
}

// A dial that fails because this machine has no descriptor left says nothing about the server.
func TestDial_noDescriptorLeft(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p, a, _, _ := newExchange(t, b)
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		return os.NewSyscallError("socket", syscall.EMFILE)
	}
	a.Call.Outbound = outboundPost([]byte("plate 12-34"))
	if r := p.Send(a); r.Result != balance.LocalFailure {
		t.Errorf("result %v, want a local failure", r.Result)
	}
	if n := openCount(p); n != 1 {
		t.Errorf("%d connections are counted, want only the other one", n)
	}
}

// A connection that is released or established after its server was retired, or after the pool was closed, is closed.
func TestPool_closesConnOfEndedServer(t *testing.T) {
	endings := map[string]func(*Pool, *Server){
		"server retired": func(p *Pool, server *Server) { p.Retire(server) },
		"all closed": func(p *Pool, _ *Server) {
			p.cancelDials() // the first step of Close, which also waits for dials
		},
	}
	for name, end := range endings {
		t.Run(name+", connection in use", func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, conn, _ := newExchange(t, b)
			end(p, a.Server)
			p.release(conn)
			if n, idle := openCount(p), idleCount(p, a.Server); n != 0 || idle != 0 {
				t.Errorf("%d connections are counted, %d are idle, want none", n, idle)
			}
			if _, err := conn.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
				t.Errorf("the connection is not closed: %v", err)
			}
		})
		t.Run(name+", connection being dialed", func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, conn, _ := newExchange(t, b)
			p.discard(conn)
			handshake := make(chan struct{})
			p.dialer.Control = func(string, string, syscall.RawConn) error { <-handshake; return nil }
			ctx, cancel := context.WithCancel(t.Context())
			got := make(chan error, 1)
			go func() {
				_, _, err := p.acquire(ctx, a.Server, a.Deadline, nil)
				got <- err
			}()
			sidecartest.Until(t, "the attempt to wait", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return len(a.Server.waiting) == 1
			})
			cancel()
			if err := sidecartest.Receive(t, "the attempt to end", got); !errors.Is(err, context.Canceled) {
				t.Errorf("the attempt ended with %v", err)
			}
			end(p, a.Server)
			close(handshake)
			p.dialers.Wait()
			if n, idle := openCount(p), idleCount(p, a.Server); n != 0 || idle != 0 {
				t.Errorf("%d connections are counted, %d are idle, want none", n, idle)
			}
		})
	}
}

// An attempt that is cancelled at the moment at which its connection is established either gets the connection or
// leaves it idle: the connection is counted correctly in both cases.
func TestAcquire_connectedAtCancel(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p, a, conn, _ := newExchange(t, b)
	p.discard(conn)
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan error, 1)
	handshake := make(chan struct{})
	p.dialer.Control = func(string, string, syscall.RawConn) error { <-handshake; return nil }
	go func() {
		conn, _, err := p.acquire(ctx, a.Server, a.Deadline, nil)
		if err == nil {
			p.discard(conn)
		}
		got <- err
	}()
	sidecartest.Until(t, "the attempt to wait", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(a.Server.waiting) == 1
	})
	p.mu.Lock() // keeps both the attempt and the dial waiting, so that either may go first
	cancel()
	close(handshake)
	sidecartest.Until(t, "the connection to be established", func() bool { return b.Conns.Load() == 2 })
	p.mu.Unlock()
	sidecartest.Receive(t, "the attempt to end", got)
	p.dialers.Wait()
	if n, idle := openCount(p), idleCount(p, a.Server); n != idle {
		t.Errorf("%d connections are counted, %d are idle", n, idle)
	}
}

// unpeekableConn is a connection whose descriptor is not available.
type unpeekableConn struct{ net.Conn }

func (unpeekableConn) SyscallConn() (syscall.RawConn, error) {
	return nil, sidecartest.OpError("fcntl", syscall.ENOMEM)
}

// An idle connection that cannot be peeked at is not reused. A client whose connection cannot be peeked at is not
// taken for one that has disconnected.
func TestReusedConn_peekFails(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	_, _, conn, _ := newExchange(t, b)
	if !conn.reusable() {
		t.Error("an idle connection is not reusable")
	}
	conn.Conn = unpeekableConn{conn.Conn}
	if conn.reusable() {
		t.Error("an idle connection that cannot be peeked at is reusable")
	}
	if netcall.NewConnStateReader().PeerClosed(conn.Conn) {
		t.Error("a client that cannot be peeked at is taken for disconnected")
	}
}
