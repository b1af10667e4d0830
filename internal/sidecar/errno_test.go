package sidecar

import (
	"errors"
	"net"
	"net/http"
	"os"
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
