// Package lab runs scenarios: copies of the real program between stand-ins for everything else, with faults
// between them, on loopback addresses. docs/lab.md says how it is used and what it does not promise.
//
// The parties are the copies (child processes); all others are in this process, on one clock, and write down what
// they see. Everything that is drawn is drawn before the run from one seed (package scenario); the rules are
// checked after it from the records (package invariant).
package lab

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/client"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simulate"
	"marblelane/internal/lab/stock"
)

// NoProgram stands for no sidecars: clients go straight to the servers in turn.
const NoProgram = "none"

// Options are what a run needs beside its scenario.
type Options struct {
	Program  string // the sidecar's file, where the scenario names none
	Older    string // the program of the sidecars that the scenario calls older; empty: Program, without routes
	Self     string // the command's file, for copies of the list service; empty: this program
	Seed     uint64 // 0: the scenario's
	Dir      string // for the copies' files; empty: a temporary one that goes with the run
	Progress io.Writer
	Log      *slog.Logger // nil: none

	freeAddr func(sidecar int) (string, error) // nil: freeAddr
}

// A run does not count when the lab itself was late: the machine was busy, and what parties did at which time is
// not known well enough to hold it against the sidecars.
const (
	lateP99 = 20 * time.Millisecond
	lateMax = 400 * time.Millisecond
)

// The three ends of a run.
const (
	Pass = "PASS"
	Fail = "FAIL"
	Late = "LATE" // it does not count
)

// run is a run under way.
type run struct {
	s        *scenario.Scenario
	plan     *scenario.Plan
	o        Options
	log      *record.Log
	out      *slog.Logger
	dir      string
	program  string
	nursery  *process.Supervisor
	book     *client.RequestLog
	pods     []*stock.Pod
	servers  []*stock.Server
	agents   []*agent.Agents          // stand-ins for list services, each with an agent for every sidecar
	service  *service                 // real ones in their place; nil: stand-ins
	rollouts atomic.Pointer[rollouts] // what tenants do with routes; nil: there are none
	members  *members                 // what lies between members; nil: there is no membership
	sidecars []*sidecar
	tampers  []*tamper
	load     *client.Load
	boots    []atomic.Int64 // when each server started last, Unix ms; 0: before the run
	// serverClock is how many ms the wall clock is off by which servers' starts are told.
	serverClock atomic.Int64

	overheardBy atomic.Pointer[repeater]
	repeated    atomic.Int64

	linkMu sync.Mutex
	links  map[[2]int]*relay.Link  // by sidecar and server
	disc   [][]*relay.Link         // by list service and sidecar
	lates  []*relay.HandshakeDelay // that have begun

	wg       sync.WaitGroup // what a run does
	watchers sync.WaitGroup // of processes; they end after those
	failMu   sync.Mutex
	failed   error
}

// Run plays a scenario. An error means that it could not be played; what the run shows is in the report.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (rep *Report, err error) {
	r := &run{s: s, plan: s.Plan(o.Seed), o: o, out: o.Log, links: map[[2]int]*relay.Link{}, book: client.NewRequestLog()}
	if r.o.freeAddr == nil {
		r.o.freeAddr = freeAddr
	}
	if r.out == nil {
		r.out = slog.New(slog.DiscardHandler)
	}
	if r.program = s.Sidecars.Program; r.program == "" {
		r.program = o.Program
	}
	if r.o.Self == "" {
		if r.o.Self, err = os.Executable(); err != nil {
			return nil, fmt.Errorf("lab: copies of the list service are of this program: %w", err)
		}
	}
	if r.dir = o.Dir; r.dir == "" {
		if r.dir, err = os.MkdirTemp("", "marblelane-lab-"); err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		defer os.RemoveAll(r.dir)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.Registry.Replicas > 0 {
		return r.playRegistry(ctx)
	}
	defer r.close(cancel)
	if err := r.start(ctx); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	return r.play(ctx)
}

// start brings all parties up. The clock of the run starts when they are ready.
func (r *run) start(ctx context.Context) error {
	r.nursery = process.NewSupervisor()
	r.log = record.New()
	for k := range max(r.s.Discovery.Services, r.s.Discovery.RegistryReplicas) {
		var row []*relay.Link
		for i := range r.plan.Sidecars {
			row = append(row, relay.NewLink(relay.Rules{}, r.plan.Seed^uint64(k)<<32^uint64(i)))
		}
		r.disc = append(r.disc, row)
	}
	r.boots = make([]atomic.Int64, len(r.plan.Servers))
	var entries []agent.Entry
	for _, p := range r.plan.Pods {
		r.pods = append(r.pods, stock.NewPod(r.log, p.Limit))
	}
	for i := range r.plan.Servers {
		if err := r.addServer(i); err != nil {
			return err
		}
		if r.plan.Servers[i].Spare {
			r.servers[i].Kill()
			continue
		}
		entries = append(entries, r.entry(i, agent.Ready, 0))
	}
	if r.program == NoProgram {
		return nil
	}
	if r.s.Members != nil {
		var err error
		if r.members, err = newMembers(r); err != nil {
			return err
		}
	}
	if r.s.Discovery.RegistryReplicas > 0 {
		if err := r.startService(ctx, entries); err != nil {
			return err
		}
		if r.members != nil {
			if err := r.members.startService(ctx); err != nil {
				return err
			}
		}
		return r.startSidecars(ctx)
	}
	for _, links := range r.disc {
		a, err := agent.New(r.log, len(r.plan.Sidecars), entries,
			func(sidecar, server int) string { return r.servers[server].Port.Addr(sidecar) },
			func(n int) *relay.Link {
				if n >= len(links) {
					return nil
				}
				return links[n]
			})
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	return r.startSidecars(ctx)
}

// addServer starts the server of this number in the plan.
func (r *run) addServer(i int) error {
	p := &r.plan.Servers[i]
	probe := -1.0
	if r.s.Rules.HealthChecks {
		probe = 0.08
	}
	s, err := stock.Start(r.log, r.book, r.pods[p.Pod], stock.SpecOf(r.plan, i), stock.Options{
		Number: i, Seed: r.plan.Seed, HealthCheckWork: probe,
		Links: func(sidecar int) *relay.Link {
			if sidecar >= len(r.plan.Sidecars) {
				return nil
			}
			return r.link(sidecar, i)
		},
		Observe: r.overhear,
	})
	if err != nil {
		return err
	}
	s.OnOverload = func() {
		r.note(record.ServerState, record.None, i, "is down for good")
		s.Kill()
	}
	r.servers = append(r.servers, s)
	return nil
}

func (r *run) link(sidecar, server int) *relay.Link {
	r.linkMu.Lock()
	defer r.linkMu.Unlock()
	key := [2]int{sidecar, server}
	l := r.links[key]
	if l == nil {
		between := r.s.Network.Latency(r.plan.Sidecars[sidecar].Zone, r.plan.Servers[server].Zone)
		rules := relay.Rules{Latency: between.Duration(), Jitter: r.s.Network.Jitter}
		l = relay.NewLink(rules, r.plan.Seed^uint64(sidecar)<<32^uint64(server))
		r.links[key] = l
	}
	return l
}

func (r *run) entry(i int, state string, bootMS int64) agent.Entry {
	p := &r.plan.Servers[i]
	return agent.Entry{Number: i, UID: p.UID, Zone: r.s.Network.Zones[p.Zone], Model: r.s.Servers.Kinds[p.Kind].Name,
		Pod: p.Pod, State: state, Capacity: 1, BootMS: bootMS}
}

func (r *run) note(k record.Kind, sidecar, server int, note string) {
	r.log.Add(record.Event{Kind: k, Sidecar: int32(sidecar), Server: int32(server), Class: record.None, Note: note})
}

// fail keeps the first thing that made the run impossible.
func (r *run) fail(err error) {
	r.failMu.Lock()
	defer r.failMu.Unlock()
	if r.failed == nil && err != nil {
		r.failed = err
		r.out.Error("lab: the run cannot go on", "error", err)
	}
}

// addr is where the clients of a sidecar connect.
func (r *run) addr(i int) string {
	if r.program == NoProgram {
		// In turn, over all servers: a count would need a lock, and any spread is as good.
		n := int(r.log.Now()/time.Microsecond) % r.s.Servers.Count
		return r.servers[n].Port.Addr(i)
	}
	if t := r.tampers[i]; t != nil && *t.active.Load() != "" {
		return t.addr
	}
	return r.sidecars[i].addr()
}

// closedTo tells whether a sidecar's clients open no new connections at this moment.
func (r *run) closedTo(i int) bool { return r.program != NoProgram && r.sidecars[i].closed.Load() }

// play sends the arrivals and carries out the faults.
func (r *run) play(ctx context.Context) (*Report, error) {
	r.out.Info("lab: all parties are up", "sidecars", len(r.sidecars), "servers", len(r.servers), "seed", r.plan.Seed)
	began := r.log.Now()
	for i := range r.plan.Arrivals { // the plan's times are from here on
		r.plan.Arrivals[i].At += began
	}
	playing, done := context.WithCancel(ctx)
	defer done()
	r.load = &client.Load{Plan: r.plan, Log: r.log, Requests: r.book, Addr: r.addr, Closed: r.closedTo}
	var lag []time.Duration
	var stalls []stall
	r.wg.Go(func() { lag, stalls = heartbeat(playing) })
	r.wg.Go(func() { r.sample(playing) })
	r.wg.Go(func() { r.faults(playing, began) })
	r.wg.Go(func() { r.progress(playing, began) })
	if r.s.HasRoutes() {
		o := newRollouts(r, began)
		r.rollouts.Store(o) // sidecars ask already
		r.wg.Go(func() { o.play(playing) })
	}
	lates := r.load.Run(ctx)
	r.overheardBy.Store(nil)
	done()
	r.wg.Wait()
	if err := context.Cause(ctx); err != nil {
		return nil, fmt.Errorf("lab: ended early: %w", err)
	}
	if r.members != nil {
		r.members.end()
	}
	r.measureAll()
	if o := r.rollouts.Load(); o != nil {
		o.finish(ctx)
	}
	r.stopSidecars()
	r.watchers.Wait()
	if r.failed != nil {
		return nil, fmt.Errorf("lab: %w", r.failed)
	}
	worked := 0.0
	for _, s := range r.servers {
		worked += s.WorkDone()
	}
	all := r.log.Events()
	for i := range all { // on the plan's clock
		all[i].T -= began
	}
	for i := range r.plan.Arrivals {
		r.plan.Arrivals[i].At -= began
	}
	return r.report(all, worked, lates, lag, r.spans(stalls, began)), nil
}

// Simulate plays a scenario on a simulated clock (package simulate), with the same rules, figures and expectations.
func Simulate(ctx context.Context, s *scenario.Scenario, seed uint64, o simulate.Options) (*Report, error) {
	plan := s.Plan(seed)
	run, err := simulate.Play(ctx, plan, o)
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	rep := newReport(plan, run.Events, run.WorkDone, nil, nil)
	rep.ZoneFaults = simulate.ZoneFaults(plan, run.Sends)
	rep.Missed = missed(&s.Expect, rep)
	return rep, nil
}

// sampleEvery is how often the processes are measured.
const sampleEvery = 500 * time.Millisecond

func (r *run) sample(ctx context.Context) {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.measureAll()
		case <-ctx.Done():
			return
		}
	}
}

// measureAll writes down what each process uses now.
func (r *run) measureAll() {
	together := func(sidecar int, cpu float64, pids ...int) {
		e := record.Event{Kind: record.Sample, Sidecar: int32(sidecar), Server: record.None, Class: record.None, Work: cpu}
		for _, pid := range pids {
			u, err := process.Measure(pid)
			if err != nil {
				return // it has just ended, which is written down elsewhere
			}
			e.N, e.Status, e.Work = e.N+u.RSS, e.Status+int32(u.Descriptors), e.Work+u.CPU
		}
		if len(pids) > 0 {
			r.log.Add(e)
		}
	}
	together(record.None, 0, os.Getpid())
	for i, s := range r.sidecars { // during an upgrade two processes are one sidecar, to its limits too
		pids, past := s.processes()
		together(i, past, pids...)
	}
}

// progress says now and then how far the run is.
func (r *run) progress(ctx context.Context, began time.Duration) {
	if r.o.Progress == nil {
		return
	}
	t := time.NewTicker(2 * time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			fmt.Fprintf(r.o.Progress, "%5.1f of %.0f s, %d requests under way\n",
				(r.log.Now() - began).Seconds(), r.s.Length.Duration().Seconds(), r.load.InFlight())
		case <-ctx.Done():
			return
		}
	}
}

// close ends whatever runs, in any state.
func (r *run) close(cancel func()) {
	cancel()
	r.wg.Wait()
	for _, l := range r.lates { // of a run that ended before they did
		_ = l.Stop()
	}
	for _, s := range r.sidecars {
		s.kill()
	}
	r.nursery.Close()
	r.watchers.Wait()
	if r.members != nil {
		r.members.close()
	}
	for _, t := range r.tampers {
		if t != nil {
			t.close()
		}
	}
	for _, a := range r.agents {
		a.Close()
	}
	if r.service != nil {
		r.service.close()
	}
	for _, s := range r.servers {
		s.Close()
	}
	for _, p := range r.pods {
		p.Close()
	}
}

const (
	startWait  = 30 * time.Second
	readyText  = "ready name="
	portTrials = 3
)

// stopWait is how long a process may take from SIGTERM to its end: the platform's longest, and some room.
const stopWait = 6 * time.Second
