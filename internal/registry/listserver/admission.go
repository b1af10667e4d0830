package listserver

// This file admits readers at a rate.

import (
	"sync"
	"time"
)

// retryAfter admits a reader and returns 0, or returns how long it has to wait.
func (s *Server) retryAfter() time.Duration {
	o := s.o.Load()
	return s.admit.Take(time.Now(), o.AdmissionRate, float64(o.AdmissionBurst))
}

// TokenBucket is a token bucket. It starts with a full burst.
type TokenBucket struct {
	mu       sync.Mutex
	Level    float64
	last     time.Time
	promised time.Time // retry time given to the reader rejected last
}

// NewTokenBucket makes a bucket with a full burst.
func NewTokenBucket(burst int) *TokenBucket { return &TokenBucket{Level: float64(burst)} }

// Take takes a token and returns 0, or returns how long to wait. A rejected reader takes no token and is given a later
// retry time than the one before it, so that rejected readers return one by one as tokens become available.
func (b *TokenBucket) Take(now time.Time, rate, burst float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.Level = min(b.Level+rate*now.Sub(b.last).Seconds(), burst)
	}
	b.last = now
	if b.Level >= 1 {
		b.Level--
		return 0
	}
	if b.promised.Before(now) || b.promised.Sub(now) > maxRetryAfter {
		b.promised = now
	}
	b.promised = b.promised.Add(time.Duration(float64(time.Second) / rate))
	return b.promised.Sub(now)
}
