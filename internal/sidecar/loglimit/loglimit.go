// Package loglimit limits how often log lines are written that every request may cause.
package loglimit

import (
	"log/slog"
	"sync"
	"time"
)

// minInterval is the minimum time between two lines of a Limiter.
const minInterval = time.Second

// Limiter writes at most one log line in minInterval and counts the others. It is safe for concurrent use. The zero value
// is ready for use.
type Limiter struct {
	mu         sync.Mutex
	suppressed int // lines since the last one that was written
	loggedAt   time.Time
}

// Warn logs a message at level WARN, with attributes as for slog.Warn and the number of lines that were suppressed before
// it.
func (l *Limiter) Warn(message string, attributes ...any) {
	if suppressed, due := l.next(time.Now()); due {
		slog.Warn(message, append(attributes, "suppressed", suppressed)...)
	}
}

// next reports whether a line is written now, and how many were suppressed before it.
func (l *Limiter) next(now time.Time) (suppressed int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < minInterval {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed, l.loggedAt = l.suppressed, 0, now
	return suppressed, true
}
