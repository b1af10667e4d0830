package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/fault"
	"marblelane/internal/listener"
	"marblelane/internal/sidecar/netcall"
)

// Successors manages the connections of this process's successors.
type Successors struct {
	Listener     *net.TCPListener // the listening socket for clients, which is sent to successors
	CountChanged func(alive int)  // called with the number of successors when it changes
	Faults       *fault.Injector  // faults that the lab injects; nil: none
	Bind         func(network string, addr *net.UnixAddr) (*net.UnixListener, error)
	Serving      atomic.Int64 // number of successors that serve

	// AbandonedIDs returns the hashes of the IDs of non-idempotent requests that may have run and whose client left. They
	// are sent to each new successor.
	AbandonedIDs func() []uint64

	socket     net.Listener
	goroutines sync.WaitGroup // running goroutines of accept and serveSuccessor
	mu         sync.Mutex     // guards closed and conns
	closed     bool
	conns      map[net.Conn]struct{}
	informed   map[net.Conn]struct{} // those of conns that have got the listening socket
}

// idWriteTimeout bounds the writes of IDs to a successor, which may hang.
const idWriteTimeout = 100 * time.Millisecond

// AnnounceAbandoned sends the hash of an ID to all successors.
func (s *Successors) AnnounceAbandoned(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.informed {
		sendIDs(c, []uint64{id})
	}
}

// sendAbandoned sends the hashes of all IDs to a successor that has got the listening socket.
func (s *Successors) sendAbandoned(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.AbandonedIDs != nil {
		sendIDs(c, s.AbandonedIDs())
	}
	s.informed[c] = struct{}{}
}

// sendIDs sends hashes of IDs, in idBytes each.
func sendIDs(c net.Conn, ids []uint64) {
	var message []byte
	for _, id := range ids {
		message = binary.BigEndian.AppendUint64(message, id)
	}
	c.SetWriteDeadline(time.Now().Add(idWriteTimeout))
	if _, err := (netcall.RetryingConn{Conn: c}).Write(message); err != nil {
		slog.Info("upgrade: failed to send IDs of abandoned requests to the successor", "err", err)
	}
}

// Listen creates the handover socket at the path, in place of the predecessor's, and accepts successors in the
// background until Close.
func (s *Successors) Listen(path string) error {
	// The socket is bound under a temporary name and then renamed, so that the path never names a socket that does not
	// listen yet.
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	l, err := s.Bind("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // at Close the path may already belong to the successor
	if err := os.Rename(fresh, path); err != nil {
		l.Close()
		os.Remove(fresh)
		return err
	}
	s.socket = listener.Wrap(netcall.WithFaults(l, s.Faults), "upgrade", nil)
	s.mu.Lock()
	s.conns, s.informed = map[net.Conn]struct{}{}, map[net.Conn]struct{}{}
	s.mu.Unlock()
	s.goroutines.Go(s.accept)
	return nil
}

// accept accepts successors until the socket is closed or fails.
func (s *Successors) accept() {
	for {
		c, err := s.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Error("upgrade: failed to accept a successor, no further handover is possible", "err", err)
			return
		}
		if next := c.(*net.UnixConn); s.add(next) {
			s.goroutines.Go(func() { s.serveSuccessor(next) })
		}
	}
}

// add registers the connection of a successor. After Close it closes the connection and returns false.
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

// ListenerShared reports whether a successor is connected, and so may have the listening socket.
func (s *Successors) ListenerShared() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > 0
}

// serveSuccessor sends the listening socket to a successor and waits until the successor disconnects.
func (s *Successors) serveSuccessor(c *net.UnixConn) {
	if err := s.SendListener(c); err != nil {
		slog.Warn("upgrade: failed to hand over the listening socket", "err", err)
	} else {
		s.sendAbandoned(c)
		s.trackServing(netcall.RetryingConn{Conn: c})
	}
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	delete(s.informed, c)
	if !s.closed {
		s.CountChanged(len(s.conns))
	}
}

// trackServing counts a successor as serving from its servingByte to its EndingByte, and waits until it disconnects.
func (s *Successors) trackServing(next io.Reader) {
	var word [1]byte
	if _, err := io.ReadFull(next, word[:]); err != nil || word[0] != servingByte {
		return
	}
	slog.Info("upgrade: the successor started serving")
	s.Serving.Add(1)
	_, _ = io.ReadFull(next, word[:]) // EndingByte, or the end of the connection
	s.Serving.Add(-1)
	_, _ = io.Copy(io.Discard, next)
}

// SendListener sends the descriptor of the listening socket to a successor.
func (s *Successors) SendListener(c *net.UnixConn) error {
	raw, err := s.Listener.SyscallConn()
	if err != nil {
		return err
	}
	return netcall.RetryCall(func() error {
		var failed error
		// Control is used because File would duplicate the descriptor and set the socket to blocking mode.
		err := raw.Control(func(fd uintptr) {
			_, _, failed = c.WriteMsgUnix([]byte{servingByte}, unix.UnixRights(int(fd)), nil)
		})
		return errors.Join(err, failed)
	})
}

// Close closes the socket and the connections to successors, which treat this as the end of the process.
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
