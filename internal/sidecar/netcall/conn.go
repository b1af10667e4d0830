package netcall

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PastDeadline is a deadline that makes every read and write of a connection fail at once, including those that are
// waiting.
var PastDeadline = time.Unix(1, 0)

// sendBufferBytes keeps the system from buffering megabytes for a slow receiver, and from waking a writer only once a
// third of them has been sent.
const sendBufferBytes = 64 << 10

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// LimitSendBuffer limits how many bytes the system buffers for a remote side that does not read.
func LimitSendBuffer(c net.Conn) {
	if tcp, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
}

// WriteNow writes what the system accepts without waiting. A client that does not read gets nothing.
func WriteNow(c net.Conn, text string) {
	_ = withDescriptor(c, func(fd int) { _, _ = syscall.Write(fd, []byte(text)) })
}

// errNoDescriptor reports a connection that is not a socket of the system.
var errNoDescriptor = errors.New("connection has no socket descriptor")

// withDescriptor calls a function with the descriptor of a connection. It does not wait for reads or writes that are in
// progress. The error is errNoDescriptor if the connection has none, another one if it was closed by this side.
func withDescriptor(c net.Conn, call func(fd int)) error {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return errNoDescriptor
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Join(errNoDescriptor, err)
	}
	return raw.Control(func(fd uintptr) { call(int(fd)) })
}

// SinceLastData returns how long ago the system received the last bytes from the remote side or, if there were none,
// how long ago the connection was established. The resolution is that of the system's clock, some milliseconds. It
// returns 0 if the system does not report the time.
func SinceLastData(conn net.Conn) time.Duration {
	var info *unix.TCPInfo
	var queryErr error
	err := withDescriptor(conn, func(fd int) {
		queryErr = RetryQuery(func() (err error) {
			info, err = tcpInfo(fd)
			return err
		})
	})
	if err != nil || queryErr != nil || info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_CLOSE_WAIT {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
