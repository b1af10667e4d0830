package netcall

import (
	"net"
	"syscall"
)

// Peek reports whether a connection is known to be open, and whether it holds unread bytes.
func Peek(c net.Conn) (open, unread bool) {
	state := peekState(c)
	return state == peekQuiet || state == peekUnread, state == peekUnread
}

// peekResult is what peeking at a connection shows.
type peekResult uint8

const (
	peekUnknown peekResult = iota // peeking failed
	peekQuiet                     // open, with nothing to read
	peekUnread                    // it holds unread bytes
	peekEnded                     // its other end has closed or broken it, or this one has closed it
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

// maxPeeks is how often a call that is interrupted is made in all.
const maxPeeks = 10

// peekState peeks at a connection, which loses no bytes by it.
func peekState(c net.Conn) peekResult {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return peekUnknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return peekUnknown
	}
	var state peekResult
	// Control and not Read, as another goroutine may be reading the connection.
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		state = peekWith(func() (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
	})
	if err != nil {
		return peekEnded // closed by this end
	}
	return state
}

// peekWith peeks with a call that returns how many bytes there are, up to one, and leaves them to be read.
func peekWith(receive func() (int, error)) peekResult {
	for range maxPeeks {
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
