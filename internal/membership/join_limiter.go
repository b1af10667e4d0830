package membership

import (
	"time"

	"golang.org/x/time/rate"
)

// The joiner's pace: a burst, and then so many calls in an interval; where calls fail or this process is late, fewer.
const (
	joinBurst   = 5
	joinsMost   = 2
	joinSlowest = 16 // of that, a share of one in so many
)

// joinLimiter bounds how often the joiner calls. All of a fleet that is short of processors take each other for dead, and
// their calls would keep it short.
type joinLimiter struct {
	bucket *rate.Limiter
	full   rate.Limit
	slow   float64
}

func newJoinLimiter(interval time.Duration) *joinLimiter {
	full := rate.Every(interval / joinsMost)
	return &joinLimiter{bucket: rate.NewLimiter(full, joinBurst), full: full, slow: 1}
}

// wait takes a call, or tells how long there is none.
func (p *joinLimiter) wait() time.Duration {
	r := p.bucket.Reserve()
	d := r.Delay()
	if d > 0 {
		r.Cancel()
	}
	return d
}

func (p *joinLimiter) slower() { p.set(p.slow * 2) }

// said takes in how a call went.
func (p *joinLimiter) said(err error) {
	if err != nil {
		p.set(p.slow * 1.25)
	} else {
		p.set(p.slow / 2)
	}
}

func (p *joinLimiter) set(slow float64) {
	p.slow = min(max(slow, 1), joinSlowest)
	p.bucket.SetLimit(p.full / rate.Limit(p.slow))
}
