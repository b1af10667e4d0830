package harness

import (
	"context"
	"time"

	"marblelane/internal/lab/invariant"
)

// Stall is a period in which this process did not get the processor, seen as a timer that fired late.
type Stall struct{ from, to time.Time }

const (
	timerInterval = 10 * time.Millisecond
	// minStall is the shortest stall that is recorded. Timers are late by up to this much on an idle machine, too.
	minStall = time.Millisecond
)

// TimerLag is how late a periodic timer of this process fired.
type TimerLag struct {
	Lag    []time.Duration // lag of each tick of the timer
	Stalls []Stall         // ticks that were late by minStall or more
}

func measureTimerLag(ctx context.Context) (t TimerLag) {
	t.Lag, t.Stalls = MeasureTimerLag(ctx)
	return t
}

// MeasureTimerLag measures how late each tick of a timer of this process is, until ctx ends. It also returns the
// stalls.
func MeasureTimerLag(ctx context.Context) (lag []time.Duration, stalls []Stall) {
	t := time.NewTimer(timerInterval)
	defer t.Stop()
	for {
		due := time.Now().Add(timerInterval)
		t.Reset(timerInterval)
		select {
		case <-t.C:
			now := time.Now()
			delay := max(now.Sub(due), 0)
			lag = append(lag, delay)
			if delay >= minStall {
				stalls = append(stalls, Stall{due, now})
			}
		case <-ctx.Done():
			return lag, stalls
		}
	}
}

// StallSpans converts stalls to spans on the clock of the plan, which counts from StartedAt.
func (r *Run) StallSpans(stalls []Stall) []invariant.Span {
	now, elapsed := time.Now(), r.Elapsed()
	sinceStart := func(t time.Time) time.Duration { return elapsed - now.Sub(t) }
	var spans []invariant.Span
	for _, s := range stalls {
		spans = append(spans, invariant.Span{From: sinceStart(s.from), To: sinceStart(s.to)})
	}
	return spans
}
