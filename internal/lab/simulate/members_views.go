package simulate

// This file models what sidecars hear of each other, in place of internal/membership: delays are drawn evenly from the
// spans below. What is told of it to a balancer is told as a group tells it: at each change and once a second.

import (
	"math"
	"slices"

	"marblelane/balance"
)

// The delays in ms, from the least to the most.
var (
	heardAfter  = [2]float64{200, 1000}  // of a start, of the end of a cut, of an acknowledgement
	silentAfter = [2]float64{3000, 5000} // until the detector takes one for dead
	provedAfter = [2]float64{0, 2000}    // ... and it is proved gone, where it is
)

const (
	admitWithin = 5000.0 // ms after which a newcomer counts itself in
	lookEvery   = 250.0  // ms between two looks of a sidecar at what it hears
	tellEvery   = 1000.0 // ms between two times that a balancer is told the same
	jump        = 1e9    // ms by which the clock of naive counts goes on: they fall at once
)

// What a sidecar has of another.
const (
	known = 1 << iota // not proved gone
	heard
	met // ever known
)

// view is what one sidecar has of the others.
type view struct {
	has      []uint8 // by sidecar
	counts   [3]int  // how many are known, heard, met; itself included
	pending  []hearing
	since    float64 // start of its process
	admitted bool
	told     balance.FleetSize
	toldAt   float64
	jumps    float64
}

// hearing is one thing that a sidecar will hear of another.
type hearing struct {
	at       float64
	of, life int
	set, not uint8
}

func (m *members) delay(span [2]float64) float64 { return span[0] + (span[1]-span[0])*m.rng.Float64() }

func (v *view) mark(of int, set, not uint8) {
	before, after := v.has[of], v.has[of]&^not|set
	for k := range v.counts {
		v.counts[k] += int(after>>k&1) - int(before>>k&1)
	}
	v.has[of] = after
}

func (m *members) hears(viewer, of int, after float64, set, not uint8) float64 {
	at := m.w.Now() + after
	v := &m.views[viewer]
	v.pending = append(v.pending, hearing{at, of, m.w.sidecars[of].life, set, not})
	return at
}

// established lets those that are there at the start know each other, as a fleet that has run for long.
func (m *members) established() {
	m.views = make([]view, len(m.w.sidecars))
	for i := range m.views {
		v := &m.views[i]
		v.has = make([]uint8, len(m.views))
		if i >= m.Peers {
			continue
		}
		for j := range m.Peers {
			v.mark(j, known|heard|met, 0)
		}
		v.admitted = true
		m.w.At(0, func() { m.follow(i) })
	}
}

// silent is when a process has died.
func (m *members) silent(dead int) {
	for i := range m.views {
		if i == dead || m.w.sidecars[i].down {
			continue
		}
		gone := m.delay(silentAfter)
		m.hears(i, dead, gone, 0, heard)
		if proved := gone + m.delay(provedAfter); m.sides[i] == m.sides[dead] { // else it gets no proof before the cut ends
			m.hears(i, dead, proved, 0, known)
		}
	}
}

// split lets sidecars of different sides lose each other, and those that come together hear and learn all.
func (m *members) split(sides []int) {
	before := m.sides
	m.sides = slices.Clone(sides)
	for i := range m.views {
		for j := range m.views {
			was, is := before[i] == before[j], sides[i] == sides[j]
			switch {
			case i == j || was == is || m.w.sidecars[i].down:
			case is && m.w.sidecars[j].down:
				m.hears(i, j, m.delay(heardAfter), 0, heard|known)
			case is:
				m.hears(i, j, m.delay(heardAfter), heard|known|met, 0)
			case !m.w.sidecars[j].down:
				m.hears(i, j, m.delay(silentAfter), 0, heard)
			}
		}
	}
}

// join lets processes that have just started and the others hear of each other. A newcomer learns, too, of those that
// the others have no proof against.
func (m *members) join(started []int) {
	fresh := make([]bool, len(m.views))
	for _, i := range started {
		fresh[i] = true
	}
	for _, i := range started {
		v := &m.views[i]
		*v = view{has: make([]uint8, len(m.views)), since: m.w.Now()}
		v.mark(i, known|heard|met, 0)
	}
	for _, i := range started {
		for j := range m.views {
			switch {
			case i == j:
			case m.w.sidecars[j].down || m.sides[i] != m.sides[j]:
				m.learns(i, j)
			default:
				m.hears(i, j, m.delay(heardAfter), heard|known|met, 0)
				if !fresh[j] {
					m.hears(j, i, m.delay(heardAfter), heard|known|met, 0)
				}
			}
		}
	}
}

// learns lets a newcomer know of one that it cannot hear, as the first of its side that is there has it.
func (m *members) learns(newcomer, of int) {
	for k := range m.views {
		if k == newcomer || m.w.sidecars[k].down || m.sides[k] != m.sides[newcomer] || m.views[k].has[of]&known == 0 {
			continue
		}
		m.hears(newcomer, of, m.delay(heardAfter), known|met, 0)
		for _, h := range m.views[k].pending { // the proof that is on its way comes to all
			if h.of == of && h.not&known != 0 {
				m.hears(newcomer, of, math.Max(h.at-m.w.Now(), heardAfter[1]), 0, known)
			}
		}
		return
	}
}

// follow tells a sidecar what it hears, as its variant of counting has it, until its process ends.
func (m *members) follow(i int) {
	c := m.w.sidecars[i]
	switch m.Count {
	case CountFixed:
		c.tell(balance.FleetSize{Known: m.Peers, Reachable: m.Peers, Admitted: true})
	case CountEarned:
		c.tell(balance.FleetSize{Known: 1, Reachable: 1})
	case CountFree:
		c.tell(balance.FleetSize{Known: 1, Reachable: 1, Admitted: true})
	case CountNaive, CountRule:
		m.look(i)
	}
}

func (m *members) look(i int) {
	c, v, now := m.w.sidecars[i], &m.views[i], m.w.Now()
	v.pending = slices.DeleteFunc(v.pending, func(h hearing) bool {
		if h.at <= now && m.w.sidecars[h.of].life == h.life {
			v.mark(h.of, h.set, h.not)
		}
		return h.at <= now
	})
	s := balance.FleetSize{Known: v.counts[1], Reachable: v.counts[1], Admitted: true}
	if m.Count == CountRule {
		v.admitted = v.admitted || now-v.since >= admitWithin || m.acknowledged(i)
		s = balance.FleetSize{Known: v.counts[0] + max(0, m.Peers-v.counts[2]), Reachable: v.counts[1], Admitted: v.admitted}
	}
	if s != v.told || now-v.toldAt >= tellEvery {
		v.told, v.toldAt = s, now
		if m.Count == CountNaive {
			m.tellNaive(c, s)
		} else {
			c.tell(s)
		}
	}
	m.w.After(lookEvery, c.alive(func() { m.look(i) }))
}

// acknowledged tells whether all that a newcomer knows know it. Nobody has acknowledged it before the slowest could.
func (m *members) acknowledged(newcomer int) bool {
	v := &m.views[newcomer]
	if m.w.Now()-v.since < heardAfter[1] || v.counts[0] != v.counts[1] {
		return false
	}
	for i, has := range v.has {
		if has&known != 0 && m.views[i].has[newcomer]&known == 0 {
			return false
		}
	}
	return true
}

// tellNaive tells a count that falls at once: the time that this news is told at is far after that of the last.
func (m *members) tellNaive(c *sidecar, s balance.FleetSize) {
	v := &m.views[c.number]
	v.jumps++
	if _, err := c.b.Handle(m.w.Now()+jump*v.jumps, s); err != nil {
		m.w.failed = err
	}
}

// part is a sidecar's part of what is assumed together, as it acts on it.
func (m *members) part(i int) float64 {
	switch m.Count {
	case CountNone, CountFixed:
		return 1 / float64(m.Peers)
	case CountEarned:
		return 0
	case CountFree:
		return freePeers / float64(m.Peers)
	}
	if v := &m.views[i]; !v.told.Admitted {
		return 0
	}
	return 1 / m.w.sidecars[i].b.FleetSize()
}
