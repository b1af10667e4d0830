package netcall

import (
	"errors"
	"slices"
	"syscall"
)

// Errnos is a set of error numbers.
type Errnos []syscall.Errno

// Contains reports whether err wraps one of the error numbers.
func (set Errnos) Contains(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(set, errno)
}

// The classes of error numbers, by the party at fault. They must not be changed.
var (
	// TransientErrnos report a call that found no memory or was interrupted. Nothing was done, and the call can be
	// repeated.
	TransientErrnos = Errnos{syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.ENOBUFS}
	// LocalErrnos report that this machine has no socket, port, memory, poll entry or route left, or that one of its
	// own filters (EPERM, EACCES) forbids the call. They say nothing about the remote side.
	LocalErrnos = slices.Concat(Errnos{
		syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENOSPC,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES,
	}, TransientErrnos)
	// UnreachableErrnos report that the network has no path to the remote side, whose process may well be running.
	UnreachableErrnos = Errnos{syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ETIMEDOUT}
	// ConnClosedErrnos report that a connection was closed or has failed.
	ConnClosedErrnos = slices.Concat(Errnos{
		syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.ENETRESET, syscall.ENOTCONN, syscall.ESHUTDOWN,
	}, UnreachableErrnos)
)
