package discovery

import (
	"testing"
	"time"
)

// If an agent pushes the lists, its changes count as notified at once, so the time until the next call must stay below
// the drain grace. A pause takes at most one delay. While the patient call gets no response, the first eager call
// starts one delay later (beside). If that gets no response either, the next one follows after a delay for its timeout
// and one for the pause (anew).
func TestPushedDelay_sums(t *testing.T) {
	const afterSignal = 4 * time.Second // within which a change of the address takes effect
	for _, grace := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second, time.Minute} {
		delay := PushedDelay(float64(grace.Milliseconds()))
		pause, beside, anew := delay, delay, 2*delay
		for failure, c := range map[string]struct{ sum, limit time.Duration }{
			"reset": {pause, grace + minPushedDelay},
			"recovered, earlier call without response": {max(pause+beside, delay+anew), grace + minPushedDelay},
			"recovered, connections were refused":      {pause, grace + minPushedDelay},
			"silent watch":                             {WatchTimeout + pause, MaxNotificationDelay},
			"silent watch, and the next call too":      {WatchTimeout + pause + beside, MaxNotificationDelay},
			"silent watch, and the next two calls too": {WatchTimeout + pause + beside + anew, MaxNotificationDelay},
			"SIGHUP":            {0, afterSignal},
			"SIGHUP in a pause": {pause, afterSignal},
			"SIGHUP in a pause, and the next call is lost": {pause + beside + anew, afterSignal},
		} {
			if grace == 0 && c.limit == minPushedDelay { // no bound for settings without a drain grace
				continue
			}
			if c.sum >= c.limit {
				t.Errorf("grace %v: %s: the next call begins %v after the list service can be reached, want less than %v", grace, failure, c.sum, c.limit)
			}
		}
	}
}
