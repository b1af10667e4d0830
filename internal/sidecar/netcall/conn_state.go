package netcall

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// errNoTCP reports a connection without a descriptor of the system.
var errNoTCP = errors.New("no TCP connection of the system")

// ConnStateReader reports whether the peer of a connection has closed, half-closed or reset it, also behind unread bytes, and
// reads none of them.
type ConnStateReader struct {
	// Query returns the state of a connection, one of unix.BPF_TCP_*.
	Query func(fd int) (uint8, error)
	// trusted is set once Query has reported an established connection. Where something stands between this process and
	// the system and does not know the call, an answer may be about something else.
	trusted atomic.Bool
}

// NewConnStateReader returns states that query the system, and trust it once it has reported an established connection.
func NewConnStateReader() *ConnStateReader { return &ConnStateReader{Query: tcpState} }

// tcpState queries the system for the state of a connection, one of unix.BPF_TCP_*.
func tcpState(fd int) (uint8, error) {
	info, err := tcpInfo(fd)
	if err != nil {
		return 0, err
	}
	return info.State, nil
}

// tcpInfo queries the system for what it knows of a socket.
func tcpInfo(fd int) (*unix.TCPInfo, error) {
	return unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
}

// VerifyQuery finds out with an established connection whether states can be trusted.
func (s *ConnStateReader) VerifyQuery(c net.Conn) {
	if !s.trusted.Load() {
		_, _ = s.State(c) // State itself learns from it
	}
}

// State returns the state of a connection; a query for which the system is short of resources is repeated.
func (s *ConnStateReader) State(c net.Conn) (state uint8, err error) {
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

// PeerClosed reports whether the peer is known to have gone. Where the state of a connection cannot be had the connection is
// peeked at: that does not see an end behind unread bytes.
func (s *ConnStateReader) PeerClosed(c net.Conn) bool {
	state, err := s.State(c)
	if err == nil && s.trusted.Load() {
		return closedByPeer(state)
	}
	if errors.Is(err, errNoTCP) {
		return false
	}
	return peekState(c) == peekEnded
}

// closedByPeer reports whether a connection in a state gets nothing more from its peer.
func closedByPeer(state uint8) bool {
	switch state {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT, unix.BPF_TCP_CLOSE:
		return true
	}
	return false
}
