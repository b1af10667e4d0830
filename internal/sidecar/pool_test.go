package sidecar

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
			b := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				servers <- c
				return ok(c, r, body)
			})
			p, a, conn, _ := exchanging(t, b)
			p.put(conn)
			a.call.out = outboundPost([]byte("plate 12-34"))
			if r := p.send(a); r.result != balance.OK {
				t.Fatalf("the first request: result %v", r.result)
			}
			kept := receive(t, "the server's connection", servers)
			until(t, "the connection to be kept", func() bool { return idleOf(p, a.up) == 1 })

			next := further(a)
			next.call.writing.Lock() // it takes the connection, and waits here
			done := make(chan reply, 1)
			go func() { done <- p.send(next) }()
			until(t, "the connection to be taken", func() bool { return idleOf(p, a.up) == 0 })
			change(kept)
			until(t, "the change to arrive", func() bool { return !conn.quiet() })
			next.call.writing.Unlock()
			if r := receive(t, "the answer", done); r.result != balance.OK || string(r.answer.body) != "done" {
				t.Errorf("result %v with %q, want the answer to this request", r.result, r.answer.body)
			}
			if n := b.requests.Load(); n != 2 {
				t.Errorf("the server got %d requests, want 2", n)
			}
			if n := openOf(p); n != 1 {
				t.Errorf("%d connections are counted, want the kept one", n)
			}
		})
	}
}

func idleOf(p *upstreams, up *upstream) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(up.idle)
}

func openOf(p *upstreams) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// checkPool compares what is counted with what is there, while no attempt is out.
func checkPool(t *testing.T, p *upstreams, ups []*upstream) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := 0
	for i, up := range ups {
		idle += len(up.idle)
		if _, kept := p.kept[up]; kept != (len(up.idle) > 0) {
			t.Errorf("server %d has %d idle connections, and kept says %v", i, len(up.idle), kept)
		}
		if up.dialing != 0 || len(up.waiting) != 0 {
			t.Errorf("server %d: %d dials, %d waiting", i, up.dialing, len(up.waiting))
		}
		if up.retired.Load() && len(up.idle) > 0 {
			t.Errorf("retired server %d keeps %d connections", i, len(up.idle))
		}
		for _, conn := range up.idle[len(up.idle):cap(up.idle)] {
			if conn != nil {
				t.Errorf("server %d holds a connection that is not its own any more", i)
				break
			}
		}
	}
	if p.open != idle || p.open > p.most {
		t.Errorf("%d connections are counted of at most %d, %d are there", p.open, p.most, idle)
	}
}

// Whatever attempts, dials, retirements and bounds do beside each other: connections are counted as long as they are
// open, and no longer.
func TestConnectionsAreCounted(t *testing.T) {
	cfg, err := newConf("127.0.0.1:1").load(t)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := newUpstreams(cfg, 12)
			t.Cleanup(p.closeAll)
			p.connectWait = 2 * time.Millisecond // so that some connections are late
			refusing := newBackend(t, "r", ok)
			refusing.Close()
			servers := []target{refusing.target}
			for range 3 {
				servers = append(servers, newBackend(t, "s", ok).target)
			}
			// Those of the other paths: turned away, broken, and with a second answer.
			servers = append(servers, newBackend(t, "f", respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true)).target)
			servers = append(servers, newBackend(t, "b", respond("HTTP/1.1 200 OK\r\nConte", false)).target)
			servers = append(servers, newBackend(t, "d", respond(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 2), true)).target)
			var ups []*upstream
			for _, server := range servers {
				ups = append(ups, &upstream{endpoint: server.Endpoint})
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
					p.retire(up)
				}
			}
			checkPool(t, p, ups)
			p.closeAll()
			if n := openOf(p); n != 0 || len(p.kept) != 0 {
				t.Errorf("at the end %d connections are counted, those of %d servers kept", n, len(p.kept))
			}
		})
	}
}

// useConnections does one of what happens to connections.
func useConnections(p *upstreams, up *upstream, random *rand.Rand) {
	switch random.IntN(12) {
	case 0:
		p.closeIdle(up)
	case 1:
		p.reap(time.Now().Add(time.Duration(random.IntN(20)) * time.Second))
	case 2:
		p.setMost(4 + random.IntN(9))
	case 3: // given up at any time
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(2000))*time.Microsecond)
		p.probe(ctx, up)
		cancel()
	case 4: // its time is over at any time
		a := &attempt{call: &call{out: outboundPost([]byte("plate 12-34"))}, up: up}
		a.ctx, a.cut = context.Background(), time.Now().Add(time.Duration(random.IntN(2000))*time.Microsecond)
		p.send(a)
	default:
		p.probe(context.Background(), up)
	}
}

// A bound that is lowered holds for connections that are at work then, too, as soon as they are not.
func TestLowerBoundHoldsForConnectionsAtWork(t *testing.T) {
	b := newBackend(t, "a", ok)
	p, a, first, _ := exchanging(t, b)
	second, _, err := p.get(a.ctx, a.up, a.cut, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.setMost(1)
	p.put(first)
	p.put(second)
	if n := openOf(p); n != 1 || idleOf(p, a.up) != 1 {
		t.Errorf("%d connections are counted and %d idle, want 1", n, idleOf(p, a.up))
	}
}

// lateSecondAnswers is a server whose connections carry the answer before once more, behind the next request and ahead
// of its answer.
func lateSecondAnswers() serveOne {
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
	b := newBackend(t, "a", lateSecondAnswers())
	p, a, rested, _ := exchanging(t, b)
	a.call.out = outboundPost([]byte("first"))
	if r := p.send(a); r.result != balance.OK { // over a connection of its own
		t.Fatalf("the first request: result %v", r.result)
	}
	p.put(rested)
	p.mu.Lock()
	slices.Reverse(a.up.idle) // as if it had been put before
	a.up.idle[0].since = time.Now().Add(-time.Second)
	a.up.idle[1].since = time.Now().Add(patience) // however slow this machine is: it has just been put
	p.mu.Unlock()
	next := further(a)
	next.call.out = outboundPost([]byte("second"))
	if r := p.send(next); r.result != balance.OK || string(r.answer.body) != "second" {
		t.Errorf("result %v with %q, want the answer to this request", r.result, r.answer.body)
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
			up := &upstream{}
			p := &upstreams{kept: map[*upstream]struct{}{up: {}}}
			for _, age := range test.ages {
				up.idle = append(up.idle, &upConn{since: now.Add(-age)})
			}
			all := slices.Clone(up.idle)
			if got := slices.Index(all, p.takeIdle(up)); got != test.want {
				t.Errorf("took number %d, want %d", got, test.want)
			}
			if _, kept := p.kept[up]; kept != (len(all) > 1) || len(up.idle) != len(all)-1 {
				t.Errorf("%d are left, kept %v", len(up.idle), kept)
			}
		})
	}
}

// A machine that has no descriptor left for a connection says nothing of the server.
func TestNoDescriptorLeft(t *testing.T) {
	b := newBackend(t, "a", ok)
	p, a, _, _ := exchanging(t, b)
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		return os.NewSyscallError("socket", syscall.EMFILE)
	}
	a.call.out = outboundPost([]byte("plate 12-34"))
	if r := p.send(a); r.result != balance.LocalFailure {
		t.Errorf("result %v, want that no server is blamed", r.result)
	}
	if n := openOf(p); n != 1 {
		t.Errorf("%d connections are counted, want the other one", n)
	}
}

// A connection that comes back, or up, after its server was retired or all were closed is closed and not kept.
func TestConnectionThatOutlastsItsPool(t *testing.T) {
	ends := map[string]func(*upstreams, *upstream){
		"server retired": func(p *upstreams, up *upstream) { p.retire(up) },
		"all closed": func(p *upstreams, _ *upstream) {
			p.endDial() // as closeAll does first: it waits for dials
		},
	}
	for name, end := range ends {
		t.Run(name+", at work", func(t *testing.T) {
			b := newBackend(t, "a", ok)
			p, a, conn, _ := exchanging(t, b)
			end(p, a.up)
			p.put(conn)
			if n, idle := openOf(p), idleOf(p, a.up); n != 0 || idle != 0 {
				t.Errorf("%d connections are counted, %d are kept, want none", n, idle)
			}
			if _, err := conn.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
				t.Errorf("the connection is not closed: %v", err)
			}
		})
		t.Run(name+", on its way", func(t *testing.T) {
			b := newBackend(t, "a", ok)
			p, a, conn, _ := exchanging(t, b)
			p.discard(conn)
			handshake := make(chan struct{})
			p.dialer.Control = func(string, string, syscall.RawConn) error { <-handshake; return nil }
			ctx, giveUp := context.WithCancel(t.Context())
			got := make(chan error, 1)
			go func() {
				_, _, err := p.get(ctx, a.up, a.cut, nil)
				got <- err
			}()
			until(t, "the attempt to wait", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return len(a.up.waiting) == 1
			})
			giveUp()
			if err := receive(t, "the attempt to end", got); !errors.Is(err, context.Canceled) {
				t.Errorf("it ended with %v", err)
			}
			end(p, a.up)
			close(handshake)
			p.dialers.Wait()
			if n, idle := openOf(p), idleOf(p, a.up); n != 0 || idle != 0 {
				t.Errorf("%d connections are counted, %d are kept, want none", n, idle)
			}
		})
	}
}

// An attempt whose time is over in the moment in which its connection comes up has that connection, and gives it back.
func TestConnectionComesUpAsItsAttemptIsGivenUp(t *testing.T) {
	b := newBackend(t, "a", ok)
	p, a, conn, _ := exchanging(t, b)
	p.discard(conn)
	ctx, giveUp := context.WithCancel(t.Context())
	got := make(chan error, 1)
	handshake := make(chan struct{})
	p.dialer.Control = func(string, string, syscall.RawConn) error { <-handshake; return nil }
	go func() {
		conn, _, err := p.get(ctx, a.up, a.cut, nil)
		if err == nil {
			p.discard(conn)
		}
		got <- err
	}()
	until(t, "the attempt to wait", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(a.up.waiting) == 1
	})
	p.mu.Lock() // neither the attempt nor the connection gets any further: their order is open
	giveUp()
	close(handshake)
	until(t, "the connection to come up", func() bool { return b.conns.Load() == 2 })
	p.mu.Unlock()
	receive(t, "the attempt to end", got)
	p.dialers.Wait()
	if n, idle := openOf(p), idleOf(p, a.up); n != idle {
		t.Errorf("%d connections are counted, %d are kept", n, idle)
	}
}

// A look at a connection whose answer cannot be had says neither that it may be used nor that its other end has gone.
func TestPeekResults(t *testing.T) {
	type looked struct {
		n   int
		err error
	}
	endless := slices.Repeat([]looked{{-1, syscall.EINTR}}, mostPeeks)
	for name, test := range map[string]struct {
		looks []looked
		want  peekResult
	}{
		"nothing there":          {[]looked{{-1, syscall.EAGAIN}}, peekQuiet},
		"would block":            {[]looked{{-1, syscall.EWOULDBLOCK}}, peekQuiet},
		"a byte":                 {[]looked{{1, nil}}, peekUnread},
		"the end":                {[]looked{{0, nil}}, peekEnded},
		"reset":                  {[]looked{{-1, syscall.ECONNRESET}}, peekEnded},
		"timed out":              {[]looked{{-1, syscall.ETIMEDOUT}}, peekEnded},
		"unreachable":            {[]looked{{-1, syscall.EHOSTUNREACH}}, peekEnded},
		"refused":                {[]looked{{-1, syscall.ECONNREFUSED}}, peekEnded},
		"not connected":          {[]looked{{-1, syscall.ENOTCONN}}, peekEnded},
		"interrupted, a byte":    {[]looked{{-1, syscall.EINTR}, {1, nil}}, peekUnread},
		"interrupted, the end":   {[]looked{{-1, syscall.EINTR}, {-1, syscall.EINTR}, {0, nil}}, peekEnded},
		"interrupted for ever":   {endless, peekUnknown},
		"no memory":              {[]looked{{-1, syscall.ENOMEM}}, peekUnknown},
		"no buffers":             {[]looked{{-1, syscall.ENOBUFS}}, peekUnknown},
		"not permitted":          {[]looked{{-1, syscall.EPERM}}, peekUnknown},
		"no such call":           {[]looked{{-1, syscall.ENOSYS}}, peekUnknown},
		"no descriptor":          {[]looked{{-1, syscall.EBADF}}, peekUnknown},
		"no socket":              {[]looked{{-1, syscall.ENOTSOCK}}, peekUnknown},
		"flags that cannot be":   {[]looked{{-1, syscall.EINVAL}}, peekUnknown},
		"address that cannot be": {[]looked{{-1, syscall.EFAULT}}, peekUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			next := 0
			got := peekWith(func() (int, error) {
				l := test.looks[next]
				next++
				return l.n, l.err
			})
			if got != test.want || next != len(test.looks) {
				t.Errorf("%v after %d looks, want %v after %d", got, next, test.want, len(test.looks))
			}
		})
	}
}

// unlookable is a connection whose descriptor cannot be had.
type unlookable struct{ net.Conn }

func (unlookable) SyscallConn() (syscall.RawConn, error) {
	return nil, opError("fcntl", syscall.ENOMEM)
}

// A kept connection that cannot be looked at is not used, and a client that cannot be looked at is not taken for gone.
func TestConnectionThatCannotBeLookedAt(t *testing.T) {
	b := newBackend(t, "a", ok)
	_, _, conn, _ := exchanging(t, b)
	if !conn.quiet() {
		t.Error("an idle connection is not quiet")
	}
	conn.Conn = unlookable{conn.Conn}
	if conn.quiet() {
		t.Error("a kept connection that cannot be looked at is used")
	}
	if systemStates.peerGone(conn.Conn) {
		t.Error("a client that cannot be looked at is taken for gone")
	}
}
