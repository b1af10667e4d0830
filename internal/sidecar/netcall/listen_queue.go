package netcall

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// LateAcceptThreshold is from when on a connection counts as accepted late: the longest pause between two accepts. A shorter
	// wait, as on a busy machine, is within the tolerance of the time that servers are given.
	LateAcceptThreshold = 100 * time.Millisecond
	// AcceptFailureWindow is for how long after a failed accept the accepted connections may have waited in the queue.
	AcceptFailureWindow = 5 * time.Second
)

// AcceptQueueLength is how many connections are complete and wait to be accepted, see listenQueue.waiting.
func AcceptQueueLength(l *net.TCPListener) (connections int) { return systemQueue.waiting(l) }

// listenQueue queries the system for the connections that wait in a listening socket.
type listenQueue struct {
	tcpInfo func(fd int) (*unix.TCPInfo, error)
	poll    func(fds []unix.PollFd, timeoutMillis int) (int, error)
}

// systemQueue uses the calls of the system. It is constant.
var systemQueue = listenQueue{tcpInfo: tcpInfo, poll: unix.Poll}

// waiting is how many connections are complete and wait to be accepted. Where that cannot be had it is 1 if poll says that
// some wait, or cannot say: closing the socket would reset them. It is 0 where TCP_INFO returns something else than the state
// of a listening socket, and where the socket is closed.
func (q listenQueue) waiting(l *net.TCPListener) (connections int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0
	}
	if err := raw.Control(func(fd uintptr) { connections = q.waitingAt(int(fd)) }); err != nil {
		return 0
	}
	return connections
}

// waitingAt is waiting for a descriptor.
func (q listenQueue) waitingAt(fd int) int {
	var info *unix.TCPInfo
	err := RetryQuery(func() (failed error) {
		info, failed = q.tcpInfo(fd)
		return failed
	})
	switch {
	case err != nil:
		return q.ready(fd)
	case info.State != unix.BPF_TCP_LISTEN:
		return 0
	}
	return int(info.Unacked) // of a listening socket this is the length of its queue
}

// ready is 0 if an accept would wait, and 1 otherwise.
func (q listenQueue) ready(fd int) int {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	var ready int
	err := RetryQuery(func() (failed error) {
		ready, failed = q.poll(fds, 0)
		return failed
	})
	if err != nil {
		return 1
	}
	return min(ready, 1)
}
