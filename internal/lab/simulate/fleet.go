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

// Members describes how the fleet of sidecars changes in a run, and how sidecars count its members. A request to a
// sidecar that is down goes to another one, so that the fleet's traffic stays the same.
type Members struct {
	Count   CountMode
	Peers   int           // number of sidecars that run at the start (those with the lowest numbers), and the number in all settings
	Changes []FleetChange // changes of the fleet, in any order
	// MeanWork is the assumed work of a request at a server in slow start, in milliseconds of a core of speed 1. The
	// server crashes with more than N + 3√N + 3 requests in a window of the rules' overload time, where N is the
	// overload multiple times the number of requests that the server's capacity at the start of the window allows in
	// the window.
	MeanWork float64
}

// CountMode is how sidecars count the members that share the fleet's allowance.
type CountMode string

// The ways of counting. CountEarned and CountUnbounded are the bounds that the others are compared with.
const (
	CountNone       CountMode = "none"   // sidecars get no fleet size
	CountFixed      CountMode = "fixed"  // sidecars get Members.Peers once
	CountReachable  CountMode = "naive"  // each sidecar counts the reachable members, and a lower count applies at once
	CountMembership CountMode = "rule"   // the rule of package internal/membership
	CountEarned     CountMode = "earned" // no assumed quota: a sidecar has only the quota that its own responses earn
	CountUnbounded  CountMode = "free"   // the assumed quota is too large to limit a sidecar
)

// CountModes lists all ways of counting.
func CountModes() []CountMode {
	return []CountMode{CountNone, CountFixed, CountReachable, CountMembership, CountEarned, CountUnbounded}
}

// FleetChange is one change of the fleet of sidecars. Sidecars are identified by number.
type FleetChange struct {
	At    float64 // time of the change, in ms since the start of the run
	Stop  []int   // processes that end without notice
	Start []int   // processes that start with empty state
	// Sides has the side of each sidecar in a network partition from now on. Sidecars on the same side reach each
	// other. If it is empty, the partition does not change.
	Sides []int
}

// MembersResult is the result of a run in which the fleet changes.
type MembersResult struct {
	Starts []SlowStart // slow starts of servers, sorted by time
	// MaxQuota is the greatest sum of all sidecars' quotas at one time, as a fraction of the fleet's allowance. It
	// covers the time from the first change, or the whole run if there is no change. MeanQuota is the mean over the
	// same time.
	MaxQuota, MeanQuota    float64
	quotaSum, quotaSamples float64
}

// SlowStart is the load on a server during the slow start after one of its starts.
type SlowStart struct {
	Server     int
	At         float64 // time of the server's start, in ms since the start of the run
	PeakLoad   float64 // greatest number of requests in a window, divided by the limit of Members.MeanWork
	Overloaded bool    // the server crashed
}

// unboundedPeers is a number of peers for which the assumed quota of one sidecar is never a limit.
const unboundedPeers = 1e9

// sampleInterval is the time between two samples of the sum of quotas, in ms.
const sampleInterval = 250.0

// fleet simulates the changes of the fleet of sidecars.
type fleet struct {
	*Members
	sim    *simulation
	rng    *rand.Rand   // random stream of the delays between sidecars
	sides  []int        // side of each sidecar in the current partition
	views  []memberView // view of each sidecar
	result MembersResult
}

// addFleetChanges checks the options, and schedules the changes of the fleet and the samples of the quotas.
func (sim *simulation) addFleetChanges(o *Members) error {
	m := &fleet{Members: o, sim: sim, rng: rand.New(rand.NewPCG(sim.plan.Seed, 0x6d656d)), sides: make([]int, len(sim.sidecars))}
	if !slices.Contains(CountModes(), o.Count) || o.Peers < 1 || o.Peers > len(sim.sidecars) || o.MeanWork <= 0 {
		return fmt.Errorf("members: invalid count mode %q, peers %d of %d or mean work %g",
			o.Count, o.Peers, len(sim.sidecars), o.MeanWork)
	}
	sim.members = m
	for _, s := range sim.servers {
		if s.listed = s.listEntry; s.down {
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
			return fmt.Errorf("members: change at %g ms: %d sides for %d sidecars",
				change.At, len(change.Sides), len(sim.sidecars))
		}
		first = math.Min(first, change.At)
		sim.At(runStart+change.At, func() { m.applyChange(change) })
	}
	if len(o.Changes) == 0 {
		first = 0
	}
	sim.At(runStart+first, m.sampleQuotas)
	return nil
}

// applyChange ends processes, changes the partition, and then starts processes.
func (m *fleet) applyChange(change *FleetChange) {
	for _, i := range change.Stop {
		if c := m.sim.sidecars[i]; !c.down {
			c.stop()
			m.processEnded(i)
		}
	}
	var started []int
	for _, i := range change.Start {
		if c := m.sim.sidecars[i]; c.down {
			c.down = false
			c.incarnation++ // pending observations of the previous process do not apply to this one
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
		m.startCounting(i)
	}
}

// currentList returns the current server list of discovery.
func (sim *simulation) currentList() []balance.Server {
	var out []balance.Server
	for _, s := range sim.servers {
		if s.listed.State != balance.Removed {
			out = append(out, s.listed)
		}
	}
	return out
}

// stop ends a sidecar's process. Its connections break, and its clients retry at another sidecar.
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
	clear(sc.idleUntil)
	cfg := sc.config
	cfg.Seed += uint64(sc.incarnation) << 32
	b, err := balance.New(cfg)
	if err != nil {
		sc.sim.err = fmt.Errorf("sidecar %d: %w", sc.number, err)
		return
	}
	sc.balancer = b
}

// anyRunning returns a random running sidecar, or nil if none runs.
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

// sampleQuotas samples the sum of all quotas now and every sampleInterval.
func (m *fleet) sampleQuotas() {
	sum := 0.0
	for i, c := range m.sim.sidecars {
		if !c.down {
			sum += m.quota(i)
		}
	}
	r := &m.result
	r.quotaSum, r.quotaSamples = r.quotaSum+sum, r.quotaSamples+1
	r.MaxQuota, r.MeanQuota = math.Max(r.MaxQuota, sum), r.quotaSum/r.quotaSamples
	if m.sim.Now() < runStart+ms(m.sim.scenario.Length.Duration()) {
		m.sim.After(sampleInterval, m.sampleQuotas)
	}
}

// slowStartLoad is the load on a server during its slow start.
type slowStartLoad struct {
	startIndex int       // index in MembersResult.Starts
	sends      []float64 // arrival times in ms within the last window
}

// trackSlowStart starts to track the load on a server that has just started.
func (m *fleet) trackSlowStart(s *server) {
	s.slowStart = &slowStartLoad{startIndex: len(m.result.Starts)}
	m.result.Starts = append(m.result.Starts, SlowStart{Server: s.number, At: m.sim.Now() - runStart})
}

// overloads adds a request to the load of a server in slow start. It reports whether the request crashes the server, by
// the formula of Members.MeanWork.
func (m *fleet) overloads(s *server) bool {
	r, now, startedAt := &m.sim.scenario.Rules, m.sim.Now(), s.listEntry.StartedAt
	if s.slowStart == nil || now-startedAt >= r.SlowStart.Milliseconds() {
		return false
	}
	window := r.OverloadTime.Milliseconds()
	sends := append(s.slowStart.sends, now)
	for sends[0] < now-window {
		sends = sends[1:]
	}
	s.slowStart.sends = sends
	age := math.Max(0, now-window-startedAt) / r.SlowStart.Milliseconds()
	capacity := m.sim.plan.ServerCapacity(s.number) / m.MeanWork
	n := r.OverloadMultiple * capacity * (r.InitialCapacity + (1-r.InitialCapacity)*math.Min(age, 1)) * window
	load := float64(len(sends)) / (n + 3*math.Sqrt(n) + 3)
	start := &m.result.Starts[s.slowStart.startIndex]
	start.PeakLoad, start.Overloaded = math.Max(start.PeakLoad, load), load > 1
	return load > 1
}
