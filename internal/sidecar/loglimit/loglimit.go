// Package loglimit limits how often log lines are written that every request may cause.
package loglimit

import (
	"log/slog"
	"sync"
	"time"
)

// minInterval is the minimum time between two lines of an Interval or a Limiter.
const minInterval = time.Second

// Interval decides when a log line is written, for callers that count what happens between two lines themselves. The
// caller synchronizes its use. The zero value is ready for use.
type Interval struct {
	loggedAt time.Time
}

// Due reports whether a line may be written now, as none was in the last minInterval. If so, the caller writes it.
func (i *Interval) Due(now time.Time) bool {
	if now.Sub(i.loggedAt) < minInterval {
		return false
	}
	i.loggedAt = now
	return true
}

// Limiter writes at most one log line in minInterval and counts the others. It is safe for concurrent use. The zero value
// is ready for use.
type Limiter struct {
	mu         sync.Mutex
	suppressed int // lines since the last one that was written
	interval   Interval
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
	if !l.interval.Due(now) {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
