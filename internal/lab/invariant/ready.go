package invariant

import (
	"time"

	"marblelane/internal/lab/record"
)

// restartsPerLate is for how many restarted processes one may be late to be ready.
const restartsPerLate = 10

// minReadyTime is the least time that a process has which is not ready when the run ends.
const minReadyTime = 6 * time.Second

// checkReady checks that nine in ten restarted processes are ready in time.
func (c *checker) checkReady() {
	if c.facts.ReadyWithin == 0 {
		return
	}
	starting := map[int32]time.Duration{} // restarted processes that are not ready yet
	known := map[int32]bool{}
	var late []record.Event
	judge := func(e record.Event, limit time.Duration) {
		if e.T-starting[e.Sidecar] > limit {
			late = append(late, e)
		}
	}
	for _, e := range c.events {
		if e.Kind != record.Process {
			continue
		}
		switch e.Note {
		case Started:
			if known[e.Sidecar] {
				starting[e.Sidecar] = e.T
				c.out.Checked[ReadyInTime]++
			}
			known[e.Sidecar] = true
		case Serving:
			if _, again := starting[e.Sidecar]; again {
				judge(e, c.facts.ReadyWithin)
				delete(starting, e.Sidecar)
			}
		}
	}
	for sidecar := range starting {
		end := c.events[len(c.events)-1].T
		judge(record.Event{T: end, Sidecar: sidecar}, min(c.facts.ReadyWithin, minReadyTime))
	}
	if all := c.out.Checked[ReadyInTime]; len(late)*restartsPerLate > all {
		c.breach(ReadyInTime, late[0].T, 0, nil, "%d of %d copies that were started again were not ready within %v, sidecar %d first",
			len(late), all, c.facts.ReadyWithin, late[0].Sidecar)
	}
}
