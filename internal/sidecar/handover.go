package sidecar

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
)

// At an upgrade the platform starts a second process beside this one. The two meet at a Unix socket in the
// directory that they share. The older one gives the other its listening socket, so that what waits there is
// never lost with a process; the newer one says when it serves. While their connection lasts, both are alive
// and share what one of them may use.

const (
	meetWait  = time.Second // for the older process to answer: it may hang, or not be one of ours
	servesNow = 's'         // the newer one's word that it takes requests
	endsNow   = 'e'         // and that it soon does not, as it was told to end
	// listWait is how long the newer process waits for discovery when it knows a list that may be old: the other
	// one serves meanwhile.
	listWait = 1500 * time.Millisecond
)

// listen binds the clients' address so that a process without a predecessor to ask can share it too.
func listen(cfg *Config) (net.Listener, error) {
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

// predecessor is the process that served before this one, as long as it lives; nil: there is none.
type predecessor struct{ conn *net.UnixConn }

// findPredecessor asks the process that serves the address, if any, for its listening socket. What is left of one that is
// gone, or is no socket at all, is nobody.
func findPredecessor(cfg *Config) (*predecessor, net.Listener, error) {
	place := cfg.meetingPlace()
	if place == "" {
		return nil, nil, nil
	}
	if _, err := os.Lstat(place); errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	c, err := net.DialTimeout("unix", place, meetWait)
	if err != nil {
		return nil, nil, fmt.Errorf("nobody there: %w", err)
	}
	p := &predecessor{conn: c.(*net.UnixConn)}
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

func (p *predecessor) take() (net.Listener, error) {
	p.conn.SetReadDeadline(time.Now().Add(meetWait))
	defer p.conn.SetReadDeadline(time.Time{})
	buf, rights := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	var n, flags int
	err := repeatCall(func() (failed error) {
		_, n, flags, _, failed = p.conn.ReadMsgUnix(buf, rights)
		return failed
	})
	if err != nil {
		return nil, err
	}
	return handedListener(rights[:n], flags)
}

// errNotHanded is of a message of the process before this one that brings no listening socket.
var errNotHanded = errors.New("no listening socket came")

// handedListener is the listener whose descriptor a message brought, as the only one. The system cuts the descriptor
// off where this process may not have one more.
func handedListener(rights []byte, flags int) (net.Listener, error) {
	if flags&unix.MSG_CTRUNC != 0 {
		return nil, fmt.Errorf("%w: it was cut off: %w", errNotHanded, syscall.EMFILE)
	}
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errNotHanded, err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errNotHanded, err)
	}
	unix.CloseOnExec(fds[0])
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close() // the listener has one of its own
	return net.FileListener(f)
}

// serves tells the predecessor that it may go.
func (p *predecessor) serves() {
	if _, err := (patientConn{p.conn}).Write([]byte{servesNow}); err != nil {
		slog.Info("upgrade: the process before is gone", "error", err)
	}
}

// ends tells the predecessor that it may not count on this process any more; nobody: there is none, or it is gone.
func (p *predecessor) ends() {
	if p != nil {
		_, _ = patientConn{p.conn}.Write([]byte{endsNow})
	}
}

// gone waits for its end.
func (p *predecessor) gone() { _, _ = io.Copy(io.Discard, patientConn{p.conn}) }

// successors lets newer processes meet this one.
type successors struct {
	give     *net.TCPListener
	changed  func(alive int) // how many there are now
	faults   *fault.Plan     // the lab's; nil: none
	serve    atomic.Int64    // those that serve
	listener net.Listener
	bind     func(network string, at *net.UnixAddr) (*net.UnixListener, error)

	ended  sync.WaitGroup
	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

// await takes the meeting place over from whoever was there, and waits for newer processes.
func (s *successors) await(place string) error {
	// Bound under a name of its own first: at the place there is always somebody or nobody, never half.
	fresh := fmt.Sprintf("%s.%d", place, os.Getpid())
	os.Remove(fresh)
	l, err := s.bind("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then the place may be the next one's
	if err := os.Rename(fresh, place); err != nil {
		l.Close()
		os.Remove(fresh)
		return err
	}
	s.listener, s.conns = listener.Wrap(plant(l, s.faults), "upgrade", nil), map[net.Conn]struct{}{}
	s.ended.Go(func() { s.accept(s.listener) })
	return nil
}

// accept meets newer processes until the listener is closed, or its socket is lost.
func (s *successors) accept(l net.Listener) {
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

func (s *successors) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return false
	}
	s.conns[c] = struct{}{}
	s.changed(len(s.conns))
	return true
}

// shares reports whether a newer process may have the listening socket.
func (s *successors) shares() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > 0
}

// follow gives the listening socket to a newer process and stays with it to its end.
func (s *successors) follow(c *net.UnixConn) {
	if err := s.hand(c); err != nil {
		slog.Warn("upgrade: the listening socket was not handed over", "error", err)
	} else {
		var word [1]byte
		next := patientConn{c}
		if _, err := io.ReadFull(next, word[:]); err == nil && word[0] == servesNow {
			slog.Info("upgrade: the next process serves")
			s.serve.Add(1)
			_, _ = io.ReadFull(next, word[:]) // it ends, or is gone
			s.serve.Add(-1)
			_, _ = io.Copy(io.Discard, next)
		}
	}
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if !s.closed {
		s.changed(len(s.conns))
	}
}

func (s *successors) hand(c *net.UnixConn) error {
	raw, err := s.give.SyscallConn()
	if err != nil {
		return err
	}
	return repeatCall(func() error {
		var failed error
		// Within Control: a descriptor of its own, made for this, would turn the socket to blocking.
		err := raw.Control(func(fd uintptr) {
			_, _, failed = c.WriteMsgUnix([]byte{servesNow}, unix.UnixRights(int(fd)), nil)
		})
		return errors.Join(err, failed)
	})
}

// close ends the meetings: to a newer process this one is gone.
func (s *successors) close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.ended.Wait()
}
