package invariant

import (
	"time"

	"marblelane/internal/lab/record"
)

// restartsPerLateStart is the number of restarted processes of which one may be ready late.
const restartsPerLateStart = 10

// minReadyTime is how long a process that is not ready at the end of the run may have been starting without being late,
// unless ReadyWithin is shorter.
const minReadyTime = 6 * time.Second

// checkReady checks that nine of ten restarted processes are ready in time.
func (c *checker) checkReady() {
	if c.facts.ReadyWithin == 0 {
		return
	}
	starting := map[int32]time.Duration{} // start of each restarted process that is not ready yet
	startedBefore := map[int32]bool{}
	var late []record.Event
	recordIfLate := func(e record.Event, limit time.Duration) {
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
			if startedBefore[e.Sidecar] {
				starting[e.Sidecar] = e.T
				c.verdict.Checked[ReadyInTime]++
			}
			startedBefore[e.Sidecar] = true
		case Serving:
			if _, again := starting[e.Sidecar]; again {
				recordIfLate(e, c.facts.ReadyWithin)
				delete(starting, e.Sidecar)
			}
		}
	}
	for sidecar := range starting {
		end := c.events[len(c.events)-1].T
		recordIfLate(record.Event{T: end, Sidecar: sidecar}, min(c.facts.ReadyWithin, minReadyTime))
	}
	if all := c.verdict.Checked[ReadyInTime]; len(late)*restartsPerLateStart > all {
		c.breach(ReadyInTime, late[0].T, 0, nil, "%d of %d restarted processes were not ready within %v, first of sidecar %d",
			len(late), all, c.facts.ReadyWithin, late[0].Sidecar)
	}
}
