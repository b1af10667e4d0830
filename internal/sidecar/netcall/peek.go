package netcall

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek reports whether a connection is known to be open, and whether it holds unread bytes.
func Peek(c net.Conn) (open, unread bool) {
	state := peekState(c)
	return state == peekQuiet || state == peekUnread, state == peekUnread
}

// UnreadBytes returns the number of bytes that the system has received on a connection and that were not read.
func UnreadBytes(c net.Conn) (bytes int, err error) {
	var queryErr error
	err = withDescriptor(c, func(fd int) { bytes, queryErr = unix.IoctlGetInt(fd, unix.TIOCINQ) })
	return bytes, errors.Join(err, queryErr)
}

// peekResult is the state of a connection as a peek shows it.
type peekResult uint8

const (
	peekUnknown peekResult = iota // peeking failed
	peekQuiet                     // open, with nothing to read
	peekUnread                    // open, with unread bytes
	peekEnded                     // closed or reset by the remote side, or closed by this side
)

// String returns the name of the result.
func (r peekResult) String() string {
	switch r {
	case peekQuiet:
		return "quiet"
	case peekUnread:
		return "unread"
	case peekEnded:
		return "ended"
	}
	return "unknown"
}

// maxPeekTries is the maximum number of times that peekWith makes a call that is interrupted.
const maxPeekTries = 10

// peekState peeks at a connection without consuming bytes.
func peekState(c net.Conn) peekResult {
	var state peekResult
	err := withDescriptor(c, func(fd int) {
		var first [1]byte
		state = peekWith(func() (int, error) {
			n, _, err := syscall.Recvfrom(fd, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
	})
	switch {
	case errors.Is(err, errNoDescriptor):
		return peekUnknown
	case err != nil:
		return peekEnded // closed by this side
	}
	return state
}

// peekWith peeks with a call that returns the number of bytes that can be read, at most 1, and does not consume them.
func peekWith(receive func() (int, error)) peekResult {
	for range maxPeekTries {
		n, err := receive()
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return peekQuiet
		case n > 0:
			return peekUnread
		case err == nil, ConnClosedErrnos.Contains(err):
			return peekEnded
		default:
			return peekUnknown
		}
	}
	return peekUnknown
}
