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

// An idle connection may change between the moment it is taken and the first byte. What arrives on it then is no answer to
// the request, and its end is no reset of the request.
func TestReusedConn_changesBeforeFirstByte(t *testing.T) {
	second := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	for name, change := range map[string]func(net.Conn){
		"second answer": func(c net.Conn) { io.WriteString(c, second) },
		"half a line":   func(c net.Conn) { io.WriteString(c, second[:9]) },
		"closed":        func(c net.Conn) { c.Close() },
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
			p.put(conn)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			if r := p.Send(a); r.Result != balance.OK {
				t.Fatalf("the first request: result %v", r.Result)
			}
			reused := sidecartest.Receive(t, "the server's connection", servers)
			sidecartest.Until(t, "the connection to be idle", func() bool { return idleCount(p, a.Server) == 1 })

			next := nextAttempt(a)
			next.Call.WriteLock.Lock() // it takes the connection and waits here
			done := make(chan inflight.AttemptOutcome, 1)
			go func() { done <- p.Send(next) }()
			sidecartest.Until(t, "the connection to be taken", func() bool { return idleCount(p, a.Server) == 0 })
			change(reused)
			sidecartest.Until(t, "the change to arrive", func() bool { return !conn.quiet() })
			next.Call.WriteLock.Unlock()
			if r := sidecartest.Receive(t, "the answer", done); r.Result != balance.OK || string(r.Response.Body) != "done" {
				t.Errorf("result %v with %q, want the answer to this request", r.Result, r.Response.Body)
			}
			if n := b.Requests.Load(); n != 2 {
				t.Errorf("the server got %d requests, want 2", n)
			}
			if n := openCount(p); n != 1 {
				t.Errorf("%d connections are counted, want the reused one", n)
			}
		})
	}
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
		if _, reused := p.idleServers[server]; reused != (len(server.idle) > 0) {
			t.Errorf("server %d has %d idle connections, and idleServers says %v", i, len(server.idle), reused)
		}
		if server.dialing != 0 || len(server.waiting) != 0 {
			t.Errorf("server %d: %d dials, %d waiting", i, server.dialing, len(server.waiting))
		}
		if server.Retired.Load() && len(server.idle) > 0 {
			t.Errorf("retired server %d has %d idle connections", i, len(server.idle))
		}
		for _, conn := range server.idle[len(server.idle):cap(server.idle)] {
			if conn != nil {
				t.Errorf("server %d holds a connection that is not its own any more", i)
				break
			}
		}
	}
	if p.open != idle || p.open > p.limit {
		t.Errorf("%d connections are counted of at most %d, %d are there", p.open, p.limit, idle)
	}
}

// Connections are counted while they are open and no longer, whatever attempts, dials, retirements and limits do at the same
// time.
func TestPool_countsConnections(t *testing.T) {
	cfg, err := configtest.NewConf("127.0.0.1:1").Load(t)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := NewPool(cfg, 12)
			t.Cleanup(p.Close)
			p.connectWait = 2 * time.Millisecond // so that some connections are late
			refusing := sidecartest.NewBackend(t, "r", sidecartest.OK)
			refusing.Close()
			targets := []endpointlist.Target{refusing.Target}
			for range 3 {
				targets = append(targets, sidecartest.NewBackend(t, "s", sidecartest.OK).Target)
			}
			// Servers that reject, break off and answer twice.
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
				t.Errorf("at the end %d connections are counted, those of %d servers are idle", n, len(p.idleServers))
			}
		})
	}
}

// useConnection does one random step with a server's connections.
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

// A lower limit also closes connections that were busy when it was set, once they are idle.
func TestPool_lowerLimitForBusyConns(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p, a, first, _ := newExchange(t, b)
	second, _, err := p.acquire(a.Context, a.Server, a.Deadline, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.SetLimit(1)
	p.put(first)
	p.put(second)
	if n := openCount(p); n != 1 || idleCount(p, a.Server) != 1 {
		t.Errorf("%d connections are counted and %d idle, want 1", n, idleCount(p, a.Server))
	}
}

// lateRepeatedAnswers is a server that repeats an answer on its connection, behind the next request and before that one's
// answer.
func lateRepeatedAnswers() sidecartest.ServeOne {
	var mu sync.Mutex
	before := map[net.Conn]string{}
	return func(c net.Conn, _ *http.Request, body string) bool {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		mu.Lock()
		late := before[c]
		before[c] = answer
		mu.Unlock()
		_, err := io.WriteString(c, late+answer)
		return err == nil
	}
}

// A second answer may come some milliseconds late, behind the next request: that uses a connection that has been idle for a
// while, if there is one.
func TestTakeIdle_reuseDelay(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", lateRepeatedAnswers())
	p, a, idleConn, _ := newExchange(t, b)
	a.Call.Outbound = outboundPost([]byte("first"))
	if r := p.Send(a); r.Result != balance.OK { // over a connection of its own
		t.Fatalf("the first request: result %v", r.Result)
	}
	p.put(idleConn)
	p.mu.Lock()
	slices.Reverse(a.Server.idle) // as if it had been put before
	a.Server.idle[0].idleSince = time.Now().Add(-time.Second)
	a.Server.idle[1].idleSince = time.Now().Add(sidecartest.Patience) // however slow this machine is: it has just been put
	p.mu.Unlock()
	next := nextAttempt(a)
	next.Call.Outbound = outboundPost([]byte("second"))
	if r := p.Send(next); r.Result != balance.OK || string(r.Response.Body) != "second" {
		t.Errorf("result %v with %q, want the answer to this request", r.Result, r.Response.Body)
	}
}

// The order in which idle connections are taken.
func TestTakeIdle_order(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		ages []time.Duration // oldest first
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
				t.Errorf("took number %d, want %d", got, test.want)
			}
			if _, reused := p.idleServers[server]; reused != (len(all) > 1) || len(server.idle) != len(all)-1 {
				t.Errorf("%d are left, in idleServers %v", len(server.idle), reused)
			}
		})
	}
}

// A machine that has no descriptor left for a connection says nothing of the server.
func TestDial_noDescriptorLeft(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p, a, _, _ := newExchange(t, b)
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		return os.NewSyscallError("socket", syscall.EMFILE)
	}
	a.Call.Outbound = outboundPost([]byte("plate 12-34"))
	if r := p.Send(a); r.Result != balance.LocalFailure {
		t.Errorf("result %v, want that no server is blamed", r.Result)
	}
	if n := openCount(p); n != 1 {
		t.Errorf("%d connections are counted, want the other one", n)
	}
}

// A connection that is given back or comes up after its server was retired, or after the pool was closed, is closed.
func TestPool_closesConnOfEndedServer(t *testing.T) {
	ends := map[string]func(*Pool, *Server){
		"server retired": func(p *Pool, server *Server) { p.Retire(server) },
		"all closed": func(p *Pool, _ *Server) {
			p.cancelDials() // the first step of Close, which waits for dials
		},
	}
	for name, end := range ends {
		t.Run(name+", at work", func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, conn, _ := newExchange(t, b)
			end(p, a.Server)
			p.put(conn)
			if n, idle := openCount(p), idleCount(p, a.Server); n != 0 || idle != 0 {
				t.Errorf("%d connections are counted, %d are idle, want none", n, idle)
			}
			if _, err := conn.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
				t.Errorf("the connection is not closed: %v", err)
			}
		})
		t.Run(name+", on its way", func(t *testing.T) {
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
				t.Errorf("it ended with %v", err)
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

// An attempt that is cancelled in the moment in which its connection comes up gets the connection and gives it back.
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
	p.mu.Lock() // neither the attempt nor the connection gets any further: their order is open
	cancel()
	close(handshake)
	sidecartest.Until(t, "the connection to come up", func() bool { return b.Conns.Load() == 2 })
	p.mu.Unlock()
	sidecartest.Receive(t, "the attempt to end", got)
	p.dialers.Wait()
	if n, idle := openCount(p), idleCount(p, a.Server); n != idle {
		t.Errorf("%d connections are counted, %d are idle", n, idle)
	}
}

// unpeekableConn is a connection whose descriptor cannot be had.
type unpeekableConn struct{ net.Conn }

func (unpeekableConn) SyscallConn() (syscall.RawConn, error) {
	return nil, sidecartest.OpError("fcntl", syscall.ENOMEM)
}

// An idle connection that cannot be peeked at is not reused, and a client that cannot be peeked at is not taken for gone.
func TestReusedConn_peekFails(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	_, _, conn, _ := newExchange(t, b)
	if !conn.quiet() {
		t.Error("an idle connection is not quiet")
	}
	conn.Conn = unpeekableConn{conn.Conn}
	if conn.quiet() {
		t.Error("an idle connection that cannot be peeked at is used")
	}
	if netcall.NewConnStateReader().PeerClosed(conn.Conn) {
		t.Error("a client that cannot be peeked at is taken for gone")
	}
}
