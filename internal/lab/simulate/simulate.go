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
	ChangeConfig func(sidecar int, cfg *balance.Config)
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
	WorkDone float64        // by all servers, in milliseconds of a core of speed 1
	Sends  []Send         // by time

	Members *MembersResult // nil: the fleet did not change
}

// begin is the simulated time at which a run begins: a server's start at 0 means long ago.
const runStart = 1000.0

// listen is how long after its time a client still listens, as the lab's clients do.
const lateAnswerWait = 500.0

// tail is how long after the last arrival a run goes on at most.
const maxTail = 20000.0

// world is a run under way.
type simulation struct {
	simclock.Clock
	plan     *scenario.Plan
	scenario        *scenario.Scenario
	rng      *rand.Rand
	events   []record.Event
	sends    []Send
	pods     []*pod
	servers  []*server
	sidecars []*sidecar
	members  *fleet // nil: the fleet of sidecars stays as it is
	failed   error
}

type pod struct {
	model *stock.SimulatedPod
	nextCheck  float64 // when it is looked at next; negative: not
}

type server struct {
	number, inPod int
	pod           *pod
	entry         balance.Server
	down          bool
	bootMS        int64
	failFraction, dropFraction    float64
	hangs, rejects   bool
	slowFactor          float64
	links         map[int]*link // by sidecar, where they are not as the network has them
	connections         int16
	listVersion   int            // changes of it that were published
	listed        balance.Server // as discovery has it now; followed only where sidecars may start later
	listedVersion    int            // the change that listed is of
	slowStart       *slowStartLoad       // since its last start, where that is followed
}

// link is what is wrong between one sidecar and one server.
type link struct {
	cutTo, cutFrom bool // cut
	reject   bool
	answerLoss     float64
	latency  float64 // 0: as the network has it
}

type sidecar struct {
	number  int
	sim       *simulation
	observe func(sidecar int, actions []balance.Action) // nil: nobody does
	balancer       *balance.Balancer
	config     balance.Config
	attempts   map[balance.RequestID]*clientAttempt
	idle    map[int][]float64 // by server: until when each kept connection is open
	notifiedVersion   map[int]int       // by server: the last change that it was told
	down    bool              // no process runs
	incarnation    int               // grows with each end of a process
}

// Play plays a plan.
func Play(ctx context.Context, plan *scenario.Plan, o Options) (*Run, error) {
	s := plan.Scenario
	if s.Registry.Replicas > 0 || s.Discovery.RegistryReplicas > 0 {
		return nil, fmt.Errorf("simulate %s: the list service's copies are real processes; a simulated run has none", s.Name)
	}
	sim := &simulation{plan: plan, scenario: s, rng: rand.New(rand.NewPCG(plan.Seed, 0x73696d))}
	sim.addServers()
	if err := sim.addSidecars(o); err != nil {
		return nil, fmt.Errorf("simulate %s: %w", s.Name, err)
	}
	if o.Members != nil {
		if err := sim.addFleetChanges(o.Members); err != nil {
			return nil, fmt.Errorf("simulate %s: %w", s.Name, err)
		}
	}
	for i := range plan.Faults {
		if err := sim.addFault(&plan.Faults[i]); err != nil {
			return nil, fmt.Errorf("simulate %s: %w", s.Name, err)
		}
	}
	for i := range plan.Arrivals {
		a := &plan.Arrivals[i]
		sim.At(runStart+ms(a.At), func() { sim.startRequest(i, a) })
	}
	end := runStart + ms(s.Length.Duration())
	for n := 0; sim.Step(end + maxTail); n++ {
		if n%4096 == 0 {
			if err := ctx.Err(); err != nil {
				return nil, fmt.Errorf("simulate %s: %w", s.Name, err)
			}
			if o.Progress != nil {
				o.Progress(math.Min((sim.Now()-runStart)/(end-runStart), 1))
			}
		}
		if sim.failed != nil {
			return nil, fmt.Errorf("simulate %s at %.0f ms: %w", s.Name, sim.Now()-runStart, sim.failed)
		}
		if sim.Now() > end && sim.idle() {
			break
		}
	}
	out := &Run{Events: sim.events, Sends: sim.sends}
	for _, p := range sim.pods {
		out.WorkDone += p.model.WorkDone()
	}
	if sim.members != nil {
		out.Members = &sim.members.result
	}
	return out, nil
}

// quiet tells whether no client waits for anything.
func (sim *simulation) idle() bool {
	for _, c := range sim.sidecars {
		if len(c.attempts) > 0 {
			return false
		}
	}
	return true
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// clock is the time of the run as records and servers have it.
func (sim *simulation) elapsed() time.Duration {
	return time.Duration(math.Round((sim.Now() - runStart) * float64(time.Millisecond)))
}

func (sim *simulation) record(e record.Event) {
	e.T = sim.elapsed()
	sim.events = append(sim.events, e)
}

func (sim *simulation) addServers() {
	p := sim.plan
	specs := make([][]stock.Spec, len(p.Pods))
	for i := range p.Servers {
		sp := &p.Servers[i]
		sim.servers = append(sim.servers, &server{number: i, inPod: len(specs[sp.Pod]), down: sp.Spare, slowFactor: 1, links: map[int]*link{},
			entry: balance.Server{ID: balance.ServerID(i + 1), Rating: 1, Cell: sp.Pod, Zone: sp.Zone, Kind: sp.Kind, AddressKey: uint64(i + 1)}})
		specs[sp.Pod] = append(specs[sp.Pod], stock.SpecOf(p, i))
	}
	for i := range p.Pods {
		sim.pods = append(sim.pods, &pod{model: stock.NewSimulatedPod(p.Pods[i].Limit, specs[i]), nextCheck: -1})
	}
	for i := range sim.servers {
		sim.servers[i].pod = sim.pods[p.Servers[i].Pod]
	}
}

func (sim *simulation) addSidecars(o Options) error {
	var all []balance.Server
	for _, s := range sim.servers {
		if !s.down {
			all = append(all, s.entry)
		}
	}
	for i := range sim.plan.Sidecars {
		data, err := json.Marshal(sim.plan.Settings(i))
		if err != nil {
			return fmt.Errorf("settings of sidecar %d: %w", i, err)
		}
		cfg, err := wire.ParseSettings(sim.plan.Sidecars[i].Seed, data)
		if err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		cfg.Regions, cfg.RegionCost = sim.scenario.Network.RegionNumbers(), sim.scenario.Network.CrossRegionCost
		if o.ChangeConfig != nil {
			o.ChangeConfig(i, &cfg)
		}
		b, err := balance.New(cfg)
		if err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		c := &sidecar{number: i, sim: sim, observe: o.Observe, balancer: b, config: cfg, attempts: map[balance.RequestID]*clientAttempt{}, idle: map[int][]float64{},
			notifiedVersion: map[int]int{}}
		sim.sidecars = append(sim.sidecars, c)
		sim.At(0, func() { c.start(all) })
	}
	return nil
}

// begin starts the process of a sidecar with the list as it is then.
func (sidecar *sidecar) start(list []balance.Server) {
	if sidecar.down {
		return
	}
	sidecar.execute(sidecar.balancer.Start(sidecar.sim.Now()))
	sidecar.handle(balance.ServerList{Kind: balance.ListFull, Servers: list})
	for _, e := range list {
		number := int(e.ID) - 1
		sidecar.notifiedVersion[number] = sidecar.sim.servers[number].listedVersion
		sidecar.sim.record(record.Event{Kind: record.Notified, Sidecar: int32(sidecar.number), Server: int32(number), Class: record.None, Note: "Ready"})
	}
}

// tell gives a sidecar an event and does what it wants.
func (sidecar *sidecar) handle(ev balance.Event) {
	if sidecar.down {
		return
	}
	actions, err := sidecar.balancer.Handle(sidecar.sim.Now(), ev)
	if err != nil {
		sidecar.sim.failed = fmt.Errorf("sidecar %d, %T: %w", sidecar.number, ev, err)
		return
	}
	sidecar.execute(actions)
}

// act does what a balancer wants, in order. What it leads to happens later: the balancer is not called again from here.
func (sidecar *sidecar) execute(actions []balance.Action) {
	sim := sidecar.sim
	if sidecar.observe != nil {
		sidecar.observe(sidecar.number, actions)
	}
	for _, a := range slices.Clone(actions) {
		t := sidecar.attempts[a.Request]
		switch a.Kind {
		case balance.Send:
			if t == nil {
				sim.failed = fmt.Errorf("sidecar %d sends request %d, which no client waits for", sidecar.number, a.Request)
				return
			}
			t.send(sim.servers[a.Server-1], a.At)
		case balance.Reject:
			t.answer(429, a.At)
		case balance.Fail:
			t.answer(504, 0)
		case balance.Cancel:
			if t != nil && a.Attempt < len(t.attempts) {
				t.attempts[a.Attempt].cancel()
			}
		case balance.SetTimer:
			sim.After(a.At, sidecar.inThisIncarnation(func() { sidecar.handle(balance.Timer{Token: a.Token}) }))
		case balance.HealthCheck:
			// Only where the settings allow it; one costs what it costs and tells no more than that the process runs.
			s := sim.servers[a.Server-1]
			l := sim.link(sidecar, s)
			result, wait := balance.OK, 2*sim.latency(sidecar, s)
			if s.down || l.reject {
				result = balance.ConnectFailed
			} else if l.cutTo || l.cutFrom || s.hangs {
				result, wait = balance.TimedOut, connectTimeout
			}
			sim.After(wait, sidecar.inThisIncarnation(func() { sidecar.handle(balance.HealthCheckResult{Server: a.Server, Result: result, Elapsed: wait}) }))
		}
	}
}

// alive is what happens only while the process runs that it was set by.
func (sidecar *sidecar) inThisIncarnation(do func()) func() {
	life := sidecar.incarnation
	return func() {
		if sidecar.incarnation == life {
			do()
		}
	}
}

// link is what is wrong between a sidecar and a server.
func (sim *simulation) link(c *sidecar, s *server) link {
	if l := s.links[c.number]; l != nil {
		return *l
	}
	return link{}
}

// latency is one way between a sidecar and a server.
func (sim *simulation) latency(c *sidecar, s *server) float64 {
	if l := s.links[c.number]; l != nil && l.latency > 0 {
		return l.latency
	}
	base := sim.scenario.Network.Latency(sim.plan.Sidecars[c.number].Zone, s.entry.Zone).Milliseconds()
	return base * (1 + sim.scenario.Network.Jitter*(2*sim.rng.Float64()-1))
}

// advance brings a pod to now and comes again when something ends in it.
func (sim *simulation) advance(p *pod) {
	next := p.model.Advance(sim.elapsed())
	if next < 0 {
		p.nextCheck = -1
		return
	}
	due := math.Max(runStart+ms(next), sim.Now())
	if p.nextCheck >= sim.Now() && p.nextCheck <= due { // already coming, soon enough
		return
	}
	p.nextCheck = due
	sim.At(due, func() {
		if p.nextCheck == due {
			p.nextCheck = -1
			sim.advance(p)
		}
	})
}

// publish tells all sidecars of a server after the notice that this news takes, the last a spread later than the first.
// News that later news have overtaken are not told: discovery never goes back, as the lab's agents never do.
func (sim *simulation) publish(s *server, state balance.ServerState, name string, delay scenario.Duration) {
	s.listVersion++
	e, boot, version := s.entry, s.bootMS, s.listVersion
	e.State = state
	if sim.members != nil {
		sim.After(delay.Milliseconds(), func() {
			if version > s.listedVersion {
				s.listed, s.listedVersion = e, version
			}
		})
	}
	for i, c := range sim.sidecars {
		wait := delay.Milliseconds() + sim.scenario.Discovery.Spread.Milliseconds()*float64(i)/float64(len(sim.sidecars))
		sim.After(wait, func() {
			if c.down || version < c.notifiedVersion[s.number] {
				return
			}
			c.notifiedVersion[s.number] = version
			sim.record(record.Event{Kind: record.Notified, Sidecar: int32(i), Server: int32(s.number), Class: record.None, N: boot, Note: name})
			c.handle(balance.ServerList{Kind: balance.ListDelta, Servers: []balance.Server{e}})
		})
	}
}

func (sim *simulation) recordServerState(s *server, note string) {
	sim.record(record.Event{Kind: record.ServerState, Sidecar: record.None, Server: int32(s.number), Class: record.None, Note: note})
}

func (sim *simulation) crashServer(s *server, announce bool) {
	sim.recordServerState(s, "dies")
	s.down = true
	s.pod.model.Kill(s.inPod)
	sim.advance(s.pod)
	var cut []*serverAttempt // in the order of their sends: a map has none, and a run is its seed's
	for _, c := range sim.sidecars {
		delete(c.idle, s.number)
		for _, t := range c.attempts {
			for _, a := range t.attempts {
				if a.server == s && a.reachedServer && !a.ended {
					cut = append(cut, a)
				}
			}
		}
	}
	slices.SortFunc(cut, func(a, b *serverAttempt) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.client.id, b.client.id))
	})
	for _, a := range cut {
		a.deliver(func() { a.reportFailure(balance.Reset) })
	}
	if announce {
		sim.publish(s, balance.Gone, "Gone", sim.scenario.Discovery.CrashDelay)
	}
}

func (sim *simulation) startServer(s *server) {
	sim.recordServerState(s, invariant.ServerStarted)
	s.down, s.rejects = false, false
	s.pod.model.Restart(sim.elapsed(), s.inPod)
	s.bootMS = int64(sim.Now())
	s.entry.StartedAt = sim.Now()
	if sim.members != nil {
		sim.members.trackSlowStart(s)
	}
	sim.publish(s, balance.Ready, "Ready", sim.scenario.Discovery.AddDelay)
}
