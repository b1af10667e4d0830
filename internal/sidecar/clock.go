package sidecar

// This file converts between the module's milliseconds and Go's times.

import (
	"math"
	"time"

	"marblelane/internal/fault"
)

// clock is the one clock of a sidecar: Unix milliseconds at its start, monotonic from there on. Servers' boot_ms are of
// the wall clock; what a step of it makes of them the module decides (see stepWatch).
type clock struct {
	start time.Time
	base  float64
}

// newClock begins with the wall clock, in which faults may have planted a step.
func newClock(faults *fault.Plan) clock {
	wall, start, _ := wallReader(faults)()
	return clock{start: start, base: unixMillis(wall)}
}

func (c clock) ms(t time.Time) float64 { return c.base + float64(t.Sub(c.start))/1e6 }

func (c clock) time(ms float64) time.Time { return c.start.Add(millis(ms - c.base)) }

// longestTime is more than any time that is waited, and the sum of two still is a duration.
const longestTime = 100 * 365 * 24 * time.Hour

// millis gives a time in ms as a duration, of longestTime at most: a conversion that overflows would be negative.
func millis(ms float64) time.Duration {
	return time.Duration(math.Min(ms*float64(time.Millisecond), float64(longestTime)))
}
