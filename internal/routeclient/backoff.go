package routeclient

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// boundedBackoff is an exponential backoff between failed calls. It is jittered by half, and never leaves its bounds.
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

// wait waits for a time, or until the early signal. It reports false once ctx has ended.
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
