package clock

import (
	"math"
	"time"

	"marblelane/balance"
	"marblelane/internal/fault"
)

const (
	// minStep is the change of the offset between the wall clock and the monotonic clock, in ms, from which on the wall
	// clock counts as stepped. Slewing changes both clocks alike, so only a step changes the offset. Smaller steps add up
	// until they reach minStep.
	minStep = 250
	// stepTolerance is the largest difference, in ms, between two readings of the same step.
	stepTolerance = 10
)

// StepDetector detects steps of the wall clock, in whose time endpoint lists state the start times of servers.
type StepDetector struct {
	clock  Clock
	read   func() (wall, monotonic time.Time) // see wallReader
	offset float64                            // ms by which the wall clock was ahead of clock after the last step
}

// NewStepDetector returns a detector for the wall clock, which includes steps injected by faults.
func NewStepDetector(c Clock, faults *fault.Injector) *StepDetector {
	return &StepDetector{clock: c, read: wallReader(faults.ClockStep)}
}

// wallReader returns a function that reads the wall clock and the monotonic clock at the same moment. injectedStep
// returns the step that the lab injects into the wall clock. As it may read a file, it is called before the clocks are
// read: however long it takes, the clocks do not differ without a step.
func wallReader(injectedStep func() time.Duration) func() (wall, monotonic time.Time) {
	return func() (wall, monotonic time.Time) {
		step := injectedStep()
		now := time.Now()
		return now.Add(step), now
	}
}

// Check reads the clocks and reports whether the wall clock was stepped. An apparent step is confirmed by a second
// reading: the process may have been held up between the two clocks of one reading, but hardly twice for the same time.
func (d *StepDetector) Check() (step balance.ClockStepped, stepped bool) {
	offset := d.readOffset()
	if math.Abs(offset-d.offset) < minStep {
		return step, false
	}
	confirmed := d.readOffset()
	if math.Abs(confirmed-offset) > stepTolerance {
		return step, false
	}
	d.offset = confirmed
	return balance.ClockStepped{Offset: confirmed}, true
}

// readOffset returns the number of ms by which the wall clock is ahead of the sidecar's clock.
func (d *StepDetector) readOffset() float64 {
	wall, monotonic := d.read()
	return UnixMillis(wall) - d.clock.Millis(monotonic)
}

// UnixMillis converts a wall-clock time to Unix milliseconds.
func UnixMillis(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }
