package netcall

import (
	"context"
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
	conn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _, _ = syscall.Write(int(fd), []byte(text)) })
	}
}

// SinceLastData returns how long ago the system received the last bytes from the remote side or, if there were none,
// how long ago the connection was established. The resolution is that of the system's clock, some milliseconds. It
// returns 0 if the system does not report the time.
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
	var queryErr error
	err = raw.Control(func(fd uintptr) {
		queryErr = RetryQuery(func() (err error) {
			info, err = tcpInfo(int(fd))
			return err
		})
	})
	if err != nil || queryErr != nil || info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_CLOSE_WAIT {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
