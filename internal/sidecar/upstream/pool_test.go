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

// A kept connection was good when it was taken. What comes over it until the first byte is written is no answer to the
// request, and its end is no reset of the request.
func TestKeptConnectionThatChangesBeforeTheFirstByte(t *testing.T) {
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
			p, a, conn, _ := exchanging(t, b)
			p.put(conn)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			if r := p.Send(a); r.Result != balance.OK {
				t.Fatalf("the first request: result %v", r.Result)
			}
			kept := sidecartest.Receive(t, "the server's connection", servers)
			sidecartest.Until(t, "the connection to be kept", func() bool { return idleOf(p, a.Server) == 1 })

			next := further(a)
			next.Call.Writing.Lock() // it takes the connection, and waits here
			done := make(chan inflight.Reply, 1)
			go func() { done <- p.Send(next) }()
			sidecartest.Until(t, "the connection to be taken", func() bool { return idleOf(p, a.Server) == 0 })
			change(kept)
			sidecartest.Until(t, "the change to arrive", func() bool { return !conn.quiet() })
			next.Call.Writing.Unlock()
			if r := sidecartest.Receive(t, "the answer", done); r.Result != balance.OK || string(r.Answer.Body) != "done" {
				t.Errorf("result %v with %q, want the answer to this request", r.Result, r.Answer.Body)
			}
			if n := b.Requests.Load(); n != 2 {
				t.Errorf("the server got %d requests, want 2", n)
			}
			if n := openOf(p); n != 1 {
				t.Errorf("%d connections are counted, want the kept one", n)
			}
		})
	}
}

func idleOf(p *Pool, up *Server) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(up.idle)
}

func openOf(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// checkPool compares what is counted with what is there, while no attempt is out.
func checkPool(t *testing.T, p *Pool, ups []*Server) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := 0
	for i, up := range ups {
		idle += len(up.idle)
		if _, kept := p.idleServers[up]; kept != (len(up.idle) > 0) {
			t.Errorf("server %d has %d idle connections, and kept says %v", i, len(up.idle), kept)
		}
		if up.dialing != 0 || len(up.waiting) != 0 {
			t.Errorf("server %d: %d dials, %d waiting", i, up.dialing, len(up.waiting))
		}
		if up.Retired.Load() && len(up.idle) > 0 {
			t.Errorf("retired server %d keeps %d connections", i, len(up.idle))
		}
		for _, conn := range up.idle[len(up.idle):cap(up.idle)] {
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

// Whatever attempts, dials, retirements and bounds do beside each other: connections are counted as long as they are
// open, and no longer.
func TestConnectionsAreCounted(t *testing.T) {
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
			servers := []endpointlist.Target{refusing.Target}
			for range 3 {
				servers = append(servers, sidecartest.NewBackend(t, "s", sidecartest.OK).Target)
			}
			// Those of the other paths: turned away, broken, and with a second answer.
			servers = append(servers, sidecartest.NewBackend(t, "f", sidecartest.Respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true)).Target)
			servers = append(servers, sidecartest.NewBackend(t, "b", sidecartest.Respond("HTTP/1.1 200 OK\r\nConte", false)).Target)
			servers = append(servers, sidecartest.NewBackend(t, "d", sidecartest.Respond(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 2), true)).Target)
			var ups []*Server
			for _, server := range servers {
				ups = append(ups, &Server{Endpoint: server.Endpoint})
			}
			var attempts sync.WaitGroup
			for worker := range uint64(8) {
				attempts.Go(func() {
					random := rand.New(rand.NewPCG(seed, worker))
					for range 60 {
						useConnections(p, ups[random.IntN(len(ups))], random)
					}
				})
			}
			attempts.Wait()
			p.dialers.Wait()
			checkPool(t, p, ups)
			for i, up := range ups {
				if i%2 == 0 {
					p.Retire(up)
				}
			}
			checkPool(t, p, ups)
			p.Close()
			if n := openOf(p); n != 0 || len(p.idleServers) != 0 {
				t.Errorf("at the end %d connections are counted, those of %d servers kept", n, len(p.idleServers))
			}
		})
	}
}

// useConnections does one of what happens to connections.
func useConnections(p *Pool, up *Server, random *rand.Rand) {
	switch random.IntN(12) {
	case 0:
		p.CloseIdle(up)
	case 1:
		p.ReapIdle(time.Now().Add(time.Duration(random.IntN(20)) * time.Second))
	case 2:
		p.SetLimit(4 + random.IntN(9))
	case 3: // given up at any time
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(2000))*time.Microsecond)
		p.HealthCheck(ctx, up)
		cancel()
	case 4: // its time is over at any time
		a := &Attempt{Call: &inflight.Call{Outbound: outboundPost([]byte("plate 12-34"))}, Server: up}
		a.Context, a.Deadline = context.Background(), time.Now().Add(time.Duration(random.IntN(2000))*time.Microsecond)
		p.Send(a)
	default:
		p.HealthCheck(context.Background(), up)
	}
}

// A bound that is lowered holds for connections that are at work then, too, as soon as they are not.
func TestLowerBoundHoldsForConnectionsAtWork(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p, a, first, _ := exchanging(t, b)
	second, _, err := p.acquire(a.Context, a.Server, a.Deadline, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.SetLimit(1)
	p.put(first)
	p.put(second)
	if n := openOf(p); n != 1 || idleOf(p, a.Server) != 1 {
		t.Errorf("%d connections are counted and %d idle, want 1", n, idleOf(p, a.Server))
	}
}

// lateSecondAnswers is a server whose connections carry the answer before once more, behind the next request and ahead
// of its answer.
func lateSecondAnswers() sidecartest.ServeOne {
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

// A second answer may come some milliseconds late, behind the next request: that goes over a connection that has
// rested, where there is one.
func TestConnectionRestsBehindAnAnswer(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", lateSecondAnswers())
	p, a, rested, _ := exchanging(t, b)
	a.Call.Outbound = outboundPost([]byte("first"))
	if r := p.Send(a); r.Result != balance.OK { // over a connection of its own
		t.Fatalf("the first request: result %v", r.Result)
	}
	p.put(rested)
	p.mu.Lock()
	slices.Reverse(a.Server.idle) // as if it had been put before
	a.Server.idle[0].idleSince = time.Now().Add(-time.Second)
	a.Server.idle[1].idleSince = time.Now().Add(sidecartest.Patience) // however slow this machine is: it has just been put
	p.mu.Unlock()
	next := further(a)
	next.Call.Outbound = outboundPost([]byte("second"))
	if r := p.Send(next); r.Result != balance.OK || string(r.Answer.Body) != "second" {
		t.Errorf("result %v with %q, want the answer to this request", r.Result, r.Answer.Body)
	}
}

// Which of the idle connections is taken.
func TestOrderOfIdleConnections(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		ages []time.Duration // oldest first
		want int
	}{
		"all have rested":  {[]time.Duration{3 * time.Second, 2 * time.Second, time.Second}, 2},
		"one has not":      {[]time.Duration{3 * time.Second, 2 * time.Second, -time.Hour}, 1},
		"none has":         {[]time.Duration{-time.Hour, -2 * time.Hour}, 0},
		"a single one":     {[]time.Duration{-time.Hour}, 0},
		"only the longest": {[]time.Duration{time.Second, -time.Hour, -2 * time.Hour}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			up := &Server{}
			p := &Pool{idleServers: map[*Server]struct{}{up: {}}}
			for _, age := range test.ages {
				up.idle = append(up.idle, &serverConn{idleSince: now.Add(-age)})
			}
			all := slices.Clone(up.idle)
			if got := slices.Index(all, p.takeIdle(up)); got != test.want {
				t.Errorf("took number %d, want %d", got, test.want)
			}
			if _, kept := p.idleServers[up]; kept != (len(all) > 1) || len(up.idle) != len(all)-1 {
				t.Errorf("%d are left, kept %v", len(up.idle), kept)
			}
		})
	}
}

// A machine that has no descriptor left for a connection says nothing of the server.
func TestNoDescriptorLeft(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p, a, _, _ := exchanging(t, b)
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		return os.NewSyscallError("socket", syscall.EMFILE)
	}
	a.Call.Outbound = outboundPost([]byte("plate 12-34"))
	if r := p.Send(a); r.Result != balance.LocalFailure {
		t.Errorf("result %v, want that no server is blamed", r.Result)
	}
	if n := openOf(p); n != 1 {
		t.Errorf("%d connections are counted, want the other one", n)
	}
}

// A connection that comes back, or up, after its server was retired or all were closed is closed and not kept.
func TestConnectionThatOutlastsItsPool(t *testing.T) {
	ends := map[string]func(*Pool, *Server){
		"server retired": func(p *Pool, up *Server) { p.Retire(up) },
		"all closed": func(p *Pool, _ *Server) {
			p.cancelDials() // as closeAll does first: it waits for dials
		},
	}
	for name, end := range ends {
		t.Run(name+", at work", func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, conn, _ := exchanging(t, b)
			end(p, a.Server)
			p.put(conn)
			if n, idle := openOf(p), idleOf(p, a.Server); n != 0 || idle != 0 {
				t.Errorf("%d connections are counted, %d are kept, want none", n, idle)
			}
			if _, err := conn.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
				t.Errorf("the connection is not closed: %v", err)
			}
		})
		t.Run(name+", on its way", func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, conn, _ := exchanging(t, b)
			p.discard(conn)
			handshake := make(chan struct{})
			p.dialer.Control = func(string, string, syscall.RawConn) error { <-handshake; return nil }
			ctx, giveUp := context.WithCancel(t.Context())
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
			giveUp()
			if err := sidecartest.Receive(t, "the attempt to end", got); !errors.Is(err, context.Canceled) {
				t.Errorf("it ended with %v", err)
			}
			end(p, a.Server)
			close(handshake)
			p.dialers.Wait()
			if n, idle := openOf(p), idleOf(p, a.Server); n != 0 || idle != 0 {
				t.Errorf("%d connections are counted, %d are kept, want none", n, idle)
			}
		})
	}
}

// An attempt whose time is over in the moment in which its connection comes up has that connection, and gives it back.
func TestConnectionComesUpAsItsAttemptIsGivenUp(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	p, a, conn, _ := exchanging(t, b)
	p.discard(conn)
	ctx, giveUp := context.WithCancel(t.Context())
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
	giveUp()
	close(handshake)
	sidecartest.Until(t, "the connection to come up", func() bool { return b.Conns.Load() == 2 })
	p.mu.Unlock()
	sidecartest.Receive(t, "the attempt to end", got)
	p.dialers.Wait()
	if n, idle := openOf(p), idleOf(p, a.Server); n != idle {
		t.Errorf("%d connections are counted, %d are kept", n, idle)
	}
}

// unlookable is a connection whose descriptor cannot be had.
type unlookable struct{ net.Conn }

func (unlookable) SyscallConn() (syscall.RawConn, error) {
	return nil, sidecartest.OpError("fcntl", syscall.ENOMEM)
}

// A kept connection that cannot be looked at is not used, and a client that cannot be looked at is not taken for gone.
func TestConnectionThatCannotBeLookedAt(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	_, _, conn, _ := exchanging(t, b)
	if !conn.quiet() {
		t.Error("an idle connection is not quiet")
	}
	conn.Conn = unlookable{conn.Conn}
	if conn.quiet() {
		t.Error("a kept connection that cannot be looked at is used")
	}
	if netcall.SystemConnStates.PeerGone(conn.Conn) {
		t.Error("a client that cannot be looked at is taken for gone")
	}
}
