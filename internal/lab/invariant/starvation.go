package invariant

import "time"

// Starvation is a time in which a thread of a sidecar was ready to run and got no processor for a while.
type Starvation struct {
	Sidecar  int32
	From, To time.Duration
	MaxDelay time.Duration // that one thread waited, in all, between From and To
}

// starvedTime is the longest that a thread of a sidecar can have waited for a processor between two times.
func (c *checker) starvedTime(sidecar int32, from, to time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, s := range c.facts.Starvation {
		if s.Sidecar == sidecar {
			sum += min(s.MaxDelay, max(min(s.To, to)-max(s.From, from), 0))
		}
	}
	return sum
}
