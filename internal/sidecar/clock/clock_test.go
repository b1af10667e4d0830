package clock

import (
	"testing"
	"time"
)

// A time that would overflow a time.Duration is converted to maxDuration and not to a negative duration.
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
