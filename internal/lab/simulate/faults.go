package simulate

import (
	"fmt"

	"marblelane/balance"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
)

// deadFor is how long a server that is drained and started again is away, in ms, as in the lab.
const restartTime = 1000.0

// addFault lets a fault happen at its times.
func (sim *simulation) addFault(p *scenario.FaultPlan) error {
	f := p.Fault
	if f.Link == "discovery" {
		return fmt.Errorf("fault %s of links to discovery: a simulated run has no such links", f.Kind)
	}
	at, until := runStart+ms(p.At), runStart+ms(p.Until)
	mark := func(status int32) {
		sim.record(record.Event{Kind: record.Fault, Sidecar: record.None, Server: record.None, Class: record.None, Status: status, Note: f.Kind})
	}
	once := func(do func()) error {
		sim.At(at, func() { mark(0); do() })
		return nil
	}
	each := func(set func(s *server, on bool)) error {
		for _, on := range []bool{true, false} {
			when, status := at, int32(1)
			if !on {
				when, status = until, 2
			}
			sim.At(when, func() {
				mark(status)
				for _, i := range p.Servers {
					set(sim.servers[i], on)
				}
			})
		}
		return nil
	}
	links := func(set func(l *link, on bool)) error {
		return each(func(s *server, on bool) {
			for _, i := range p.Sidecars {
				sim.setLink(s, i, func(l *link) { set(l, on) })
			}
		})
	}
	size := func(on bool) float64 {
		if on {
			return f.Size
		}
		return 0
	}
	switch f.Kind {
	case "burst": // it is in the arrivals already
		return once(func() {})
	case "slow":
		return each(func(s *server, on bool) { s.slowFactor = size(on); sim.applyServerFaults(s) })
	case "hang":
		return each(func(s *server, on bool) { s.hangs = on; sim.applyServerFaults(s) })
	case "fail":
		return each(func(s *server, on bool) { s.failFraction = size(on) })
	case "drop":
		return each(func(s *server, on bool) { s.dropFraction = size(on) })
	case "kill":
		return once(func() { sim.eachServer(p.Servers, func(s *server) { sim.crashServer(s, true) }) })
	case "restart":
		return each(func(s *server, on bool) {
			if on {
				sim.crashServer(s, true)
			} else {
				sim.startServer(s)
			}
		})
	case "drain":
		if f.KeepServing {
			return once(func() { sim.eachServer(p.Servers, sim.announceDrain) })
		}
		return once(func() { sim.drainServers(p.Servers, func(s *server) { sim.After(restartTime, func() { sim.startServer(s) }) }) })
	case "replace":
		return once(func() {
			sim.eachServer(p.Replacements, sim.startServer)
			sim.drainServers(p.Servers, func(s *server) { sim.publish(s, balance.Gone, "Gone", sim.scenario.Discovery.DrainDelay) })
		})
	case "vanish":
		return each(func(s *server, on bool) {
			for i := range sim.sidecars {
				sim.setLink(s, i, func(l *link) { l.cutTo, l.cutFrom = on, on })
				delete(sim.sidecars[i].idle, s.number)
			}
		})
	case "cut":
		return links(func(l *link, on bool) {
			if f.Direction != "from" {
				l.cutTo = on
			}
			if f.Direction != "to" {
				l.cutFrom = on
			}
		})
	case "latency":
		return links(func(l *link, on bool) {
			if l.latency = 0; on {
				l.latency = f.Latency.Milliseconds()
			}
		})
	case "lose":
		return links(func(l *link, on bool) { l.answerLoss = size(on) })
	case "refuse":
		return links(func(l *link, on bool) { l.reject = on })
	}
	return fmt.Errorf("a simulated run cannot play a fault of the kind %q", f.Kind)
}

func (sim *simulation) eachServer(numbers []int, do func(*server)) {
	for _, i := range numbers {
		do(sim.servers[i])
	}
}

// setLink changes what is wrong between a server and a sidecar.
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

// behave hands what is wrong with a server on to its model.
func (sim *simulation) applyServerFaults(s *server) {
	sim.advance(s.pod)
	s.pod.model.SetSpeed(s.inPod, s.slowFactor, s.hangs)
	sim.advance(s.pod)
}

// drain ends servers in order: they tell that they drain, turn away what is new once all sidecars know and their grace
// is over, and end.
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

func (sim *simulation) announceDrain(s *server) {
	sim.recordServerState(s, "drains")
	sim.publish(s, balance.Draining, "Terminating", sim.scenario.Discovery.DrainDelay)
}
