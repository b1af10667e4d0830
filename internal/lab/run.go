package lab

// This file implements the phases of a run with sidecars.

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/client"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/members"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/report"
	"marblelane/internal/lab/rollouts"
	"marblelane/internal/lab/stock"
)

// NoProgram is the program name of a run without sidecars: the clients connect directly to the servers.
const NoProgram = "none"

// run is a run of a scenario with sidecars between clients, servers and discovery.
type run struct {
	*harness.Run
	program         string
	requests        *client.RequestLog
	pods            []*stock.Pod
	servers         []*stock.Server
	agents          []*agent.Agents                 // by simulated discovery service, with an agent per sidecar
	registry        *registryProxy                  // nil if discovery is simulated
	rollouts        atomic.Pointer[rollouts.Driver] // nil if the scenario has no routes
	members         *members.Network                // nil if the scenario has no membership
	sidecars        []*sidecar
	responseProxies []*responseProxy
	load            *client.Load
	arrivalDelays   []time.Duration // by arrival: how much later than planned the request was sent
	workDone        float64         // units of work that the servers have done
	serverStarts    []atomic.Int64  // by server: time of the last start, in Unix ms; 0 if not started during the run
	// serverClock is the offset of the servers' wall clock from that of the lab, in ms.
	serverClock atomic.Int64

	resendRule  atomic.Pointer[resendRule]
	resendCount atomic.Int64

	linkMu          sync.Mutex
	links           map[[2]int]*relay.Link  // links between sidecars and servers, by both numbers
	discoveryLinks  [][]*relay.Link         // links to discovery, by discovery service and sidecar
	handshakeDelays []*relay.HandshakeDelay // all handshake delays that were started

	processWatchers sync.WaitGroup // goroutines that wait for processes to end; they end after the goroutines of Tasks
}

func newRun(base *harness.Run) *run {
	r := &run{Run: base, links: map[[2]int]*relay.Link{}, requests: client.NewRequestLog()}
	r.load = &client.Load{Plan: r.Plan, Log: r.Events, Requests: r.requests, Addr: r.clientAddr, DialsBlocked: r.noNewConns}
	if r.program = r.Scenario.Sidecars.Program; r.program == "" {
		r.program = r.Options.Program
	}
	return r
}

// Drive sends the planned requests and injects the planned faults.
func (r *run) Drive(ctx context.Context) error {
	r.Log.Info("lab: all parties started", "sidecars", len(r.sidecars), "servers", len(r.servers), "seed", r.Plan.Seed)
	r.shiftArrivals(r.StartedAt)
	r.Tasks.Go(func() { r.sampleProcesses(ctx) })
	r.Tasks.Go(func() { r.injectFaults(ctx) })
	if r.Scenario.HasRoutes() {
		o := rollouts.New(r.Run, r.registry.cluster)
		r.rollouts.Store(o) // atomic, because the sidecars already send requests
		r.Tasks.Go(func() { o.Drive(ctx) })
	}
	r.arrivalDelays = r.load.Run(ctx)
	r.resendRule.Store(nil)
	return nil
}

// shiftArrivals adds offset to the times of all planned arrivals. It converts them between the clock of the plan, which
// begins with the load, and the clock of the records.
func (r *run) shiftArrivals(offset time.Duration) {
	for i := range r.Plan.Arrivals {
		r.Plan.Arrivals[i].At += offset
	}
}

// Collect takes the last measurements and stops the sidecars.
func (r *run) Collect(ctx context.Context) error {
	if r.members != nil {
		r.members.StopPolling()
	}
	r.sampleAll()
	if o := r.rollouts.Load(); o != nil {
		o.Collect(ctx)
	}
	r.stopSidecars()
	r.processWatchers.Wait()
	for _, s := range r.servers {
		r.workDone += s.WorkDone()
	}
	return nil
}

// Check computes the figures of the run from its records, and checks its invariants and expectations.
func (r *run) Check(timers harness.TimerLag) *report.Report {
	events := r.Events.Events()
	for i := range events { // converts the times to the clock of the plan
		events[i].T -= r.StartedAt
	}
	r.shiftArrivals(-r.StartedAt)
	var routes *invariant.Routes
	if o := r.rollouts.Load(); o != nil {
		routes = o.Facts()
	}
	rep := report.New(r.Plan, events, r.workDone, routes, r.StallSpans(timers.Stalls))
	if r.members != nil { // checked first, as the expectations require that some invariants were checked at least once
		facts := r.members.Facts()
		invariant.CheckMembers(events, facts, rep.Verdict)
		rep.Members = members.Result(events, facts)
	}
	if o := r.rollouts.Load(); o != nil {
		rep.Routes = o.Result(events, routes, rep.Verdict)
	}
	rep.Lateness = report.NewLateness(r.arrivalDelays, timers.Lag)
	if r.registry != nil {
		r.registry.cluster.AddBreachesTo(rep.Verdict)
	}
	rep.CheckExpectations(r.Scenario)
	return rep
}

// Status returns the progress of the run in words.
func (r *run) Status() string { return fmt.Sprintf("%d requests in flight", r.load.InFlight()) }

// Close ends all processes and parties that still run. It can be called in any state of the run.
func (r *run) Close() {
	for _, l := range r.handshakeDelays { // stops the handshake delays that are still active if the run ended early
		_ = l.Stop()
	}
	for _, s := range r.sidecars {
		s.kill()
	}
	r.StopProcesses()
	r.processWatchers.Wait()
	if r.members != nil {
		r.members.Close()
	}
	for _, proxy := range r.responseProxies {
		if proxy != nil {
			proxy.close()
		}
	}
	for _, a := range r.agents {
		a.Close()
	}
	if r.registry != nil {
		r.registry.close()
	}
	for _, s := range r.servers {
		s.Close()
	}
	for _, p := range r.pods {
		p.Close()
	}
}
