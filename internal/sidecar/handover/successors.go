package handover

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"marblelane/internal/fault"
	"marblelane/internal/listener"
	"marblelane/internal/sidecar/netcall"
)

// Successors are the newer processes that meet this one.
type Successors struct {
	Listener     *net.TCPListener // the clients' listening socket, which they are given
	CountChanged func(alive int)  // is called with their number when it changes
	Faults       *fault.Plan      // planted by the lab; nil: none
	Bind         func(network string, addr *net.UnixAddr) (*net.UnixListener, error)
	Serving      atomic.Int64 // how many of them serve

	socket     net.Listener
	goroutines sync.WaitGroup // goroutines of accept and follow
	mu         sync.Mutex     // guards closed and conns
	closed     bool
	conns      map[net.Conn]struct{}
}

// Listen takes the socket at a path over from the process that had it, and accepts newer processes in the background, up
// to Close.
func (s *Successors) Listen(path string) error {
	// It is bound under a name of its own first, so that the path always names a complete socket, or none.
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	l, err := s.Bind("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then the path may be that of the next process
	if err := os.Rename(fresh, path); err != nil {
		l.Close()
		os.Remove(fresh)
		return err
	}
	s.socket = listener.Wrap(netcall.WithFaults(l, s.Faults), "upgrade", nil)
	s.conns = map[net.Conn]struct{}{}
	s.goroutines.Go(s.accept)
	return nil
}

// accept accepts newer processes until the socket is closed or lost.
func (s *Successors) accept() {
	for {
		c, err := s.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Error("upgrade: no newer process can meet this one any more", "err", err)
			return
		}
		if next := c.(*net.UnixConn); s.add(next) {
			s.goroutines.Go(func() { s.serveSuccessor(next) })
		}
	}
}

// add counts a newer process in, and reports false after Close.
func (s *Successors) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return false
	}
	s.conns[c] = struct{}{}
	s.CountChanged(len(s.conns))
	return true
}

// ListenerShared reports whether a newer process may hold the listening socket.
func (s *Successors) ListenerShared() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > 0
}

// serveSuccessor gives a newer process the listening socket and follows it to its end.
func (s *Successors) serveSuccessor(c *net.UnixConn) {
	if err := s.SendListener(c); err != nil {
		slog.Warn("upgrade: the listening socket was not handed over", "err", err)
	} else {
		s.trackServing(netcall.RetryingConn{Conn: c})
	}
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if !s.closed {
		s.CountChanged(len(s.conns))
	}
}

// trackServing counts a newer process while it serves, and waits for its end.
func (s *Successors) trackServing(next io.Reader) {
	var word [1]byte
	if _, err := io.ReadFull(next, word[:]); err != nil || word[0] != servingByte {
		return
	}
	slog.Info("upgrade: the next process serves")
	s.Serving.Add(1)
	_, _ = io.ReadFull(next, word[:]) // EndingByte, or its end
	s.Serving.Add(-1)
	_, _ = io.Copy(io.Discard, next)
}

// SendListener sends a newer process the descriptor of the listening socket.
func (s *Successors) SendListener(c *net.UnixConn) error {
	raw, err := s.Listener.SyscallConn()
	if err != nil {
		return err
	}
	return netcall.RetryCall(func() error {
		var failed error
		// Within Control, as File would duplicate the descriptor and set the socket to blocking.
		err := raw.Control(func(fd uintptr) {
			_, _, failed = c.WriteMsgUnix([]byte{servingByte}, unix.UnixRights(int(fd)), nil)
		})
		return errors.Join(err, failed)
	})
}

// Close ends the connections to newer processes, which see it as the end of this process.
func (s *Successors) Close() {
	s.socket.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}
