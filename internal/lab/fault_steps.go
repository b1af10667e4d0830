package lab

// This file turns the faults of a plan into what is done at which time.

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
	"marblelane/internal/tomlfile"
)

// steps turns a fault into what is done and undone. What a server or link suffers is set and taken back on its own,
// so that faults of several kinds can overlap; two of one kind on one target end together.
func (r *run) steps(p *scenario.FaultPlan) []step {
	f := p.Fault
	name := f.Kind
	if f.Size != 0 {
		name += fmt.Sprintf(" %g", f.Size)
	}
	if p.Servers != nil {
		name += fmt.Sprintf(" servers %v", p.Servers)
	}
	if p.Sidecars != nil && len(p.Sidecars) < len(r.plan.Sidecars) {
		name += fmt.Sprintf(" sidecars %v", p.Sidecars)
	}
	once := func(do func(context.Context) error) []step { return []step{{p.At, name, 0, do}} }
	pair := func(set func(on bool) error) []step {
		return []step{
			{p.At, name, 1, func(context.Context) error { return set(true) }},
			{p.Until, name + " ends", 2, func(context.Context) error { return set(false) }},
		}
	}
	behave := func(change func(b *stock.Behaviour, on bool)) []step {
		return pair(func(on bool) error {
			for _, i := range p.Servers {
				r.servers[i].SetBehaviour(func(b *stock.Behaviour) { change(b, on) })
			}
			return nil
		})
	}
	size := func(on bool) float64 {
		if on {
			return f.Size
		}
		return 0
	}
	if strings.HasPrefix(f.Kind, "copy-") {
		name += " copies " + f.Replicas
		var undo func() error
		steps := pair(func(bool) error { return nil })
		steps[0].text, steps[1].text = name, name+" ends"
		begun := make(chan struct{}) // its beginning may take longer than it lasts
		steps[0].do = func(ctx context.Context) (err error) {
			defer close(begun)
			undo, err = r.service.copyFault(ctx, p)
			return err
		}
		steps[1].do = func(ctx context.Context) error {
			select {
			case <-begun:
			case <-ctx.Done():
				return nil
			}
			if undo == nil { // it never began
				return nil
			}
			return undo()
		}
		return steps
	}
	if strings.HasPrefix(f.Kind, "list-") || strings.HasPrefix(f.Kind, "sidecar-") {
		return r.copySteps(p, once, pair)
	}
	if strings.HasPrefix(f.Kind, "members-") {
		if f.Direction != "" {
			name += " " + f.Direction
		}
		return pair(func(on bool) error { return r.members.ill(p, on) })
	}
	if defect, ok := strings.CutPrefix(f.Kind, "defect-"); ok {
		return pair(func(on bool) error {
			r.plant(defect, p, on)
			return nil
		})
	}
	switch f.Kind {
	case "entries-lost":
		return pair(func(on bool) error { r.loseEntries(p, on); return nil })
	case "slow":
		if len(f.Classes) > 0 {
			return behave(func(b *stock.Behaviour, on bool) { b.Heavy, b.HeavyOf = size(on), r.classes(f.Classes) })
		}
		return behave(func(b *stock.Behaviour, on bool) { b.Slow = size(on) })
	case "fail":
		return behave(func(b *stock.Behaviour, on bool) { b.Fail, b.FailOf = size(on), r.classes(f.Classes) })
	case "hang":
		return behave(func(b *stock.Behaviour, on bool) { b.Hang = on })
	case "drop":
		return behave(func(b *stock.Behaviour, on bool) { b.Drop = size(on) })
	case "idle-close":
		return behave(func(b *stock.Behaviour, on bool) {
			b.Idle, b.ForgetIdle = time.Duration(size(on)*float64(time.Second)), on && f.Unnoticed
		})
	case "reset-begun":
		return behave(func(b *stock.Behaviour, on bool) { b.Reset = size(on) })
	case "turn-away":
		return behave(func(b *stock.Behaviour, on bool) { b.RejectLate = size(on) })
	case "leave":
		return once(func(context.Context) error { r.load.LeaveEarly(p.Sidecars, f.Size); return nil })
	case "kill":
		return once(func(context.Context) error { return r.each(p.Servers, r.killServer) })
	case "restart":
		return []step{
			{p.At, name, 1, func(context.Context) error { return r.each(p.Servers, r.killServer) }},
			{p.Until, name + " ends", 2, func(context.Context) error { return r.each(p.Servers, r.bootServer) }},
		}
	case "drain":
		return once(func(ctx context.Context) error { return r.drainServers(ctx, p.Servers, f.KeepServing) })
	case "replace":
		return once(func(ctx context.Context) error { return r.replaceServers(ctx, p) })
	case "server-clock":
		return pair(func(on bool) error {
			r.serverClock.Store(int64(size(on) * 1000))
			return nil
		})
	case "vanish":
		return pair(func(on bool) error { return r.vanish(p.Servers, on) })
	case "burst":
		return pair(func(bool) error { return nil }) // it is in the arrivals already
	case "rush":
		return once(func(context.Context) error { return nil }) // as above
	case "idle-fill":
		steps := pair(func(bool) error { return nil })
		steps[0].do = func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, p.Until-p.At)
			defer cancel()
			r.load.HoldIdle(ctx, p.Sidecars, int(f.Size))
			return nil
		}
		return steps
	case "second-answer":
		return behave(func(b *stock.Behaviour, on bool) { b.ExtraAnswer = size(on) })
	}
	return r.linkSteps(p, once, pair)
}

// loseEntries takes a share of the servers off the list, though they are there, and puts them back.
func (r *run) loseEntries(p *scenario.FaultPlan, on bool) {
	for i := range int(p.Fault.Size * float64(r.s.Servers.Count)) {
		state := agent.Ready
		if on {
			state = agent.Gone
		}
		r.publish(i, state, 0)
	}
}

// classes are the numbers of classes by their names.
func (r *run) classes(names []string) []int {
	var out []int
	for i, c := range r.s.Classes {
		if slices.Contains(names, c.Name) {
			out = append(out, i)
		}
	}
	return out
}

type onceStep = func(func(context.Context) error) []step

type pairStep = func(func(on bool) error) []step

// linkSteps are the faults of links between sidecars and servers, or their discovery.
func (r *run) linkSteps(p *scenario.FaultPlan, once onceStep, pair pairStep) []step {
	f := p.Fault
	links := func(change func(*relay.Rules, bool)) []step {
		return pair(func(on bool) error {
			r.eachLink(p, func(_ *relay.Port, _ int, l *relay.Link) {
				l.Set(func(rules *relay.Rules) { change(rules, on) })
			})
			return nil
		})
	}
	switch f.Kind {
	case "cut":
		way := map[string]relay.Direction{"to": relay.To, "from": relay.From, "both": relay.Both}[f.Direction]
		return pair(func(on bool) error { return r.cut(p, way, on) })
	case "latency":
		var before relay.Rules
		return links(func(rules *relay.Rules, on bool) {
			if on {
				before = *rules
				rules.Latency = f.Latency.Duration()
			} else {
				rules.Latency = before.Latency
			}
		})
	case "bandwidth":
		return links(func(rules *relay.Rules, on bool) {
			if rules.Bandwidth = 0; on {
				rules.Bandwidth = int(f.Size)
			}
		})
	case "lose":
		return links(func(rules *relay.Rules, on bool) {
			if rules.AnswerLoss = 0; on {
				rules.AnswerLoss = f.Size
			}
		})
	case "refuse":
		return links(func(rules *relay.Rules, on bool) { rules.Reject = on })
	case "half-close":
		return links(func(rules *relay.Rules, on bool) { rules.HalfClose = on })
	case "break":
		return links(func(rules *relay.Rules, on bool) {
			if rules.ResetAfterBytes = 0; on {
				rules.ResetAfterBytes = int64(f.Size)
			}
		})
	case "accept-late":
		return r.lateSteps(p, pair)
	case "reset":
		return once(func(context.Context) error {
			r.eachLink(p, func(port *relay.Port, sidecar int, _ *relay.Link) {
				port.EachConn(sidecar, (*relay.Conn).Reset)
				if f.Link == "discovery" {
					r.loseWatches(f, sidecar)
				}
			})
			return nil
		})
	}
	panic("lab: no steps for a fault of the kind " + f.Kind) // a kind that package scenario knows and this does not
}

// lateSteps let a share of the new connections of a fault's links come up late.
func (r *run) lateSteps(p *scenario.FaultPlan, pair pairStep) []step {
	size := time.Duration(p.Fault.Size * float64(time.Second))
	var late *relay.HandshakeDelay
	return pair(func(on bool) error {
		if !on {
			if late == nil {
				return nil
			}
			return late.Stop()
		}
		late = relay.NewHandshakeDelay(p.Fault.Fraction, func(l *relay.Link) time.Duration {
			if p.Fault.RandomDelay {
				return time.Duration(l.Draw() * float64(size))
			}
			return size
		})
		r.eachLink(p, func(port *relay.Port, sidecar int, _ *relay.Link) { late.Add(port, sidecar) })
		r.linkMu.Lock()
		r.lates = append(r.lates, late)
		r.linkMu.Unlock()
		return late.Start()
	})
}

// copySteps are the faults of the copies and of what discovery tells them.
func (r *run) copySteps(p *scenario.FaultPlan, once onceStep, pair pairStep) []step {
	f := p.Fault
	list := func(change func(*agent.Behaviour, bool)) []step {
		return pair(func(on bool) error {
			for _, a := range r.listsOf(f) {
				for _, i := range p.Sidecars {
					a.SetBehaviour(i, func(b *agent.Behaviour) { change(b, on) })
				}
			}
			return nil
		})
	}
	inside := func(change func(*fault.Set, bool)) []step {
		return pair(func(on bool) error {
			return r.each(p.Sidecars, func(i int) error {
				return r.sidecars[i].plantInside(func(set *fault.Set) { change(set, on) })
			})
		})
	}
	if lie, ok := map[string]string{"list-empty": agent.FaultEmptyList, "list-half": agent.FaultPartialList, "list-stuck": agent.FaultStaleWatch,
		"list-freeze": agent.FaultTruncatedLine, "list-big": agent.FaultOversizedLine}[f.Kind]; ok {
		return list(func(b *agent.Behaviour, on bool) {
			if b.Fault, b.Fraction = "", 0; on {
				b.Fault, b.Fraction = lie, f.Size
			}
		})
	}
	switch f.Kind {
	case "list-late":
		return list(func(b *agent.Behaviour, on bool) {
			if b.Delay = 0; on {
				b.Delay = time.Duration(f.Size * float64(time.Second))
			}
		})
	case "list-silent":
		return list(func(b *agent.Behaviour, on bool) { b.Silent = on })
	case "list-hush":
		return once(func(context.Context) error {
			for _, a := range r.listsOf(f) {
				for _, i := range p.Sidecars {
					a.SilenceWatches(i)
				}
			}
			return nil
		})
	case "list-end":
		return list(func(b *agent.Behaviour, on bool) { b.Form.EndOnChange = on })
	case "list-whole":
		return list(func(b *agent.Behaviour, on bool) { b.Form.CompleteFirst = on })
	case "list-pieces":
		return list(func(b *agent.Behaviour, on bool) {
			if b.Form.PieceBytes = 0; on {
				b.Form.PieceBytes = int(f.Size)
			}
		})
	case "list-refuse":
		return list(func(b *agent.Behaviour, on bool) { b.Reject = on })
	case "list-move":
		return once(func(context.Context) error { return r.moveDiscovery() })
	case "sidecar-freeze":
		return pair(func(on bool) error { return r.each(p.Sidecars, func(i int) error { return r.sidecars[i].freeze(on) }) })
	case "sidecar-clock":
		return inside(func(set *fault.Set, on bool) {
			if set.Clock = 0; on {
				set.Clock = tomlfile.Duration(f.Size * float64(time.Second))
			}
		})
	case "sidecar-call":
		return inside(func(set *fault.Set, on bool) {
			if delete(set.Calls, f.Call); on {
				if set.Calls == nil {
					set.Calls = map[string]string{}
				}
				set.Calls[f.Call] = f.Errno
			}
		})
	case "sidecar-kill":
		steps := pair(func(bool) error { return nil })
		steps[0].do = func(context.Context) error {
			return r.each(p.Sidecars, func(i int) error { return r.sidecars[i].die() })
		}
		steps[1].do = func(ctx context.Context) error {
			return r.each(p.Sidecars, func(i int) error { return r.sidecars[i].launch(ctx) })
		}
		return steps
	case "sidecar-restart":
		return once(func(ctx context.Context) error {
			return r.each(p.Sidecars, func(i int) error { return r.sidecars[i].restart(ctx) })
		})
	case "sidecar-term":
		return once(func(ctx context.Context) error {
			return r.each(p.Sidecars, func(i int) error { return r.sidecars[i].term(ctx) })
		})
	case "sidecar-upgrade":
		return once(func(ctx context.Context) error {
			return r.each(p.Sidecars, func(i int) error { return r.sidecars[i].upgrade(ctx) })
		})
	}
	panic("lab: no steps for a fault of the kind " + f.Kind)
}
