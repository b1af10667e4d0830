package netcall

import (
	"errors"
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// ConnStateReader reports whether the remote side has closed, half-closed or reset a connection, even if unread bytes
// arrived before that. It consumes no bytes.
type ConnStateReader struct {
	// Query returns the TCP state of a connection, one of unix.BPF_TCP_*.
	Query func(fd int) (uint8, error)
	// trusted is set once Query has reported an established connection. Where a layer between this process and the
	// kernel does not implement the query, it may return unrelated data.
	trusted atomic.Bool
}

// NewConnStateReader returns a reader that queries the system. It trusts the results once one of them was an
// established connection.
func NewConnStateReader() *ConnStateReader { return &ConnStateReader{Query: tcpState} }

// tcpState queries the system for the TCP state of a connection, one of unix.BPF_TCP_*.
func tcpState(fd int) (uint8, error) {
	info, err := tcpInfo(fd)
	if err != nil {
		return 0, err
	}
	return info.State, nil
}

// tcpInfo queries the system for the TCP_INFO of a socket.
func tcpInfo(fd int) (*unix.TCPInfo, error) {
	return unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
}

// VerifyQuery checks with an established connection whether the results of Query can be trusted.
func (s *ConnStateReader) VerifyQuery(c net.Conn) {
	if !s.trusted.Load() {
		_, _ = s.State(c) // State records whether Query can be trusted
	}
}

// State returns the TCP state of a connection. It repeats a query that fails because the system is short of resources.
func (s *ConnStateReader) State(c net.Conn) (state uint8, err error) {
	var queryErr error
	err = withDescriptor(c, func(fd int) {
		queryErr = RetryQuery(func() (err error) {
			state, err = s.Query(fd)
			return err
		})
	})
	if err = errors.Join(err, queryErr); err != nil {
		return 0, err
	}
	if state == unix.BPF_TCP_ESTABLISHED {
		s.trusted.Store(true)
	}
	return state, nil
}

// PeerClosed reports whether the remote side is known to have closed or reset the connection. If the state of the
// connection is not available or not trusted, it peeks at the connection, which does not show a close behind unread
// bytes.
func (s *ConnStateReader) PeerClosed(c net.Conn) bool {
	state, err := s.State(c)
	if err == nil && s.trusted.Load() {
		return closedByPeer(state)
	}
	if errors.Is(err, errNoDescriptor) {
		return false
	}
	return peekState(c) == peekEnded
}

// closedByPeer reports whether a connection in the given state receives nothing more from its remote side.
func closedByPeer(state uint8) bool {
	switch state {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT, unix.BPF_TCP_CLOSE:
		return true
	}
	return false
}
