package netcall

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

var errNoTCP = errors.New("no TCP connection of the system")

// ConnStates tells whether the peer of a connection has closed, half-closed or reset it, also behind bytes that
// nobody has read, without taking any of them.
type ConnStates struct {
	Query func(fd int) (uint8, error)
	// trusted: tcpState has told of an established connection. Where something stands between this process and the
	// system, and does not know the call, an answer may be about something else.
	trusted atomic.Bool
}

// SystemConnStates are those of this process's connections.
var SystemConnStates = &ConnStates{Query: tcpState}

// tcpState asks the system for the state of a connection, one of unix.BPF_TCP_*.
func tcpState(fd int) (uint8, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return info.State, nil
}

// Learn finds out on a live connection whether states can be trusted.
func (s *ConnStates) Learn(c net.Conn) {
	if !s.trusted.Load() {
		s.State(c)
	}
}

// State is the state of a connection; a query that fails for a moment is repeated.
func (s *ConnStates) State(c net.Conn) (state uint8, err error) {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoTCP
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = RetryQuery(func() (err error) {
			state, err = s.Query(int(fd))
			return err
		})
	})
	if err = errors.Join(err, failed); err != nil {
		return 0, err
	}
	if state == unix.BPF_TCP_ESTABLISHED {
		s.trusted.Store(true)
	}
	return state, nil
}

// PeerGone reports whether the peer is known to have gone. Where the state of a connection cannot be had it is read as
// far as that takes nothing: an end behind unread bytes is not seen then.
func (s *ConnStates) PeerGone(c net.Conn) bool {
	state, err := s.State(c)
	if err == nil && s.trusted.Load() {
		switch state {
		case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT,
			unix.BPF_TCP_CLOSE:
			return true
		}
		return false
	}
	if errors.Is(err, errNoTCP) {
		return false
	}
	return peekState(c) == peekEnded
}
