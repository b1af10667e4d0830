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
	"os"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/client"
	"marblelane/internal/lab/cluster"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/report"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simulate"
	"marblelane/internal/lab/stock"
)

// NoProgram stands for no sidecars: clients go straight to the servers in turn.
const NoProgram = "none"

// run is a run under way.
type run struct {
	*harness.Run
	program  string
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

	starved starvationSampler // only measureAll and, after it, report use it

	overheardBy atomic.Pointer[repeater]
	repeated    atomic.Int64

	linkMu sync.Mutex
	links  map[[2]int]*relay.Link  // by sidecar and server
	disc   [][]*relay.Link         // by list service and sidecar
	lates  []*relay.HandshakeDelay // that have begun

	watchers sync.WaitGroup // of processes; they end after Tasks
}

// Run plays a scenario. An error means that it could not be played; what the run shows is in the report.
func Run(ctx context.Context, s *scenario.Scenario, o harness.Options) (*report.Report, error) {
	base, err := harness.New(s, o)
	if err != nil {
		return nil, err
	}
	defer base.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.Registry.Replicas > 0 {
		return cluster.Play(ctx, base)
	}
	r := newRun(base)
	defer r.close(cancel)
	if err := r.start(ctx); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	return r.play(ctx)
}

func newRun(base *harness.Run) *run {
	r := &run{Run: base, links: map[[2]int]*relay.Link{}, book: client.NewRequestLog()}
	if r.program = r.Scenario.Sidecars.Program; r.program == "" {
		r.program = r.Options.Program
	}
	return r
}

// start brings all parties up. The clock of the run starts when they are ready.
func (r *run) start(ctx context.Context) error {
	for k := range max(r.Scenario.Discovery.Services, r.Scenario.Discovery.RegistryReplicas) {
		var row []*relay.Link
		for i := range r.Plan.Sidecars {
			row = append(row, relay.NewLink(relay.Rules{}, r.Plan.Seed^uint64(k)<<32^uint64(i)))
		}
		r.disc = append(r.disc, row)
	}
	r.boots = make([]atomic.Int64, len(r.Plan.Servers))
	var entries []agent.Entry
	for _, p := range r.Plan.Pods {
		r.pods = append(r.pods, stock.NewPod(r.Events, p.Limit))
	}
	for i := range r.Plan.Servers {
		if err := r.addServer(i); err != nil {
			return err
		}
		if r.Plan.Servers[i].Spare {
			r.servers[i].Kill()
			continue
		}
		entries = append(entries, r.Entry(i, agent.Ready, 0))
	}
	if r.program == NoProgram {
		return nil
	}
	if r.Scenario.Members != nil {
		var err error
		if r.members, err = newMembers(r); err != nil {
			return err
		}
	}
	if r.Scenario.Discovery.RegistryReplicas > 0 {
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
		a, err := agent.New(r.Events, len(r.Plan.Sidecars), entries,
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
	p := &r.Plan.Servers[i]
	probe := -1.0
	if r.Scenario.Rules.HealthChecks {
		probe = 0.08
	}
	s, err := stock.Start(r.Events, r.book, r.pods[p.Pod], stock.SpecOf(r.Plan, i), stock.Options{
		Number: i, Seed: r.Plan.Seed, HealthCheckWork: probe,
		Links: func(sidecar int) *relay.Link {
			if sidecar >= len(r.Plan.Sidecars) {
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
		r.Note(record.ServerState, record.None, i, "is down for good")
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
		between := r.Scenario.Network.Latency(r.Plan.Sidecars[sidecar].Zone, r.Plan.Servers[server].Zone)
		rules := relay.Rules{Latency: between.Duration(), Jitter: r.Scenario.Network.Jitter}
		l = relay.NewLink(rules, r.Plan.Seed^uint64(sidecar)<<32^uint64(server))
		r.links[key] = l
	}
	return l
}

// addr is where the clients of a sidecar connect.
func (r *run) addr(i int) string {
	if r.program == NoProgram {
		// In turn, over all servers: a count would need a lock, and any spread is as good.
		n := int(r.Events.Now()/time.Microsecond) % r.Scenario.Servers.Count
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
func (r *run) play(ctx context.Context) (*report.Report, error) {
	r.Log.Info("lab: all parties are up", "sidecars", len(r.sidecars), "servers", len(r.servers), "seed", r.Plan.Seed)
	began := r.Events.Now()
	for i := range r.Plan.Arrivals { // the plan's times are from here on
		r.Plan.Arrivals[i].At += began
	}
	playing, done := context.WithCancel(ctx)
	defer done()
	r.load = &client.Load{Plan: r.Plan, Log: r.Events, Requests: r.book, Addr: r.addr, Closed: r.closedTo}
	var lag []time.Duration
	var stalls []harness.Stall
	r.Tasks.Go(func() { lag, stalls = harness.MeasureTimerLag(playing) })
	r.Tasks.Go(func() { r.sample(playing) })
	r.Tasks.Go(func() { r.faults(playing, began) })
	r.Tasks.Go(func() { r.progress(playing, began) })
	if r.Scenario.HasRoutes() {
		o := newRollouts(r, began)
		r.rollouts.Store(o) // sidecars ask already
		r.Tasks.Go(func() { o.play(playing) })
	}
	lates := r.load.Run(ctx)
	r.overheardBy.Store(nil)
	done()
	r.Tasks.Wait()
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
	if err := r.Err(); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	worked := 0.0
	for _, s := range r.servers {
		worked += s.WorkDone()
	}
	all := r.Events.Events()
	for i := range all { // on the plan's clock
		all[i].T -= began
	}
	for i := range r.Plan.Arrivals {
		r.Plan.Arrivals[i].At -= began
	}
	delays := report.ProcessorDelays{Lab: r.Spans(stalls, began), Sidecars: r.starved.since(began)}
	return r.report(all, worked, lates, lag, delays), nil
}

// Simulate plays a scenario on a simulated clock (package simulate), with the same rules, figures and expectations.
func Simulate(ctx context.Context, s *scenario.Scenario, seed uint64, o simulate.Options) (*report.Report, error) {
	plan := s.Plan(seed)
	run, err := simulate.Play(ctx, plan, o)
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	rep := report.New(plan, run.Events, run.WorkDone, nil, report.ProcessorDelays{})
	rep.ZoneFaults = simulate.ZoneFaults(plan, run.Sends)
	rep.CheckFigures(&s.Expect)
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
			r.Events.Add(e)
		}
	}
	together(record.None, 0, os.Getpid())
	for i, s := range r.sidecars { // during an upgrade two processes are one sidecar, to its limits too
		pids, past := s.processes()
		together(i, past, pids...)
		for _, pid := range pids {
			r.starved.sample(i, pid, r.Events.Now)
		}
	}
}

// progress says now and then how far the run is.
func (r *run) progress(ctx context.Context, began time.Duration) {
	if r.Options.Progress == nil {
		return
	}
	t := time.NewTicker(2 * time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			fmt.Fprintf(r.Options.Progress, "%5.1f of %.0f s, %d requests under way\n",
				(r.Events.Now() - began).Seconds(), r.Scenario.Length.Duration().Seconds(), r.load.InFlight())
		case <-ctx.Done():
			return
		}
	}
}

// close ends whatever runs, in any state.
func (r *run) close(cancel func()) {
	cancel()
	r.Tasks.Wait()
	for _, l := range r.lates { // of a run that ended before they did
		_ = l.Stop()
	}
	for _, s := range r.sidecars {
		s.kill()
	}
	r.StopProcesses()
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

// portTrials is how many ports are tried for a process.
const portTrials = 3
