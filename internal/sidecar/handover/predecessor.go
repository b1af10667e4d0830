package handover

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/netcall"
)

// descriptorBytes is the size of a descriptor in a control message.
const descriptorBytes = 4

// Predecessor is the process that served before this one, as long as it runs; nil: there is none.
type Predecessor struct{ conn *net.UnixConn }

// FindPredecessor asks the process that serves the address, if any, for its listening socket. Without such a process it
// gives nil; a socket that a process has left behind, or a file that is no socket, is an error.
func FindPredecessor(cfg *config.Config) (*Predecessor, net.Listener, error) {
	path := cfg.HandoverSocket()
	if path == "" {
		return nil, nil, nil
	}
	if _, err := os.Lstat(path); errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	conn, err := net.DialTimeout("unix", path, responseTimeout)
	if err != nil {
		return nil, nil, fmt.Errorf("no process answers: %w", err)
	}
	p := &Predecessor{conn: conn.(*net.UnixConn)}
	listener, err := p.receiveListener()
	if err == nil && listener.Addr().String() != cfg.Listen {
		listener.Close()
		err = fmt.Errorf("it listens at another address: %s", listener.Addr())
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return p, listener, nil
}

// receiveListener waits for the message that brings the listening socket.
func (p *Predecessor) receiveListener() (net.Listener, error) {
	p.conn.SetReadDeadline(time.Now().Add(responseTimeout))
	defer p.conn.SetReadDeadline(time.Time{})
	buf := make([]byte, 1)
	rights := make([]byte, unix.CmsgSpace(descriptorBytes))
	var n, flags int
	err := netcall.RetryCall(func() (failed error) {
		_, n, flags, _, failed = p.conn.ReadMsgUnix(buf, rights)
		return failed
	})
	if err != nil {
		return nil, err
	}
	return receivedListener(rights[:n], flags)
}

// errNoListener is the error of a message that brings no listening socket.
var errNoListener = errors.New("no listening socket came")

// receivedListener is the listener whose descriptor a message brought, as the only one. The system truncates the message
// where this process may not open one more descriptor.
func receivedListener(rights []byte, flags int) (net.Listener, error) {
	if flags&unix.MSG_CTRUNC != 0 {
		return nil, fmt.Errorf("%w: the message was truncated: %w", errNoListener, syscall.EMFILE)
	}
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errNoListener, err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errNoListener, err)
	}
	unix.CloseOnExec(fds[0])
	file := os.NewFile(uintptr(fds[0]), "listener")
	defer file.Close() // the listener gets a duplicate
	return net.FileListener(file)
}

// AnnounceServing tells the predecessor that this process serves.
func (p *Predecessor) AnnounceServing() {
	if _, err := (netcall.RetryingConn{Conn: p.conn}).Write([]byte{servingByte}); err != nil {
		slog.Info("upgrade: the process before is gone", "err", err)
	}
}

// AnnounceEnd tells the predecessor, if there is one, that this process will soon stop serving.
func (p *Predecessor) AnnounceEnd() {
	if p != nil {
		_, _ = netcall.RetryingConn{Conn: p.conn}.Write([]byte{EndingByte})
	}
}

// Close ends the connection to the predecessor.
func (p *Predecessor) Close() error { return p.conn.Close() }

// AwaitEnd waits until the predecessor has ended.
func (p *Predecessor) AwaitEnd() { _, _ = io.Copy(io.Discard, netcall.RetryingConn{Conn: p.conn}) }
