package clock

import (
	"math"
	"time"

	"marblelane/balance"
	"marblelane/internal/fault"
)

const (
	// minStep is by how many ms the wall clock has to differ from the monotonic one to count as stepped. Both are slewed
	// alike, so that only steps part them. Smaller steps add up until they count.
	minStep = 250
	// stepTolerance is by how many ms two readings of one step may differ.
	stepTolerance = 10
	// maxReadTime is how long reading both clocks may take: a process that is held up between the two sees a step that
	// was none.
	maxReadTime = 5 * time.Millisecond
)

// StepDetector detects steps of the wall clock, from which lists give the starts of servers.
type StepDetector struct {
	clock  Clock
	read   func() (wall, monotonic time.Time, ok bool) // see wallReader
	offset float64                                     // ms that the wall clock was ahead of clock at the last step
}

// NewStepDetector watches the wall clock, in which faults may plant a step.
func NewStepDetector(c Clock, faults *fault.Plan) *StepDetector {
	return &StepDetector{clock: c, read: wallReader(faults)}
}

// wallReader gives a function that reads the wall clock and the monotonic one at one moment; not ok: it was held up
// between the two.
func wallReader(faults *fault.Plan) func() (wall, monotonic time.Time, ok bool) {
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

// Check reads the clocks, and reads them again where the wall clock seems to have been stepped: the process may have been
// held up between the two clocks of a reading, but not twice for the same time.
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

// readOffset gives how many ms the wall clock is ahead of the sidecar's.
func (d *StepDetector) readOffset() (offset float64, ok bool) {
	wall, monotonic, ok := d.read()
	return UnixMillis(wall) - d.clock.Millis(monotonic), ok
}

// UnixMillis converts a time of the wall clock to Unix milliseconds.
func UnixMillis(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }
