// Package listener keeps a listening socket in service while accept fails.
//
// net/http ends its server after any error of Accept that is not temporary, as ENOBUFS or EPROTO are not; a failure
// that a moment later is over would end the process.
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

// Listener is a net.Listener whose Accept fails only when nothing can be accepted any more.
type Listener struct {
	net.Listener
	name string
	log  *slog.Logger

	closed    chan struct{}
	closeOnce sync.Once

	failed atomic.Pointer[time.Time] // when an accept failed last; nil: none has

	mu       sync.Mutex // of several callers of Accept
	failures retry.LogLimiter
}

// Wrap makes Accept of a listener go on after failures. The name stands in the log and in errors. No logger is the
// default one.
func Wrap(inner net.Listener, name string, log *slog.Logger) *Listener {
	if log == nil {
		log = slog.Default()
	}
	return &Listener{Listener: inner, name: name, log: log, closed: make(chan struct{})}
}

// Accept waits for the next connection. After a failure it tries again, 5 ms later and then at intervals that double
// to 100 ms; the first failure is logged, and later ones once each retry.LogInterval. After Close it returns
// net.ErrClosed, at once. EBADF and EINVAL of a listener that nobody closed are returned: its socket is gone.
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
		l.failed.Store(&now)
		pause := backoff.Next()
		l.logFailure(err, pause)
		if !l.wait(pause) {
			return nil, net.ErrClosed
		}
	}
}

// FailedWithin reports whether an accept has failed in the given time up to now, so that who is accepted may have waited
// for it.
func (l *Listener) FailedWithin(window time.Duration) bool {
	last := l.failed.Load()
	return last != nil && time.Since(*last) < window
}

// closedError is the failure of an accept that Close has ended.
func closedError(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return err
	}
	return errors.Join(net.ErrClosed, err)
}

func (l *Listener) logFailure(err error, pause time.Duration) {
	l.mu.Lock()
	ok, suppressed := l.failures.Allow()
	l.mu.Unlock()
	if ok {
		l.log.Warn("accept fails, trying again", "listener", l.name, "addr", l.Addr(), "error", err, "pause", pause,
			"suppressed", suppressed)
	}
}

// wait reports whether the listener is still open after a pause; it returns early at Close.
func (l *Listener) wait(pause time.Duration) bool {
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

// Close closes the socket and ends Accept, also in a pause.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
