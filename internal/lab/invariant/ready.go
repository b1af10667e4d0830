package invariant

import (
	"time"

	"marblelane/internal/lab/record"
)

// restartsPerLateOne is for how many restarted processes one may be late to be ready.
const restartsPerLateOne = 10

// minReadyTime is the least time that a process has which is not ready when the run ends.
const minReadyTime = 6 * time.Second

// checkReady checks that nine in ten restarted processes are ready in time.
func (c *checker) checkReady() {
	if c.facts.ReadyWithin == 0 {
		return
	}
	starting := map[int32]time.Duration{} // restarted processes that are not ready yet
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
	if all := c.verdict.Checked[ReadyInTime]; len(late)*restartsPerLateOne > all {
		c.breach(ReadyInTime, late[0].T, 0, nil, "%d of %d copies that were started again were not ready within %v, sidecar %d first",
			len(late), all, c.facts.ReadyWithin, late[0].Sidecar)
	}
}
