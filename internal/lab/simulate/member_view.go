package simulate

// This file models each sidecar's view of the others, in place of internal/membership. Delays are drawn uniformly from
// the ranges below. A balancer gets the fleet's size at each change and once a second, as from a membership group.

import (
	"math"
	"slices"

	"marblelane/balance"
)

// The shortest and the longest delays in ms.
var (
	observeDelay = [2]float64{200, 1000}  // delay until a start, a partition's end or an acknowledgement is observed
	detectDelay  = [2]float64{3000, 5000} // from the end of a process or the start of a partition until the failure detector detects it
	proofDelay   = [2]float64{0, 2000}    // delay from the detection until the member is proved gone
)

const (
	admitTimeout   = 5000.0 // ms after which a joining member admits itself
	updateInterval = 250.0  // ms between two updates of a view
	reportInterval = 1000.0 // ms after which a balancer gets the same size again
	clockJump      = 1e9    // ms that the balancer's clock jumps ahead with CountReachable, so that a lower count applies at once
)

// The flags of a member in a view. The constants known, reachable and seen are the bit numbers of the flags:
// memberView.counts[k] is the number of members with bit k set.
const (
	flagKnown     = 1 << iota // the member is not proved gone
	flagReachable             // the failure detector has not reported the member
	flagSeen                  // the member has been known at some time

	known     = 0
	reachable = 1
	seen      = 2
)

// memberView is one sidecar's view of the fleet.
type memberView struct {
	flags               []uint8 // flags of each member, by number of the sidecar
	counts              [3]int  // numbers of known, reachable and seen members, including itself
	pendingObservations []observation
	startedAt           float64           // start of the sidecar's process, in simulated ms
	admitted            bool              // whether the member is admitted to the group, which lasts until its process ends
	fleetSize           balance.FleetSize // last size that was reported to the balancer
	reportedAt          float64           // simulated time in ms of the last report of fleetSize
	clockJumps          float64           // number of jumps of the balancer's clock
}

// observation is a scheduled change of a member's flags in a view. It is dropped if the member's incarnation has
// changed by then.
type observation struct {
	at                  float64 // time of the change, in ms of simulated time
	member, incarnation int
	set, unset          uint8
}

// drawDelay draws a delay from a range in ms.
func (m *fleet) drawDelay(span [2]float64) float64 {
	return span[0] + (span[1]-span[0])*m.rng.Float64()
}

// setFlags sets and clears flags of a member and updates the counts.
func (v *memberView) setFlags(member int, set, unset uint8) {
	before, after := v.flags[member], v.flags[member]&^unset|set
	for k := range v.counts {
		v.counts[k] += int(after>>k&1) - int(before>>k&1)
	}
	v.flags[member] = after
}

// observe schedules a change of a member's flags in the viewer's view, after a delay in ms.
func (m *fleet) observe(viewer, member int, after float64, set, unset uint8) {
	at := m.sim.Now() + after
	v := &m.views[viewer]
	v.pendingObservations = append(v.pendingObservations, observation{at, member, m.sim.sidecars[member].incarnation, set, unset})
}

// initViews fills the views of the sidecars that run at the start: each knows all others, as in a fleet that has run
// for a long time.
func (m *fleet) initViews() {
	m.views = make([]memberView, len(m.sim.sidecars))
	for i := range m.views {
		v := &m.views[i]
		v.flags = make([]uint8, len(m.views))
		if i >= m.Peers {
			continue
		}
		for j := range m.Peers {
			v.setFlags(j, flagKnown|flagReachable|flagSeen, 0)
		}
		v.admitted = true
		m.sim.At(0, func() { m.startCounting(i) })
	}
}

// processEnded schedules the detection of the end of a member's process in the other views.
func (m *fleet) processEnded(member int) {
	for i := range m.views {
		if i == member || m.sim.sidecars[i].down {
			continue
		}
		detected := m.drawDelay(detectDelay)
		m.observe(i, member, detected, 0, flagReachable)
		if proved := detected + m.drawDelay(proofDelay); m.sides[i] == m.sides[member] { // the other sides get no proof until the partition heals
			m.observe(i, member, proved, 0, flagKnown)
		}
	}
}

// partition schedules the observations of a new partition: sidecars lose contact with those on other sides, and regain
// it with those on their own side.
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

// join schedules the observations of processes that have just started by the others, and of the others by them. A
// joining member learns indirectly of unreachable members that the others have not proved gone.
func (m *fleet) join(started []int) {
	justStarted := make([]bool, len(m.views))
	for _, i := range started {
		justStarted[i] = true
	}
	for _, i := range started {
		v := &m.views[i]
		*v = memberView{flags: make([]uint8, len(m.views)), startedAt: m.sim.Now()}
		v.setFlags(i, flagKnown|flagReachable|flagSeen, 0)
	}
	for _, i := range started {
		for j := range m.views {
			switch {
			case i == j:
			case m.sim.sidecars[j].down || m.sides[i] != m.sides[j]:
				m.learnIndirectly(i, j)
			default:
				m.observe(i, j, m.drawDelay(observeDelay), flagReachable|flagKnown|flagSeen, 0)
				if !justStarted[j] {
					m.observe(j, i, m.drawDelay(observeDelay), flagReachable|flagKnown|flagSeen, 0)
				}
			}
		}
	}
}

// learnIndirectly schedules the observations by which a joining member learns of an unreachable one from the first
// running member on its side that knows it.
func (m *fleet) learnIndirectly(joining, member int) {
	for k := range m.views {
		if k == joining || m.sim.sidecars[k].down || m.sides[k] != m.sides[joining] || m.views[k].flags[member]&flagKnown == 0 {
			continue
		}
		m.observe(joining, member, m.drawDelay(observeDelay), flagKnown|flagSeen, 0)
		for _, o := range m.views[k].pendingObservations { // a pending proof reaches the joining member, too
			if o.member == member && o.unset&flagKnown != 0 {
				m.observe(joining, member, math.Max(o.at-m.sim.Now(), observeDelay[1]), 0, flagKnown)
			}
		}
		return
	}
}

// startCounting passes the fleet's size to a sidecar's balancer by the way of counting. Modes that follow the fleet
// repeat this until the process ends.
func (m *fleet) startCounting(i int) {
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

// update applies the due observations to a sidecar's view and passes the fleet's size to its balancer. It repeats
// itself every updateInterval.
func (m *fleet) update(i int) {
	c, v, now := m.sim.sidecars[i], &m.views[i], m.sim.Now()
	v.pendingObservations = slices.DeleteFunc(v.pendingObservations, func(o observation) bool {
		if o.at <= now && m.sim.sidecars[o.member].incarnation == o.incarnation {
			v.setFlags(o.member, o.set, o.unset)
		}
		return o.at <= now
	})
	s := m.fleetSize(i)
	if s != v.fleetSize || now-v.reportedAt >= reportInterval {
		v.fleetSize, v.reportedAt = s, now
		if m.Count == CountReachable {
			m.reportReachable(c, s)
		} else {
			c.handle(s)
		}
	}
	m.sim.After(updateInterval, c.inThisIncarnation(func() { m.update(i) }))
}

// fleetSize returns the fleet's size as a sidecar counts it now.
func (m *fleet) fleetSize(i int) balance.FleetSize {
	v := &m.views[i]
	if m.Count == CountReachable {
		return balance.FleetSize{Known: v.counts[reachable], Reachable: v.counts[reachable], Admitted: true}
	}
	v.admitted = v.admitted || m.sim.Now()-v.startedAt >= admitTimeout || m.isAcknowledged(i)
	unseen := max(0, m.Peers-v.counts[seen])
	return balance.FleetSize{Known: v.counts[known] + unseen, Reachable: v.counts[reachable], Admitted: v.admitted}
}

// isAcknowledged reports whether all members that a joining member knows also know the joining member, and the slowest
// of them has had time to acknowledge it.
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

// reportReachable passes a size to the balancer with a clock far ahead of the previous call, so that a lower size
// applies at once.
func (m *fleet) reportReachable(c *sidecar, s balance.FleetSize) {
	v := &m.views[c.number]
	v.clockJumps++
	if _, err := c.balancer.Handle(m.sim.Now()+clockJump*v.clockJumps, s); err != nil {
		m.sim.err = err
	}
}

// quota returns the fraction of the fleet's allowance that a sidecar assumes as its own.
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
