package discovery

import (
	"testing"
	"time"
)

// Where lists are pushed, only what the agent has depends on the drain grace, as it counts as notified at once. A pause
// takes one delay at most. Beside a call that stays silent the next starts one delay later; after one that stays silent,
// too, it takes one delay for its silence and one for the next start.
func TestPushedDelay_sums(t *testing.T) {
	const afterSignal = 4 * time.Second // a change of the address takes effect
	for _, grace := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second, time.Minute} {
		delay := PushedDelay(float64(grace.Milliseconds()))
		pause, beside, anew := delay, delay, 2*delay
		for way, c := range map[string]struct{ sum, limit time.Duration }{
			"reset":                                    {pause, grace + minPushedDelay},
			"back, and the earlier call is silent":     {max(pause+beside, delay+anew), grace + minPushedDelay},
			"back, and connections were refused":       {pause, grace + minPushedDelay},
			"silent watch":                             {WatchTimeout + pause, MaxNotificationDelay},
			"silent watch, and the next call too":      {WatchTimeout + pause + beside, MaxNotificationDelay},
			"silent watch, and the next two calls too": {WatchTimeout + pause + beside + anew, MaxNotificationDelay},
			"SIGHUP":            {0, afterSignal},
			"SIGHUP in a pause": {pause, afterSignal},
			"SIGHUP in a pause, and the next call is lost": {pause + beside + anew, afterSignal},
		} {
			if grace == 0 && c.limit == minPushedDelay { // the settings have no drain grace
				continue
			}
			if c.sum >= c.limit {
				t.Errorf("grace %v: %s: polled %v after the list service could be reached, and notified after %v", grace, way, c.sum, c.limit)
			}
		}
	}
}
