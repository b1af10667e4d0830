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
			late := max(now.Sub(due), 0)
			lag = append(lag, late)
			if late >= minStall {
				stalls = append(stalls, Stall{due, now})
			}
		case <-ctx.Done():
			return lag, stalls
		}
	}
}

// Spans are the stalls on the clock of a run that began at this time of its records.
func (r *Run) Spans(stalls []Stall, began time.Duration) []invariant.Span {
	now, at := time.Now(), r.Events.Now()
	on := func(t time.Time) time.Duration { return at - now.Sub(t) - began }
	var out []invariant.Span
	for _, s := range stalls {
		out = append(out, invariant.Span{From: on(s.from), To: on(s.to)})
	}
	return out
}
