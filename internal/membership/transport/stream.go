package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

var errStreamTooLong = errors.New("stream exceeds the byte limit")

// stream is a connection with bounds on its bytes and its lifetime, which apply regardless of the deadlines set by its
// user.
type stream struct {
	net.Conn
	transport    *Transport
	lastDeadline time.Time // end of the lifetime; no deadline is later
	release      func()    // called once by Close
	closeOnce    sync.Once
	reader       io.Reader // reader behind the header check; set and used only by Read

	mu            sync.Mutex
	readDeadline  time.Time // set by the user, at most lastDeadline
	readableBytes int64     // number of bytes that may still be read
	writableBytes int64     // number of bytes that may still be written
}

// newStream wraps a connection. Shutdown closes the stream. release is called once when the stream is closed.
func (t *Transport) newStream(conn net.Conn, release func()) (*stream, error) {
	s := &stream{Conn: conn, transport: t, lastDeadline: time.Now().Add(t.streamLifetime), release: release,
		readableBytes: t.maxStreamBytes, writableBytes: t.maxStreamBytes}
	s.readDeadline = s.lastDeadline
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		release()
		return nil, errors.Join(net.ErrClosed, conn.Close())
	}
	t.streams[s] = struct{}{}
	_ = conn.SetDeadline(s.lastDeadline) // if this fails, the first read or write fails, too
	return s, nil
}

// Close closes the connection. Later calls return net.ErrClosed.
func (s *stream) Close() error {
	err := net.ErrClosed
	s.closeOnce.Do(func() {
		err = s.Conn.Close()
		s.transport.mu.Lock()
		delete(s.transport.streams, s)
		s.transport.mu.Unlock()
		s.release()
	})
	return err
}

// Read reads from the stream. It fails if the header announces more than the limit. Only one goroutine may read at a
// time.
func (s *stream) Read(b []byte) (int, error) {
	if s.reader == nil {
		checked, err := s.checkedReader()
		if err != nil {
			return 0, err
		}
		s.reader = checked
	}
	return s.reader.Read(b)
}

// readBounded reads from the connection within the limits on bytes and time.
func (s *stream) readBounded(b []byte) (int, error) {
	s.mu.Lock()
	deadline, reason := time.Now().Add(s.transport.idleTimeout), droppedIdle
	if s.readDeadline.Before(deadline) {
		deadline, reason = s.readDeadline, "" // the user's own deadline does not count as a drop
		if deadline.Equal(s.lastDeadline) {
			reason = droppedLifetime
		}
	}
	remaining := s.readableBytes
	err := s.Conn.SetReadDeadline(deadline)
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if remaining == 0 {
		s.transport.dropped(droppedTooLong)
		return 0, fmt.Errorf("read from %v: %w", s.RemoteAddr(), errors.Join(errStreamTooLong, s.Close()))
	}
	n, err := s.Conn.Read(b[:min(int64(len(b)), remaining)])
	s.mu.Lock()
	s.readableBytes -= int64(n)
	s.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) && reason != "" {
		s.transport.dropped(reason)
		_ = s.Close() // a stream is unusable after a drop
	}
	return n, err
}

// Write writes to the connection within the limit on bytes.
func (s *stream) Write(b []byte) (int, error) {
	s.mu.Lock()
	remaining := s.writableBytes
	s.writableBytes -= min(remaining, int64(len(b)))
	s.mu.Unlock()
	if int64(len(b)) > remaining {
		s.transport.dropped(droppedTooLong)
		return 0, fmt.Errorf("write %d bytes to %v: %w", len(b), s.RemoteAddr(), errors.Join(errStreamTooLong, s.Close()))
	}
	return s.Conn.Write(b)
}

// capDeadline returns t, or lastDeadline if t is later or zero.
func (s *stream) capDeadline(t time.Time) time.Time {
	if t.IsZero() || t.After(s.lastDeadline) {
		return s.lastDeadline
	}
	return t
}

// SetDeadline sets the deadline of reads and writes. The end of the stream's lifetime still applies.
func (s *stream) SetDeadline(t time.Time) error {
	return errors.Join(s.SetReadDeadline(t), s.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of reads. The end of the stream's lifetime still applies.
func (s *stream) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDeadline = s.capDeadline(t)
	return s.Conn.SetReadDeadline(s.readDeadline)
}

// SetWriteDeadline sets the deadline of writes. The end of the stream's lifetime still applies.
func (s *stream) SetWriteDeadline(t time.Time) error {
	return s.Conn.SetWriteDeadline(s.capDeadline(t))
}
