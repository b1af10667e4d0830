package clock

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestStepDetector(t *testing.T) {
	type reading time.Duration // offset of the wall clock from the monotonic clock
	const ahead, back = time.Hour, -30 * time.Second
	const fifth, tenth = 200 * time.Millisecond, 100 * time.Millisecond
	at := func(offset time.Duration) reading { return reading(offset) }
	held := func(offset time.Duration) reading { return reading(offset - time.Second) } // the process is held up between both clocks
	for name, c := range map[string]struct {
		readings []reading // in order; each check uses one, or two if the first shows a step
		checks   int
		steps    []float64 // offsets in ms
	}{
		"none":                {[]reading{at(0), at(0), at(0)}, 3, nil},
		"ahead, and back":     {[]reading{at(ahead), at(ahead), at(ahead), at(0), at(0)}, 3, []float64{3.6e6, 0}},
		"back":                {[]reading{at(back), at(back), at(back)}, 2, []float64{-30e3}},
		"a second":            {[]reading{at(time.Second), at(time.Second)}, 1, []float64{1e3}},
		"held up once":        {[]reading{at(-time.Second), at(0), at(0)}, 2, nil},
		"held up twice":       {[]reading{at(-time.Second), at(-2 * time.Second), at(0)}, 2, nil},
		"held up, unstepped":  {[]reading{held(0), at(0), held(0), at(0)}, 2, nil},
		"held up over a step": {[]reading{at(ahead), held(ahead), at(ahead), at(ahead)}, 2, []float64{3.6e6}},
		"below the minimum":   {[]reading{at(tenth), at(-tenth)}, 2, nil},
		"small steps add up":  {[]reading{at(fifth), at(2 * fifth), at(2 * fifth)}, 2, []float64{400}},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			detector := NewStepDetector(Clock{start: start, base: UnixMillis(start)}, nil)
			next := 0
			detector.read = func() (wall, at time.Time) {
				r := c.readings[next]
				next++
				at = start.Add(time.Duration(next) * time.Second)
				return at.Add(time.Duration(r)), at
			}
			var steps []float64
			for range c.checks {
				if step, stepped := detector.Check(); stepped {
					steps = append(steps, math.Round(step.Offset))
				}
			}
			if fmt.Sprint(steps) != fmt.Sprint(c.steps) || next != len(c.readings) {
				t.Errorf("steps %v, want %v; used %d of %d readings", steps, c.steps, next, len(c.readings))
			}
		})
	}
}

// A step is detected even if it takes long to read the fault file that injects it, and no step is reported because of
// that time.
func TestStepDetector_slowFaultFile(t *testing.T) {
	const readTime = 20 * time.Millisecond
	for _, step := range []time.Duration{0, -30 * time.Second} {
		detector := NewStepDetector(New(nil), nil)
		detector.read = wallReader(func() time.Duration {
			time.Sleep(readTime)
			return step
		})
		got, stepped := detector.Check()
		if stepped != (step != 0) {
			t.Errorf("a step of %v is reported as %v", step, got)
		}
	}
}
