package balance

// This file converts the start of a server, which a list gives on the wall clock, to the balancer's own
// clock, which is monotonic. The two agree until the wall clock is stepped (ClockStepped). From then on a
// start is the latest time, not after now, at which a clock can have shown it whose offset is one that this
// process's clock had: the clocks of other machines may be stepped earlier or later, or not at all. A warm
// server that is taken for one that warms up costs little; a server that is taken for warm too early may fall
// over.
//
// Until a step is noticed, here or by an impossible start, starts are taken as the list has them.
//
// Rejected alternative: to infer the offset of another machine's clock from the starts in the list.
// A start gives an offset only if it is known when the server did start, and then no offset is needed.

import (
	"fmt"
	"math"
	"slices"
)

const maxOffsets = 8 // offsets of the wall clock that are kept, the newest ones

const (
	minOffsetChange milliseconds = 100    // offsets that differ by less are the same
	maxListDelay    milliseconds = 60_000 // from a start to its listing; beyond it a clock was set back
)

// wallClock knows by how much the wall clock was ahead of the balancer's clock.
type wallClock struct {
	*shared
	offsets      []milliseconds // by which the wall clock was ahead, the newest last; nil: no step was noticed
	stepDetected bool           // a step was noticed, or starts were listed that only a step explains
}

// onClockStepped keeps the new offset beside those before it.
func (c *wallClock) onClockStepped(ev ClockStepped) {
	if len(c.offsets) == 0 {
		c.offsets = append(c.offsets, 0)
	}
	c.offsets = slices.DeleteFunc(c.offsets, func(old milliseconds) bool {
		return math.Abs(old-ev.Offset) < minOffsetChange
	})
	c.offsets = append(c.offsets, ev.Offset)
	if len(c.offsets) > maxOffsets {
		c.offsets = slices.Delete(c.offsets, 0, 1)
	}
	c.stepDetected = true
	c.log(fmt.Sprintf(
		"list: the wall clock was stepped, and is %.3f s ahead of this process's", ev.Offset/1000,
	))
}

// hasOffsets reports whether offsets of the wall clock are hasOffsets.
func (c *wallClock) hasOffsets() bool { return len(c.offsets) > 0 }

// latestStart returns the latest time on the balancer's clock at which a server can have started whose start
// on the wall clock is given. It is not after now, except for a start within futureSlack while no step has
// been noticed. 0 stays 0, long ago.
func (c *wallClock) latestStart(wall milliseconds) milliseconds {
	if wall == 0 {
		return 0
	}
	if !c.hasOffsets() {
		if wall > c.now+maxFutureStart {
			return c.now
		}
		return wall
	}
	latest := math.Inf(-1)
	for _, offset := range c.offsets {
		if start := wall - offset; start <= c.now+maxFutureStart {
			latest = math.Max(latest, start)
		}
	}
	if math.IsInf(latest, -1) { // no known offset allows the start
		return c.now
	}
	return math.Min(latest, c.now)
}

// restarted reports whether an entry has another start than the server's known one, and since when the server
// runs then. A smaller start is one after a step back of the clock if the list is a later one of the same
// history, else it is of long ago. confirmedAt is when the list with the known start was last said to be the
// newest: a server that was in it has started later.
func (c *wallClock) restarted(s *server, entry *Server, confirmedAt milliseconds, sameHistory bool) (
	since milliseconds, again bool,
) {
	steppedBack := sameHistory && entry.StartedAt != 0 && entry.StartedAt < s.StartedAt
	if !steppedBack && !(entry.StartedAt > s.StartedAt) {
		return 0, false
	}
	since = c.latestStart(entry.StartedAt)
	listed := s.zone != nil && s.suspectedSince == 0
	inFuture := entry.StartedAt > c.now+maxFutureStart
	if steppedBack || inFuture || listed && since < confirmedAt-maxListDelay {
		c.stepDetected = true
	}
	switch {
	case steppedBack && !c.hasOffsets():
		since = c.now
	case listed && c.stepDetected:
		since = math.Max(since, confirmedAt)
	}
	s.localStart = since
	return since, true
}
