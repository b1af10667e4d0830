// Package simulate plays a scenario on a simulated clock: the real decision module of each sidecar (package balance)
// between the model of servers that the lab's stand-ins have, clients that do as the lab's, and links with faults. A
// thousand sidecars and two thousand servers fit into one process, and a run is its seed's, byte for byte.
//
// It writes the records that a run of processes writes, so the same rules and figures come of them. It leaves out what
// has no part in a decision: sockets, processor time and memory, batches of events, bodies. Way not taken: a model of
// the balancer; what is simulated is the world around it, never it.
//
// Failure modes: a scenario with a fault that it cannot play is an error that names the fault; a module that asks for
// something the world does not know is one too.
package simulate

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marblelane/balance"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simclock"
	"marblelane/internal/lab/stock"
	"marblelane/internal/wire"
)

// Options are what a run may be given beside its plan.
type Options struct {
	// Change alters the settings of a sidecar before it starts, to compare; nil: it does not.
	Change func(sidecar int, cfg *balance.Config)
	// Progress is told now and then how far the run is, as a share; nil: nobody is.
	Progress func(share float64)
	// Observe is given the actions of a sidecar's balancer in order, and must not keep the slice; nil: nobody is.
	Observe func(sidecar int, actions []balance.Action)
	// Members lets the fleet of sidecars change, and tells them how many they are; nil: it stays as it is, untold.
	Members *Members
}

// Run is what came of it.
type Run struct {
	Events []record.Event // by time
	Worked float64        // by all servers, in milliseconds of a core of speed 1
	Sends  []Send         // by time

	Members *MembersResult // nil: the fleet did not change
}

// begin is the simulated time at which a run begins: a server's start at 0 means long ago.
const begin = 1000.0

// listen is how long after its time a client still listens, as the lab's clients do.
const listen = 500.0

// tail is how long after the last arrival a run goes on at most.
const tail = 20000.0

// world is a run under way.
type world struct {
	simclock.Clock
	plan     *scenario.Plan
	s        *scenario.Scenario
	rng      *rand.Rand
	events   []record.Event
	sends    []Send
	pods     []*pod
	servers  []*server
	sidecars []*sidecar
	members  *members // nil: the fleet of sidecars stays as it is
	failed   error
}

type pod struct {
	farm *stock.SimulatedPod
	due  float64 // when it is looked at next; negative: not
}

type server struct {
	number, inPod int
	pod           *pod
	entry         balance.Server
	down          bool
	bootMS        int64
	fail, drop    float64
	hang, drain   bool
	slow          float64
	links         map[int]*link // by sidecar, where they are not as the network has them
	conns         int16
	listChanges   int            // changes of it that were published
	listed        balance.Server // as discovery has it now; followed only where sidecars may start later
	listedNews    int            // the change that listed is of
	warming       *warming       // since its last start, where that is followed
}

// link is what is wrong between one sidecar and one server.
type link struct {
	to, from bool // cut
	refuse   bool
	lose     float64
	latency  float64 // 0: as the network has it
}

type sidecar struct {
	number  int
	w       *world
	observe func(sidecar int, actions []balance.Action) // nil: nobody does
	b       *balance.Balancer
	cfg     balance.Config
	tries   map[balance.RequestID]*try
	idle    map[int][]float64 // by server: until when each kept connection is open
	heard   map[int]int       // by server: the last change that it was told
	down    bool              // no process runs
	life    int               // grows with each end of a process
}

// Play plays a plan.
func Play(ctx context.Context, plan *scenario.Plan, o Options) (*Run, error) {
	s := plan.Scenario
	if s.Registry.Replicas > 0 || s.Discovery.RegistryReplicas > 0 {
		return nil, fmt.Errorf("simulate %s: the list service's copies are real processes; a simulated run has none", s.Name)
	}
	w := &world{plan: plan, s: s, rng: rand.New(rand.NewPCG(plan.Seed, 0x73696d))}
	w.addServers()
	if err := w.addSidecars(o); err != nil {
		return nil, fmt.Errorf("simulate %s: %w", s.Name, err)
	}
	if o.Members != nil {
		if err := w.addMembers(o.Members); err != nil {
			return nil, fmt.Errorf("simulate %s: %w", s.Name, err)
		}
	}
	for i := range plan.Faults {
		if err := w.addFault(&plan.Faults[i]); err != nil {
			return nil, fmt.Errorf("simulate %s: %w", s.Name, err)
		}
	}
	for i := range plan.Arrivals {
		a := &plan.Arrivals[i]
		w.At(begin+ms(a.At), func() { w.arrive(i, a) })
	}
	end := begin + ms(s.Length.Duration())
	for n := 0; w.Step(end + tail); n++ {
		if n%4096 == 0 {
			if err := ctx.Err(); err != nil {
				return nil, fmt.Errorf("simulate %s: %w", s.Name, err)
			}
			if o.Progress != nil {
				o.Progress(math.Min((w.Now()-begin)/(end-begin), 1))
			}
		}
		if w.failed != nil {
			return nil, fmt.Errorf("simulate %s at %.0f ms: %w", s.Name, w.Now()-begin, w.failed)
		}
		if w.Now() > end && w.quiet() {
			break
		}
	}
	out := &Run{Events: w.events, Sends: w.sends}
	for _, p := range w.pods {
		out.Worked += p.farm.WorkDone()
	}
	if w.members != nil {
		out.Members = &w.members.result
	}
	return out, nil
}

// quiet tells whether no client waits for anything.
func (w *world) quiet() bool {
	for _, c := range w.sidecars {
		if len(c.tries) > 0 {
			return false
		}
	}
	return true
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// clock is the time of the run as records and servers have it.
func (w *world) clock() time.Duration {
	return time.Duration(math.Round((w.Now() - begin) * float64(time.Millisecond)))
}

func (w *world) note(e record.Event) {
	e.T = w.clock()
	w.events = append(w.events, e)
}

func (w *world) addServers() {
	p := w.plan
	specs := make([][]stock.Spec, len(p.Pods))
	for i := range p.Servers {
		sp := &p.Servers[i]
		w.servers = append(w.servers, &server{number: i, inPod: len(specs[sp.Pod]), down: sp.Spare, slow: 1, links: map[int]*link{},
			entry: balance.Server{ID: balance.ServerID(i + 1), Rating: 1, Cell: sp.Pod, Zone: sp.Zone, Kind: sp.Kind, AddressKey: uint64(i + 1)}})
		specs[sp.Pod] = append(specs[sp.Pod], stock.SpecOf(p, i))
	}
	for i := range p.Pods {
		w.pods = append(w.pods, &pod{farm: stock.NewSimulatedPod(p.Pods[i].Limit, specs[i]), due: -1})
	}
	for i := range w.servers {
		w.servers[i].pod = w.pods[p.Servers[i].Pod]
	}
}

func (w *world) addSidecars(o Options) error {
	var all []balance.Server
	for _, s := range w.servers {
		if !s.down {
			all = append(all, s.entry)
		}
	}
	for i := range w.plan.Sidecars {
		data, err := json.Marshal(w.plan.Settings(i))
		if err != nil {
			return fmt.Errorf("settings of sidecar %d: %w", i, err)
		}
		cfg, err := wire.ParseSettings(w.plan.Sidecars[i].Seed, data)
		if err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		cfg.Regions, cfg.RegionCost = w.s.Network.RegionNumbers(), w.s.Network.CrossRegionCost
		if o.Change != nil {
			o.Change(i, &cfg)
		}
		b, err := balance.New(cfg)
		if err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		c := &sidecar{number: i, w: w, observe: o.Observe, b: b, cfg: cfg, tries: map[balance.RequestID]*try{}, idle: map[int][]float64{},
			heard: map[int]int{}}
		w.sidecars = append(w.sidecars, c)
		w.At(0, func() { c.begin(all) })
	}
	return nil
}

// begin starts the process of a sidecar with the list as it is then.
func (c *sidecar) begin(list []balance.Server) {
	if c.down {
		return
	}
	c.act(c.b.Start(c.w.Now()))
	c.tell(balance.ServerList{Kind: balance.ListFull, Servers: list})
	for _, e := range list {
		number := int(e.ID) - 1
		c.heard[number] = c.w.servers[number].listedNews
		c.w.note(record.Event{Kind: record.Notified, Sidecar: int32(c.number), Server: int32(number), Class: record.None, Note: "Ready"})
	}
}

// tell gives a sidecar an event and does what it wants.
func (c *sidecar) tell(ev balance.Event) {
	if c.down {
		return
	}
	actions, err := c.b.Handle(c.w.Now(), ev)
	if err != nil {
		c.w.failed = fmt.Errorf("sidecar %d, %T: %w", c.number, ev, err)
		return
	}
	c.act(actions)
}

// act does what a balancer wants, in order. What it leads to happens later: the balancer is not called again from here.
func (c *sidecar) act(actions []balance.Action) {
	w := c.w
	if c.observe != nil {
		c.observe(c.number, actions)
	}
	for _, a := range slices.Clone(actions) {
		t := c.tries[a.Request]
		switch a.Kind {
		case balance.Send:
			if t == nil {
				w.failed = fmt.Errorf("sidecar %d sends request %d, which no client waits for", c.number, a.Request)
				return
			}
			t.send(w.servers[a.Server-1], a.At)
		case balance.Reject:
			t.answered(429, a.At)
		case balance.Fail:
			t.answered(504, 0)
		case balance.Cancel:
			if t != nil && a.Attempt < len(t.attempts) {
				t.attempts[a.Attempt].cancel()
			}
		case balance.SetTimer:
			w.After(a.At, c.alive(func() { c.tell(balance.Timer{Token: a.Token}) }))
		case balance.HealthCheck:
			// Only where the settings allow it; one costs what it costs and tells no more than that the process runs.
			s := w.servers[a.Server-1]
			l := w.link(c, s)
			result, wait := balance.OK, 2*w.latency(c, s)
			if s.down || l.refuse {
				result = balance.ConnectFailed
			} else if l.to || l.from || s.hang {
				result, wait = balance.TimedOut, connectTimeout
			}
			w.After(wait, c.alive(func() { c.tell(balance.HealthCheckResult{Server: a.Server, Result: result, Elapsed: wait}) }))
		}
	}
}

// alive is what happens only while the process runs that it was set by.
func (c *sidecar) alive(do func()) func() {
	life := c.life
	return func() {
		if c.life == life {
			do()
		}
	}
}

// link is what is wrong between a sidecar and a server.
func (w *world) link(c *sidecar, s *server) link {
	if l := s.links[c.number]; l != nil {
		return *l
	}
	return link{}
}

// latency is one way between a sidecar and a server.
func (w *world) latency(c *sidecar, s *server) float64 {
	if l := s.links[c.number]; l != nil && l.latency > 0 {
		return l.latency
	}
	base := w.s.Network.Latency(w.plan.Sidecars[c.number].Zone, s.entry.Zone).Milliseconds()
	return base * (1 + w.s.Network.Jitter*(2*w.rng.Float64()-1))
}

// advance brings a pod to now and comes again when something ends in it.
func (w *world) advance(p *pod) {
	next := p.farm.Advance(w.clock())
	if next < 0 {
		p.due = -1
		return
	}
	due := math.Max(begin+ms(next), w.Now())
	if p.due >= w.Now() && p.due <= due { // already coming, soon enough
		return
	}
	p.due = due
	w.At(due, func() {
		if p.due == due {
			p.due = -1
			w.advance(p)
		}
	})
}

// publish tells all sidecars of a server after the notice that this news takes, the last a spread later than the first.
// News that later news have overtaken are not told: discovery never goes back, as the lab's agents never do.
func (w *world) publish(s *server, state balance.ServerState, name string, notice scenario.Duration) {
	s.listChanges++
	e, boot, news := s.entry, s.bootMS, s.listChanges
	e.State = state
	if w.members != nil {
		w.After(notice.Milliseconds(), func() {
			if news > s.listedNews {
				s.listed, s.listedNews = e, news
			}
		})
	}
	for i, c := range w.sidecars {
		wait := notice.Milliseconds() + w.s.Discovery.Spread.Milliseconds()*float64(i)/float64(len(w.sidecars))
		w.After(wait, func() {
			if c.down || news < c.heard[s.number] {
				return
			}
			c.heard[s.number] = news
			w.note(record.Event{Kind: record.Notified, Sidecar: int32(i), Server: int32(s.number), Class: record.None, N: boot, Note: name})
			c.tell(balance.ServerList{Kind: balance.ListDelta, Servers: []balance.Server{e}})
		})
	}
}

func (w *world) state(s *server, note string) {
	w.note(record.Event{Kind: record.ServerState, Sidecar: record.None, Server: int32(s.number), Class: record.None, Note: note})
}

func (w *world) kill(s *server, notice bool) {
	w.state(s, "dies")
	s.down = true
	s.pod.farm.Kill(s.inPod)
	w.advance(s.pod)
	var cut []*attempt // in the order of their sends: a map has none, and a run is its seed's
	for _, c := range w.sidecars {
		delete(c.idle, s.number)
		for _, t := range c.tries {
			for _, a := range t.attempts {
				if a.s == s && a.arrived && !a.over {
					cut = append(cut, a)
				}
			}
		}
	}
	slices.SortFunc(cut, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.t.id, b.t.id))
	})
	for _, a := range cut {
		a.answer(func() { a.lost(balance.Reset) })
	}
	if notice {
		w.publish(s, balance.Gone, "Gone", w.s.Discovery.CrashDelay)
	}
}

func (w *world) boot(s *server) {
	w.state(s, invariant.ServerStarted)
	s.down, s.drain = false, false
	s.pod.farm.Restart(w.clock(), s.inPod)
	s.bootMS = int64(w.Now())
	s.entry.StartedAt = w.Now()
	if w.members != nil {
		w.members.warm(s)
	}
	w.publish(s, balance.Ready, "Ready", w.s.Discovery.AddDelay)
}
