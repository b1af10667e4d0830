// Package retry repeats system calls after transient failures, with a backoff, and classifies the errors of system calls.
package retry

import (
	"context"
	"time"
)

// The bounds of the default backoff.
const (
	defaultMinPause = 5 * time.Millisecond
	defaultMaxPause = 100 * time.Millisecond
)

// Backoff is the pause before each retry of a call: Min, doubled after each failure up to Max. It is for one goroutine.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration // zero: Min
}

// NewBackoff returns a backoff of 5 ms that doubles to at most 100 ms.
func NewBackoff() Backoff { return Backoff{Min: defaultMinPause, Max: defaultMaxPause} }

// Next returns the pause after one more failure.
func (b *Backoff) Next() time.Duration {
	pause := max(b.next, b.Min)
	b.next = min(2*pause, b.Max)
	return pause
}

// Reset starts again with Min, as after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Sleep waits for the given time. If the context ends before, it returns the context's cause at once.
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
