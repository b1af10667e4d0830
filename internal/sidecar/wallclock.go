package sidecar

import (
	"math"
	"time"

	"marblelane/balance"
	"marblelane/internal/fault"
)

const (
	// leastStep is how many ms the wall clock has to go off the monotonic one to count as stepped. Clocks are slewed
	// alike, so that only steps part them; daemons step from 128 ms on, and a start that is off by less matters little
	// beside the time for which a server is cold. Smaller steps add up until they count.
	leastStep = 250
	// sameStep is by how many ms two readings of one step may differ.
	sameStep = 10
	// readWithin is how long reading both clocks may take: a process that is held up between the two sees a step that
	// never was.
	readWithin = 5 * time.Millisecond
)

// stepWatch notices that the wall clock is stepped, by which servers' starts are told.
type stepWatch struct {
	clock  clock
	read   func() (wall, at time.Time, ok bool)
	offset float64 // ms that the wall clock is ahead of clock, as it was told last
}

// newStepWatch watches the wall clock that faults plants a step in, or the machine's.
func newStepWatch(c clock, faults *fault.Plan) *stepWatch {
	return &stepWatch{clock: c, read: wallReader(faults)}
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
		return wall, at, time.Since(at) <= readWithin
	}
}

// look reads the clocks, and again where they seem to have been stepped: the two of one reading are read one behind the
// other, and the process may be held up between them, but not twice for the same time.
func (w *stepWatch) look() (step balance.ClockStepped, stepped bool) {
	offset, ok := w.ahead()
	if !ok || math.Abs(offset-w.offset) < leastStep {
		return step, false
	}
	again, ok := w.ahead()
	if !ok || math.Abs(again-offset) > sameStep {
		return step, false
	}
	w.offset = again
	return balance.ClockStepped{Offset: again}, true
}

// ahead gives how many ms the wall clock is ahead of the sidecar's.
func (w *stepWatch) ahead() (offset float64, ok bool) {
	wall, at, ok := w.read()
	return unixMillis(wall) - w.clock.ms(at), ok
}

// unixMillis is the wall clock's time in Unix milliseconds.
func unixMillis(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }

// lookAtClock tells the module of a step.
func (l *loop) lookAtClock(now float64) {
	if step, stepped := l.steps.look(); stepped {
		l.tell(now, step)
	}
}
