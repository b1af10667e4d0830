package sidecartest

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"marblelane/balance"
	"marblelane/internal/sidecar/inflight"
)

// OpError returns the error of a system call in the form that package net returns it.
func OpError(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// FaultyConn is a connection whose reads and writes fail with the errors of its functions. A nil function injects no
// errors.
type FaultyConn struct {
	*net.TCPConn
	FailRead, failWrite func() error
	ByteAtATime         bool // each read returns at most one byte
}

// Read reads from the connection, or returns the injected error.
func (c *FaultyConn) Read(p []byte) (int, error) {
	if c.FailRead != nil {
		if err := c.FailRead(); err != nil {
			return 0, err
		}
	}
	if c.ByteAtATime && len(p) > 1 {
		p = p[:1]
	}
	return c.TCPConn.Read(p)
}

// Write writes to the connection, or returns the injected error.
func (c *FaultyConn) Write(p []byte) (int, error) {
	if c.failWrite != nil {
		if err := c.failWrite(); err != nil {
			return 0, err
		}
	}
	return c.TCPConn.Write(p)
}

// FailTimes returns a function that returns the error in its first n calls and nil afterwards. It is safe for
// concurrent use.
func FailTimes(n int32, err error) func() error {
	var left atomic.Int32
	left.Store(n)
	return func() error {
		if left.Add(-1) >= 0 {
			return err
		}
		return nil
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// dialWrapper is a connection pool whose dial function a test can wrap.
type dialWrapper interface {
	WrapDial(wrap func(DialFunc) DialFunc)
}

// InjectDialFaults makes the dial function of a pool fail with the errors of failDial. Connections that it opens fail
// like conn.
func InjectDialFaults(p dialWrapper, failDial func() error, conn FaultyConn) {
	p.WrapDial(func(dial DialFunc) DialFunc {
		return func(ctx context.Context, network, addr string) (net.Conn, error) {
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
	})
}

// Succeed injects no error.
func Succeed() error { return nil }

// Unlimited is a number of failures that no test exhausts.
const Unlimited = 1 << 30

// ErrnoCase is a system call that fails while a request is sent to a server, with the expected result.
type ErrnoCase struct {
	Call   string
	Errno  syscall.Errno
	Result balance.Result // of the attempt, as reported to the balancer
	Status int            // of the response to the client, if the call fails once and there is no other server
}

// ErrnoCases returns the errors that socket(2), connect(2) and send(2) document for Linux, with those of a local packet
// filter, of epoll_ctl(2) and of the network. Each occurs before the last byte of a request was written.
func ErrnoCases() []ErrnoCase {
	var cases []ErrnoCase
	add := func(call string, result balance.Result, status int, errnos ...syscall.Errno) {
		for _, errno := range errnos {
			cases = append(cases, ErrnoCase{call, errno, result, status})
		}
	}
	// Failures of this machine: they use up no attempt, and the request is completed in time.
	add("socket", balance.LocalFailure, 200,
		syscall.EACCES, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM)
	add("connect", balance.LocalFailure, 200,
		syscall.EACCES, syscall.EPERM, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOBUFS, syscall.ENOMEM)
	add("epoll_ctl", balance.LocalFailure, 200, syscall.ENOSPC, syscall.ENOMEM)
	add("write", balance.LocalFailure, 200,
		syscall.EACCES, syscall.EPERM, syscall.EAGAIN, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENETUNREACH, syscall.ENETDOWN)
	// Failures of the server, or errors in this program or its settings.
	add("socket", balance.ConnectFailed, inflight.StatusRejected,
		syscall.EAFNOSUPPORT, syscall.EINVAL, syscall.EPROTONOSUPPORT)
	add("connect", balance.ConnectFailed, inflight.StatusRejected,
		syscall.ECONNREFUSED, syscall.EAFNOSUPPORT, syscall.EALREADY, syscall.EBADF, syscall.EFAULT,
		syscall.EINPROGRESS, syscall.EISCONN, syscall.ENOTSOCK, syscall.EPROTOTYPE, syscall.EINVAL)
	add("connect", balance.Unreachable, inflight.StatusRejected, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.EHOSTDOWN)
	add("connect", balance.WriteFailed, inflight.StatusRejected, syscall.ECONNRESET)
	add("write", balance.WriteFailed, inflight.StatusRejected,
		syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EALREADY, syscall.EBADF,
		syscall.EDESTADDRREQ, syscall.EFAULT, syscall.EINVAL, syscall.EISCONN, syscall.EMSGSIZE, syscall.ENOTCONN,
		syscall.ENOTSOCK, syscall.EOPNOTSUPP)
	return cases
}

// Inject makes the call of the case fail in the pool for the given number of times.
func (c *ErrnoCase) Inject(p dialWrapper, times int32) {
	fail := FailTimes(times, OpError(c.Call, c.Errno))
	if c.Call == "write" {
		InjectDialFaults(p, Succeed, FaultyConn{failWrite: fail})
		return
	}
	InjectDialFaults(p, fail, FaultyConn{})
}

// FailNth returns a function that returns the error in its nth call, counted from 1, and nil in all others.
func FailNth(n int32, err error) func() error {
	var calls atomic.Int32
	return func() error {
		if calls.Add(1) == n {
			return err
		}
		return nil
	}
}
