// Package listener keeps a listening socket in service when accept fails.
//
// net/http stops its server after any error of Accept that is not temporary. It does not treat ENOBUFS and EPROTO as
// temporary, so that such a transient failure would end the process.
package listener

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marblelane/internal/retry"
)

// Listener is a net.Listener whose Accept returns an error only when the socket is closed or lost.
type Listener struct {
	net.Listener
	name string // name of the listener in logs and errors
	log  *slog.Logger

	closed    chan struct{} // closed by Close
	closeOnce sync.Once

	lastFailure atomic.Pointer[time.Time] // time of the last failed accept; nil if none has failed

	mu         sync.Mutex // guards logLimiter, as Accept may be called concurrently
	logLimiter retry.LogLimiter
}

// Wrap returns a listener that continues to accept after failures. The name appears in logs and errors. If log is nil,
// the listener uses slog.Default.
func Wrap(inner net.Listener, name string, log *slog.Logger) *Listener {
	if log == nil {
		log = slog.Default()
	}
	return &Listener{Listener: inner, name: name, log: log, closed: make(chan struct{})}
}

// Accept waits for the next connection. After a failure it retries with the pauses of retry.NewBackoff. It logs the
// first failure, and later ones at most once per retry.LogInterval. After Close it immediately returns net.ErrClosed.
// EBADF and EINVAL without a Close mean that the socket is lost, and Accept returns them.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := retry.NewBackoff()
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case l.isClosed() || errors.Is(err, net.ErrClosed):
			return nil, closedError(err)
		case errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.EINVAL):
			return nil, fmt.Errorf("accept on %s at %s: listening socket lost: %w", l.name, l.Addr(), err)
		}
		now := time.Now()
		l.lastFailure.Store(&now)
		pause := backoff.Next()
		l.logFailure(err, pause)
		if !l.sleep(pause) {
			return nil, net.ErrClosed
		}
	}
}

// FailedWithin reports whether an accept has failed within the given time before now. A connection that is accepted
// soon after a failure may have waited in the accept queue.
func (l *Listener) FailedWithin(window time.Duration) bool {
	last := l.lastFailure.Load()
	return last != nil && time.Since(*last) < window
}

// closedError returns the error of an accept that Close has ended. The result wraps net.ErrClosed.
func closedError(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return err
	}
	return errors.Join(net.ErrClosed, err)
}

// logFailure logs a failed accept, subject to the log limiter.
func (l *Listener) logFailure(err error, pause time.Duration) {
	l.mu.Lock()
	ok, suppressed := l.logLimiter.Allow()
	l.mu.Unlock()
	if ok {
		l.log.Warn("listener: accept failed, retrying", "listener", l.name, "addr", l.Addr(), "err", err, "pause", pause,
			"suppressed", suppressed)
	}
}

// sleep waits for a pause and reports whether the listener is still open. It returns early if Close is called.
func (l *Listener) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Close closes the socket and ends Accept, even during a pause.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
