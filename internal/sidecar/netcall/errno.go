package netcall

import (
	"errors"
	"slices"
	"syscall"
)

// Errnos is a set of error numbers.
type Errnos []syscall.Errno

// Contains reports whether an error comes from one of them.
func (set Errnos) Contains(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(set, errno)
}

// The classes of error numbers by the party that they blame. They are constant.
var (
	// TransientErrnos report a call that found no memory or was interrupted. Nothing was done, and it can be made again.
	TransientErrnos = Errnos{syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.ENOBUFS}
	// LocalErrnos report that this machine has no socket, port, memory, poller's entry or route left, or that a filter of
	// its own (EPERM, EACCES) forbids the call. They say nothing of the other end.
	LocalErrnos = slices.Concat(Errnos{
		syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENOSPC,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES,
	}, TransientErrnos)
	// UnreachableErrnos report that the network has no way to the other end, whose process may well run.
	UnreachableErrnos = Errnos{syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ETIMEDOUT}
	// ConnClosedErrnos report that a connection is over.
	ConnClosedErrnos = slices.Concat(Errnos{
		syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.ENETRESET, syscall.ENOTCONN, syscall.ESHUTDOWN,
	}, UnreachableErrnos)
)
