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

var errStreamTooLong = errors.New("more bytes than a stream may have")

// stream is a connection whose bytes and lifetime are bounded, whatever deadlines its user sets.
type stream struct {
	net.Conn
	transport    *Transport
	lastDeadline time.Time // no deadline is later
	release      func()
	closeOnce    sync.Once
	reader       io.Reader // set by the first read; only for readers

	mu            sync.Mutex
	readDeadline  time.Time // set by its user, at most lastDeadline
	readableBytes int64     // how many may still be read
	writableBytes int64     // how many may still be written
}

// newStream wraps a connection, which Shutdown closes. release is called when it is closed.
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
	_ = conn.SetDeadline(s.lastDeadline) // if this fails, so does the first use
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

// Read reads from the stream, unless its header announces more than the limit. Only one goroutine may read at a time.
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

// readBounded reads within the limits of bytes and time.
func (s *stream) readBounded(b []byte) (int, error) {
	s.mu.Lock()
	deadline, reason := time.Now().Add(s.transport.idleTimeout), droppedIdle
	if s.readDeadline.Before(deadline) {
		deadline, reason = s.readDeadline, "" // the user's own deadline is no drop
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
		_ = s.Close() // it cannot be used any more
	}
	return n, err
}

// Write writes within the limit of bytes.
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

// capDeadline returns a deadline that is no later than the stream's last one. The zero time stands for the last one.
func (s *stream) capDeadline(t time.Time) time.Time {
	if t.IsZero() || t.After(s.lastDeadline) {
		return s.lastDeadline
	}
	return t
}

// SetDeadline bounds reads and writes, within the stream's lifetime.
func (s *stream) SetDeadline(t time.Time) error {
	return errors.Join(s.SetReadDeadline(t), s.SetWriteDeadline(t))
}

// SetReadDeadline bounds reads, within the stream's lifetime.
func (s *stream) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDeadline = s.capDeadline(t)
	return s.Conn.SetReadDeadline(s.readDeadline)
}

// SetWriteDeadline bounds writes, within the stream's lifetime.
func (s *stream) SetWriteDeadline(t time.Time) error {
	return s.Conn.SetWriteDeadline(s.capDeadline(t))
}
