package balance

// This file converts the start of a server, which a list gives on the wall clock, to the balancer's own clock, which is
// monotonic. The two agree until the wall clock is stepped (ClockStepped). From then on a start belongs to the period
// between two steps in which it can lie; where it can lie in several, or in none, the latest time that is possible
// counts: a server that is taken for colder than it is costs little, one that is taken for warm may fall over.
//
// Until a step is noticed, here or by a start that cannot be, starts are taken as they are told.
//
// The way not taken: to infer the offset of another machine's clock from the starts that it tells. One start tells an
// offset only if it is known when the server did start, and then nothing is left to be asked.

import (
	"fmt"
	"math"
)

const (
	// mostPeriods is how many periods are told apart; the earliest are merged beyond it.
	mostPeriods = 8
	// oldStart is by how many ms a server that is told to have started again can have started before the list that told
	// its former start last: services lag, and servers take time until they are listed. Beyond it a clock was set back.
	oldStart = 6e4
)

// clockPeriod is a time within which the wall clock's offset from the balancer's clock did not change.
type clockPeriod struct {
	from, to    float64 // on the balancer's clock; periods overlap, as a step is noticed later than it happens
	least, most float64 // offsets in ms; they differ only in the first period, once others have been merged into it
}

// holds reports whether the wall clock can have shown a time within the period, up to now.
func (p *clockPeriod) holds(wall, now float64) bool {
	return wall-p.most <= math.Min(p.to, now)+futureSlack && wall-p.least >= p.from-futureSlack
}

// latest is the last time within the period at which the wall clock can have shown a time.
func (p *clockPeriod) latest(wall float64) float64 { return math.Min(wall-p.least, p.to) }

// onClockStepped begins a period.
func (b *Balancer) onClockStepped(ev ClockStepped) {
	if len(b.periods) == 0 {
		b.periods = append(b.periods, clockPeriod{from: math.Inf(-1)})
	}
	b.periods[len(b.periods)-1].to = b.now
	b.periods = append(b.periods, clockPeriod{from: ev.Since, to: math.Inf(1), least: ev.Offset, most: ev.Offset})
	b.stepped = true
	b.say(fmt.Sprintf("list: the wall clock was stepped, and is %.3f s ahead of this process's", ev.Offset/1000))
	if len(b.periods) > mostPeriods {
		b.mergePeriods()
	}
}

// mergePeriods makes one of the first two periods.
func (b *Balancer) mergePeriods() {
	first, second := b.periods[0], b.periods[1]
	second.from = first.from
	second.least, second.most = math.Min(first.least, second.least), math.Max(first.most, second.most)
	copy(b.periods, b.periods[1:])
	b.periods = b.periods[:len(b.periods)-1]
	b.periods[0] = second
}

// latestStart gives the latest time on the balancer's clock at which a server can have started whose start is told as
// wall. It is not after now, but for a start within futureSlack while no step has been noticed. 0 stays long ago.
func (b *Balancer) latestStart(wall float64) float64 {
	if wall == 0 {
		return 0
	}
	if len(b.periods) == 0 {
		if wall > b.now+futureSlack {
			return b.now
		}
		return wall
	}
	latest := math.Inf(-1)
	for i := range b.periods {
		if p := &b.periods[i]; p.holds(wall, b.now) {
			latest = math.Max(latest, p.latest(wall))
		}
	}
	if math.IsInf(latest, -1) { // no clock that was seen has shown it
		return b.now
	}
	return math.Min(latest, b.now)
}

// startOf gives the start by which entries are compared: as it is told, and once a step was noticed, as it lies on the
// balancer's own clock.
func (b *Balancer) startOf(entry *Server) float64 {
	if len(b.periods) == 0 {
		return entry.StartedAt
	}
	if s := b.byID[entry.ID]; s != nil && s.StartedAt == entry.StartedAt {
		return s.ownStart
	}
	return b.latestStart(entry.StartedAt)
}

// restarted reports whether an entry tells of another start than the one that is known, and since when the server runs
// then. A smaller start is one behind a step back of the clock if the list is a later one of the same history; in any
// other list it is of long ago. A server that was listed with another start has started after the last time that the
// service watched told of that one.
func (b *Balancer) restarted(s *server, entry *Server, later bool) (since float64, again bool) {
	back := later && entry.StartedAt != 0 && entry.StartedAt < s.StartedAt
	if !back && !(entry.StartedAt > s.StartedAt) {
		return 0, false
	}
	since = b.latestStart(entry.StartedAt)
	listed := s.zone != nil && s.doubted == 0
	if back || entry.StartedAt > b.now+futureSlack || listed && since < b.list.held-oldStart {
		b.stepped = true
	}
	switch {
	case back && len(b.periods) == 0: // of a clock of which nothing is known
		since = b.now
	case listed && b.stepped:
		since = math.Max(since, b.list.held)
	}
	s.ownStart = since
	return since, true
}
