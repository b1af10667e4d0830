package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"marblelane/balance"
)

// opError is the failure of a system call as package net gives it.
func opError(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// faultyConn fails reads and writes as a test says; a nil function fails none.
type faultyConn struct {
	*net.TCPConn
	failRead, failWrite func() error
	byteAtATime         bool // the system takes and gives one byte with each call
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if c.failRead != nil {
		if err := c.failRead(); err != nil {
			return 0, err
		}
	}
	if c.byteAtATime && len(p) > 1 {
		p = p[:1]
	}
	return c.TCPConn.Read(p)
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.failWrite != nil {
		if err := c.failWrite(); err != nil {
			return 0, err
		}
	}
	return c.TCPConn.Write(p)
}

// faulty puts a connection that can fail in place of a kept connection's own.
func faulty(t *testing.T, conn *upConn) *faultyConn {
	t.Helper()
	c := &faultyConn{TCPConn: conn.Conn.(*net.TCPConn)}
	conn.Conn, conn.head.Conn = c, c
	return c
}

// failTimes fails with an error so many times, and then not any more.
func failTimes(n int32, err error) func() error {
	var left atomic.Int32
	left.Store(n)
	return func() error {
		if left.Add(-1) >= 0 {
			return err
		}
		return nil
	}
}

// dialing makes the dialer fail as a test says, and gives connections that fail so.
func (p *upstreams) dialing(failDial func() error, conn faultyConn) {
	dial := p.dialContext
	p.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if err := failDial(); err != nil {
			return nil, err
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		faulty := conn
		faulty.TCPConn = c.(*net.TCPConn)
		return &faulty, nil
	}
}

// succeed is the failure of a call that does not fail.
func succeed() error { return nil }

// always is more failures than any test waits for.
const always = 1 << 30

// A connection that breaks while its answer is awaited may have run, whatever the system's error: ETIMEDOUT, which
// reports Timeout as this process's own deadline does, is no exception.
func TestReadErrnoIsAReset(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.ECONNREFUSED,
		syscall.ECONNABORTED, syscall.ENOTCONN, syscall.EPIPE, syscall.EBADF, syscall.EFAULT, syscall.EINVAL,
		syscall.ENOTSOCK, syscall.ENETDOWN, syscall.EIO,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			b := newBackend(t, "a", ok)
			p, a, conn, _ := exchanging(t, b)
			a.call.out = outboundPost([]byte("plate 12-34"))
			faulty(t, conn).failRead = failTimes(always, opError("read", errno))
			p.put(conn)
			if r := p.send(a); r.result != balance.Reset || r.result.NeverRan() {
				t.Errorf("result %v, want %v, which may have run", r.result, balance.Reset)
			}
		})
	}
}

// The own deadline of a read is a time that ran out.
func TestOwnDeadlineOfAnAnswer(t *testing.T) {
	b := newBackend(t, "a", func(net.Conn, *http.Request, string) bool { return true })
	p, a, conn, _ := exchanging(t, b)
	a.call.out = outboundPost([]byte("plate 12-34"))
	a.cut = time.Now().Add(20 * time.Millisecond)
	p.put(conn)
	if r := p.send(a); r.result != balance.TimedOut {
		t.Errorf("result %v, want %v", r.result, balance.TimedOut)
	}
}

// A client's body is slow only if the own deadline ended the read, however long the read took.
func TestBodyErrorIsNotTakenForItsDeadline(t *testing.T) {
	for _, test := range []struct {
		err  error
		slow bool
	}{
		{opError("read", syscall.ECONNRESET), false},
		{opError("read", syscall.ETIMEDOUT), false},
		{opError("read", syscall.EHOSTUNREACH), false},
		{&net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}, true},
	} {
		t.Run(test.err.Error(), func(t *testing.T) {
			body := &pacedBody{body: iotest.ErrReader(test.err), until: func(time.Time) error { return nil }}
			_, err := body.Read(make([]byte, 1))
			if errors.Is(err, errBodySlow) != test.slow || !test.slow && err != test.err {
				t.Errorf("error %v, want one of a slow body: %v", err, test.slow)
			}
		})
	}
}

// errnoCase says what is made of the failure of a system call on the way to a server.
type errnoCase struct {
	call   string
	errno  syscall.Errno
	result balance.Result // for the server
	status int            // of the answer to the client, where the call fails once and there is no other server
}

// errnoCases are the errors that socket(2), connect(2) and send(2) list for Linux, with those of a local filter, of
// epoll_ctl(2) and of the network. Each fails before the last byte of a request was written.
func errnoCases() []errnoCase {
	var cases []errnoCase
	add := func(call string, result balance.Result, status int, errnos ...syscall.Errno) {
		for _, errno := range errnos {
			cases = append(cases, errnoCase{call, errno, result, status})
		}
	}
	// This machine's trouble: no attempt is used up, and the request goes on in time.
	add("socket", balance.LocalFailure, 200,
		syscall.EACCES, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM)
	add("connect", balance.LocalFailure, 200,
		syscall.EACCES, syscall.EPERM, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOBUFS, syscall.ENOMEM)
	add("epoll_ctl", balance.LocalFailure, 200, syscall.ENOSPC, syscall.ENOMEM)
	add("write", balance.LocalFailure, 200,
		syscall.EACCES, syscall.EPERM, syscall.EAGAIN, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENETUNREACH, syscall.ENETDOWN)
	// The server's failure, or what this program or its settings do wrong with it.
	add("socket", balance.ConnectFailed, statusRefused,
		syscall.EAFNOSUPPORT, syscall.EINVAL, syscall.EPROTONOSUPPORT)
	add("connect", balance.ConnectFailed, statusRefused,
		syscall.ECONNREFUSED, syscall.EAFNOSUPPORT, syscall.EALREADY, syscall.EBADF, syscall.EFAULT,
		syscall.EINPROGRESS, syscall.EISCONN, syscall.ENOTSOCK, syscall.EPROTOTYPE, syscall.EINVAL)
	add("connect", balance.Unreachable, statusRefused, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.EHOSTDOWN)
	add("connect", balance.WriteFailed, statusRefused, syscall.ECONNRESET)
	add("write", balance.WriteFailed, statusRefused,
		syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EALREADY, syscall.EBADF,
		syscall.EDESTADDRREQ, syscall.EFAULT, syscall.EINVAL, syscall.EISCONN, syscall.EMSGSIZE, syscall.ENOTCONN,
		syscall.ENOTSOCK, syscall.EOPNOTSUPP)
	return cases
}

// failing makes the pool's calls fail as the case says, so many times.
func (c *errnoCase) failing(p *upstreams, times int32) {
	fail := failTimes(times, opError(c.call, c.errno))
	if c.call == "write" {
		p.dialing(succeed, faultyConn{failWrite: fail})
		return
	}
	p.dialing(fail, faultyConn{})
}

// What a system call's failure says of the server, for an attempt and for a probe.
func TestResultOfAnErrno(t *testing.T) {
	for _, test := range errnoCases() {
		t.Run(test.call+" "+test.errno.Error(), func(t *testing.T) {
			b := newBackend(t, "a", ok)
			p, a, _, _ := exchanging(t, b)
			a.call.out = outboundPost([]byte("plate 12-34"))
			test.failing(p, always)
			if r := p.send(a); r.result != test.result || !r.result.NeverRan() {
				t.Errorf("an attempt: result %v, want %v", r.result, test.result)
			}
			if r := p.probe(t.Context(), a.up); r.result != test.result {
				t.Errorf("a probe: result %v, want %v", r.result, test.result)
			}
			if n := b.requests.Load(); n != 0 {
				t.Errorf("the server got %d requests", n)
			}
			if n := openOf(p); n != 1 {
				t.Errorf("%d connections are counted, want the test's own", n)
			}
		})
	}
}

// What a client gets where a system call fails once and there is one server: a request that must not run twice goes
// on where the trouble is this machine's, and is refused where it is the server's. It runs once or not at all.
// Refusals last as long as their client waits, so one errno of each call and result stands for the others of it.
func TestAnswerAfterAnErrno(t *testing.T) {
	type refusal struct {
		call   string
		result balance.Result
	}
	refused := map[refusal]bool{}
	for _, test := range errnoCases() {
		wait := time.Second
		if test.status != 200 {
			if refused[refusal{test.call, test.result}] {
				continue
			}
			refused[refusal{test.call, test.result}] = true
			wait = 150 * time.Millisecond
		}
		t.Run(test.call+" "+test.errno.Error(), func(t *testing.T) {
			b := newBackend(t, "a", ok)
			s := start(t, newConf(newRegistry(t).addr(), b.target), func(s *Sidecar) { test.failing(s.loop.pool, 1) })
			if got := s.do(s.request("charge", wait)); got.status != test.status {
				t.Errorf("%+v, want %d", got, test.status)
			}
			runs := int64(0)
			if test.status == 200 {
				runs = 1
			}
			if n := b.requests.Load(); n != runs {
				t.Errorf("it ran %d times, want %d", n, runs)
			}
		})
	}
}

// A request goes on as long as its time lasts, over more failures of this machine than it has attempts.
func TestLocalFailuresUseUpNoAttempts(t *testing.T) {
	const failures = 9 // the settings allow 6 attempts
	b := newBackend(t, "a", ok)
	fail := errnoCase{call: "socket", errno: syscall.EMFILE}
	s := start(t, newConf(newRegistry(t).addr(), b.target), func(s *Sidecar) { fail.failing(s.loop.pool, failures) })
	if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
		t.Errorf("%+v, want it served", got)
	}
	if n := b.requests.Load(); n != 1 {
		t.Errorf("%d requests at the server, want 1", n)
	}
}

// A request that cannot be sent for as long as its time lasts is refused at its end, once.
func TestLocalFailuresEndInARefusal(t *testing.T) {
	b := newBackend(t, "a", ok)
	fail := errnoCase{call: "connect", errno: syscall.EADDRNOTAVAIL}
	s := start(t, newConf(newRegistry(t).addr(), b.target), func(s *Sidecar) { fail.failing(s.loop.pool, always) })
	got := s.do(s.request("charge", 300*time.Millisecond))
	if got.status != statusRefused || got.took < 250*time.Millisecond {
		t.Errorf("%+v after %v, want a refusal when its time is up", got, got.took)
	}
}

// One dial that fails for this machine's trouble fails the attempt that came last; what is on its way serves the one
// that has waited longer.
func TestLocalFailureLeavesOtherWaiters(t *testing.T) {
	b := newBackend(t, "a", ok)
	cfg, err := newConf("127.0.0.1:1").load(t)
	if err != nil {
		t.Fatal(err)
	}
	p := newUpstreams(cfg, 10)
	t.Cleanup(p.closeAll)
	p.connectWait = patience
	dial, first := p.dialContext, newBarrier()
	t.Cleanup(first.release)
	var dials atomic.Int32
	p.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			return nil, opError("socket", syscall.EMFILE)
		}
		first.pass()
		return dial(ctx, network, addr)
	}
	up, cut := &upstream{id: 1, endpoint: b.target.Endpoint}, time.Now().Add(patience)
	older := make(chan error, 1)
	go func() {
		conn, _, err := p.get(t.Context(), up, cut, nil)
		if err == nil {
			p.put(conn)
		}
		older <- err
	}()
	first.waitFor(t, 1)
	if _, _, err := p.get(t.Context(), up, cut, nil); unsent(t.Context(), cut, err) != balance.LocalFailure {
		t.Errorf("the newer attempt ends with %v", err)
	}
	first.release()
	if err := receive(t, "the older attempt", older); err != nil {
		t.Errorf("the older attempt ends with %v", err)
	}
}

// A read that fails for a moment is made again, and the answer is whole.
func TestMomentaryReadErrno(t *testing.T) {
	for _, errno := range momentaryErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			b := newBackend(t, "a", ok)
			p, a, _, _ := exchanging(t, b)
			a.call.out = outboundPost([]byte("plate 12-34"))
			p.dialing(succeed, faultyConn{failRead: failTimes(2, opError("read", errno))})
			if r := p.send(a); r.result != balance.OK || string(r.answer.body) != "done" {
				t.Errorf("result %v with %q, want the answer", r.result, r.answer.body)
			}
		})
	}
}

// A read that goes on failing for a moment ends at the attempt's own time.
func TestMomentaryReadErrnoUpToTheDeadline(t *testing.T) {
	// It never answers: the answer of one that does could be read in the moment in which the deadline passes.
	b := newBackend(t, "a", func(net.Conn, *http.Request, string) bool { return true })
	p, a, _, _ := exchanging(t, b)
	a.call.out = outboundPost([]byte("plate 12-34"))
	cut := time.Now().Add(50 * time.Millisecond)
	a.cut = cut
	p.dialing(succeed, faultyConn{failRead: func() error {
		if time.Now().Before(cut) {
			return opError("read", syscall.ENOMEM)
		}
		return nil
	}})
	if r := p.send(a); r.result != balance.TimedOut {
		t.Errorf("result %v, want %v", r.result, balance.TimedOut)
	}
}

// failingDials makes the calls to discovery fail for the first times.
func (d *discovery) failingDials(times int32, err error) {
	transport := d.client.Transport.(*http.Transport)
	dial, fail := transport.DialContext, failTimes(times, err)
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if err := fail(); err != nil {
			return nil, err
		}
		return dial(ctx, network, addr)
	}
}

// A call to discovery that this machine cannot make is made again soon, and no service has failed; any other failure is
// the service's, and is told at once.
func TestErrnoOfACallToDiscovery(t *testing.T) {
	const failures = 3
	services := errnos{syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET}
	for _, errno := range slices.Concat(localErrnos, services) {
		t.Run(errno.Error(), func(t *testing.T) {
			r := newRegistry(t)
			d, heard := hearing(t, r.addr())
			d.failingDials(failures, opError("connect", errno))
			d.watch(t.Context(), 0)
			if slices.Contains(services, errno) {
				if n := receive(t, "the failure", heard); n.kind != balance.ListFailed {
					t.Errorf("%+v, want that the service has failed", n)
				}
				return
			}
			receive(t, "the call", r.calls).send(t, list{Rev: 7})
			if n := receive(t, "the list", heard); n.kind != balance.ListDelta || n.list.Rev != 7 {
				t.Errorf("%+v, want the list alone", n)
			}
		})
	}
}

// So is a call to an agent that pushes lists.
func TestErrnoOfACallToTheAgent(t *testing.T) {
	for _, errno := range localErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			r := newRegistry(t)
			d, heard := hearing(t, r.addr())
			d.lag = leastLag
			d.failingDials(3, opError("connect", errno))
			ctx, cancel := context.WithCancel(t.Context())
			t.Cleanup(cancel)
			d.subscribe(ctx)
			receive(t, "the call", r.calls).send(t, list{Rev: 7})
			if n := receive(t, "the list", heard); n.kind != balance.ListDelta || n.list.Rev != 7 {
				t.Errorf("%+v, want the list alone", n)
			}
		})
	}
}

// failNth fails the nth call, counted from 1, and no other.
func failNth(n int32, err error) func() error {
	var calls atomic.Int32
	return func() error {
		if calls.Add(1) == n {
			return err
		}
		return nil
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
			b := newBackend(t, "a", respond(text, true))
			p, a, _, _ := exchanging(t, b)
			a.call.out = outboundPost([]byte("plate 12-34"))
			stopped := make(chan struct{}) // nobody takes an answer that is passed on as it comes
			close(stopped)
			p.stopped = stopped
			dial := p.dialContext
			for n := range len(text) {
				p.dialContext = dial
				p.dialing(succeed, faultyConn{byteAtATime: true, failRead: failNth(int32(n+1), opError("read", errno))})
				r := p.send(a)
				if r.result != want || r.result == balance.OK && string(r.answer.body) != "done" {
					t.Errorf("at byte %d: result %v with %q, want %v", n, r.result, r.answer.body, want)
				}
				p.closeIdle(a.up)
			}
		})
	}
}

// The same holds for what discovery answers.
func TestReadErrnoAtEachByteOfAList(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 24\r\nConnection: close\r\n\r\n{\"rev\": 7, \"all\": true}\n"
	for errno, whole := range map[syscall.Errno]bool{syscall.ECONNRESET: false, syscall.ENOMEM: true} {
		t.Run(errno.Error(), func(t *testing.T) {
			b := newBackend(t, "a", respond(text, false))
			for n := range len(text) - 1 { // the last byte is an empty rest
				d, heard := hearing(t, b.target.Endpoint)
				transport := d.client.Transport.(*http.Transport)
				var dialer net.Dialer
				transport.DialContext = dialReporting(func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dialer.DialContext(ctx, network, addr)
					if err != nil {
						return nil, err
					}
					fail := failNth(int32(n+1), opError("read", errno))
					return &faultyConn{TCPConn: c.(*net.TCPConn), byteAtATime: true, failRead: fail}, nil
				})
				err := d.read(t.Context(), "", listEvent{}, alone, patience, patience)
				if got := len(heard) == 1 && (<-heard).list.Rev == 7 && errors.Is(err, io.EOF); got != whole {
					t.Errorf("at byte %d: the list was told: %v, %v", n, got, err)
				}
			}
		})
	}
}

// A read fails once at any byte of a client's request: the request is whole or none.
func TestReadErrnoAtEachByteOfARequest(t *testing.T) {
	const text = "POST /api HTTP/1.1\r\nHost: b\r\nX-Timeout-Ms: 1000\r\nContent-Length: 4\r\n\r\ndone"
	for errno, whole := range map[syscall.Errno]bool{syscall.ECONNRESET: false, syscall.EINTR: true} {
		t.Run(errno.Error(), func(t *testing.T) {
			b := newBackend(t, "a", respond(text, true)) // it says to whoever calls what a client would
			for n := range len(text) {
				c, err := net.Dial("tcp", b.target.Endpoint)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: b\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				fail := failNth(int32(n+1), opError("read", errno))
				client := &headConn{Conn: &faultyConn{TCPConn: c.(*net.TCPConn), byteAtATime: true, failRead: fail}}
				client.SetReadDeadline(time.Now().Add(patience))
				if got := wholeRequest(client); got != whole {
					t.Errorf("at byte %d: a request was read: %v", n, got)
				}
			}
		})
	}
}

// wholeRequest reports whether a request with its body can be read.
func wholeRequest(conn net.Conn) bool {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.ReadAll(req.Body)
	return err == nil
}
