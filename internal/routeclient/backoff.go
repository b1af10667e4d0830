package routeclient

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// boundedBackoff is an exponential backoff between failed calls, with a jitter of 50 %. Its intervals are from min to
// max.
type boundedBackoff struct {
	backoff.ExponentialBackOff
	min, max time.Duration
}

func (c *Client) newBackoff(limit time.Duration) *boundedBackoff {
	b := &boundedBackoff{min: c.timings.minBackoff, max: limit}
	b.InitialInterval, b.MaxInterval = 2*b.min, limit
	b.Multiplier, b.RandomizationFactor = 2, 0.5
	return b
}

func (b *boundedBackoff) next() time.Duration { return min(max(b.NextBackOff(), b.min), b.max) }

// wait returns after d, on a signal from early, or when ctx ends. It reports whether ctx is still active.
func wait(ctx context.Context, d time.Duration, early <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-early:
	}
	return ctx.Err() == nil
}
