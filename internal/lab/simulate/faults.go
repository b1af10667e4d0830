package simulate

import (
	"fmt"
	"slices"

	"marblelane/balance"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
)

// restartTime is the time in ms that a drained server takes to stop, and the time that it is down before it restarts,
// as in the lab.
const restartTime = 1000.0

// faultSteps has the steps of a simulated run for one kind of fault. Exactly one of the functions is set.
type faultSteps struct {
	kind string
	// once is called at the fault's time.
	once func(sim *simulation, p *scenario.FaultPlan)
	// server is called for each server of the fault, with on set at the start of the fault and unset at its end.
	server func(sim *simulation, f *scenario.Fault, s *server, on bool)
	// link is called for each link between the fault's servers and sidecars, with on set at the start of the fault and
	// unset at its end.
	link func(f *scenario.Fault, l *link, on bool)
}

// allFaultSteps has the kinds of faults that simulated runs support. Package scenario marks each of them as simulated.
var allFaultSteps = []faultSteps{
	{kind: scenario.FaultBurst, once: func(*simulation, *scenario.FaultPlan) {}}, // the arrivals of the plan contain it
	{kind: scenario.FaultSlow, server: func(sim *simulation, f *scenario.Fault, s *server, on bool) {
		s.slowFactor = sizeIf(on, f)
		sim.applyServerFaults(s)
	}},
	{kind: scenario.FaultHang, server: func(sim *simulation, _ *scenario.Fault, s *server, on bool) {
		s.hangs = on
		sim.applyServerFaults(s)
	}},
	{kind: scenario.FaultFail, server: func(_ *simulation, f *scenario.Fault, s *server, on bool) { s.failFraction = sizeIf(on, f) }},
	{kind: scenario.FaultDrop, server: func(_ *simulation, f *scenario.Fault, s *server, on bool) { s.dropFraction = sizeIf(on, f) }},
	{kind: scenario.FaultKill, once: func(sim *simulation, p *scenario.FaultPlan) {
		sim.eachServer(p.Servers, func(s *server) { sim.crashServer(s, true) })
	}},
	{kind: scenario.FaultRestart, server: func(sim *simulation, _ *scenario.Fault, s *server, on bool) {
		if on {
			sim.crashServer(s, true)
		} else {
			sim.startServer(s)
		}
	}},
	{kind: scenario.FaultDrain, once: drainAndRestart},
	{kind: scenario.FaultReplace, once: func(sim *simulation, p *scenario.FaultPlan) {
		sim.eachServer(p.Replacements, sim.startServer)
		sim.drainServers(p.Servers, func(s *server) { sim.publish(s, balance.Removed, "Gone", sim.scenario.Discovery.DrainDelay) })
	}},
	{kind: scenario.FaultVanish, server: func(sim *simulation, _ *scenario.Fault, s *server, on bool) {
		for i := range sim.sidecars {
			sim.setLink(s, i, func(l *link) { l.cutTo, l.cutFrom = on, on })
			delete(sim.sidecars[i].idleUntil, s.number)
		}
	}},
	{kind: scenario.FaultCut, link: func(f *scenario.Fault, l *link, on bool) {
		if f.Direction != scenario.DirectionFrom {
			l.cutTo = on
		}
		if f.Direction != scenario.DirectionTo {
			l.cutFrom = on
		}
	}},
	{kind: scenario.FaultLatency, link: func(f *scenario.Fault, l *link, on bool) {
		if l.latency = 0; on {
			l.latency = f.Latency.Milliseconds()
		}
	}},
	{kind: scenario.FaultLose, link: func(f *scenario.Fault, l *link, on bool) { l.responseLoss = sizeIf(on, f) }},
	{kind: scenario.FaultReject, link: func(_ *scenario.Fault, l *link, on bool) { l.reject = on }},
}

// FaultKinds returns the kinds of faults that simulated runs support.
func FaultKinds() []string {
	var kinds []string
	for _, steps := range allFaultSteps {
		kinds = append(kinds, steps.kind)
	}
	return kinds
}

// sizeIf returns the size of a fault if it is on, or else 0.
func sizeIf(on bool, f *scenario.Fault) float64 {
	if on {
		return f.Size
	}
	return 0
}

// The status of fault records: an instantaneous fault, and the start and end of a lasting one.
const (
	faultOnce int32 = iota
	faultStarts
	faultEnds
)

// addFault schedules the steps of a fault.
func (sim *simulation) addFault(p *scenario.FaultPlan) error {
	f := &p.Fault
	if f.Link == scenario.LinkDiscovery {
		return fmt.Errorf("fault %s on links to discovery: not supported in simulated runs", f.Kind)
	}
	i := slices.IndexFunc(allFaultSteps, func(steps faultSteps) bool { return steps.kind == f.Kind })
	if i < 0 {
		return fmt.Errorf("fault %q: not supported in simulated runs", f.Kind)
	}
	steps := &allFaultSteps[i]
	start, end := runStart+ms(p.At), runStart+ms(p.Until)
	if steps.once != nil {
		sim.At(start, func() {
			sim.recordFault(f, faultOnce)
			steps.once(sim, p)
		})
		return nil
	}
	sim.At(start, func() {
		sim.recordFault(f, faultStarts)
		sim.setFault(steps, p, true)
	})
	sim.At(end, func() {
		sim.recordFault(f, faultEnds)
		sim.setFault(steps, p, false)
	})
	return nil
}

func (sim *simulation) recordFault(f *scenario.Fault, status int32) {
	sim.record(record.Event{Kind: record.Fault, Sidecar: record.None, Server: record.None, Class: record.None, Status: status, Note: f.Kind})
}

// setFault applies a fault to its servers or links, or removes it.
func (sim *simulation) setFault(steps *faultSteps, p *scenario.FaultPlan, on bool) {
	sim.eachServer(p.Servers, func(s *server) {
		if steps.server != nil {
			steps.server(sim, &p.Fault, s, on)
			return
		}
		for _, i := range p.Sidecars {
			sim.setLink(s, i, func(l *link) { steps.link(&p.Fault, l, on) })
		}
	})
}

// drainAndRestart drains servers. They restart afterwards, unless the fault makes them keep serving.
func drainAndRestart(sim *simulation, p *scenario.FaultPlan) {
	if p.Fault.KeepServing {
		sim.eachServer(p.Servers, sim.announceDrain)
		return
	}
	sim.drainServers(p.Servers, func(s *server) {
		sim.After(restartTime, func() { sim.startServer(s) })
	})
}

func (sim *simulation) eachServer(numbers []int, do func(*server)) {
	for _, i := range numbers {
		do(sim.servers[i])
	}
}

// setLink changes the faults of the link between a server and a sidecar.
func (sim *simulation) setLink(s *server, sidecar int, change func(*link)) {
	l := s.links[sidecar]
	if l == nil {
		l = &link{}
		s.links[sidecar] = l
	}
	if change(l); *l == (link{}) {
		delete(s.links, sidecar)
	}
}

// applyServerFaults applies a server's speed and hang faults to the model of its pod.
func (sim *simulation) applyServerFaults(s *server) {
	sim.advance(s.pod)
	s.pod.model.SetSlowdown(s.indexInPod, s.slowFactor, s.hangs)
	sim.advance(s.pod)
}

// drainServers drains servers and ends them. They announce the drain, reject new requests once all sidecars are
// notified and the drain grace has passed, and stop restartTime later. The function then is called for each stopped
// server.
func (sim *simulation) drainServers(numbers []int, then func(*server)) {
	wait := sim.scenario.Discovery.DrainDelay.Milliseconds() + sim.scenario.Discovery.Spread.Milliseconds() + sim.scenario.Rules.DrainGrace.Milliseconds()
	sim.eachServer(numbers, func(s *server) {
		sim.announceDrain(s)
		sim.After(wait, func() { s.rejects = true })
		sim.After(wait+restartTime, func() {
			sim.crashServer(s, false)
			then(s)
		})
	})
}

// announceDrain publishes a server as draining.
func (sim *simulation) announceDrain(s *server) {
	sim.recordServerState(s, "drains")
	sim.publish(s, balance.Draining, "Terminating", sim.scenario.Discovery.DrainDelay)
}
