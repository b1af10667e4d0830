// Package retry retries system calls after transient failures, with a backoff, and classifies the errors of system
// calls.
package retry

import (
	"context"
	"time"
)

// Limits of the default backoff.
const (
	defaultMinPause = 5 * time.Millisecond
	defaultMaxPause = 100 * time.Millisecond
)

// Backoff computes the pause before each retry of a call: it starts at Min and doubles after each failure, up to Max.
// It is not safe for concurrent use.
type Backoff struct {
	Min, Max  time.Duration
	nextPause time.Duration // next pause; 0 means Min
}

// NewBackoff returns a backoff that starts at 5 ms and doubles up to 100 ms.
func NewBackoff() Backoff { return Backoff{Min: defaultMinPause, Max: defaultMaxPause} }

// Next returns the pause after a failure, and increases the following pause.
func (b *Backoff) Next() time.Duration {
	pause := max(b.nextPause, b.Min)
	b.nextPause = min(2*pause, b.Max)
	return pause
}

// Reset restarts the backoff at Min. Call it after a success.
func (b *Backoff) Reset() { b.nextPause = 0 }

// Sleep waits for the given time. If the context ends first, it immediately returns the context's cause.
func Sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
