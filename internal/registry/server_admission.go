package registry

// This file admits readers at a rate.

import (
	"sync"
	"time"
)

// turnAway tells how long a reader has to wait; 0: it is admitted.
func (s *Server) turnAway() time.Duration {
	o := s.o.Load()
	return s.admit.take(time.Now(), o.Watches, float64(o.Burst))
}

// bucket admits at a rate, with a burst.
type bucket struct {
	mu       sync.Mutex
	level    float64
	last     time.Time
	promised time.Time // to whom was turned away last
}

// take takes a place, or says how long to wait. Whoever is turned away takes nothing, and is told a later time than the
// one before: they come back one by one, as places become free. (Where each refusal took a place too, 1,000 readers
// who came at once kept each other out: 24,000 refusals and 236 watches after a minute.)
func (b *bucket) take(now time.Time, rate, most float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.level = min(b.level+rate*now.Sub(b.last).Seconds(), most)
	}
	b.last = now
	if b.level >= 1 {
		b.level--
		return 0
	}
	if b.promised.Before(now) || b.promised.Sub(now) > mostWait {
		b.promised = now
	}
	b.promised = b.promised.Add(time.Duration(float64(time.Second) / rate))
	return b.promised.Sub(now)
}
