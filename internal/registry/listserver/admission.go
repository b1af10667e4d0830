package listserver

// This file limits the rate at which readers are admitted.

import (
	"sync"
	"time"
)

// retryAfter admits a reader and returns 0, or rejects it and returns the time after which it may retry.
func (s *Server) retryAfter() time.Duration {
	options := s.options.Load()
	return s.admission.Take(time.Now(), options.AdmissionRate, float64(options.AdmissionBurst))
}

// TokenBucket limits a rate and hands out staggered retry times to rejected callers. It starts full.
type TokenBucket struct {
	mu        sync.Mutex
	Level     float64   // available tokens
	last      time.Time // time of the last update of Level
	lastRetry time.Time // retry time of the most recently rejected caller
}

// NewTokenBucket returns a bucket that holds burst tokens.
func NewTokenBucket(burst int) *TokenBucket { return &TokenBucket{Level: float64(burst)} }

// Take takes a token and returns 0; without a token it returns the time after which the caller may retry. Each rejected
// caller gets a later retry time than the previous one, so that rejected callers return one by one as tokens become
// available. rate is in tokens per second, burst is the capacity of the bucket.
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
	if b.lastRetry.Before(now) || b.lastRetry.Sub(now) > maxRetryAfter {
		b.lastRetry = now
	}
	b.lastRetry = b.lastRetry.Add(time.Duration(float64(time.Second) / rate))
	return b.lastRetry.Sub(now)
}
