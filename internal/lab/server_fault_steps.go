package lab

// This file has the steps of the faults of servers and of links.

import (
	"context"
	"slices"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// serverSteps are the faults of servers.
var serverSteps = map[string]func(injection) []step{
	"slow":          slowServers,
	"fail":          failRequests,
	"idle-close":    closeIdle,
	"hang":          serverFault(func(b *stock.Behaviour, on bool, _ float64) { b.Hang = on }),
	"drop":          serverFault(func(b *stock.Behaviour, _ bool, size float64) { b.Drop = size }),
	"reset-begun":   serverFault(func(b *stock.Behaviour, _ bool, size float64) { b.Reset = size }),
	"turn-away":     serverFault(func(b *stock.Behaviour, _ bool, size float64) { b.RejectLate = size }),
	"second-answer": serverFault(func(b *stock.Behaviour, _ bool, size float64) { b.ExtraResponse = size }),
	"kill": func(f injection) []step {
		return f.once(func(context.Context) error { return harness.ForEach(f.Servers, f.killServer) })
	},
	"restart": func(f injection) []step {
		return f.span(func(context.Context) error { return harness.ForEach(f.Servers, f.killServer) },
			func(context.Context) error { return harness.ForEach(f.Servers, f.startServer) })
	},
	"drain": func(f injection) []step {
		return f.once(func(ctx context.Context) error { return f.drainServers(ctx, f.Servers, f.Fault.KeepServing) })
	},
	"replace": func(f injection) []step {
		return f.once(func(ctx context.Context) error { return f.replaceServers(ctx, f.FaultPlan) })
	},
	"vanish": func(f injection) []step {
		return f.toggle(func(on bool) error { return f.vanish(f.Servers, on) })
	},
	"server-clock": func(f injection) []step {
		return f.toggle(func(on bool) error { f.serverClock.Store(int64(f.size(on) * 1000)); return nil })
	},
	"entries-lost": func(f injection) []step {
		return f.toggle(func(on bool) error { f.loseEntries(f.FaultPlan, on); return nil })
	},
}

// changeServers returns the steps that set and reset a behaviour of all servers of a fault.
func (f injection) changeServers(change func(b *stock.Behaviour, on bool)) []step {
	return f.toggle(func(on bool) error {
		for _, i := range f.Servers {
			f.servers[i].SetBehaviour(func(b *stock.Behaviour) { change(b, on) })
		}
		return nil
	})
}

// serverFault returns the steps of a server fault whose only parameters are whether it is on and its size.
func serverFault(change func(b *stock.Behaviour, on bool, size float64)) func(injection) []step {
	return func(f injection) []step {
		return f.changeServers(func(b *stock.Behaviour, on bool) { change(b, on, f.size(on)) })
	}
}

// slowServers slows down all requests, or makes those of the fault's classes heavier.
func slowServers(f injection) []step {
	return f.changeServers(func(b *stock.Behaviour, on bool) {
		if len(f.Fault.Classes) > 0 {
			b.Heavy, b.HeavyClasses = f.size(on), f.classes(f.Fault.Classes)
		} else {
			b.Slow = f.size(on)
		}
	})
}

// failRequests fails a share of the requests of the fault's classes. No classes means all.
func failRequests(f injection) []step {
	return f.changeServers(func(b *stock.Behaviour, on bool) {
		b.Fail, b.FailClasses = f.size(on), f.classes(f.Fault.Classes)
	})
}

// closeIdle makes servers end idle connections, with or without closing them.
func closeIdle(f injection) []step {
	return f.changeServers(func(b *stock.Behaviour, on bool) {
		b.Idle, b.ForgetIdle = f.duration(on), on && f.Fault.DropSilently
	})
}

// loseEntries removes the entries of a share of the servers from the list although the servers run, or lists them
// again.
func (r *run) loseEntries(p *scenario.FaultPlan, on bool) {
	for i := range int(p.Fault.Size * float64(r.Scenario.Servers.Count)) {
		state := agent.Ready
		if on {
			state = agent.Gone
		}
		r.publish(i, state, 0)
	}
}

// classes returns the numbers of the classes with these names.
func (r *run) classes(names []string) []int {
	var numbers []int
	for i, c := range r.Scenario.Classes {
		if slices.Contains(names, c.Name) {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// linkSteps are the faults of the links between sidecars and servers, or discovery.
var linkSteps = map[string]func(injection) []step{
	"cut":         cutLinks,
	"latency":     delayLinks,
	"accept-late": delayHandshakes,
	"reset":       resetConnections,
	"bandwidth":   linkFault(func(r *relay.Rules, _ bool, size float64) { r.Bandwidth = int(size) }),
	"lose":        linkFault(func(r *relay.Rules, _ bool, size float64) { r.ResponseLoss = size }),
	"refuse":      linkFault(func(r *relay.Rules, on bool, _ float64) { r.Reject = on }),
	"half-close":  linkFault(func(r *relay.Rules, on bool, _ float64) { r.HalfClose = on }),
	"break":       linkFault(func(r *relay.Rules, _ bool, size float64) { r.ResetAfterBytes = int64(size) }),
}

// changeLinks returns the steps that set and reset a rule of all links of a fault.
func (f injection) changeLinks(change func(r *relay.Rules, on bool)) []step {
	return f.toggle(func(on bool) error {
		f.eachLink(f.FaultPlan, func(_ *relay.Port, _ int, l *relay.Link) {
			l.Set(func(r *relay.Rules) { change(r, on) })
		})
		return nil
	})
}

// linkFault returns the steps of a link fault whose only parameters are whether it is on and its size.
func linkFault(change func(r *relay.Rules, on bool, size float64)) func(injection) []step {
	return func(f injection) []step {
		return f.changeLinks(func(r *relay.Rules, on bool) { change(r, on, f.size(on)) })
	}
}

// cutLinks cuts the links in the fault's direction.
func cutLinks(f injection) []step {
	direction := map[string]relay.Direction{"to": relay.To, "from": relay.From, "both": relay.Both}[f.Fault.Direction]
	return f.toggle(func(on bool) error { return f.cut(f.FaultPlan, direction, on) })
}

// delayLinks replaces the latency of the links.
func delayLinks(f injection) []step {
	var before time.Duration
	return f.changeLinks(func(r *relay.Rules, on bool) {
		if on {
			before, r.Latency = r.Latency, f.Fault.Latency.Duration()
		} else {
			r.Latency = before
		}
	})
}

// resetConnections resets all open connections of the links once.
func resetConnections(f injection) []step {
	return f.once(func(context.Context) error {
		f.eachLink(f.FaultPlan, func(port *relay.Port, sidecar int, _ *relay.Link) {
			port.EachConn(sidecar, (*relay.Conn).Reset)
			if f.Fault.Link == "discovery" {
				f.markWatchesReset(f.Fault, sidecar)
			}
		})
		return nil
	})
}

// delayHandshakes delays the handshakes of a share of the new connections.
func delayHandshakes(f injection) []step {
	var delay *relay.HandshakeDelay
	return f.toggle(func(on bool) error {
		if !on {
			if delay == nil {
				return nil
			}
			return delay.Stop()
		}
		delay = relay.NewHandshakeDelay(f.Fault.Fraction, func(l *relay.Link) time.Duration {
			if f.Fault.RandomDelay {
				return time.Duration(l.Draw() * float64(f.duration(true)))
			}
			return f.duration(true)
		})
		f.eachLink(f.FaultPlan, func(port *relay.Port, sidecar int, _ *relay.Link) { delay.Add(port, sidecar) })
		f.linkMu.Lock()
		f.handshakeDelays = append(f.handshakeDelays, delay)
		f.linkMu.Unlock()
		return delay.Start()
	})
}
