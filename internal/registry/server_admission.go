package registry

// This file admits readers at a rate.

import (
	"sync"
	"time"
)

// retryAfter admits a reader and returns 0, or returns how long it has to wait.
func (s *Server) retryAfter() time.Duration {
	o := s.o.Load()
	return s.admit.take(time.Now(), o.Watches, float64(o.Burst))
}

// bucket is a token bucket.
type bucket struct {
	mu       sync.Mutex
	level    float64
	last     time.Time
	promised time.Time // retry time given to the reader rejected last
}

// take takes a token and returns 0, or returns how long to wait. A rejected reader takes no token and is given a later
// retry time than the one before it, so that rejected readers return one by one as tokens become available.
func (b *bucket) take(now time.Time, rate, burst float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.level = min(b.level+rate*now.Sub(b.last).Seconds(), burst)
	}
	b.last = now
	if b.level >= 1 {
		b.level--
		return 0
	}
	if b.promised.Before(now) || b.promised.Sub(now) > maxRetryAfter {
		b.promised = now
	}
	b.promised = b.promised.Add(time.Duration(float64(time.Second) / rate))
	return b.promised.Sub(now)
}
