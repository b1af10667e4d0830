package invariant

import (
	"slices"
	"testing"
	"time"

	"marblelane/internal/lab/record"
)

// One of ten restarted processes may be ready late. The first start of a process is not counted.
func TestReadyInTime(t *testing.T) {
	for name, c := range map[string]struct {
		first, again time.Duration // time until a process is ready; negative: not ready at the end of the run
		late, all    int           // number of processes that take this long when restarted, and of all
		end          time.Duration
		broken       bool
	}{
		"all in time":          {millis(100), 9 * time.Second, 10, 10, time.Minute, false},
		"one in ten late":      {millis(100), 11 * time.Second, 1, 10, time.Minute, false},
		"two in ten late":      {millis(100), 11 * time.Second, 2, 10, time.Minute, true},
		"the only one late":    {millis(100), 11 * time.Second, 1, 1, time.Minute, true},
		"first starts late":    {11 * time.Second, millis(100), 10, 10, time.Minute, false},
		"never ready":          {millis(100), -1, 2, 10, time.Minute, true},
		"the run ends at once": {millis(100), -1, 2, 10, 25 * time.Second, false},
		"the run ends later":   {millis(100), -1, 2, 10, 27 * time.Second, true},
	} {
		var events []record.Event
		add := func(sidecar int, at time.Duration, note string) {
			events = append(events, record.Event{T: at, Kind: record.Process, Sidecar: int32(sidecar), Note: note})
		}
		for i := range c.all {
			add(i, 0, Started)
			add(i, c.first, Serving)
			add(i, 19*time.Second, Killed)
			add(i, 20*time.Second, Started)
			switch {
			case i >= c.late:
				add(i, 20*time.Second+millis(100), Serving)
			case c.again >= 0:
				add(i, 20*time.Second+c.again, Serving)
			}
		}
		add(0, c.end, Stopping)
		slices.SortStableFunc(events, func(a, b record.Event) int { return int(a.T - b.T) })
		got := Check(events, Facts{ReadyWithin: 10 * time.Second}).Broken()
		if slices.Contains(got, ReadyInTime) != c.broken {
			t.Errorf("%s: broken rules %v, want %s broken %v", name, got, ReadyInTime, c.broken)
		}
	}
}
