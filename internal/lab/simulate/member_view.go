package simulate

// This file models what sidecars know of each other, in place of internal/membership. Delays are drawn evenly from the
// ranges below. A balancer gets the fleet's size at each change and once a second, as from a membership group.

import (
	"math"
	"slices"

	"marblelane/balance"
)

// The delays in ms, from the shortest to the longest.
var (
	observeDelay = [2]float64{200, 1000}  // of a start, of the end of a cut, of an acknowledgement
	detectDelay  = [2]float64{3000, 5000} // from a death or a cut until the failure detector notices
	proofDelay   = [2]float64{0, 2000}    // from there until the member is proved gone
)

const (
	admitTimeout   = 5000.0 // ms after which a joining member admits itself
	updateInterval = 250.0  // ms between two updates of a view
	reportInterval = 1000.0 // ms after which a balancer gets the same size again
	clockJump      = 1e9    // ms by which the balancer's clock is ahead with CountReachable, so that counts drop at once
)

// The flags of a member in a view. Bit k is counted in counts[k].
const (
	flagKnown     = 1 << iota // not proved gone
	flagReachable             // not taken for dead by the failure detector
	flagSeen                  // ever known

	known     = 0
	reachable = 1
	seen      = 2
)

// memberView is what one sidecar knows of the fleet.
type memberView struct {
	flags      []uint8 // by sidecar
	counts     [3]int  // members that are known, reachable and seen, itself included
	pending    []observation
	startedAt  float64 // start of the sidecar's process
	admitted   bool
	fleetSize  balance.FleetSize
	reportedAt float64
	clockJumps float64
}

// observation is a change of flags that a sidecar will make for a member of an incarnation.
type observation struct {
	at                  float64
	member, incarnation int
	set, unset          uint8
}

func (m *fleet) drawDelay(span [2]float64) float64 {
	return span[0] + (span[1]-span[0])*m.rng.Float64()
}

func (v *memberView) mark(member int, set, unset uint8) {
	before, after := v.flags[member], v.flags[member]&^unset|set
	for k := range v.counts {
		v.counts[k] += int(after>>k&1) - int(before>>k&1)
	}
	v.flags[member] = after
}

// observe schedules a change of flags in the view of a sidecar.
func (m *fleet) observe(viewer, member int, after float64, set, unset uint8) {
	at := m.sim.Now() + after
	v := &m.views[viewer]
	v.pending = append(v.pending, observation{at, member, m.sim.sidecars[member].incarnation, set, unset})
}

// initViews lets the first sidecars know each other, as in a fleet that has run for long.
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

// processDied schedules the detection of a death.
func (m *fleet) processDied(dead int) {
	for i := range m.views {
		if i == dead || m.sim.sidecars[i].down {
			continue
		}
		gone := m.drawDelay(detectDelay)
		m.observe(i, dead, gone, 0, flagReachable)
		if proved := gone + m.drawDelay(proofDelay); m.sides[i] == m.sides[dead] { // others get no proof before the partition heals
			m.observe(i, dead, proved, 0, flagKnown)
		}
	}
}

// partition lets sidecars lose those on the other sides, and meet those on their own.
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

// join lets processes that have just started and the others observe each other. A joining member learns indirectly of
// unreachable members that the others have not proved gone.
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

// learnIndirectly gives a joining member what the first running member on its side knows of an unreachable one.
func (m *fleet) learnIndirectly(joining, member int) {
	for k := range m.views {
		if k == joining || m.sim.sidecars[k].down || m.sides[k] != m.sides[joining] || m.views[k].flags[member]&flagKnown == 0 {
			continue
		}
		m.observe(joining, member, m.drawDelay(observeDelay), flagKnown|flagSeen, 0)
		for _, o := range m.views[k].pending { // a proof that is under way reaches the joining member, too
			if o.member == member && o.unset&flagKnown != 0 {
				m.observe(joining, member, math.Max(o.at-m.sim.Now(), observeDelay[1]), 0, flagKnown)
			}
		}
		return
	}
}

// start gives a sidecar the fleet's size by the way of counting, until its process ends.
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

// update applies the due observations of a sidecar and tells its balancer the fleet's size.
func (m *fleet) update(i int) {
	c, v, now := m.sim.sidecars[i], &m.views[i], m.sim.Now()
	v.pending = slices.DeleteFunc(v.pending, func(o observation) bool {
		if o.at <= now && m.sim.sidecars[o.member].incarnation == o.incarnation {
			v.mark(o.member, o.set, o.unset)
		}
		return o.at <= now
	})
	s := m.fleetSize(i)
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

// fleetSize is the fleet's size as a sidecar counts it now.
func (m *fleet) fleetSize(i int) balance.FleetSize {
	v := &m.views[i]
	if m.Count == CountReachable {
		return balance.FleetSize{Known: v.counts[reachable], Reachable: v.counts[reachable], Admitted: true}
	}
	v.admitted = v.admitted || m.sim.Now()-v.startedAt >= admitTimeout || m.isAcknowledged(i)
	unseen := max(0, m.Peers-v.counts[seen])
	return balance.FleetSize{Known: v.counts[known] + unseen, Reachable: v.counts[reachable], Admitted: v.admitted}
}

// isAcknowledged tells whether all that a joining member knows know it, and the slowest had the time to answer.
func (m *fleet) isAcknowledged(joining int) bool {
	v := &m.views[joining]
	if m.sim.Now()-v.startedAt < observeDelay[1] || v.counts[known] != v.counts[reachable] {
		return false
	}
	for i, flags := range v.flags {
		if flags&flagKnown != 0 && m.views[i].flags[joining]&flagKnown == 0 {
			return false
		}
	}
	return true
}

// handleReachable tells a size that drops at once: the balancer's clock is far ahead of the last time.
func (m *fleet) handleReachable(c *sidecar, s balance.FleetSize) {
	v := &m.views[c.number]
	v.clockJumps++
	if _, err := c.balancer.Handle(m.sim.Now()+clockJump*v.clockJumps, s); err != nil {
		m.sim.failed = err
	}
}

// quota is the fraction of the fleet's allowance that a sidecar assumes to be its own.
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
