package netcall

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/retry"
)

// Unaccepted is how many connections are completed and wait to be accepted, see listenQueue.
func Unaccepted(l *net.TCPListener) (waiting int) { return systemQueue.waiting(l) }

const (
	// maxQueries is how often a system call about a socket is made in all that fails for a moment.
	maxQueries = 3
	// Reads and writes of an open connection that fail for a moment are repeated after pauses of shortestCallPause to
	// longestCallPause, for callLimit in all.
	minCallPause = time.Millisecond
	maxCallPause = 20 * time.Millisecond
	maxCallTime  = time.Second
	// LateAccept is from when on a connection counts as accepted late: the longest pause between two accepts. A shorter
	// wait, as on a busy machine, is within the slack of the time that servers are told.
	LateAccept = 100 * time.Millisecond
	// AcceptFailureMemory is for how long after a failed accept those that are accepted may have waited in the queue.
	AcceptFailureMemory = 5 * time.Second
)

// RetryQuery makes a system call again, at once and a few times, while the system is short of resources for it.
func RetryQuery(call func() error) error {
	var err error
	for range maxQueries {
		if err = call(); !retry.ShortOfResources(err) {
			return err
		}
	}
	return err
}

// RetryCall makes a call again for up to callLimit while the system is short of resources for it.
func RetryCall(call func() error) error {
	err := call()
	if !retry.ShortOfResources(err) {
		return err
	}
	backoff := retry.Backoff{Min: minCallPause, Max: maxCallPause}
	for began := time.Now(); retry.ShortOfResources(err) && time.Since(began) < maxCallTime; err = call() {
		time.Sleep(backoff.Next())
	}
	return err
}

// RetryingConn repeats reads and writes for which the system is short of resources.
type RetryingConn struct{ net.Conn }

// Read reads what has come.
func (c RetryingConn) Read(p []byte) (n int, err error) {
	err = RetryCall(func() (failed error) {
		n, failed = c.Conn.Read(p)
		return failed
	})
	return n, err
}

// Write writes all of p, or gives an error.
func (c RetryingConn) Write(p []byte) (n int, err error) {
	err = RetryCall(func() error {
		written, failed := c.Conn.Write(p[n:])
		n += written
		return failed
	})
	return n, err
}

// SinceLastData is how long ago the system got the last bytes from the peer of a connection, or, before any, the
// connection; in steps of its clock, some milliseconds. It is 0 where the system does not tell.
func SinceLastData(conn net.Conn) time.Duration {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = RetryQuery(func() (err error) {
			info, err = systemQueue.tcpInfo(int(fd))
			return err
		})
	})
	if err != nil || failed != nil || info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_CLOSE_WAIT {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// listenQueue asks the system for what waits in a listening socket.
type listenQueue struct {
	tcpInfo func(fd int) (*unix.TCPInfo, error)
	poll    func(fds []unix.PollFd, timeoutMillis int) (int, error)
}

// systemQueue asks with the calls of the system.
var systemQueue = listenQueue{
	tcpInfo: func(fd int) (*unix.TCPInfo, error) {
		return unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	},
	poll: unix.Poll,
}

// waiting is how many connections are completed and wait to be accepted. Where that cannot be had it is 1 if the system
// says by another call that some wait, or cannot say: who closes the socket would reset them. It is 0 where the system
// answers TCP_INFO with something else than the state of a listening socket, and where the socket is closed.
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

// ready is 0 if an accept would wait, and else 1.
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

// WriteNow writes what the system takes without waiting: a client that does not read gets nothing.
func WriteNow(c net.Conn, text string) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Write(int(fd), []byte(text)) })
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)
