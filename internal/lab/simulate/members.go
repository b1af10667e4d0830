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

// Members is what becomes of the fleet of sidecars in a run, and what they are told of it. A request that would come
// to a sidecar which is down comes to another one: the fleet's traffic stays the same.
type Members struct {
	Count   CountMode
	Peers   int      // sidecars at the start, the first ones; the settings of all state so many
	Changes []Change // at any order of times
	// MeanWork is what a request counts as at a cold server, in milliseconds of a core of speed 1. A cold server falls
	// with N + 3√N + 3 of them in the settings' fall time; N is the multiple of what it can do as the window begins.
	MeanWork float64
}

// Counting is how sidecars come to the number of those that share what the fleet allows.
type CountMode string

// The ways of counting. The last two are bounds, to hold the others against.
const (
	CountNone   CountMode = "none"   // nobody tells them
	CountFixed  CountMode = "fixed"  // they are told the settings' number once
	CountReachable  CountMode = "naive"  // each believes at once those that it hears now
	CountMembership   CountMode = "rule"   // as internal/membership tells them
	CountEarned CountMode = "earned" // nothing is assumed: each has what its own answers earn
	CountUnbounded   CountMode = "free"   // so much is assumed that it bounds nothing
)

// Countings lists all ways of counting.
func CountModes() []CountMode {
	return []CountMode{CountNone, CountFixed, CountReachable, CountMembership, CountEarned, CountUnbounded}
}

// Change is one change of the fleet of sidecars. Sidecars are named by number.
type Change struct {
	At    float64 // ms since the start of the run
	Stop  []int   // they die
	Start []int   // they start, with empty memories
	// Sides is the side of each sidecar from now on: those of one side hear each other. Empty: it stays as it is.
	Sides []int
}

// MembersResult is what came of it.
type MembersResult struct {
	Starts []SlowStart // by time
	// Most is the most that all sidecars assumed together at one time, as a multiple of what the settings' number of
	// them assumes, from the first change on, else all along; Mean is its mean over time.
	MaxQuota, MeanQuota float64
	sum, samples     float64
}

// ColdStart is one start of a server.
type SlowStart struct {
	Server int
	At     float64 // ms since the start of the run
	PeakLoad   float64 // largest share of what it bears that it was sent in a window
	Overloaded   bool
}

// freePeers is a number of peers whose assumed answers bound nothing.
const unboundedPeers = 1e9

// sampled is how often what sidecars assume together is looked at, in ms.
const sampleInterval = 250.0

// members is a fleet of sidecars that changes.
type fleet struct {
	*Members
	sim      *simulation
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
			s.listed.State = balance.Gone
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

func (m *fleet) applyChange(change *Change) {
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
			c.incarnation++ // what is still to be heard of the one before is no news of this one
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

// list is what discovery has now.
func (sim *simulation) currentList() []balance.Server {
	var out []balance.Server
	for _, s := range sim.servers {
		if s.listed.State != balance.Gone {
			out = append(out, s.listed)
		}
	}
	return out
}

// stop ends a sidecar's process: its connections break, its clients come back, to another one.
func (sidecar *sidecar) stop() {
	sidecar.down = true
	sidecar.incarnation++
	for _, id := range slices.Sorted(maps.Keys(sidecar.attempts)) {
		t := sidecar.attempts[id]
		for _, a := range t.attempts {
			if a.reported {
				continue
			}
			a.reported = true
			a.cancelAtServer()
			if a.reachedServer && !a.ended {
				a.ended = true
				a.record(record.SidecarClosed, 0)
			}
		}
		if t.final = true; !t.clientDone {
			t.clientDone = true
			t.record(record.ConnectionLost, record.Event{Note: "its process ended"})
			t.request.scheduleRetry(0)
		}
	}
	clear(sidecar.attempts)
	clear(sidecar.idle)
	cfg := sidecar.config
	cfg.Seed += uint64(sidecar.incarnation) << 32
	b, err := balance.New(cfg)
	if err != nil {
		sidecar.sim.failed = fmt.Errorf("sidecar %d: %w", sidecar.number, err)
		return
	}
	sidecar.balancer = b
}

// another is a sidecar that runs; nil: none does.
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

// sample looks at what all assume together.
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

// warming is what a server is sent while it is cold.
type slowStartLoad struct {
	start int       // its place in the result
	sends []float64 // of the last window
}

// warm begins to follow a server that has started.
func (m *fleet) trackSlowStart(s *server) {
	s.slowStart = &slowStartLoad{start: len(m.result.Starts)}
	m.result.Starts = append(m.result.Starts, SlowStart{Server: s.number, At: m.sim.Now() - runStart})
}

// topples tells whether one more request is too much for a cold server: N + 3√N + 3 of mean work in the fall time.
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
	sp := &m.sim.plan.Servers[s.number]
	capacity := float64(m.sim.scenario.Servers.Kinds[sp.Kind].Cores) * sp.Speed * m.sim.plan.Pods[sp.Pod].Limit / m.MeanWork
	n := r.OverloadMultiple * capacity * (r.InitialCapacity + (1-r.InitialCapacity)*math.Min(age, 1)) * window
	load := float64(len(sends)) / (n + 3*math.Sqrt(n) + 3)
	start := &m.result.Starts[s.slowStart.start]
	start.PeakLoad, start.Overloaded = math.Max(start.PeakLoad, load), load > 1
	return load > 1
}
