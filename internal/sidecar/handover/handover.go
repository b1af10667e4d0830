package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/fault"
	"marblelane/internal/listener"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/netcall"
)

// At an upgrade the platform starts a second process beside this one. The two meet at a Unix socket in the
// directory that they share. The older one gives the other its listening socket, so that what waits there is
// never lost with a process; the newer one says when it serves. While their connection lasts, both are alive
// and share what one of them may use.

const (
	meetTimeout = time.Second // for the older process to answer: it may hang, or not be one of ours
	servingByte = 's'         // the newer one's word that it takes requests
	EndingByte  = 'e'         // and that it soon does not, as it was told to end
	// ListTimeout is how long the newer process waits for discovery when it knows a list that may be old: the other
	// one serves meanwhile.
	ListTimeout = 1500 * time.Millisecond
)

// Listen binds the clients' address so that a process without a predecessor to ask can share it too.
func Listen(cfg *config.Config) (net.Listener, error) {
	var lc net.ListenConfig
	if cfg.Management != "" {
		lc.Control = func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			})
			return errors.Join(err, failed)
		}
	}
	return lc.Listen(context.Background(), "tcp", cfg.Listen)
}

// Predecessor is the process that served before this one, as long as it lives; nil: there is none.
type Predecessor struct{ Conn *net.UnixConn }

// FindPredecessor asks the process that serves the address, if any, for its listening socket. What is left of one that is
// gone, or is no socket at all, is nobody.
func FindPredecessor(cfg *config.Config) (*Predecessor, net.Listener, error) {
	place := cfg.HandoverSocket()
	if place == "" {
		return nil, nil, nil
	}
	if _, err := os.Lstat(place); errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	c, err := net.DialTimeout("unix", place, meetTimeout)
	if err != nil {
		return nil, nil, fmt.Errorf("nobody there: %w", err)
	}
	p := &Predecessor{Conn: c.(*net.UnixConn)}
	l, err := p.take()
	if err == nil && l.Addr().String() != cfg.Listen {
		l.Close()
		l, err = nil, fmt.Errorf("it listens at another address: %s", l.Addr())
	}
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	return p, l, nil
}

func (p *Predecessor) take() (net.Listener, error) {
	p.Conn.SetReadDeadline(time.Now().Add(meetTimeout))
	defer p.Conn.SetReadDeadline(time.Time{})
	buf, rights := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	var n, flags int
	err := netcall.RetryCall(func() (failed error) {
		_, n, flags, _, failed = p.Conn.ReadMsgUnix(buf, rights)
		return failed
	})
	if err != nil {
		return nil, err
	}
	return receivedListener(rights[:n], flags)
}

// errNoListener is of a message of the process before this one that brings no listening socket.
var errNoListener = errors.New("no listening socket came")

// receivedListener is the listener whose descriptor a message brought, as the only one. The system cuts the descriptor
// off where this process may not have one more.
func receivedListener(rights []byte, flags int) (net.Listener, error) {
	if flags&unix.MSG_CTRUNC != 0 {
		return nil, fmt.Errorf("%w: it was cut off: %w", errNoListener, syscall.EMFILE)
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
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close() // the listener has one of its own
	return net.FileListener(f)
}

// AnnounceServing tells the predecessor that it may go.
func (p *Predecessor) AnnounceServing() {
	if _, err := (netcall.RetryingConn{Conn: p.Conn}).Write([]byte{servingByte}); err != nil {
		slog.Info("upgrade: the process before is gone", "error", err)
	}
}

// AnnounceEnd tells the predecessor that it may not count on this process any more; nobody: there is none, or it is gone.
func (p *Predecessor) AnnounceEnd() {
	if p != nil {
		_, _ = netcall.RetryingConn{Conn: p.Conn}.Write([]byte{EndingByte})
	}
}

// Close ends the connection to the predecessor.
func (p *Predecessor) Close() error { return p.Conn.Close() }

// AwaitEnd waits for its end.
func (p *Predecessor) AwaitEnd() { _, _ = io.Copy(io.Discard, netcall.RetryingConn{Conn: p.Conn}) }

// Successors lets newer processes meet this one.
type Successors struct {
	Listener *net.TCPListener
	Changed  func(alive int) // how many there are now
	Faults   *fault.Plan     // the lab's; nil: none
	Serving  atomic.Int64    // those that serve
	meeting  net.Listener
	Bind     func(network string, at *net.UnixAddr) (*net.UnixListener, error)

	ended  sync.WaitGroup
	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

// Await takes the meeting place over from whoever was there, and waits for newer processes.
func (s *Successors) Await(place string) error {
	// Bound under a name of its own first: at the place there is always somebody or nobody, never half.
	fresh := fmt.Sprintf("%s.%d", place, os.Getpid())
	os.Remove(fresh)
	l, err := s.Bind("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then the place may be the next one's
	if err := os.Rename(fresh, place); err != nil {
		l.Close()
		os.Remove(fresh)
		return err
	}
	s.meeting, s.conns = listener.Wrap(netcall.WithFaults(l, s.Faults), "upgrade", nil), map[net.Conn]struct{}{}
	s.ended.Go(func() { s.accept(s.meeting) })
	return nil
}

// accept meets newer processes until the listener is closed, or its socket is lost.
func (s *Successors) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Error("upgrade: no newer process can meet this one any more", "error", err)
			return
		}
		if next := c.(*net.UnixConn); s.add(next) {
			s.ended.Go(func() { s.follow(next) })
		}
	}
}

func (s *Successors) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return false
	}
	s.conns[c] = struct{}{}
	s.Changed(len(s.conns))
	return true
}

// ShareListener reports whether a newer process may have the listening socket.
func (s *Successors) ShareListener() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > 0
}

// follow gives the listening socket to a newer process and stays with it to its end.
func (s *Successors) follow(c *net.UnixConn) {
	if err := s.SendListener(c); err != nil {
		slog.Warn("upgrade: the listening socket was not handed over", "error", err)
	} else {
		var word [1]byte
		next := netcall.RetryingConn{Conn: c}
		if _, err := io.ReadFull(next, word[:]); err == nil && word[0] == servingByte {
			slog.Info("upgrade: the next process serves")
			s.Serving.Add(1)
			_, _ = io.ReadFull(next, word[:]) // it ends, or is gone
			s.Serving.Add(-1)
			_, _ = io.Copy(io.Discard, next)
		}
	}
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if !s.closed {
		s.Changed(len(s.conns))
	}
}

func (s *Successors) SendListener(c *net.UnixConn) error {
	raw, err := s.Listener.SyscallConn()
	if err != nil {
		return err
	}
	return netcall.RetryCall(func() error {
		var failed error
		// Within Control: a descriptor of its own, made for this, would turn the socket to blocking.
		err := raw.Control(func(fd uintptr) {
			_, _, failed = c.WriteMsgUnix([]byte{servingByte}, unix.UnixRights(int(fd)), nil)
		})
		return errors.Join(err, failed)
	})
}

// Close ends the meetings: to a newer process this one is gone.
func (s *Successors) Close() {
	s.meeting.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.ended.Wait()
}
