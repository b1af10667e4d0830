package harness

import (
	"context"
	"time"

	"marblelane/internal/lab/invariant"
)

// Stall is a time in which this process was not given the processor.
type Stall struct{ from, to time.Time }

const (
	timerInterval = 10 * time.Millisecond
	// minStall is the shortest stall that is kept: timers are late by as much on an idle machine.
	minStall = time.Millisecond
)

// TimerLag is by how much each tick of a timer was late, and the stalls by which it was.
type TimerLag struct {
	Lag    []time.Duration
	Stalls []Stall
}

func measureTimerLag(ctx context.Context) (t TimerLag) {
	t.Lag, t.Stalls = MeasureTimerLag(ctx)
	return t
}

// MeasureTimerLag measures by how much a timer of this process is late, until ctx ends, and when it was.
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

// StallSpans are stalls on the clock of the plan.
func (r *Run) StallSpans(stalls []Stall) []invariant.Span {
	now, elapsed := time.Now(), r.Elapsed()
	sinceStart := func(t time.Time) time.Duration { return elapsed - now.Sub(t) }
	var spans []invariant.Span
	for _, s := range stalls {
		spans = append(spans, invariant.Span{From: sinceStart(s.from), To: sinceStart(s.to)})
	}
	return spans
}
