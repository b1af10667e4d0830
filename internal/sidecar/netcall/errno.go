package netcall

import (
	"errors"
	"io"
	"os"
	"slices"
	"syscall"
	"time"
)

// Errnos is a set of error numbers.
type Errnos []syscall.Errno

// Has reports whether an error comes from one of them.
func (set Errnos) Has(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(set, errno)
}

var (
	// momentaryErrnos: the call found no memory or was interrupted. Nothing was done, and it can be made again.
	MomentaryErrnos = Errnos{syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.ENOBUFS}
	// localErrnos: this machine has no socket, port, memory, poller's entry or route left, or a filter of its own
	// (EPERM, EACCES) forbids the call. It says nothing of the other end.
	LocalErrnos = append(Errnos{
		syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENOSPC,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES,
	}, MomentaryErrnos...)
	// unreachableErrnos: the network gives no way to the other end, whose process may well run.
	UnreachableErrnos = Errnos{syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ETIMEDOUT}
	// EndedErrnos are those with which the system tells that a connection is over.
	EndedErrnos = append(Errnos{
		syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.ENETRESET, syscall.ENOTCONN, syscall.ESHUTDOWN,
	}, UnreachableErrnos...)
)

const (
	minRetryPause = 5 * time.Millisecond // before a call is made again; each pause is twice the one before
	MaxRetryPause = 100 * time.Millisecond
)

// RetryingReader reads a connection. After a momentary failure of the system it reads again, until the connection's
// deadline ends it: nothing was taken by a read that failed so. After any other failure it goes on failing: package
// bufio drops an error behind the beginning of a line, and if the system told it only once the rest would be read as
// another line.
type RetryingReader struct {
	failed error // nil: none but momentary ones and the own deadline
}

// Read returns the errors of the connection but for momentary ones.
func (r *RetryingReader) Read(conn io.Reader, p []byte) (int, error) {
	if r.failed != nil {
		return 0, r.failed
	}
	for pause := minRetryPause; ; pause = min(2*pause, MaxRetryPause) {
		n, err := conn.Read(p)
		if n == 0 && MomentaryErrnos.Has(err) {
			time.Sleep(pause)
			continue
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			r.failed = err
		}
		return n, err
	}
}
