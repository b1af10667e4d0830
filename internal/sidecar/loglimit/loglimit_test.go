package loglimit

import (
	"testing"
	"time"
)

// Guards against a line that every request writes, and against suppressed lines that are not counted.
func TestLimiter_next(t *testing.T) {
	var limiter Limiter
	start := time.Now()
	for _, step := range []struct {
		after      time.Duration
		suppressed int
		due        bool
	}{{0, 0, true}, {1, 0, false}, {minInterval - 1, 0, false}, {minInterval, 2, true}, {minInterval + 1, 0, false}, {3 * minInterval, 1, true}} {
		if suppressed, due := limiter.next(start.Add(step.after)); suppressed != step.suppressed || due != step.due {
			t.Errorf("after %v: %d suppressed, due %v, want %d, %v", step.after, suppressed, due, step.suppressed, step.due)
		}
	}
}
