package sidecar

// This file says whose trouble the error of a system call is: this machine's, the way's or the other end's.

import (
	"errors"
	"io"
	"os"
	"slices"
	"syscall"
	"time"
)

// errnos is a set of error numbers.
type errnos []syscall.Errno

// has reports whether an error comes from one of them.
func (set errnos) has(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(set, errno)
}

var (
	// momentaryErrnos: the call found no memory or was interrupted. Nothing was done, and it can be made again.
	momentaryErrnos = errnos{syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.ENOBUFS}
	// localErrnos: this machine has no socket, port, memory, poller's entry or route left, or a filter of its own
	// (EPERM, EACCES) forbids the call. It says nothing of the other end.
	localErrnos = append(errnos{
		syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENOSPC,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES,
	}, momentaryErrnos...)
	// unreachableErrnos: the network gives no way to the other end, whose process may well run.
	unreachableErrnos = errnos{syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ETIMEDOUT}
	// endedErrnos are those with which the system tells that a connection is over.
	endedErrnos = append(errnos{
		syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.ENETRESET, syscall.ENOTCONN, syscall.ESHUTDOWN,
	}, unreachableErrnos...)
)

const (
	firstRetryPause   = 5 * time.Millisecond // before a call is made again; each pause is twice the one before
	longestRetryPause = 100 * time.Millisecond
)

// steadyReader reads a connection. After a momentary failure of the system it reads again, until the connection's
// deadline ends it: nothing was taken by a read that failed so. After any other failure it goes on failing: package
// bufio drops an error behind the beginning of a line, and if the system told it only once the rest would be read as
// another line.
type steadyReader struct {
	failed error // nil: none but momentary ones and the own deadline
}

// read returns the errors of the connection but for momentary ones.
func (r *steadyReader) read(conn io.Reader, p []byte) (int, error) {
	if r.failed != nil {
		return 0, r.failed
	}
	for pause := firstRetryPause; ; pause = min(2*pause, longestRetryPause) {
		n, err := conn.Read(p)
		if n == 0 && momentaryErrnos.has(err) {
			time.Sleep(pause)
			continue
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			r.failed = err
		}
		return n, err
	}
}
