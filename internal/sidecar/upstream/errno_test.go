package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// injectFaults replaces the TCP connection of conn by one that can fail.
func injectFaults(t *testing.T, conn *serverConn) *sidecartest.FaultyConn {
	t.Helper()
	c := &sidecartest.FaultyConn{TCPConn: conn.Conn.(*net.TCPConn)}
	conn.Conn, conn.head.Conn = c, c
	return c
}

// A request whose connection breaks while its response is awaited may have run, whatever the errno. That includes
// ETIMEDOUT, which reports Timeout just as a deadline of this process does.
func TestReadErrno_isReset(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.ECONNREFUSED,
		syscall.ECONNABORTED, syscall.ENOTCONN, syscall.EPIPE, syscall.EBADF, syscall.EFAULT, syscall.EINVAL,
		syscall.ENOTSOCK, syscall.ENETDOWN, syscall.EIO,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, conn, _ := newExchange(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			injectFaults(t, conn).FailRead = sidecartest.FailTimes(sidecartest.Unlimited, sidecartest.OpError("read", errno))
			p.release(conn)
			if r := p.Send(a); r.Result != balance.Reset || r.Result.NeverRan() {
				t.Errorf("result %v, want %v, which may have run", r.Result, balance.Reset)
			}
		})
	}
}

// A read that ends at the deadline set by this process is a timeout.
func TestResponse_ownDeadline(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", func(net.Conn, *http.Request, string) bool { return true })
	p, a, conn, _ := newExchange(t, b)
	a.Call.Outbound = outboundPost([]byte("plate 12-34"))
	a.Deadline = time.Now().Add(20 * time.Millisecond)
	p.release(conn)
	if r := p.Send(a); r.Result != balance.TimedOut {
		t.Errorf("result %v, want %v", r.Result, balance.TimedOut)
	}
}

// Each errno leads to the same result for an attempt and for a health check.
func TestErrno_attemptResult(t *testing.T) {
	for _, test := range sidecartest.ErrnoCases() {
		t.Run(test.Call+" "+test.Errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, _, _ := newExchange(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			test.Inject(p, sidecartest.Unlimited)
			if r := p.Send(a); r.Result != test.Result || !r.Result.NeverRan() {
				t.Errorf("an attempt: result %v, want %v", r.Result, test.Result)
			}
			if r := p.HealthCheck(t.Context(), a.Server); r.Result != test.Result {
				t.Errorf("a health check: result %v, want %v", r.Result, test.Result)
			}
			if n := b.Requests.Load(); n != 0 {
				t.Errorf("the server got %d requests", n)
			}
			if n := openCount(p); n != 1 {
				t.Errorf("%d connections are counted, want only the test's own", n)
			}
		})
	}
}

// If a dial fails because of this machine, the attempt that came last fails. The dials that are still running serve
// the attempt that has waited longer.
func TestDial_localFailureOfNewestWaiter(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	cfg, err := configtest.NewConf("127.0.0.1:1").Load(t)
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool(cfg, 10)
	t.Cleanup(p.Close)
	p.connectTimeout = sidecartest.WaitTimeout
	dial, first := p.dialContext, sidecartest.NewBarrier()
	t.Cleanup(first.Release)
	var dials atomic.Int32
	p.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			return nil, sidecartest.OpError("socket", syscall.EMFILE)
		}
		first.Pass()
		return dial(ctx, network, addr)
	}
	server, deadline := &Server{ID: 1, Endpoint: b.Target.Endpoint}, time.Now().Add(sidecartest.WaitTimeout)
	older := make(chan error, 1)
	go func() {
		conn, _, err := p.acquire(t.Context(), server, deadline, nil)
		if err == nil {
			p.release(conn)
		}
		older <- err
	}()
	first.WaitFor(t, 1)
	if _, _, err := p.acquire(t.Context(), server, deadline, nil); unsentResult(t.Context(), deadline, err) != balance.LocalFailure {
		t.Errorf("the newer attempt ended with %v, want a local failure", err)
	}
	first.Release()
	if err := sidecartest.Receive(t, "the older attempt", older); err != nil {
		t.Errorf("the older attempt ended with %v", err)
	}
}

// A read that fails with a transient error is repeated, and the response is complete.
func TestReadErrno_transient(t *testing.T) {
	for _, errno := range netcall.TransientErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, _, _ := newExchange(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			sidecartest.InjectDialFaults(p, sidecartest.Succeed, sidecartest.FaultyConn{FailRead: sidecartest.FailTimes(2, sidecartest.OpError("read", errno))})
			if r := p.Send(a); r.Result != balance.OK || string(r.Response.Body) != "done" {
				t.Errorf("result %v with %q, want the complete response", r.Result, r.Response.Body)
			}
		})
	}
}

// A read that keeps failing with a transient error ends at the deadline of the attempt.
func TestReadErrno_transientUntilDeadline(t *testing.T) {
	// The backend never responds: a response could be read at the moment at which the deadline passes.
	b := sidecartest.NewBackend(t, "a", func(net.Conn, *http.Request, string) bool { return true })
	p, a, _, _ := newExchange(t, b)
	a.Call.Outbound = outboundPost([]byte("plate 12-34"))
	deadline := time.Now().Add(50 * time.Millisecond)
	a.Deadline = deadline
	sidecartest.InjectDialFaults(p, sidecartest.Succeed, sidecartest.FaultyConn{FailRead: func() error {
		if time.Now().Before(deadline) {
			return sidecartest.OpError("read", syscall.ENOMEM)
		}
		return nil
	}})
	if r := p.Send(a); r.Result != balance.TimedOut {
		t.Errorf("result %v, want %v", r.Result, balance.TimedOut)
	}
}

// One read fails at any byte of a response, also within a line of its head, and later reads succeed. After a transient
// error the response is complete. After any other error the attempt fails: the bytes up to there are never taken for a
// shorter response.
func TestReadErrno_atEveryByteOfResponse(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nX-Server-Load: busy=0.5,rate=7\r\nContent-Length: 4\r\n\r\ndone"
	for errno, want := range map[syscall.Errno]balance.Result{
		syscall.ECONNRESET: balance.Reset, syscall.ETIMEDOUT: balance.Reset, syscall.EINTR: balance.OK,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.Respond(text, true))
			p, a, _, _ := newExchange(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			stopped := make(chan struct{}) // no client takes a forwarded response
			close(stopped)
			p.loopStopped = stopped
			dial := p.dialContext
			for n := range len(text) {
				p.dialContext = dial
				sidecartest.InjectDialFaults(p, sidecartest.Succeed, sidecartest.FaultyConn{ByteAtATime: true, FailRead: sidecartest.FailNth(int32(n+1), sidecartest.OpError("read", errno))})
				r := p.Send(a)
				if r.Result != want || r.Result == balance.OK && string(r.Response.Body) != "done" {
					t.Errorf("at byte %d: result %v with %q, want %v", n, r.Result, r.Response.Body, want)
				}
				p.CloseIdle(a.Server)
			}
		})
	}
}
