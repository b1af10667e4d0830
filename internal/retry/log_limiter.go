package retry

import "time"

// LogInterval is the minimum time between two log lines about the same failing call.
const LogInterval = 5 * time.Second

// LogLimiter limits how often a repeatedly failing call is logged. It is not safe for concurrent use.
type LogLimiter struct {
	lastLogged time.Time // time of the last logged failure; zero if none
	suppressed int       // number of failures since lastLogged that were not logged
}

// Allow reports whether to log a failure, and the number of failures that were not logged since the last logged one.
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
