package invariant

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"marblelane/internal/lab/record"
)

// The rules of membership (docs/membership.md).
const (
	Shares  = "shares"   // what the processes that run take for their parts adds up to no more than the fleet's
	NotGone = "not-gone" // nobody who is alive is said to be proved gone
)

// Notes of MemberProcess events.
const (
	MemberServes = "serves"
	MemberLeaves = "is told to end"
	MemberEnded  = "has ended"
)

// MemberLeft is the note of a MembersSaid event in which a process says of itself that it has left.
const MemberLeft = "left"

// Standings that are said of a member; Absent is what the lab says of one that is not listed any more.
const (
	Alive  = "alive"
	Silent = "silent"
	Gone   = "gone"
	Absent = "absent"
)

// Members is what a run with membership is held against.
type Members struct {
	Names    []string // of the parties: sidecars, and then copies of the list service, which take no part
	Sidecars int
	Without  int // sidecars that know nothing of membership, and take one part of Peers each
	Peers    int // as many count before anybody was heard of
	// False are times in which addresses refuse connections in the name of processes that live, and some time after.
	False []Span
}

// believable is by how much the sum may be over its bound: what is believed is written with few digits.
const believable = 1e-6

// saying is what one process said of itself and of the fleet.
type saying struct {
	called, back time.Duration // it is of some moment between
	start        int64
	share        float64
	forced, left bool
}

// member is one process.
type member struct {
	party  int32
	said   []saying
	served time.Duration
	leaves time.Duration // when it was told to end
	ended  time.Duration
}

// piece is a time in which a process took at least a part.
type piece struct {
	from, to time.Duration
	party    int32
	serial   uint64
	least    float64
	forced   bool
}

type members struct {
	*checker
	facts *Members
	all   map[uint64]*member // by the number of the process
}

// CheckMembers holds the events of a run, by time, to the rules of membership, and adds what it finds to a verdict.
func CheckMembers(events []record.Event, facts *Members, v *Verdict) {
	m := newMembers(&checker{events: events, out: v}, facts)
	m.shares()
	m.leavers()
	m.notGone()
}

func newMembers(c *checker, facts *Members) *members {
	m := &members{checker: c, facts: facts, all: map[uint64]*member{}}
	of := func(e *record.Event) *member {
		if m.all[e.Sum] == nil {
			m.all[e.Sum] = &member{party: e.Sidecar, served: e.T, leaves: forever, ended: forever}
		}
		return m.all[e.Sum]
	}
	for i := range c.events {
		switch e := &c.events[i]; e.Kind {
		case record.MembershipStatus:
			p := of(e)
			p.said = append(p.said, saying{called: e.T - time.Duration(e.Want), back: e.T, start: e.N,
				share: m.share(e), forced: e.Class == 1, left: e.Note == MemberLeft})
		case record.MemberProcess:
			switch p := of(e); e.Note {
			case MemberLeaves:
				p.leaves = e.T
			case MemberEnded:
				p.ended = e.T
			}
		}
	}
	return m
}

// share is the part of what the fleet allows together that a process takes, by what it said.
func (m *members) share(e *record.Event) float64 {
	switch {
	case !e.Canary || int(e.Sidecar) >= m.facts.Sidecars || e.Note == MemberLeft: // see leavers
		return 0
	case e.Work > 0:
		return 1 / e.Work
	}
	return 1 / float64(m.facts.Peers) // it was told nothing yet
}

// pieces are the times between what a process said, and while it said it, with the least that it can have taken then.
func (m *members) pieces() []piece {
	var out []piece
	for serial, p := range m.all {
		for k, s := range p.said {
			one := piece{from: s.called, to: s.back, party: p.party, serial: serial, least: s.share, forced: s.forced}
			if k > 0 {
				before := p.said[k-1]
				one.least = min(one.least, before.share)
			}
			if k+1 < len(p.said) {
				next := p.said[k+1]
				one.least = min(one.least, next.share)
				between := piece{from: s.back, to: next.called, party: p.party, serial: serial, least: min(s.share, next.share),
					forced: s.forced || next.forced}
				out = append(out, between)
			}
			out = append(out, one)
		}
	}
	return out
}

// Moment is what the processes that run take together at least, from a time on.
type Moment struct {
	At           time.Duration
	Sum, Allowed float64
	Parts        int // processes that take one
}

// SharesOf follows the sum of the parts through a run.
func SharesOf(events []record.Event, facts *Members) []Moment {
	return newMembers(&checker{events: events}, facts).moments()
}

func (m *members) moments() []Moment {
	type change struct {
		at     time.Duration
		begins bool
		*piece
	}
	pieces := m.pieces()
	var changes []change
	for i := range pieces {
		if p := &pieces[i]; p.to > p.from {
			changes = append(changes, change{p.from, true, p}, change{p.to, false, p})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	now := map[int32]map[uint64]*piece{}
	var out []Moment
	for i, c := range changes {
		switch {
		case now[c.party] == nil:
			now[c.party] = map[uint64]*piece{c.serial: c.piece}
		case c.begins:
			now[c.party][c.serial] = c.piece
		case now[c.party][c.serial] == c.piece:
			delete(now[c.party], c.serial)
		}
		if i+1 < len(changes) && changes[i+1].at == c.at {
			continue
		}
		out = append(out, m.moment(c.at, now))
	}
	return out
}

// moment adds up. Two processes of one sidecar, in an upgrade, share its part.
func (m *members) moment(at time.Duration, now map[int32]map[uint64]*piece) Moment {
	one := Moment{At: at, Sum: float64(m.facts.Without) / float64(m.facts.Peers), Allowed: 1, Parts: m.facts.Without}
	var forced []float64
	for _, party := range now {
		sum, let := 0.0, false
		for _, p := range party {
			sum += p.least
			let = let || p.forced
		}
		if sum > 0 {
			part := sum / float64(len(party))
			one.Sum += part
			one.Parts++
			if let {
				forced = append(forced, part)
			}
		}
	}
	// What the others take is at most 1. Who was let in by its time counts as many as the settings name, if it has met
	// nobody, or those that it has met.
	for _, part := range forced {
		one.Allowed += min(part, max(1/float64(m.facts.Peers), 1/float64(one.Parts)))
	}
	return one
}

func (m *members) excused(at time.Duration) bool {
	return slices.ContainsFunc(m.facts.False, func(s Span) bool { return s.From <= at && at <= s.To })
}

// shares holds the sum against what the fleet may take.
func (m *members) shares() {
	over := false
	for _, one := range m.moments() {
		if one.Parts < 2 || m.excused(one.At) {
			continue
		}
		m.out.Checked[Shares]++
		was := over
		if over = one.Sum > one.Allowed+believable; over && !was {
			m.breach(Shares, one.At, 0, nil, "%d processes take %.3f of what the fleet allows together, at most %.3f may be",
				one.Parts, one.Sum, one.Allowed)
		}
	}
}

// leavers holds those who have said that they left to it: they send nothing to servers any more. Where a sidecar has two
// processes nobody can tell whose a request was.
func (m *members) leavers() {
	by := map[int32][]*member{}
	for _, p := range m.all {
		by[p.party] = append(by[p.party], p)
	}
	for i := range m.events {
		e := &m.events[i]
		if e.Kind != record.FirstByte {
			continue
		}
		var alone *member
		several := false
		for _, p := range by[e.Sidecar] {
			if p.served-slack <= e.T && e.T-slack <= p.ended {
				several = several || alone != nil
				alone = p
			}
		}
		if alone == nil || several {
			continue
		}
		k := slices.IndexFunc(alone.said, func(s saying) bool { return s.left })
		if k >= 0 && e.T > alone.said[k].back+slack {
			m.breach(Shares, e.T, e.Request, []int{i}, "%s sends to servers %.0f ms after it has left", m.name(e.Sidecar),
				ms(e.T-alone.said[k].back))
		}
	}
}

type memberID struct {
	name  string
	start int64
}

// lives are the last moments at which each process is known to live, and when it was told to end.
func (m *members) lives() map[memberID]saying {
	out := map[memberID]saying{}
	for _, p := range m.all {
		for _, s := range p.said {
			id := memberID{m.name(p.party), s.start}
			if last, ok := out[id]; !ok || s.called > last.called {
				out[id] = saying{called: s.called, back: p.leaves}
			}
		}
	}
	return out
}

func (m *members) name(party int32) string {
	if int(party) < len(m.facts.Names) {
		return m.facts.Names[party]
	}
	return ""
}

// notGone looks for those who were said to be proved gone and were not.
func (m *members) notGone() {
	lives := m.lives()
	for i := range m.events {
		e := &m.events[i]
		switch e.Kind {
		case record.MembershipStatus:
			m.out.Checked[NotGone] += int(e.Server)
		case record.MemberStatus:
			state, name, proof := ParseMemberNote(e.Note)
			life, known := lives[memberID{name, e.N}]
			if state != Gone || !known || life.called < e.T || e.T >= life.back || m.excused(e.T) {
				continue
			}
			m.breach(NotGone, e.T, 0, []int{i}, "%s says that %s, started at %d, is proved gone (%s), and it lives %.1f s later",
				m.name(e.Sidecar), name, e.N, proof, (life.called - e.T).Seconds())
		}
	}
}

// ParseMemberNote reads the note of a MemberSaid event.
func ParseMemberNote(note string) (state, name, proof string) {
	parts := strings.SplitN(note, " ", 3)
	for len(parts) < 3 {
		parts = append(parts, "")
	}
	return parts[0], parts[1], parts[2]
}
