package retry

import "time"

// LogInterval is the minimum time between two log lines about the same failing call.
const LogInterval = 5 * time.Second

// LogLimiter bounds how often a call that keeps failing is logged. It is for one goroutine.
type LogLimiter struct {
	lastLogged time.Time // zero: never
	suppressed int       // failures since then
}

// Allow reports whether a failure is to be logged, and how many failures were not logged since the last one that was.
func (l *LogLimiter) Allow() (ok bool, suppressed int) {
	now := time.Now()
	if !l.lastLogged.IsZero() && now.Sub(l.lastLogged) < LogInterval {
		l.suppressed++
		return false, 0
	}
	suppressed = l.suppressed
	l.lastLogged, l.suppressed = now, 0
	return true, suppressed
}
