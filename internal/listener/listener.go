// Package listener keeps a listening socket in service while accept fails.
//
// net/http ends its server after any error of Accept that is not temporary. ENOBUFS and EPROTO are not, so that a
// transient failure would end the process.
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
	name string // for logs and errors
	log  *slog.Logger

	closed    chan struct{} // closed by Close
	closeOnce sync.Once

	lastFailure atomic.Pointer[time.Time] // nil: no accept has failed

	mu         sync.Mutex // guards logLimiter, as Accept may be called concurrently
	logLimiter retry.LogLimiter
}

// Wrap returns a listener that goes on accepting after failures. The name stands in logs and errors. A nil logger stands
// for the default one.
func Wrap(inner net.Listener, name string, log *slog.Logger) *Listener {
	if log == nil {
		log = slog.Default()
	}
	return &Listener{Listener: inner, name: name, log: log, closed: make(chan struct{})}
}

// Accept waits for the next connection. After a failure it retries, with the pauses of retry.NewBackoff; the first
// failure is logged, and later ones once each retry.LogInterval. After Close it returns net.ErrClosed, at once. EBADF and
// EINVAL without a Close mean that the socket is lost, and are returned.
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
			return nil, fmt.Errorf("%s at %s: the listening socket is lost: %w", l.name, l.Addr(), err)
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

// FailedWithin reports whether an accept has failed within the given time before now. A connection that is accepted then
// may have waited in the queue.
func (l *Listener) FailedWithin(window time.Duration) bool {
	last := l.lastFailure.Load()
	return last != nil && time.Since(*last) < window
}

// closedError returns the error of an accept that Close has ended, as one that is net.ErrClosed.
func closedError(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return err
	}
	return errors.Join(net.ErrClosed, err)
}

func (l *Listener) logFailure(err error, pause time.Duration) {
	l.mu.Lock()
	ok, suppressed := l.logLimiter.Allow()
	l.mu.Unlock()
	if ok {
		l.log.Warn("listener: accept failed, retrying", "listener", l.name, "addr", l.Addr(), "err", err, "pause", pause,
			"suppressed", suppressed)
	}
}

// sleep waits for a pause, and reports whether the listener is still open. It returns early at Close.
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

// Close closes the socket and ends Accept, even in a pause.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
