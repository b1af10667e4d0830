package lab

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
	"marblelane/internal/tomlfile"
)

// step is one thing to do at its time.
type step struct {
	at   time.Duration
	text string
	mark int32 // 1: a fault begins, 2: it ends, 0: it happens once
	do   func(context.Context) error
}

// deadFor is how long a server that is killed or drained and started again is away.
const deadFor = time.Second

// faults carries out the plan's faults at their times, each in a goroutine of its own: one that takes long, such as
// a planned restart, holds no other back.
func (r *run) faults(ctx context.Context, began time.Duration) {
	var steps []step
	for i := range r.plan.Faults {
		steps = append(steps, r.steps(&r.plan.Faults[i])...)
	}
	if r.members != nil {
		steps = append(steps, r.members.lateSteps()...)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, s := range steps {
		timer.Reset(max(began+s.at-r.log.Now(), 0))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		r.log.Add(record.Event{Kind: record.Fault, Sidecar: record.Nobody, Server: record.Nobody, Class: record.Nobody,
			Status: s.mark, Note: s.text})
		r.out.Info("lab: fault", "what", s.text)
		r.wg.Go(func() {
			if err := s.do(ctx); err != nil && ctx.Err() == nil {
				r.fail(fmt.Errorf("%s: %w", s.text, err))
			}
		})
	}
}

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
				r.servers[i].Behave(func(b *stock.Behaviour) { change(b, on) })
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
		name += " copies " + f.Copies
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
		if f.Way != "" {
			name += " " + f.Way
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
			b.Idle, b.Forget = time.Duration(size(on)*float64(time.Second)), on && f.Silent
		})
	case "reset-begun":
		return behave(func(b *stock.Behaviour, on bool) { b.Reset = size(on) })
	case "turn-away":
		return behave(func(b *stock.Behaviour, on bool) { b.Turn = size(on) })
	case "leave":
		return once(func(context.Context) error { r.load.Leave(p.Sidecars, f.Size); return nil })
	case "kill":
		return once(func(context.Context) error { return r.each(p.Servers, r.killServer) })
	case "restart":
		return []step{
			{p.At, name, 1, func(context.Context) error { return r.each(p.Servers, r.killServer) }},
			{p.Until, name + " ends", 2, func(context.Context) error { return r.each(p.Servers, r.bootServer) }},
		}
	case "drain":
		return once(func(ctx context.Context) error { return r.drainServers(ctx, p.Servers, f.Stay) })
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
			r.load.Fill(ctx, p.Sidecars, int(f.Size))
			return nil
		}
		return steps
	case "second-answer":
		return behave(func(b *stock.Behaviour, on bool) { b.Second = size(on) })
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
		way := map[string]relay.Way{"to": relay.To, "from": relay.From, "both": relay.Both}[f.Way]
		return pair(func(on bool) error { return r.cut(p, way, on) })
	case "latency":
		var before relay.Rules
		return links(func(rules *relay.Rules, on bool) {
			if on {
				before = *rules
				rules.Latency = f.Latency.Of()
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
			if rules.Lose = 0; on {
				rules.Lose = f.Size
			}
		})
	case "refuse":
		return links(func(rules *relay.Rules, on bool) { rules.Refuse = on })
	case "half-close":
		return links(func(rules *relay.Rules, on bool) { rules.HalfClose = on })
	case "break":
		return links(func(rules *relay.Rules, on bool) {
			if rules.Break = 0; on {
				rules.Break = int64(f.Size)
			}
		})
	case "accept-late":
		return r.lateSteps(p, pair)
	case "reset":
		return once(func(context.Context) error {
			r.eachLink(p, func(port *relay.Port, sidecar int, _ *relay.Link) {
				port.Each(sidecar, (*relay.Conn).Reset)
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
	var late *relay.Late
	return pair(func(on bool) error {
		if !on {
			if late == nil {
				return nil
			}
			return late.End()
		}
		late = relay.NewLate(p.Fault.Share, func(l *relay.Link) time.Duration {
			if p.Fault.Drawn {
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
					a.Behave(i, func(b *agent.Behaviour) { change(b, on) })
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
	if lie, ok := map[string]string{"list-empty": agent.LieEmpty, "list-half": agent.LieHalf, "list-stuck": agent.LieStuck,
		"list-freeze": agent.LieFrozen, "list-big": agent.LieBig}[f.Kind]; ok {
		return list(func(b *agent.Behaviour, on bool) {
			if b.Lie, b.Share = "", 0; on {
				b.Lie, b.Share = lie, f.Size
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
					a.Hush(i)
				}
			}
			return nil
		})
	case "list-end":
		return list(func(b *agent.Behaviour, on bool) { b.Form.Ends = on })
	case "list-whole":
		return list(func(b *agent.Behaviour, on bool) { b.Form.Whole = on })
	case "list-pieces":
		return list(func(b *agent.Behaviour, on bool) {
			if b.Form.Pieces = 0; on {
				b.Form.Pieces = int(f.Size)
			}
		})
	case "list-refuse":
		return list(func(b *agent.Behaviour, on bool) { b.Refuse = on })
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

// loseWatches tells the stand-ins that a sidecar's watches were broken off.
func (r *run) loseWatches(f scenario.Fault, sidecar int) {
	if r.service != nil {
		return
	}
	for _, a := range r.listsOf(f) {
		a.Lose(sidecar)
	}
}

// listsOf are the list services that a fault concerns.
func (r *run) listsOf(f scenario.Fault) []*agent.Agents {
	if number, one := strings.CutPrefix(f.List, "#"); one {
		i, _ := strconv.Atoi(number) // checked with the scenario
		return r.agents[i : i+1]
	}
	return r.agents
}

// each does one thing for all at a time.
func (r *run) each(numbers []int, do func(int) error) error {
	errs := make(chan error, len(numbers))
	for _, i := range numbers {
		go func() { errs <- do(i) }()
	}
	var first error
	for range numbers {
		if err := <-errs; first == nil {
			first = err
		}
	}
	return first
}

// eachLink calls f for each link that a fault concerns.
func (r *run) eachLink(p *scenario.FaultPlan, f func(port *relay.Port, sidecar int, l *relay.Link)) {
	for _, i := range p.Sidecars {
		if p.Fault.Link == "discovery" {
			for k, links := range r.disc {
				if number, one := strings.CutPrefix(p.Fault.List, "#"); one && number != strconv.Itoa(k) {
					continue
				}
				if r.service != nil {
					f(r.service.ports[k], i, links[i])
				} else {
					f(r.agents[k].Port(), i, links[i])
				}
			}
			continue
		}
		for _, n := range p.Servers {
			f(r.servers[n].Port, i, r.link(i, n))
		}
	}
}

// cut makes links silent one way or both; either way new connections never come up.
func (r *run) cut(p *scenario.FaultPlan, way relay.Way, on bool) error {
	var failed error
	r.eachLink(p, func(port *relay.Port, sidecar int, l *relay.Link) {
		l.Set(func(rules *relay.Rules) {
			if rules.Cut &^= way; on {
				rules.Cut |= way
			}
		})
		do := port.Heal
		if l.Rules().Cut != 0 {
			do = port.Cut
		}
		if err := do(sidecar); err != nil {
			failed = err
		}
	})
	return failed
}

// vanish takes whole machines off the network: silence, and a reset of what is open once they are back.
func (r *run) vanish(servers []int, on bool) error {
	p := &scenario.FaultPlan{Servers: servers}
	for i := range r.plan.Sidecars {
		p.Sidecars = append(p.Sidecars, i)
	}
	if !on { // what was open is gone with the machine's state
		r.eachLink(p, func(port *relay.Port, sidecar int, _ *relay.Link) { port.Each(sidecar, (*relay.Conn).Reset) })
	}
	return r.cut(p, relay.Both, on)
}

// publish tells of a server's state after the notice that this news takes.
func (r *run) publish(i int, state string, notice scenario.Duration) {
	if r.service != nil {
		r.service.publish(r.entry(i, state, r.boots[i].Load()), notice.Of())
	}
	for _, a := range r.agents {
		a.Publish(r.entry(i, state, r.boots[i].Load()), notice.Of(), r.s.Discovery.Spread.Of())
	}
}

func (r *run) killServer(i int) error {
	r.note(record.ServerState, record.Nobody, i, "dies")
	r.servers[i].Kill()
	r.publish(i, agent.Gone, r.s.Discovery.SilentNotice)
	return nil
}

func (r *run) bootServer(i int) error {
	r.note(record.ServerState, record.Nobody, i, invariant.Booted)
	if err := r.servers[i].Boot(); err != nil {
		return err
	}
	r.boots[i].Store(time.Now().UnixMilli() + r.serverClock.Load())
	r.publish(i, agent.Ready, r.s.Discovery.Add)
	return nil
}

// drainServers ends servers in order: they tell that they drain, turn away what is new once all sidecars know and
// their grace is over, end, and come back cold.
// Those that stay do not end, and serve whatever comes: nothing but the list tells that they drain.
func (r *run) drainServers(ctx context.Context, servers []int, stay bool) error {
	for _, i := range servers {
		r.note(record.ServerState, record.Nobody, i, "drains")
		r.publish(i, agent.Terminating, r.s.Discovery.Notice)
	}
	if stay {
		return nil
	}
	wait := r.s.Discovery.Notice.Of() + r.s.Discovery.Spread.Of() + r.s.Rules.DrainGrace.Of()
	if !sleep(ctx, wait) {
		return nil
	}
	for _, i := range servers {
		r.servers[i].Behave(func(b *stock.Behaviour) { b.Drain = true })
	}
	if !sleep(ctx, deadFor) {
		return nil
	}
	for _, i := range servers {
		r.servers[i].Kill()
	}
	if !sleep(ctx, deadFor) {
		return nil
	}
	for _, i := range servers {
		r.servers[i].Behave(func(b *stock.Behaviour) { b.Drain = false })
	}
	return r.each(servers, r.bootServer)
}

// replaceServers starts a new machine for each of the servers, under a new name, and ends the old ones in order.
func (r *run) replaceServers(ctx context.Context, p *scenario.FaultPlan) error {
	if err := r.each(p.Fresh, r.bootServer); err != nil {
		return err
	}
	for _, i := range p.Servers {
		r.note(record.ServerState, record.Nobody, i, "is replaced")
		r.publish(i, agent.Terminating, r.s.Discovery.Notice)
	}
	if !sleep(ctx, r.s.Discovery.Notice.Of()+r.s.Discovery.Spread.Of()+r.s.Rules.DrainGrace.Of()+deadFor) {
		return nil
	}
	for _, i := range p.Servers {
		r.servers[i].Kill()
		r.publish(i, agent.Gone, r.s.Discovery.Notice)
	}
	return nil
}

func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// moveDiscovery gives discovery another address and tells the sidecars with SIGHUP.
func (r *run) moveDiscovery() error {
	for _, a := range r.agents {
		if err := a.Move(); err != nil {
			return err
		}
	}
	for _, s := range r.sidecars {
		if err := s.writeConfig(); err != nil {
			return err
		}
		if err := s.current().Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

func (s *sidecar) note(text string) { s.r.note(record.Process, s.number, record.Nobody, text) }

func (s *sidecar) freeze(on bool) error {
	if !on {
		s.note(invariant.Thawed)
		return s.current().Signal(syscall.SIGCONT)
	}
	s.note(invariant.Frozen)
	return s.current().Signal(syscall.SIGSTOP)
}

// die ends the process as a crash of its machine would.
func (s *sidecar) die() error {
	c := s.current()
	s.note(invariant.Killed)
	c.Kill()
	s.retire(c)
	return nil
}

// restart is a planned one: SIGTERM, the end, and a new process with the same name and address.
func (s *sidecar) restart(ctx context.Context) error {
	s.stop(s.current(), stopWait)
	return s.launch(ctx)
}

// newConns is how long after SIGTERM clients still open connections: the platform's most.
const newConns = 400 * time.Millisecond

// term is a planned restart as hard as the platform may make it: clients open connections for a while after SIGTERM and
// go on sending on every one that stays open, and SIGKILL comes at its earliest.
func (s *sidecar) term(ctx context.Context) error {
	defer time.AfterFunc(newConns, func() { s.closed.Store(true) }).Stop()
	s.stop(s.current(), s.r.s.KillAfter())
	s.closed.Store(true) // before the timer, where it has ended sooner
	err := s.launch(ctx)
	s.closed.Store(false)
	return err
}

// upgrade starts a second process beside the first, which is told to end once the new one serves.
func (s *sidecar) upgrade(ctx context.Context) error {
	old := s.current()
	if err := s.launch(ctx); err != nil {
		return err
	}
	s.stop(old, stopWait)
	return nil
}
