package netcall

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PastDeadline as a deadline ends every read and write that waits on a connection.
var PastDeadline = time.Unix(1, 0)

// sendBufferBytes keeps the system from taking megabytes for a slow peer, and from waking a writer only once a third of them
// is gone.
const sendBufferBytes = 64 << 10

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// LimitSendBuffer bounds what the system takes for a peer that does not read.
func LimitSendBuffer(c net.Conn) {
	if tcp, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
}

// WriteNow writes what the system takes without waiting: a client that does not read gets nothing.
func WriteNow(c net.Conn, text string) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _, _ = syscall.Write(int(fd), []byte(text)) })
	}
}

// SinceLastData is how long ago the system got the last bytes from the peer of a connection or, before any, the connection,
// with the resolution of its clock, some milliseconds. It is 0 where the system does not say.
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
			info, err = tcpInfo(int(fd))
			return err
		})
	})
	if err != nil || failed != nil || info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_CLOSE_WAIT {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
