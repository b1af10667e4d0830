package simulate

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"marblelane/balance"
	"marblelane/internal/lab/record"
)

// Members describes how the fleet of sidecars changes in a run, and how sidecars count it. A request to a sidecar that is
// down goes to another one: the fleet's traffic stays the same.
type Members struct {
	Count   CountMode
	Peers   int      // sidecars at the start, the first ones; the number in the settings of all
	Changes []FleetChange // in any order
	// MeanWork is the work of a request at a server in slow start, in milliseconds of a core of speed 1. The server crashes
	// with more than N + 3√N + 3 of them in the settings' overload time; N is the overload multiple of its capacity at the
	// start of this window.
	MeanWork float64
}

// CountMode is how sidecars count the members that share the fleet's allowance.
type CountMode string

// The ways of counting. The last two are bounds to compare the others with.
const (
	CountNone       CountMode = "none"   // sidecars get no count
	CountFixed      CountMode = "fixed"  // sidecars get the settings' number once
	CountReachable  CountMode = "naive"  // each counts the reachable members, at once
	CountMembership CountMode = "rule"   // as package internal/membership counts
	CountEarned     CountMode = "earned" // nothing is assumed: each has what its own answers earn
	CountUnbounded  CountMode = "free"   // the assumed quota is too large to limit anything
)

// CountModes lists all ways of counting.
func CountModes() []CountMode {
	return []CountMode{CountNone, CountFixed, CountReachable, CountMembership, CountEarned, CountUnbounded}
}

// FleetChange is one change of the fleet of sidecars. Sidecars are named by number.
type FleetChange struct {
	At    float64 // ms since the start of the run
	Stop  []int   // these die
	Start []int   // these start, with empty state
	// Sides is the partition of each sidecar from now on: those of one side reach each other. Empty: no change.
	Sides []int
}

// MembersResult is the result of a run in which the fleet changes.
type MembersResult struct {
	Starts []SlowStart // by time
	// MaxQuota is the greatest sum of all sidecars' quotas at one time, from the first change on, or from the start if there
	// is none; 1 is the fleet's allowance. MeanQuota is the mean over time.
	MaxQuota, MeanQuota float64
	sum, samples        float64
}

// SlowStart is one start of a server.
type SlowStart struct {
	Server     int
	At         float64 // ms since the start of the run
	PeakLoad   float64 // greatest number of requests in a window over the number that crashes it
	Overloaded bool
}

// unboundedPeers is a number of peers whose assumed answers limit nothing.
const unboundedPeers = 1e9

// sampleInterval is the time between two samples of the sum of quotas, in ms.
const sampleInterval = 250.0

// fleet is a fleet of sidecars that changes.
type fleet struct {
	*Members
	sim    *simulation
	rng    *rand.Rand // of delays between sidecars
	sides  []int      // by sidecar
	views  []memberView
	result MembersResult
}

func (sim *simulation) addFleetChanges(o *Members) error {
	m := &fleet{Members: o, sim: sim, rng: rand.New(rand.NewPCG(sim.plan.Seed, 0x6d656d)), sides: make([]int, len(sim.sidecars))}
	if !slices.Contains(CountModes(), o.Count) || o.Peers < 1 || o.Peers > len(sim.sidecars) || o.MeanWork <= 0 {
		return fmt.Errorf("members: no way of counting %q, peers %d of %d, or mean work %g",
			o.Count, o.Peers, len(sim.sidecars), o.MeanWork)
	}
	sim.members = m
	for _, s := range sim.servers {
		if s.listed = s.entry; s.down {
			s.listed.State = balance.Removed
		}
	}
	for _, c := range sim.sidecars {
		c.config.Peers = o.Peers
		if o.Count == CountUnbounded {
			c.config.Peers = unboundedPeers
		}
		c.down = c.number >= o.Peers
		b, err := balance.New(c.config)
		if err != nil {
			return fmt.Errorf("members: sidecar %d: %w", c.number, err)
		}
		c.balancer = b
	}
	m.initViews()
	first := math.Inf(1)
	for i := range o.Changes {
		change := &o.Changes[i]
		if len(change.Sides) > 0 && len(change.Sides) != len(sim.sidecars) {
			return fmt.Errorf("members: change at %g ms names the sides of %d sidecars of %d",
				change.At, len(change.Sides), len(sim.sidecars))
		}
		first = math.Min(first, change.At)
		sim.At(runStart+change.At, func() { m.applyChange(change) })
	}
	if len(o.Changes) == 0 {
		first = 0
	}
	sim.At(runStart+first, m.sample)
	return nil
}

func (m *fleet) applyChange(change *FleetChange) {
	for _, i := range change.Stop {
		if c := m.sim.sidecars[i]; !c.down {
			c.stop()
			m.processDied(i)
		}
	}
	var started []int
	for _, i := range change.Start {
		if c := m.sim.sidecars[i]; c.down {
			c.down = false
			c.incarnation++ // pending observations of the last process do not apply to this one
			started = append(started, i)
		}
	}
	if len(change.Sides) > 0 {
		m.partition(change.Sides)
	}
	m.join(started)
	list := m.sim.currentList()
	for _, i := range started {
		m.sim.sidecars[i].start(list)
		m.start(i)
	}
}

// currentList is the list that discovery has now.
func (sim *simulation) currentList() []balance.Server {
	var out []balance.Server
	for _, s := range sim.servers {
		if s.listed.State != balance.Removed {
			out = append(out, s.listed)
		}
	}
	return out
}

// stop ends a sidecar's process: its connections break, and its clients retry at another one.
func (sc *sidecar) stop() {
	sc.down = true
	sc.incarnation++
	for _, id := range slices.Sorted(maps.Keys(sc.attempts)) {
		attempt := sc.attempts[id]
		for _, a := range attempt.attempts {
			if a.reported {
				continue
			}
			a.reported = true
			a.cancelAtServer()
			a.closeAtServer()
		}
		if attempt.final = true; !attempt.clientDone {
			attempt.clientDone = true
			attempt.record(record.ConnectionLost, record.Event{Note: "its process ended"})
			attempt.request.scheduleRetry(0)
		}
	}
	clear(sc.attempts)
	clear(sc.idle)
	cfg := sc.config
	cfg.Seed += uint64(sc.incarnation) << 32
	b, err := balance.New(cfg)
	if err != nil {
		sc.sim.failed = fmt.Errorf("sidecar %d: %w", sc.number, err)
		return
	}
	sc.balancer = b
}

// anyRunning draws a running sidecar; nil: none runs.
func (m *fleet) anyRunning(rng *rand.Rand) *sidecar {
	var up []*sidecar
	for _, c := range m.sim.sidecars {
		if !c.down {
			up = append(up, c)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[rng.IntN(len(up))]
}

// sample samples the sum of all quotas.
func (m *fleet) sample() {
	sum := 0.0
	for i, c := range m.sim.sidecars {
		if !c.down {
			sum += m.quota(i)
		}
	}
	r := &m.result
	r.sum, r.samples = r.sum+sum, r.samples+1
	r.MaxQuota, r.MeanQuota = math.Max(r.MaxQuota, sum), r.sum/r.samples
	if m.sim.Now() < runStart+ms(m.sim.scenario.Length.Duration()) {
		m.sim.After(sampleInterval, m.sample)
	}
}

// slowStartLoad is what a server is sent during its slow start.
type slowStartLoad struct {
	start int       // its index in the result
	sends []float64 // of the last window
}

// trackSlowStart counts what a server that has started is sent.
func (m *fleet) trackSlowStart(s *server) {
	s.slowStart = &slowStartLoad{start: len(m.result.Starts)}
	m.result.Starts = append(m.result.Starts, SlowStart{Server: s.number, At: m.sim.Now() - runStart})
}

// overloads tells whether one more request crashes a server in slow start, by the formula at Members.MeanWork.
func (m *fleet) overloads(s *server) bool {
	r, now, boot := &m.sim.scenario.Rules, m.sim.Now(), s.entry.StartedAt
	if s.slowStart == nil || now-boot >= r.SlowStart.Milliseconds() {
		return false
	}
	window := r.OverloadTime.Milliseconds()
	sends := append(s.slowStart.sends, now)
	for sends[0] < now-window {
		sends = sends[1:]
	}
	s.slowStart.sends = sends
	age := math.Max(0, now-window-boot) / r.SlowStart.Milliseconds()
	capacity := m.sim.plan.ServerCapacity(s.number) / m.MeanWork
	n := r.OverloadMultiple * capacity * (r.InitialCapacity + (1-r.InitialCapacity)*math.Min(age, 1)) * window
	load := float64(len(sends)) / (n + 3*math.Sqrt(n) + 3)
	start := &m.result.Starts[s.slowStart.start]
	start.PeakLoad, start.Overloaded = math.Max(start.PeakLoad, load), load > 1
	return load > 1
}
