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
	Count   Counting
	Peers   int      // sidecars at the start, the first ones; the settings of all state so many
	Changes []Change // at any order of times
	// MeanWork is what a request counts as at a cold server, in milliseconds of a core of speed 1. A cold server falls
	// with N + 3√N + 3 of them in the settings' fall time; N is the multiple of what it can do as the window begins.
	MeanWork float64
}

// Counting is how sidecars come to the number of those that share what the fleet allows.
type Counting string

// The ways of counting. The last two are bounds, to hold the others against.
const (
	CountNone   Counting = "none"   // nobody tells them
	CountFixed  Counting = "fixed"  // they are told the settings' number once
	CountNaive  Counting = "naive"  // each believes at once those that it hears now
	CountRule   Counting = "rule"   // as internal/membership tells them
	CountEarned Counting = "earned" // nothing is assumed: each has what its own answers earn
	CountFree   Counting = "free"   // so much is assumed that it bounds nothing
)

// Countings lists all ways of counting.
func Countings() []Counting {
	return []Counting{CountNone, CountFixed, CountNaive, CountRule, CountEarned, CountFree}
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
	Starts []ColdStart // by time
	// Most is the most that all sidecars assumed together at one time, as a multiple of what the settings' number of
	// them assumes, from the first change on, else all along; Mean is its mean over time.
	Most, Mean float64
	sum, n     float64
}

// ColdStart is one start of a server.
type ColdStart struct {
	Server int
	At     float64 // ms since the start of the run
	Peak   float64 // largest share of what it bears that it was sent in a window
	Fell   bool
}

// freePeers is a number of peers whose assumed answers bound nothing.
const freePeers = 1e9

// sampled is how often what sidecars assume together is looked at, in ms.
const sampled = 250.0

// members is a fleet of sidecars that changes.
type members struct {
	*Members
	w      *world
	rng    *rand.Rand // of delays between sidecars
	sides  []int      // by sidecar
	views  []view
	result MembersResult
}

func (w *world) addMembers(o *Members) error {
	m := &members{Members: o, w: w, rng: rand.New(rand.NewPCG(w.plan.Seed, 0x6d656d)), sides: make([]int, len(w.sidecars))}
	if !slices.Contains(Countings(), o.Count) || o.Peers < 1 || o.Peers > len(w.sidecars) || o.MeanWork <= 0 {
		return fmt.Errorf("members: no way of counting %q, peers %d of %d, or mean work %g",
			o.Count, o.Peers, len(w.sidecars), o.MeanWork)
	}
	w.members = m
	for _, s := range w.servers {
		if s.listed = s.entry; s.down {
			s.listed.State = balance.Gone
		}
	}
	for _, c := range w.sidecars {
		c.cfg.Peers = o.Peers
		if o.Count == CountFree {
			c.cfg.Peers = freePeers
		}
		c.down = c.number >= o.Peers
		b, err := balance.New(c.cfg)
		if err != nil {
			return fmt.Errorf("members: sidecar %d: %w", c.number, err)
		}
		c.b = b
	}
	m.established()
	first := math.Inf(1)
	for i := range o.Changes {
		change := &o.Changes[i]
		if len(change.Sides) > 0 && len(change.Sides) != len(w.sidecars) {
			return fmt.Errorf("members: change at %g ms names the sides of %d sidecars of %d",
				change.At, len(change.Sides), len(w.sidecars))
		}
		first = math.Min(first, change.At)
		w.At(begin+change.At, func() { m.change(change) })
	}
	if len(o.Changes) == 0 {
		first = 0
	}
	w.At(begin+first, m.sample)
	return nil
}

func (m *members) change(change *Change) {
	for _, i := range change.Stop {
		if c := m.w.sidecars[i]; !c.down {
			c.stop()
			m.silent(i)
		}
	}
	var started []int
	for _, i := range change.Start {
		if c := m.w.sidecars[i]; c.down {
			c.down = false
			c.life++ // what is still to be heard of the one before is no news of this one
			started = append(started, i)
		}
	}
	if len(change.Sides) > 0 {
		m.split(change.Sides)
	}
	m.join(started)
	list := m.w.list()
	for _, i := range started {
		m.w.sidecars[i].begin(list)
		m.follow(i)
	}
}

// list is what discovery has now.
func (w *world) list() []balance.Server {
	var out []balance.Server
	for _, s := range w.servers {
		if s.listed.State != balance.Gone {
			out = append(out, s.listed)
		}
	}
	return out
}

// stop ends a sidecar's process: its connections break, its clients come back, to another one.
func (c *sidecar) stop() {
	c.down = true
	c.life++
	for _, id := range slices.Sorted(maps.Keys(c.tries)) {
		t := c.tries[id]
		for _, a := range t.attempts {
			if a.told {
				continue
			}
			a.told = true
			a.cancelAtServer()
			if a.arrived && !a.over {
				a.over = true
				a.note(record.SidecarClosed, 0)
			}
		}
		if t.done = true; !t.client {
			t.client = true
			t.note(record.ConnectionLost, record.Event{Note: "its process ended"})
			t.ask.again(0)
		}
	}
	clear(c.tries)
	clear(c.idle)
	cfg := c.cfg
	cfg.Seed += uint64(c.life) << 32
	b, err := balance.New(cfg)
	if err != nil {
		c.w.failed = fmt.Errorf("sidecar %d: %w", c.number, err)
		return
	}
	c.b = b
}

// another is a sidecar that runs; nil: none does.
func (m *members) another(rng *rand.Rand) *sidecar {
	var up []*sidecar
	for _, c := range m.w.sidecars {
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
func (m *members) sample() {
	sum := 0.0
	for i, c := range m.w.sidecars {
		if !c.down {
			sum += m.part(i)
		}
	}
	r := &m.result
	r.sum, r.n = r.sum+sum, r.n+1
	r.Most, r.Mean = math.Max(r.Most, sum), r.sum/r.n
	if m.w.Now() < begin+ms(m.w.s.Length.Duration()) {
		m.w.After(sampled, m.sample)
	}
}

// warming is what a server is sent while it is cold.
type warming struct {
	start int       // its place in the result
	sends []float64 // of the last window
}

// warm begins to follow a server that has started.
func (m *members) warm(s *server) {
	s.warming = &warming{start: len(m.result.Starts)}
	m.result.Starts = append(m.result.Starts, ColdStart{Server: s.number, At: m.w.Now() - begin})
}

// topples tells whether one more request is too much for a cold server: N + 3√N + 3 of mean work in the fall time.
func (m *members) topples(s *server) bool {
	r, now, boot := &m.w.s.Rules, m.w.Now(), s.entry.StartedAt
	if s.warming == nil || now-boot >= r.SlowStart.Milliseconds() {
		return false
	}
	window := r.OverloadTime.Milliseconds()
	sends := append(s.warming.sends, now)
	for sends[0] < now-window {
		sends = sends[1:]
	}
	s.warming.sends = sends
	age := math.Max(0, now-window-boot) / r.SlowStart.Milliseconds()
	sp := &m.w.plan.Servers[s.number]
	capacity := float64(m.w.s.Servers.Kinds[sp.Kind].Cores) * sp.Speed * m.w.plan.Pods[sp.Pod].Limit / m.MeanWork
	n := r.OverloadMultiple * capacity * (r.InitialCapacity + (1-r.InitialCapacity)*math.Min(age, 1)) * window
	share := float64(len(sends)) / (n + 3*math.Sqrt(n) + 3)
	start := &m.result.Starts[s.warming.start]
	start.Peak, start.Fell = math.Max(start.Peak, share), share > 1
	return share > 1
}
