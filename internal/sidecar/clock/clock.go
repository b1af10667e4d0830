package clock

import (
	"math"
	"time"

	"marblelane/internal/fault"
)

// Clock is the one clock of a sidecar: Unix milliseconds at its start, monotonic from there on. The starts of servers
// (boot_ms) are read from the wall clock; see StepDetector.
type Clock struct {
	start time.Time
	base  float64 // ms at start
}

// New gives a clock that starts at the wall clock's time, in which faults may have planted a step.
func New(faults *fault.Plan) Clock {
	wall, start, _ := wallReader(faults)()
	return Clock{start: start, base: UnixMillis(wall)}
}

// Millis converts a time to ms of the clock.
func (c Clock) Millis(t time.Time) float64 { return c.base + float64(t.Sub(c.start))/1e6 }

// Time converts ms of the clock to a time.
func (c Clock) Time(ms float64) time.Time { return c.start.Add(Duration(ms - c.base)) }

// maxDuration is longer than any wait, and the sum of two still is a duration.
const maxDuration = 100 * 365 * 24 * time.Hour

// Duration converts ms to a duration of at most maxDuration: a conversion that overflows would be negative.
func Duration(ms float64) time.Duration {
	return time.Duration(math.Min(ms*float64(time.Millisecond), float64(maxDuration)))
}
