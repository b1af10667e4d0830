// Package simulate runs a scenario on a simulated clock. Each sidecar has the real decision module (package balance).
// Clients, links with faults and servers are simulated, servers by the model of the lab's stand-in servers. A thousand
// sidecars and two thousand servers fit into one process, and the same seed gives the same run, byte for byte.
//
// A simulated run produces the same records as a run of real processes, so that the same invariants and figures apply.
// It does not simulate what affects no decision: sockets, processor time and memory, batches of events, and bodies.
//
// Failure modes: a scenario with a fault that cannot be simulated is an error that names the fault. An action of the
// balancer for an unknown request is also an error.
package simulate

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
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

// Options are the options of a run.
type Options struct {
	// ChangeConfig changes the configuration of a sidecar before it starts. It may be nil.
	ChangeConfig func(sidecar int, cfg *balance.Config)
	// Progress is called from time to time with the fraction of the run that is done. It may be nil.
	Progress func(fraction float64)
	// Observe is called with the actions of a sidecar's balancer in order. It must not keep the slice. It may be nil.
	Observe func(sidecar int, actions []balance.Action)
	// Members describes changes of the fleet of sidecars. If it is nil, the fleet does not change, and sidecars get no
	// fleet size.
	Members *Members
}

// Result is the result of a simulated run.
type Result struct {
	Events   []record.Event // recorded events, sorted by time
	WorkDone float64        // work of all servers, in milliseconds of a core of speed 1
	Sends    []Send         // sends of all sidecars, sorted by time

	Members *MembersResult // nil if Options.Members is nil
}

// runStart is the simulated time in ms at which a run starts. It is above 0, as a server with the start time 0 counts
// as started long ago.
const runStart = 1000.0

// lateResponseWait is the time in ms that a client still reads after its timeout, as the lab's clients do.
const lateResponseWait = 500.0

// maxTail is the longest time in ms that a run continues after the scenario's length, for attempts in flight.
const maxTail = 20000.0

// simulation is the state of a run in progress.
type simulation struct {
	simclock.Clock
	plan     *scenario.Plan
	scenario *scenario.Scenario
	rng      *rand.Rand
	events   []record.Event
	sends    []Send
	pods     []*pod
	servers  []*server
	sidecars []*sidecar
	members  *fleet // nil if the fleet of sidecars does not change
	err      error
}

// pod is a group of servers that share the pod's processor limit.
type pod struct {
	model       *stock.SimulatedPod
	nextAdvance float64 // simulated time of the next scheduled advance, negative if none is scheduled
}

// server is a simulated server.
type server struct {
	number, indexInPod         int
	pod                        *pod
	listEntry                  balance.Server
	down                       bool
	startedAtMS                int64
	failFraction, dropFraction float64
	hangs, rejects             bool
	slowFactor                 float64
	links                      map[int]*link // links with faults by number of the sidecar
	connections                int16
	listVersion                int            // number of published changes of this server
	listed                     balance.Server // current entry in discovery, maintained only if simulation.members is set
	listedVersion              int            // number of the published change that listed contains
	slowStart                  *slowStartLoad // load since the last start, nil if it is not tracked
}

// link holds the faults of the link between one sidecar and one server.
type link struct {
	cutTo, cutFrom bool // cut in the direction to, or from, the server
	reject         bool
	responseLoss   float64
	latency        float64 // one-way latency in ms, 0 for the latency of the scenario's network
}

// sidecar is a simulated sidecar with a real balancer.
type sidecar struct {
	number          int
	sim             *simulation
	observe         func(sidecar int, actions []balance.Action) // Options.Observe, may be nil
	balancer        *balance.Balancer
	config          balance.Config
	attempts        map[balance.RequestID]*clientAttempt
	idleUntil       map[int][]float64 // by server, the times until which idle connections are open
	notifiedVersion map[int]int       // by server, the listVersion of the last notification
	down            bool              // the sidecar has no running process
	incarnation     int               // changes at each end and each restart of the process
}

// Run simulates a plan.
func Run(ctx context.Context, plan *scenario.Plan, o Options) (*Result, error) {
	s := plan.Scenario
	if s.Registry.Replicas > 0 || s.Discovery.RegistryReplicas > 0 {
		return nil, fmt.Errorf("simulate %s: replicas of the list service need real processes", s.Name)
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
		if sim.err != nil {
			return nil, fmt.Errorf("simulate %s at %.0f ms: %w", s.Name, sim.Now()-runStart, sim.err)
		}
		if sim.Now() > end && sim.hasNoAttempts() {
			break
		}
	}
	out := &Result{Events: sim.events, Sends: sim.sends}
	for _, p := range sim.pods {
		out.WorkDone += p.model.WorkDone()
	}
	if sim.members != nil {
		out.Members = &sim.members.result
	}
	return out, nil
}

// hasNoAttempts reports whether no client attempt is in flight.
func (sim *simulation) hasNoAttempts() bool {
	for _, c := range sim.sidecars {
		if len(c.attempts) > 0 {
			return false
		}
	}
	return true
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// elapsed returns the time since the start of the run, as stored in records.
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
		sim.servers = append(sim.servers, &server{number: i, indexInPod: len(specs[sp.Pod]), down: sp.Spare, slowFactor: 1, links: map[int]*link{},
			listEntry: balance.Server{ID: balance.ServerID(i + 1), Rating: 1, Cell: sp.Pod, Zone: sp.Zone, Kind: sp.Kind, AddressKey: uint64(i + 1)}})
		specs[sp.Pod] = append(specs[sp.Pod], stock.SpecOf(p, i))
	}
	for i := range p.Pods {
		sim.pods = append(sim.pods, &pod{model: stock.NewSimulatedPod(p.Pods[i].Limit, specs[i]), nextAdvance: -1})
	}
	for i := range sim.servers {
		sim.servers[i].pod = sim.pods[p.Servers[i].Pod]
	}
}

func (sim *simulation) addSidecars(o Options) error {
	var all []balance.Server
	for _, s := range sim.servers {
		if !s.down {
			all = append(all, s.listEntry)
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
		cfg.Regions, cfg.RegionCost = sim.scenario.Network.RegionByZone(), sim.scenario.Network.CrossRegionCost
		if o.ChangeConfig != nil {
			o.ChangeConfig(i, &cfg)
		}
		b, err := balance.New(cfg)
		if err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		c := &sidecar{number: i, sim: sim, observe: o.Observe, balancer: b, config: cfg, attempts: map[balance.RequestID]*clientAttempt{}, idleUntil: map[int][]float64{},
			notifiedVersion: map[int]int{}}
		sim.sidecars = append(sim.sidecars, c)
		sim.At(0, func() { c.start(all) })
	}
	return nil
}

// start starts the process of a sidecar with a full list of servers.
func (sc *sidecar) start(list []balance.Server) {
	if sc.down {
		return
	}
	sc.execute(sc.balancer.Start(sc.sim.Now()))
	sc.handle(balance.ServerList{Kind: balance.ListFull, Servers: list})
	for _, e := range list {
		number := int(e.ID) - 1
		sc.notifiedVersion[number] = sc.sim.servers[number].listedVersion
		sc.sim.record(record.Event{Kind: record.Notified, Sidecar: int32(sc.number), Server: int32(number), Class: record.None, Note: "Ready"})
	}
}

// handle passes an event to the balancer and executes the balancer's actions.
func (sc *sidecar) handle(ev balance.Event) {
	if sc.down {
		return
	}
	actions, err := sc.balancer.Handle(sc.sim.Now(), ev)
	if err != nil {
		sc.sim.err = fmt.Errorf("sidecar %d, %T: %w", sc.number, ev, err)
		return
	}
	sc.execute(actions)
}

// execute executes a balancer's actions in order. The balancer must not be called from here, as it may be inside a
// call. Results are passed to it later.
func (sc *sidecar) execute(actions []balance.Action) {
	sim := sc.sim
	if sc.observe != nil {
		sc.observe(sc.number, actions)
	}
	for _, a := range slices.Clone(actions) {
		attempt := sc.attempts[a.Request]
		switch a.Kind {
		case balance.Send:
			if attempt == nil {
				sim.err = fmt.Errorf("sidecar %d: send request %d: the request has no client attempt", sc.number, a.Request)
				return
			}
			attempt.send(sim.servers[a.Server-1], a.At)
		case balance.Reject:
			attempt.respond(http.StatusTooManyRequests, a.At)
		case balance.Fail:
			attempt.respond(http.StatusGatewayTimeout, 0)
		case balance.Cancel:
			if attempt != nil && a.Attempt < len(attempt.attempts) {
				attempt.attempts[a.Attempt].cancel()
			}
		case balance.SetTimer:
			sim.After(a.At, sc.inThisIncarnation(func() { sc.handle(balance.Timer{Token: a.Token}) }))
		case balance.HealthCheck:
			sc.checkHealth(sim.servers[a.Server-1])
		}
	}
}

// checkHealth simulates a health check of a server.
func (sc *sidecar) checkHealth(s *server) {
	l := sc.sim.link(sc, s)
	result, wait := balance.OK, 2*sc.sim.latency(sc, s)
	switch {
	case s.down || l.reject:
		result = balance.ConnectFailed
	case l.cutTo || l.cutFrom || s.hangs:
		result, wait = balance.TimedOut, connectTimeout
	}
	sc.sim.After(wait, sc.inThisIncarnation(func() {
		sc.handle(balance.HealthCheckResult{Server: s.listEntry.ID, Result: result, Elapsed: wait})
	}))
}

// inThisIncarnation wraps a callback so that it is skipped if the sidecar's process has ended in the meantime.
func (sc *sidecar) inThisIncarnation(do func()) func() {
	incarnation := sc.incarnation
	return func() {
		if sc.incarnation == incarnation {
			do()
		}
	}
}

// link returns the faults of the link between a sidecar and a server.
func (sim *simulation) link(c *sidecar, s *server) link {
	if l := s.links[c.number]; l != nil {
		return *l
	}
	return link{}
}

// latency returns the one-way latency between a sidecar and a server in ms, with random jitter unless a fault sets it.
func (sim *simulation) latency(c *sidecar, s *server) float64 {
	if l := s.links[c.number]; l != nil && l.latency > 0 {
		return l.latency
	}
	base := sim.scenario.Network.Latency(sim.plan.Sidecars[c.number].Zone, s.listEntry.Zone).Milliseconds()
	return base * (1 + sim.scenario.Network.Jitter*(2*sim.rng.Float64()-1))
}

// advance advances a pod's model to the current time and schedules the next advance for the next end of work in the
// pod.
func (sim *simulation) advance(p *pod) {
	next := p.model.Advance(sim.elapsed())
	if next < 0 {
		p.nextAdvance = -1
		return
	}
	due := math.Max(runStart+ms(next), sim.Now())
	if p.nextAdvance >= sim.Now() && p.nextAdvance <= due { // an advance is already scheduled early enough
		return
	}
	p.nextAdvance = due
	sim.At(due, func() {
		if p.nextAdvance == due {
			p.nextAdvance = -1
			sim.advance(p)
		}
	})
}

// publish notifies all sidecars of a server's state after a delay. The notifications are spread evenly over the
// scenario's discovery spread. A notification that arrives after one of a later version is dropped: as in the lab's
// agents, discovery never returns to an older state.
func (sim *simulation) publish(s *server, state balance.ServerState, name string, delay scenario.Duration) {
	s.listVersion++
	e, startedAt, version := s.listEntry, s.startedAtMS, s.listVersion
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
			sim.record(record.Event{Kind: record.Notified, Sidecar: int32(i), Server: int32(s.number), Class: record.None, N: startedAt, Note: name})
			c.handle(balance.ServerList{Kind: balance.ListDelta, Servers: []balance.Server{e}})
		})
	}
}

func (sim *simulation) recordServerState(s *server, note string) {
	sim.record(record.Event{Kind: record.ServerState, Sidecar: record.None, Server: int32(s.number), Class: record.None, Note: note})
}

// crashServer ends a server's process and resets the connections of its attempts. If announce is set, discovery removes
// the server after its crash delay.
func (sim *simulation) crashServer(s *server, announce bool) {
	sim.recordServerState(s, "dies")
	s.down = true
	s.pod.model.Kill(s.indexInPod)
	sim.advance(s.pod)
	var cut []*serverAttempt // sorted by send time below, as the iteration order of maps is random
	for _, c := range sim.sidecars {
		delete(c.idleUntil, s.number)
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
		sim.publish(s, balance.Removed, "Gone", sim.scenario.Discovery.CrashDelay)
	}
}

// startServer starts a server's process and publishes it as ready.
func (sim *simulation) startServer(s *server) {
	sim.recordServerState(s, invariant.ServerStarted)
	s.down, s.rejects = false, false
	s.pod.model.Restart(sim.elapsed(), s.indexInPod)
	s.startedAtMS = int64(sim.Now())
	s.listEntry.StartedAt = sim.Now()
	if sim.members != nil {
		sim.members.trackSlowStart(s)
	}
	sim.publish(s, balance.Ready, "Ready", sim.scenario.Discovery.AddDelay)
}
