package discovery

import (
	"testing"
	"time"
)

// Where lists are pushed no bound leans on the drain grace but that of what the agent has, which counts as told at once.
// A pause takes one lag at most; beside a call that stays silent the next begins a lag later, and after one that does, too,
// a lag for its silence and one more for the one after it.
func TestPushedListsAreKnownInTime(t *testing.T) {
	const afterSignal = 4 * time.Second // TERMS
	for _, grace := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second, time.Minute} {
		lag := PushedDelay(float64(grace.Milliseconds()))
		pause, beside, anew := lag, lag, 2*lag
		for way, c := range map[string]struct{ sum, told time.Duration }{
			"reset":                                    {pause, grace + minPushedDelay},
			"back, and the call of before is silent":   {max(pause+beside, lag+anew), grace + minPushedDelay},
			"back, and connections were refused":       {pause, grace + minPushedDelay},
			"silent watch":                             {WatchTimeout + pause, NotifiedWithin},
			"silent watch, and the next call too":      {WatchTimeout + pause + beside, NotifiedWithin},
			"silent watch, and the next two calls too": {WatchTimeout + pause + beside + anew, NotifiedWithin},
			"SIGHUP":            {0, afterSignal},
			"SIGHUP in a pause": {pause, afterSignal},
			"SIGHUP in a pause, and the next call is lost": {pause + beside + anew, afterSignal},
		} {
			if grace == 0 && c.told == minPushedDelay { // the settings name no rule on drains
				continue
			}
			if c.sum >= c.told {
				t.Errorf("grace %v: %s: asked for %v after discovery could be reached, and told after %v", grace, way, c.sum, c.told)
			}
		}
	}
}
