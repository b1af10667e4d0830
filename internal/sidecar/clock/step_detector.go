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
	// maxReadTime limits the time for reading both clocks: if the process is held up between the two reads, they differ
	// without a step.
	maxReadTime = 5 * time.Millisecond
)

// StepDetector detects steps of the wall clock, in whose time endpoint lists state the start times of servers.
type StepDetector struct {
	clock  Clock
	read   func() (wall, monotonic time.Time, ok bool) // see wallReader
	offset float64                                     // ms by which the wall clock was ahead of clock after the last step
}

// NewStepDetector returns a detector for the wall clock, which includes steps injected by faults.
func NewStepDetector(c Clock, faults *fault.Injector) *StepDetector {
	return &StepDetector{clock: c, read: wallReader(faults)}
}

// wallReader returns a function that reads the wall clock and the monotonic clock at the same moment. ok is false if the
// process was held up between the two reads.
func wallReader(faults *fault.Injector) func() (wall, monotonic time.Time, ok bool) {
	if faults == nil {
		return func() (wall, monotonic time.Time, ok bool) {
			now := time.Now()
			return now, now, true
		}
	}
	return func() (wall, monotonic time.Time, ok bool) {
		monotonic = time.Now()
		wall = faults.Now()
		return wall, monotonic, time.Since(monotonic) <= maxReadTime
	}
}

// Check reads the clocks and reports whether the wall clock was stepped. An apparent step is confirmed by a second
// reading: the process may have been held up between the two clocks of one reading, but hardly twice for the same time.
func (d *StepDetector) Check() (step balance.ClockStepped, stepped bool) {
	offset, ok := d.readOffset()
	if !ok || math.Abs(offset-d.offset) < minStep {
		return step, false
	}
	confirmed, ok := d.readOffset()
	if !ok || math.Abs(confirmed-offset) > stepTolerance {
		return step, false
	}
	d.offset = confirmed
	return balance.ClockStepped{Offset: confirmed}, true
}

// readOffset returns the number of ms by which the wall clock is ahead of the sidecar's clock. ok is as in wallReader.
func (d *StepDetector) readOffset() (offset float64, ok bool) {
	wall, monotonic, ok := d.read()
	return UnixMillis(wall) - d.clock.Millis(monotonic), ok
}

// UnixMillis converts a wall-clock time to Unix milliseconds.
func UnixMillis(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }
