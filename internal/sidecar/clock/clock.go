package clock

import (
	"math"
	"time"

	"marblelane/internal/fault"
)

// Clock is the one clock of a sidecar: Unix milliseconds at its start, monotonic from there on. Servers' boot_ms are of
// the wall clock; what a step of it makes of them the module decides (see stepWatch).
type Clock struct {
	start time.Time
	base  float64
}

// New begins with the wall clock, in which faults may have planted a step.
func New(faults *fault.Plan) Clock {
	wall, start, _ := wallReader(faults)()
	return Clock{start: start, base: UnixMillis(wall)}
}

func (c Clock) Millis(t time.Time) float64 { return c.base + float64(t.Sub(c.start))/1e6 }

func (c Clock) Time(ms float64) time.Time { return c.start.Add(Duration(ms - c.base)) }

// maxDuration is more than any time that is waited, and the sum of two still is a duration.
const maxDuration = 100 * 365 * 24 * time.Hour

// Duration gives a time in ms as a duration, of longestTime at most: a conversion that overflows would be negative.
func Duration(ms float64) time.Duration {
	return time.Duration(math.Min(ms*float64(time.Millisecond), float64(maxDuration)))
}
