package simulate

import (
	"fmt"

	"marblelane/balance"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
)

// deadFor is how long a server that is drained and started again is away, in ms, as in the lab.
const deadFor = 1000.0

// addFault lets a fault happen at its times.
func (w *world) addFault(p *scenario.FaultPlan) error {
	f := p.Fault
	if f.Link == "discovery" {
		return fmt.Errorf("fault %s of links to discovery: a simulated run has no such links", f.Kind)
	}
	at, until := begin+ms(p.At), begin+ms(p.Until)
	mark := func(status int32) {
		w.note(record.Event{Kind: record.Fault, Sidecar: record.None, Server: record.None, Class: record.None, Status: status, Note: f.Kind})
	}
	once := func(do func()) error {
		w.At(at, func() { mark(0); do() })
		return nil
	}
	each := func(set func(s *server, on bool)) error {
		for _, on := range []bool{true, false} {
			when, status := at, int32(1)
			if !on {
				when, status = until, 2
			}
			w.At(when, func() {
				mark(status)
				for _, i := range p.Servers {
					set(w.servers[i], on)
				}
			})
		}
		return nil
	}
	links := func(set func(l *link, on bool)) error {
		return each(func(s *server, on bool) {
			for _, i := range p.Sidecars {
				w.setLink(s, i, func(l *link) { set(l, on) })
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
		return each(func(s *server, on bool) { s.slow = size(on); w.behave(s) })
	case "hang":
		return each(func(s *server, on bool) { s.hang = on; w.behave(s) })
	case "fail":
		return each(func(s *server, on bool) { s.fail = size(on) })
	case "drop":
		return each(func(s *server, on bool) { s.drop = size(on) })
	case "kill":
		return once(func() { w.eachServer(p.Servers, func(s *server) { w.kill(s, true) }) })
	case "restart":
		return each(func(s *server, on bool) {
			if on {
				w.kill(s, true)
			} else {
				w.boot(s)
			}
		})
	case "drain":
		if f.KeepServing {
			return once(func() { w.eachServer(p.Servers, w.tellDrain) })
		}
		return once(func() { w.drain(p.Servers, func(s *server) { w.After(deadFor, func() { w.boot(s) }) }) })
	case "replace":
		return once(func() {
			w.eachServer(p.Replacements, w.boot)
			w.drain(p.Servers, func(s *server) { w.publish(s, balance.Gone, "Gone", w.s.Discovery.DrainDelay) })
		})
	case "vanish":
		return each(func(s *server, on bool) {
			for i := range w.sidecars {
				w.setLink(s, i, func(l *link) { l.to, l.from = on, on })
				delete(w.sidecars[i].idle, s.number)
			}
		})
	case "cut":
		return links(func(l *link, on bool) {
			if f.Direction != "from" {
				l.to = on
			}
			if f.Direction != "to" {
				l.from = on
			}
		})
	case "latency":
		return links(func(l *link, on bool) {
			if l.latency = 0; on {
				l.latency = f.Latency.Milliseconds()
			}
		})
	case "lose":
		return links(func(l *link, on bool) { l.lose = size(on) })
	case "refuse":
		return links(func(l *link, on bool) { l.refuse = on })
	}
	return fmt.Errorf("a simulated run cannot play a fault of the kind %q", f.Kind)
}

func (w *world) eachServer(numbers []int, do func(*server)) {
	for _, i := range numbers {
		do(w.servers[i])
	}
}

// setLink changes what is wrong between a server and a sidecar.
func (w *world) setLink(s *server, sidecar int, change func(*link)) {
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
func (w *world) behave(s *server) {
	w.advance(s.pod)
	s.pod.farm.SetSpeed(s.inPod, s.slow, s.hang)
	w.advance(s.pod)
}

// drain ends servers in order: they tell that they drain, turn away what is new once all sidecars know and their grace
// is over, and end.
func (w *world) drain(numbers []int, then func(*server)) {
	wait := w.s.Discovery.DrainDelay.Milliseconds() + w.s.Discovery.Spread.Milliseconds() + w.s.Rules.DrainGrace.Milliseconds()
	w.eachServer(numbers, func(s *server) {
		w.tellDrain(s)
		w.After(wait, func() { s.drain = true })
		w.After(wait+deadFor, func() {
			w.kill(s, false)
			then(s)
		})
	})
}

func (w *world) tellDrain(s *server) {
	w.state(s, "drains")
	w.publish(s, balance.Draining, "Terminating", w.s.Discovery.DrainDelay)
}
