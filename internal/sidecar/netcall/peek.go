package netcall

import (
	"net"
	"syscall"
	"time"
)

// PastDeadline as a deadline ends whatever waits on a connection.
var PastDeadline = time.Unix(1, 0)

// sendBuffer keeps the system from taking megabytes for a slow peer, and from waking a writer only once a third of them
// is gone.
const sendBuffer = 64 << 10

// LimitBuffer bounds what the system takes for a peer that does not read.
func LimitBuffer(c net.Conn) {
	if tcp, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
		tcp.SetWriteBuffer(sendBuffer)
	}
}

// Peek tells whether a connection is known to be open, and whether it holds what nobody has read yet.
func Peek(c net.Conn) (open, unread bool) {
	state := peekState(c)
	return state == peekQuiet || state == peekUnread, state == peekUnread
}

// peekResult is what a look at a connection tells, which takes nothing from it.
type peekResult uint8

const (
	peekUnknown peekResult = iota // the look itself failed
	peekQuiet                     // open, with nothing to read
	peekUnread                    // it holds what nobody has read yet
	peekEnded                     // its other end has closed or broken it, or this one has closed it
)

// maxPeeks is how often a look that is interrupted is made.
const maxPeeks = 10

// peekState looks at a connection.
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
	// Control, as a reader may be waiting on the connection.
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

// peekWith looks with a call that tells how many bytes there are, up to one, and leaves them to be read.
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
		case err == nil, EndedErrnos.Has(err):
			return peekEnded
		default:
			return peekUnknown
		}
	}
	return peekUnknown
}
