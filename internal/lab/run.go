package lab

// This file is the phases of a run of sidecars.

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

// NoProgram stands for no sidecars: clients go straight to the servers in turn.
const NoProgram = "none"

// run is a run of sidecars between clients, servers and discovery.
type run struct {
	*harness.Run
	program       string
	requests      *client.RequestLog
	pods          []*stock.Pod
	servers       []*stock.Server
	agents        []*agent.Agents                 // simulated discovery services, each with an agent for every sidecar
	registry      *registryProxy                  // nil: discovery is simulated
	rollouts      atomic.Pointer[rollouts.Driver] // nil: the scenario has no routes
	members       *members.Network                // nil: there is no membership
	sidecars      []*sidecar
	answerProxies []*answerProxy
	load          *client.Load
	lateness      []time.Duration // of arrivals, behind their plan
	worked        float64         // units that the servers have worked
	serverStarts  []atomic.Int64  // when each server started last, Unix ms; 0: before the run
	// serverClock is the offset of the servers' wall clock, in ms.
	serverClock atomic.Int64

	resender    atomic.Pointer[resender]
	resendCount atomic.Int64

	linkMu          sync.Mutex
	links           map[[2]int]*relay.Link  // by sidecar and server
	discoveryLinks  [][]*relay.Link         // by discovery service and sidecar
	handshakeDelays []*relay.HandshakeDelay // that have begun

	processWatchers sync.WaitGroup // of processes; they end after Tasks
}

func newRun(base *harness.Run) *run {
	r := &run{Run: base, links: map[[2]int]*relay.Link{}, requests: client.NewRequestLog()}
	r.load = &client.Load{Plan: r.Plan, Log: r.Events, Requests: r.requests, Addr: r.clientAddr, DialsBlocked: r.closedToNew}
	if r.program = r.Scenario.Sidecars.Program; r.program == "" {
		r.program = r.Options.Program
	}
	return r
}

// Drive sends the arrivals of the plan and injects its faults.
func (r *run) Drive(ctx context.Context) error {
	r.Log.Info("lab: all parties are up", "sidecars", len(r.sidecars), "servers", len(r.servers), "seed", r.Plan.Seed)
	r.shiftArrivals(r.StartedAt)
	r.Tasks.Go(func() { r.sampleProcesses(ctx) })
	r.Tasks.Go(func() { r.injectFaults(ctx) })
	if r.Scenario.HasRoutes() {
		o := rollouts.New(r.Run, r.registry.cluster)
		r.rollouts.Store(o) // the sidecars call already
		r.Tasks.Go(func() { o.Drive(ctx) })
	}
	r.lateness = r.load.Run(ctx)
	r.resender.Store(nil)
	return nil
}

// shiftArrivals moves the arrivals of the plan between its clock and that of the records.
func (r *run) shiftArrivals(by time.Duration) {
	for i := range r.Plan.Arrivals {
		r.Plan.Arrivals[i].At += by
	}
}

// Collect polls the parties for the last time, and ends the sidecars.
func (r *run) Collect(ctx context.Context) error {
	if r.members != nil {
		r.members.StopPolling()
	}
	r.measureAll()
	if o := r.rollouts.Load(); o != nil {
		o.Collect(ctx)
	}
	r.stopSidecars()
	r.processWatchers.Wait()
	for _, s := range r.servers {
		r.worked += s.WorkDone()
	}
	return nil
}

// Check measures the run by its records, and holds it to the rules and expectations.
func (r *run) Check(timers harness.TimerLag) *report.Report {
	events := r.Events.Events()
	for i := range events { // on the clock of the plan
		events[i].T -= r.StartedAt
	}
	r.shiftArrivals(-r.StartedAt)
	var routes *invariant.Routes
	if o := r.rollouts.Load(); o != nil {
		routes = o.Facts()
	}
	rep := report.New(r.Plan, events, r.worked, routes, r.StallSpans(timers.Stalls))
	if r.members != nil { // before the expectations ask which rules were held to some case
		facts := r.members.Facts()
		invariant.CheckMembers(events, facts, rep.Verdict)
		rep.Members = members.Result(events, facts)
	}
	if o := r.rollouts.Load(); o != nil {
		rep.Routes = o.Result(events, routes, rep.Verdict)
	}
	rep.Lateness = report.NewLateness(r.lateness, timers.Lag)
	if r.registry != nil {
		r.registry.cluster.AddBreachesTo(rep.Verdict)
	}
	rep.CheckExpectations(r.Scenario)
	return rep
}

// Status is how far the run is.
func (r *run) Status() string { return fmt.Sprintf("%d requests under way", r.load.InFlight()) }

// Close ends whatever runs, in any state.
func (r *run) Close() {
	for _, l := range r.handshakeDelays { // of a run that ended before they did
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
	for _, t := range r.answerProxies {
		if t != nil {
			t.close()
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
