package balance

// This file converts the start of a server, which a list gives on the wall clock, to the balancer's own
// clock, which is monotonic. The two agree until the wall clock is stepped (ClockStepped). From then on a
// start is the latest time, not after now, at which a clock can have shown it that is off by what this
// process's clock was ever seen to be: other machines' clocks may be stepped earlier or later, or not at all,
// and a server that is taken for colder than it is costs little, where one that is taken for warm may fall
// over.
//
// Until a step is noticed, here or by a start that cannot be, starts are taken as they are told.
//
// The way not taken: to infer the offset of another machine's clock from the starts that it tells. One start
// tells an offset only if it is known when the server did start, and then nothing is left to be asked.

import (
	"fmt"
	"math"
	"slices"
)

const (
	// mostOffsets is how many offsets of the wall clock are kept, the newest ones.
	maxOffsets = 8
	// sameOffset is by how many ms two offsets differ at least.
	sameOffset = 100
	// oldStart is by how many ms a server that is told to have started again can have started before the list
	// that told its former start last: services lag, and servers take time until they are listed. Beyond it a
	// clock was set back.
	oldStart = 6e4
)

// onClockStepped keeps the new offset beside those before it.
func (b *Balancer) onClockStepped(ev ClockStepped) {
	if len(b.offsets) == 0 {
		b.offsets = append(b.offsets, 0)
	}
	b.offsets = slices.DeleteFunc(b.offsets, func(old float64) bool {
		return math.Abs(old-ev.Offset) < sameOffset
	})
	b.offsets = append(b.offsets, ev.Offset)
	if len(b.offsets) > maxOffsets {
		b.offsets = slices.Delete(b.offsets, 0, 1)
	}
	b.stepped = true
	b.log(fmt.Sprintf(
		"list: the wall clock was stepped, and is %.3f s ahead of this process's", ev.Offset/1000,
	))
}

// latestStart gives the latest time on the balancer's clock at which a server can have started whose start is
// told as wall. It is not after now, but for a start within futureSlack while no step has been noticed. 0
// stays long ago.
func (b *Balancer) latestStart(wall float64) float64 {
	if wall == 0 {
		return 0
	}
	if len(b.offsets) == 0 {
		if wall > b.now+futureSlack {
			return b.now
		}
		return wall
	}
	latest := math.Inf(-1)
	for _, offset := range b.offsets {
		if start := wall - offset; start <= b.now+futureSlack {
			latest = math.Max(latest, start)
		}
	}
	if math.IsInf(latest, -1) { // no clock that was seen has shown it
		return b.now
	}
	return math.Min(latest, b.now)
}

// startOf gives the start by which entries are compared: as it is told, and once a step was noticed, as it
// lies on the balancer's own clock.
func (b *Balancer) startOf(entry *Server) float64 {
	if len(b.offsets) == 0 {
		return entry.StartedAt
	}
	if s := b.byID[entry.ID]; s != nil && s.StartedAt == entry.StartedAt {
		return s.ownStart
	}
	return b.latestStart(entry.StartedAt)
}

// restarted reports whether an entry tells of another start than the one that is known, and since when the
// server runs then. A smaller start is one behind a step back of the clock if the list is a later one of the
// same history; in any other list it is of long ago. A server that was listed with another start has started
// after the last time that the service watched told of that one.
func (b *Balancer) restarted(s *server, entry *Server, later bool) (since float64, again bool) {
	back := later && entry.StartedAt != 0 && entry.StartedAt < s.StartedAt
	if !back && !(entry.StartedAt > s.StartedAt) {
		return 0, false
	}
	since = b.latestStart(entry.StartedAt)
	listed := s.zone != nil && s.suspectedSince == 0
	if back || entry.StartedAt > b.now+futureSlack || listed && since < b.list.confirmedAt-oldStart {
		b.stepped = true
	}
	switch {
	case back && len(b.offsets) == 0: // of a clock of which nothing is known
		since = b.now
	case listed && b.stepped:
		since = math.Max(since, b.list.confirmedAt)
	}
	s.ownStart = since
	return since, true
}
