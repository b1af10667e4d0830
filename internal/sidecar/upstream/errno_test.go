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

// faulty puts a connection that can fail in place of a kept connection's own.
func faulty(t *testing.T, conn *serverConn) *sidecartest.FaultyConn {
	t.Helper()
	c := &sidecartest.FaultyConn{TCPConn: conn.Conn.(*net.TCPConn)}
	conn.Conn, conn.head.Conn = c, c
	return c
}

// A connection that breaks while its answer is awaited may have run, whatever the system's error: ETIMEDOUT, which
// reports Timeout as this process's own deadline does, is no exception.
func TestReadErrnoIsAReset(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.ECONNREFUSED,
		syscall.ECONNABORTED, syscall.ENOTCONN, syscall.EPIPE, syscall.EBADF, syscall.EFAULT, syscall.EINVAL,
		syscall.ENOTSOCK, syscall.ENETDOWN, syscall.EIO,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, conn, _ := exchanging(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			faulty(t, conn).FailRead = sidecartest.FailTimes(sidecartest.Always, sidecartest.OpError("read", errno))
			p.put(conn)
			if r := p.Send(a); r.Result != balance.Reset || r.Result.NeverRan() {
				t.Errorf("result %v, want %v, which may have run", r.Result, balance.Reset)
			}
		})
	}
}

// The own deadline of a read is a time that ran out.
func TestOwnDeadlineOfAnAnswer(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", func(net.Conn, *http.Request, string) bool { return true })
	p, a, conn, _ := exchanging(t, b)
	a.Call.Outbound = outboundPost([]byte("plate 12-34"))
	a.Deadline = time.Now().Add(20 * time.Millisecond)
	p.put(conn)
	if r := p.Send(a); r.Result != balance.TimedOut {
		t.Errorf("result %v, want %v", r.Result, balance.TimedOut)
	}
}

// What a system call's failure says of the server, for an attempt and for a probe.
func TestResultOfAnErrno(t *testing.T) {
	for _, test := range sidecartest.ErrnoCases() {
		t.Run(test.Call+" "+test.Errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, _, _ := exchanging(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			test.Failing(p, sidecartest.Always)
			if r := p.Send(a); r.Result != test.Result || !r.Result.NeverRan() {
				t.Errorf("an attempt: result %v, want %v", r.Result, test.Result)
			}
			if r := p.HealthCheck(t.Context(), a.Server); r.Result != test.Result {
				t.Errorf("a probe: result %v, want %v", r.Result, test.Result)
			}
			if n := b.Requests.Load(); n != 0 {
				t.Errorf("the server got %d requests", n)
			}
			if n := openOf(p); n != 1 {
				t.Errorf("%d connections are counted, want the test's own", n)
			}
		})
	}
}

// One dial that fails for this machine's trouble fails the attempt that came last; what is on its way serves the one
// that has waited longer.
func TestLocalFailureLeavesOtherWaiters(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	cfg, err := configtest.NewConf("127.0.0.1:1").Load(t)
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool(cfg, 10)
	t.Cleanup(p.Close)
	p.connectWait = sidecartest.Patience
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
	up, cut := &Server{ID: 1, Endpoint: b.Target.Endpoint}, time.Now().Add(sidecartest.Patience)
	older := make(chan error, 1)
	go func() {
		conn, _, err := p.acquire(t.Context(), up, cut, nil)
		if err == nil {
			p.put(conn)
		}
		older <- err
	}()
	first.WaitFor(t, 1)
	if _, _, err := p.acquire(t.Context(), up, cut, nil); unsentResult(t.Context(), cut, err) != balance.LocalFailure {
		t.Errorf("the newer attempt ends with %v", err)
	}
	first.Release()
	if err := sidecartest.Receive(t, "the older attempt", older); err != nil {
		t.Errorf("the older attempt ends with %v", err)
	}
}

// A read that fails for a moment is made again, and the answer is whole.
func TestMomentaryReadErrno(t *testing.T) {
	for _, errno := range netcall.MomentaryErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			p, a, _, _ := exchanging(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			sidecartest.Dialing(p, sidecartest.Succeed, sidecartest.FaultyConn{FailRead: sidecartest.FailTimes(2, sidecartest.OpError("read", errno))})
			if r := p.Send(a); r.Result != balance.OK || string(r.Answer.Body) != "done" {
				t.Errorf("result %v with %q, want the answer", r.Result, r.Answer.Body)
			}
		})
	}
}

// A read that goes on failing for a moment ends at the attempt's own time.
func TestMomentaryReadErrnoUpToTheDeadline(t *testing.T) {
	// It never answers: the answer of one that does could be read in the moment in which the deadline passes.
	b := sidecartest.NewBackend(t, "a", func(net.Conn, *http.Request, string) bool { return true })
	p, a, _, _ := exchanging(t, b)
	a.Call.Outbound = outboundPost([]byte("plate 12-34"))
	cut := time.Now().Add(50 * time.Millisecond)
	a.Deadline = cut
	sidecartest.Dialing(p, sidecartest.Succeed, sidecartest.FaultyConn{FailRead: func() error {
		if time.Now().Before(cut) {
			return sidecartest.OpError("read", syscall.ENOMEM)
		}
		return nil
	}})
	if r := p.Send(a); r.Result != balance.TimedOut {
		t.Errorf("result %v, want %v", r.Result, balance.TimedOut)
	}
}

// A read fails once at any byte of an answer, also in the middle of a line of its head, and those behind it do not:
// after a momentary failure the answer is whole, after any other it has broken off and is never taken for a shorter
// one.
func TestReadErrnoAtEachByteOfAnAnswer(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nX-Server-Load: busy=0.5,rate=7\r\nContent-Length: 4\r\n\r\ndone"
	for errno, want := range map[syscall.Errno]balance.Result{
		syscall.ECONNRESET: balance.Reset, syscall.ETIMEDOUT: balance.Reset, syscall.EINTR: balance.OK,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.Respond(text, true))
			p, a, _, _ := exchanging(t, b)
			a.Call.Outbound = outboundPost([]byte("plate 12-34"))
			stopped := make(chan struct{}) // nobody takes an answer that is passed on as it comes
			close(stopped)
			p.stopped = stopped
			dial := p.dialContext
			for n := range len(text) {
				p.dialContext = dial
				sidecartest.Dialing(p, sidecartest.Succeed, sidecartest.FaultyConn{ByteAtATime: true, FailRead: sidecartest.FailNth(int32(n+1), sidecartest.OpError("read", errno))})
				r := p.Send(a)
				if r.Result != want || r.Result == balance.OK && string(r.Answer.Body) != "done" {
					t.Errorf("at byte %d: result %v with %q, want %v", n, r.Result, r.Answer.Body, want)
				}
				p.CloseIdle(a.Server)
			}
		})
	}
}
