package clock

import (
	"math"
	"time"

	"marblelane/balance"
	"marblelane/internal/fault"
)

const (
	// minStep is how many ms the wall clock has to go off the monotonic one to count as stepped. Clocks are slewed
	// alike, so that only steps part them; daemons step from 128 ms on, and a start that is off by less matters little
	// beside the time for which a server is cold. Smaller steps add up until they count.
	minStep = 250
	// stepTolerance is by how many ms two readings of one step may differ.
	stepTolerance = 10
	// maxReadTime is how long reading both clocks may take: a process that is held up between the two sees a step that
	// never was.
	maxReadTime = 5 * time.Millisecond
)

// StepDetector notices that the wall clock is stepped, by which servers' starts are told.
type StepDetector struct {
	clock  Clock
	read   func() (wall, at time.Time, ok bool)
	offset float64 // ms that the wall clock is ahead of clock, as it was told last
}

// NewStepDetector watches the wall clock that faults plants a step in, or the machine's.
func NewStepDetector(c Clock, faults *fault.Plan) *StepDetector {
	return &StepDetector{clock: c, read: wallReader(faults)}
}

// wallReader gives a function that reads the wall clock and the monotonic one at one moment; not ok: it was held up
// between the two.
func wallReader(faults *fault.Plan) func() (wall, at time.Time, ok bool) {
	if faults == nil {
		return func() (wall, at time.Time, ok bool) {
			now := time.Now()
			return now, now, true
		}
	}
	return func() (wall, at time.Time, ok bool) {
		at = time.Now()
		wall = faults.Now()
		return wall, at, time.Since(at) <= maxReadTime
	}
}

// Check reads the clocks, and again where they seem to have been stepped: the two of one reading are read one behind the
// other, and the process may be held up between them, but not twice for the same time.
func (w *StepDetector) Check() (step balance.ClockStepped, stepped bool) {
	offset, ok := w.ahead()
	if !ok || math.Abs(offset-w.offset) < minStep {
		return step, false
	}
	again, ok := w.ahead()
	if !ok || math.Abs(again-offset) > stepTolerance {
		return step, false
	}
	w.offset = again
	return balance.ClockStepped{Offset: again}, true
}

// ahead gives how many ms the wall clock is ahead of the sidecar's.
func (w *StepDetector) ahead() (offset float64, ok bool) {
	wall, at, ok := w.read()
	return UnixMillis(wall) - w.clock.Millis(at), ok
}

// UnixMillis is the wall clock's time in Unix milliseconds.
func UnixMillis(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }
