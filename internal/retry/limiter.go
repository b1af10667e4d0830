package retry

import "time"

// LogInterval is the least time between two lines of the log about the same failing call.
const LogInterval = 5 * time.Second

// LogLimiter bounds how often a call that keeps failing is logged. It is for one goroutine.
type LogLimiter struct {
	last       time.Time
	suppressed int
}

// Allow reports whether a failure is to be logged, and how many were not since the last that was.
func (l *LogLimiter) Allow() (ok bool, suppressed int) {
	now := time.Now()
	if !l.last.IsZero() && now.Sub(l.last) < LogInterval {
		l.suppressed++
		return false, 0
	}
	suppressed = l.suppressed
	l.last, l.suppressed = now, 0
	return true, suppressed
}
