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
	observeDelay  = [2]float64{200, 1000}  // of a start, of the end of a cut, of an acknowledgement
	detectDelay = [2]float64{3000, 5000} // until the detector takes one for dead
	proofDelay = [2]float64{0, 2000}    // ... and it is proved gone, where it is
)

const (
	admitTimeout = 5000.0 // ms after which a newcomer counts itself in
	updateInterval   = 250.0  // ms between two looks of a sidecar at what it hears
	reportInterval   = 1000.0 // ms between two times that a balancer is told the same
	clockJump        = 1e9    // ms by which the clock of naive counts goes on: they fall at once
)

// What a sidecar has of another.
const (
	flagKnown = 1 << iota // not proved gone
	flagReachable
	flagSeen // ever known
)

// view is what one sidecar has of the others.
type memberView struct {
	flags      []uint8 // by sidecar
	counts   [3]int  // how many are known, heard, met; itself included
	pending  []observation
	startedAt    float64 // start of its process
	admitted bool
	fleetSize     balance.FleetSize
	reportedAt   float64
	clockJumps    float64
}

// hearing is one thing that a sidecar will hear of another.
type observation struct {
	at       float64
	member, incarnation int
	set, unset uint8
}

func (m *fleet) drawDelay(span [2]float64) float64 { return span[0] + (span[1]-span[0])*m.rng.Float64() }

func (v *memberView) mark(member int, set, unset uint8) {
	before, after := v.flags[member], v.flags[member]&^unset|set
	for k := range v.counts {
		v.counts[k] += int(after>>k&1) - int(before>>k&1)
	}
	v.flags[member] = after
}

func (m *fleet) observe(viewer, member int, after float64, set, unset uint8) float64 {
	at := m.sim.Now() + after
	v := &m.views[viewer]
	v.pending = append(v.pending, observation{at, member, m.sim.sidecars[member].incarnation, set, unset})
	return at
}

// established lets those that are there at the start know each other, as a fleet that has run for long.
func (m *fleet) initViews() {
	m.views = make([]memberView, len(m.sim.sidecars))
	for i := range m.views {
		v := &m.views[i]
		v.flags = make([]uint8, len(m.views))
		if i >= m.Peers {
			continue
		}
		for j := range m.Peers {
			v.mark(j, flagKnown|flagReachable|flagSeen, 0)
		}
		v.admitted = true
		m.sim.At(0, func() { m.start(i) })
	}
}

// silent is when a process has died.
func (m *fleet) processDied(dead int) {
	for i := range m.views {
		if i == dead || m.sim.sidecars[i].down {
			continue
		}
		gone := m.drawDelay(detectDelay)
		m.observe(i, dead, gone, 0, flagReachable)
		if proved := gone + m.drawDelay(proofDelay); m.sides[i] == m.sides[dead] { // else it gets no proof before the cut ends
			m.observe(i, dead, proved, 0, flagKnown)
		}
	}
}

// split lets sidecars of different sides lose each other, and those that come together hear and learn all.
func (m *fleet) partition(sides []int) {
	before := m.sides
	m.sides = slices.Clone(sides)
	for i := range m.views {
		for j := range m.views {
			was, is := before[i] == before[j], sides[i] == sides[j]
			switch {
			case i == j || was == is || m.sim.sidecars[i].down:
			case is && m.sim.sidecars[j].down:
				m.observe(i, j, m.drawDelay(observeDelay), 0, flagReachable|flagKnown)
			case is:
				m.observe(i, j, m.drawDelay(observeDelay), flagReachable|flagKnown|flagSeen, 0)
			case !m.sim.sidecars[j].down:
				m.observe(i, j, m.drawDelay(detectDelay), 0, flagReachable)
			}
		}
	}
}

// join lets processes that have just started and the others hear of each other. A newcomer learns, too, of those that
// the others have no proof against.
func (m *fleet) join(started []int) {
	fresh := make([]bool, len(m.views))
	for _, i := range started {
		fresh[i] = true
	}
	for _, i := range started {
		v := &m.views[i]
		*v = memberView{flags: make([]uint8, len(m.views)), startedAt: m.sim.Now()}
		v.mark(i, flagKnown|flagReachable|flagSeen, 0)
	}
	for _, i := range started {
		for j := range m.views {
			switch {
			case i == j:
			case m.sim.sidecars[j].down || m.sides[i] != m.sides[j]:
				m.learnIndirectly(i, j)
			default:
				m.observe(i, j, m.drawDelay(observeDelay), flagReachable|flagKnown|flagSeen, 0)
				if !fresh[j] {
					m.observe(j, i, m.drawDelay(observeDelay), flagReachable|flagKnown|flagSeen, 0)
				}
			}
		}
	}
}

// learns lets a newcomer know of one that it cannot hear, as the first of its side that is there has it.
func (m *fleet) learnIndirectly(joining, member int) {
	for k := range m.views {
		if k == joining || m.sim.sidecars[k].down || m.sides[k] != m.sides[joining] || m.views[k].flags[member]&flagKnown == 0 {
			continue
		}
		m.observe(joining, member, m.drawDelay(observeDelay), flagKnown|flagSeen, 0)
		for _, h := range m.views[k].pending { // the proof that is on its way comes to all
			if h.member == member && h.unset&flagKnown != 0 {
				m.observe(joining, member, math.Max(h.at-m.sim.Now(), observeDelay[1]), 0, flagKnown)
			}
		}
		return
	}
}

// follow tells a sidecar what it hears, as its variant of counting has it, until its process ends.
func (m *fleet) start(i int) {
	c := m.sim.sidecars[i]
	switch m.Count {
	case CountFixed:
		c.handle(balance.FleetSize{Known: m.Peers, Reachable: m.Peers, Admitted: true})
	case CountEarned:
		c.handle(balance.FleetSize{Known: 1, Reachable: 1})
	case CountUnbounded:
		c.handle(balance.FleetSize{Known: 1, Reachable: 1, Admitted: true})
	case CountReachable, CountMembership:
		m.update(i)
	}
}

func (m *fleet) update(i int) {
	c, v, now := m.sim.sidecars[i], &m.views[i], m.sim.Now()
	v.pending = slices.DeleteFunc(v.pending, func(h observation) bool {
		if h.at <= now && m.sim.sidecars[h.member].incarnation == h.incarnation {
			v.mark(h.member, h.set, h.unset)
		}
		return h.at <= now
	})
	s := balance.FleetSize{Known: v.counts[1], Reachable: v.counts[1], Admitted: true}
	if m.Count == CountMembership {
		v.admitted = v.admitted || now-v.startedAt >= admitTimeout || m.isAcknowledged(i)
		s = balance.FleetSize{Known: v.counts[0] + max(0, m.Peers-v.counts[2]), Reachable: v.counts[1], Admitted: v.admitted}
	}
	if s != v.fleetSize || now-v.reportedAt >= reportInterval {
		v.fleetSize, v.reportedAt = s, now
		if m.Count == CountReachable {
			m.handleReachable(c, s)
		} else {
			c.handle(s)
		}
	}
	m.sim.After(updateInterval, c.inThisIncarnation(func() { m.update(i) }))
}

// acknowledged tells whether all that a newcomer knows know it. Nobody has acknowledged it before the slowest could.
func (m *fleet) isAcknowledged(joining int) bool {
	v := &m.views[joining]
	if m.sim.Now()-v.startedAt < observeDelay[1] || v.counts[0] != v.counts[1] {
		return false
	}
	for i, has := range v.flags {
		if has&flagKnown != 0 && m.views[i].flags[joining]&flagKnown == 0 {
			return false
		}
	}
	return true
}

// tellNaive tells a count that falls at once: the time that this news is told at is far after that of the last.
func (m *fleet) handleReachable(c *sidecar, s balance.FleetSize) {
	v := &m.views[c.number]
	v.clockJumps++
	if _, err := c.balancer.Handle(m.sim.Now()+clockJump*v.clockJumps, s); err != nil {
		m.sim.failed = err
	}
}

// part is a sidecar's part of what is assumed together, as it acts on it.
func (m *fleet) quota(i int) float64 {
	switch m.Count {
	case CountNone, CountFixed:
		return 1 / float64(m.Peers)
	case CountEarned:
		return 0
	case CountUnbounded:
		return unboundedPeers / float64(m.Peers)
	}
	if v := &m.views[i]; !v.fleetSize.Admitted {
		return 0
	}
	return 1 / m.sim.sidecars[i].balancer.FleetSize()
}
