package membership

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// joinBurst is how many calls the joiner may make at once.
	joinBurst = 5
	// joinsPerInterval is how many calls it may make in an interval after that.
	joinsPerInterval = 2
	// maxJoinSlowdown is the largest factor by which that rate is divided.
	maxJoinSlowdown = 16
	// The slowdown grows by these factors after a late timer and a failed call, and shrinks after a successful call.
	lateTimerFactor   = 2
	failedJoinFactor  = 1.25
	joinSuccessFactor = 0.5
)

// joinLimiter bounds the rate of the joiner's calls: a token bucket whose rate falls while calls fail or timers are late.
// The members of a fleet that is short of processors take each other for dead, and their calls would keep it short.
type joinLimiter struct {
	bucket   *rate.Limiter
	fullRate rate.Limit
	slowdown float64
}

func newJoinLimiter(interval time.Duration) *joinLimiter {
	full := rate.Every(interval / joinsPerInterval)
	return &joinLimiter{bucket: rate.NewLimiter(full, joinBurst), fullRate: full, slowdown: 1}
}

// reserve takes a token for one call and returns 0, or returns how long there is none.
func (l *joinLimiter) reserve() time.Duration {
	reservation := l.bucket.Reserve()
	delay := reservation.Delay()
	if delay > 0 {
		reservation.Cancel()
	}
	return delay
}

// recordLateTimer lowers the rate, as a late timer shows that the machine is short of processors.
func (l *joinLimiter) recordLateTimer() { l.setSlowdown(l.slowdown * lateTimerFactor) }

// recordResult adapts the rate to the result of a call.
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
