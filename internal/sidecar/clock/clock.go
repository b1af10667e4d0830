package clock

import (
	"math"
	"time"

	"marblelane/internal/fault"
)

// Clock is the clock of a sidecar, in milliseconds. It starts at the Unix time and advances with the monotonic clock, so
// that it is never stepped. The start times of servers (boot_ms) are wall-clock times; StepDetector reports the offset.
type Clock struct {
	start time.Time
	base  float64 // Unix ms at start
}

// New returns a clock that starts at the time of the wall clock, which includes a step injected by faults.
func New(faults *fault.Injector) Clock {
	wall, start := wallReader(faults.ClockStep)()
	return Clock{start: start, base: UnixMillis(wall)}
}

// Millis converts a time to milliseconds of the clock.
func (c Clock) Millis(t time.Time) float64 { return c.base + float64(t.Sub(c.start))/1e6 }

// Time converts milliseconds of the clock to a time.
func (c Clock) Time(ms float64) time.Time { return c.start.Add(Duration(ms - c.base)) }

// maxDuration is longer than any wait. The sum of two does not overflow a time.Duration.
const maxDuration = 100 * 365 * 24 * time.Hour

// Duration converts milliseconds to a duration of at most maxDuration. Without the limit a conversion could overflow and
// yield a negative duration.
func Duration(ms float64) time.Duration {
	return time.Duration(math.Min(ms*float64(time.Millisecond), float64(maxDuration)))
}
