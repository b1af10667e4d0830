package handover

import (
	"encoding/binary"
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

// idBytes is the size of the hash of an ID that the predecessor sends.
const idBytes = 8

// descriptorBytes is the size of a file descriptor in a control message.
const descriptorBytes = 4

// Predecessor is the connection to the process that served before this one. It is nil if there was none, and lasts
// until that process ends.
type Predecessor struct{ conn *net.UnixConn }

// FindPredecessor connects to the process that serves the address, if there is one, and receives its listening socket.
// If no handover socket exists it returns nil without an error. A socket that a dead process has left behind, or a file
// that is not a socket, is an error.
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
		return nil, nil, fmt.Errorf("connect to the handover socket of the predecessor: %w", err)
	}
	p := &Predecessor{conn: conn.(*net.UnixConn)}
	listener, err := p.receiveListener()
	if err == nil && listener.Addr().String() != cfg.Listen {
		listener.Close()
		err = fmt.Errorf("the predecessor listens on another address: %s", listener.Addr())
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return p, listener, nil
}

// receiveListener waits for the message that contains the listening socket.
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

// errNoListener is the error for a message from which no listening socket could be received.
var errNoListener = errors.New("no listening socket received")

// receivedListener returns the listener from a message's control data, which must contain exactly one descriptor. The
// kernel truncates the control data if this process has reached its limit of descriptors.
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
	defer file.Close() // the listener uses a duplicate of the descriptor
	return net.FileListener(file)
}

// AnnounceServing notifies the predecessor that this process serves.
func (p *Predecessor) AnnounceServing() {
	if _, err := (netcall.RetryingConn{Conn: p.conn}).Write([]byte{servingByte}); err != nil {
		slog.Info("upgrade: failed to notify the predecessor that this process serves", "err", err)
	}
}

// AnnounceEnd notifies the predecessor, if there is one, that this process will soon stop serving.
func (p *Predecessor) AnnounceEnd() {
	if p != nil {
		_, _ = netcall.RetryingConn{Conn: p.conn}.Write([]byte{EndingByte})
	}
}

// Close closes the connection to the predecessor.
func (p *Predecessor) Close() error { return p.conn.Close() }

// AwaitEnd waits until the predecessor has ended. Until then it calls abandoned with the hash of the ID of each
// non-idempotent request that the predecessor may have run and whose client left.
func (p *Predecessor) AwaitEnd(abandoned func(id uint64)) {
	in := netcall.RetryingConn{Conn: p.conn}
	for {
		var id [idBytes]byte
		if _, err := io.ReadFull(in, id[:]); err != nil {
			return
		}
		abandoned(binary.BigEndian.Uint64(id[:]))
	}
}
