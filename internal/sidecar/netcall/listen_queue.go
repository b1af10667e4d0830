package netcall

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// LateAcceptThreshold is how long a connection must have waited to count as accepted late: the longest pause
	// between two accepts. A shorter wait, as on a busy machine, is within the tolerance of the time limit that is sent
	// to servers.
	LateAcceptThreshold = 100 * time.Millisecond
	// AcceptFailureWindow is how long after a failed accept an accepted connection may have been waiting in the queue.
	AcceptFailureWindow = 5 * time.Second
)

// AcceptQueueLength returns the number of established connections that wait to be accepted, see listenQueue.length.
func AcceptQueueLength(l *net.TCPListener) (connections int) { return systemListenQueue.length(l) }

// listenQueue queries the system for the length of the accept queue of a listening socket.
type listenQueue struct {
	tcpInfo func(fd int) (*unix.TCPInfo, error)
	poll    func(fds []unix.PollFd, timeoutMillis int) (int, error)
}

// systemListenQueue uses the calls of the system. It must not be changed.
var systemListenQueue = listenQueue{tcpInfo: tcpInfo, poll: unix.Poll}

// length returns the number of established connections that wait to be accepted. If the number is not available, it
// returns 1 if poll reports a waiting connection or fails: closing the socket would reset such a connection. It
// returns 0 if TCP_INFO does not report the state of a listening socket, and if the socket is closed.
func (q listenQueue) length(l *net.TCPListener) (connections int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0
	}
	if err := raw.Control(func(fd uintptr) { connections = q.lengthOf(int(fd)) }); err != nil {
		return 0
	}
	return connections
}

// lengthOf implements length for a descriptor.
func (q listenQueue) lengthOf(fd int) int {
	var info *unix.TCPInfo
	err := RetryQuery(func() (queryErr error) {
		info, queryErr = q.tcpInfo(fd)
		return queryErr
	})
	switch {
	case err != nil:
		return q.lengthByPoll(fd)
	case info.State != unix.BPF_TCP_LISTEN:
		return 0
	}
	return int(info.Unacked) // for a listening socket, the length of its accept queue
}

// lengthByPoll returns 0 if an accept would wait, and 1 if it would not or if poll fails.
func (q listenQueue) lengthByPoll(fd int) int {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	var ready int
	err := RetryQuery(func() (queryErr error) {
		ready, queryErr = q.poll(fds, 0)
		return queryErr
	})
	if err != nil {
		return 1
	}
	return min(ready, 1)
}
