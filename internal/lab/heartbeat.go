package lab

import (
	"context"
	"time"

	"marblelane/internal/lab/invariant"
)

// stall is a time in which this process was not given the processor.
type stall struct{ from, to time.Time }

// leastStall is the shortest that is kept: timers are late by as much on an idle machine.
const leastStall = time.Millisecond

// heartbeat measures by how much a timer of this process is late, until ctx ends, and when it was.
func heartbeat(ctx context.Context) (lag []time.Duration, stalls []stall) {
	const every = 10 * time.Millisecond
	t := time.NewTimer(every)
	defer t.Stop()
	for {
		due := time.Now().Add(every)
		t.Reset(every)
		select {
		case <-t.C:
			now := time.Now()
			late := max(now.Sub(due), 0)
			lag = append(lag, late)
			if late >= leastStall {
				stalls = append(stalls, stall{due, now})
			}
		case <-ctx.Done():
			return lag, stalls
		}
	}
}

// spans are the stalls on the clock of a run that began at this time of its records.
func (r *run) spans(stalls []stall, began time.Duration) []invariant.Span {
	now, at := time.Now(), r.log.Now()
	on := func(t time.Time) time.Duration { return at - now.Sub(t) - began }
	var out []invariant.Span
	for _, s := range stalls {
		out = append(out, invariant.Span{From: on(s.from), To: on(s.to)})
	}
	return out
}
