package membership

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// joinBurst is the number of calls that the joiner may make at once.
	joinBurst = 5
	// joinsPerInterval is the number of calls per interval after the burst, without a slowdown.
	joinsPerInterval = 2
	// maxJoinSlowdown is the largest slowdown, which is the factor by which joinsPerInterval is divided.
	maxJoinSlowdown = 16
	// Factors of the slowdown after a late timer, a failed call and a successful call.
	lateTimerFactor   = 2
	failedJoinFactor  = 1.25
	joinSuccessFactor = 0.5
)

// joinLimiter limits the rate of the joiner's calls by a token bucket whose rate falls while calls fail or timers are
// late. The members of a fleet that lacks CPU time declare each other dead, and unlimited calls would prolong the lack.
type joinLimiter struct {
	bucket   *rate.Limiter
	fullRate rate.Limit
	slowdown float64
}

func newJoinLimiter(interval time.Duration) *joinLimiter {
	full := rate.Every(interval / joinsPerInterval)
	return &joinLimiter{bucket: rate.NewLimiter(full, joinBurst), fullRate: full, slowdown: 1}
}

// reserve takes a token for one call and returns 0. If there is no token, it returns the time until the next one.
func (l *joinLimiter) reserve() time.Duration {
	reservation := l.bucket.Reserve()
	delay := reservation.Delay()
	if delay > 0 {
		reservation.Cancel()
	}
	return delay
}

// recordLateTimer lowers the rate, as a late timer indicates that the machine lacks CPU time.
func (l *joinLimiter) recordLateTimer() { l.setSlowdown(l.slowdown * lateTimerFactor) }

// recordResult lowers the rate after a failed call and raises it after a successful one.
func (l *joinLimiter) recordResult(err error) {
	if err != nil {
		l.setSlowdown(l.slowdown * failedJoinFactor)
	} else {
		l.setSlowdown(l.slowdown * joinSuccessFactor)
	}
}

func (l *joinLimiter) setSlowdown(slowdown float64) {
	l.slowdown = min(max(slowdown, 1), maxJoinSlowdown)
	l.bucket.SetLimit(l.fullRate / rate.Limit(l.slowdown))
}
