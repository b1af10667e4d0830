package clock

import (
	"testing"
	"time"
)

// A time that is too long for a duration is cut to maxDuration, and is not negative.
func TestDuration_TooLong(t *testing.T) {
	for _, ms := range []float64{1e13, 1e18, 1e300} {
		if d := Duration(ms); d != maxDuration {
			t.Errorf("%v ms is %v", ms, d)
		}
	}
	if got := Duration(1500); got != 1500*time.Millisecond {
		t.Errorf("1500 ms is %v", got)
	}
}
