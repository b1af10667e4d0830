// Package retry paces the repetition of system calls that fail for a moment, and tells which failures those are.
package retry

import (
	"context"
	"time"
)

// Backoff is the pause before each repetition of a call: Min, doubled after each failure up to Max.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration
}

// NewBackoff gives a backoff of 5 ms that doubles to at most 100 ms.
func NewBackoff() Backoff { return Backoff{Min: 5 * time.Millisecond, Max: 100 * time.Millisecond} }

// Next is the pause after one more failure.
func (b *Backoff) Next() time.Duration {
	pause := max(b.next, b.Min)
	b.next = min(2*pause, b.Max)
	return pause
}

// Reset begins anew at Min, as after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Sleep waits, or returns the context's cause as soon as the context ends.
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
