package balance

// This file converts the start time of a server, which a list gives on the wall clock, to the balancer's own
// monotonic clock. The two clocks agree until the wall clock is stepped (ClockStepped). The clocks of other
// machines may be stepped earlier, later or not at all. So after a step a start time may stand for several
// times on the balancer's clock, one for each offset that this process has observed. The latest of them that
// is not after now is used: it costs little to treat a warm server as warming up, but a server that is
// treated as warm too early may be overloaded.
//
// Until a step is noticed, by an event or by an impossible start time, listed start times are used unchanged.
//
// Rejected alternative: to infer the offset of another machine's clock from the start times in the list. That
// needs the true start time of a server, and with it no offset would be needed.

import (
	"fmt"
	"math"
	"slices"
)

const maxOffsets = 8 // number of wall clock offsets kept, the newest ones

const (
	minOffsetChange milliseconds = 100    // offsets that differ by less count as equal
	maxListDelay    milliseconds = 60_000 // from a start to its listing; a longer one implies a clock step
)

// wallClock keeps the offsets of the wall clock from the balancer's clock.
type wallClock struct {
	*shared
	offsets      []milliseconds // wall clock minus balancer's clock, newest last; nil: no step
	stepDetected bool           // a step was reported, or a listed start time implies one
}

// onClockStepped adds the new offset to the earlier ones.
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
	c.log(fmt.Sprintf("list: wall clock stepped: now %.3f s ahead of the monotonic clock", ev.Offset/1000))
}

// hasOffsets reports whether a step of the wall clock was reported, so that offsets are known.
func (c *wallClock) hasOffsets() bool { return len(c.offsets) > 0 }

// latestStart returns the latest time on the balancer's clock at which a server with this start time on the
// wall clock can have started. The result is not after now, except that a start time up to maxFutureStart
// ahead is accepted until a step is noticed. 0 (long ago) stays 0.
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
	if math.IsInf(latest, -1) { // the start time is in the future by every known offset
		return c.now
	}
	return math.Min(latest, c.now)
}

// restarted reports whether the start time of an entry shows that the server has restarted, and if so since
// when the server has been running. A start time that is earlier than the known one is a restart after the
// clock was set back, provided that the list is a later one of the same history; otherwise it is an old start
// time. confirmedAt is when a service last confirmed the list with the known start time: a server in that
// list has restarted after it.
func (c *wallClock) restarted(s *server, entry *Server, confirmedAt milliseconds, sameHistory bool) (
	since milliseconds, restarted bool,
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
