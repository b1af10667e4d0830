package lab

// This file is the faults of the stand-ins for servers.

import (
	"context"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// cut makes links silent one way or both; either way new connections never come up.
func (r *run) cut(p *scenario.FaultPlan, way relay.Direction, on bool) error {
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
		r.eachLink(p, func(port *relay.Port, sidecar int, _ *relay.Link) { port.EachConn(sidecar, (*relay.Conn).Reset) })
	}
	return r.cut(p, relay.Both, on)
}

// publish tells of a server's state after the notice that this news takes.
func (r *run) publish(i int, state string, notice scenario.Duration) {
	if r.service != nil {
		r.service.publish(r.entry(i, state, r.boots[i].Load()), notice.Duration())
	}
	for _, a := range r.agents {
		a.Publish(r.entry(i, state, r.boots[i].Load()), notice.Duration(), r.s.Discovery.Spread.Duration())
	}
}

func (r *run) killServer(i int) error {
	r.note(record.ServerState, record.None, i, "dies")
	r.servers[i].Kill()
	r.publish(i, agent.Gone, r.s.Discovery.CrashDelay)
	return nil
}

func (r *run) bootServer(i int) error {
	r.note(record.ServerState, record.None, i, invariant.ServerStarted)
	if err := r.servers[i].Restart(); err != nil {
		return err
	}
	r.boots[i].Store(time.Now().UnixMilli() + r.serverClock.Load())
	r.publish(i, agent.Ready, r.s.Discovery.AddDelay)
	return nil
}

// drainServers ends servers in order: they tell that they drain, turn away what is new once all sidecars know and
// their grace is over, end, and come back cold.
// Those that stay do not end, and serve whatever comes: nothing but the list tells that they drain.
func (r *run) drainServers(ctx context.Context, servers []int, stay bool) error {
	for _, i := range servers {
		r.note(record.ServerState, record.None, i, "drains")
		r.publish(i, agent.Terminating, r.s.Discovery.DrainDelay)
	}
	if stay {
		return nil
	}
	wait := r.s.Discovery.DrainDelay.Duration() + r.s.Discovery.Spread.Duration() + r.s.Rules.DrainGrace.Duration()
	if !sleep(ctx, wait) {
		return nil
	}
	for _, i := range servers {
		r.servers[i].SetBehaviour(func(b *stock.Behaviour) { b.Drain = true })
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
		r.servers[i].SetBehaviour(func(b *stock.Behaviour) { b.Drain = false })
	}
	return r.each(servers, r.bootServer)
}

// replaceServers starts a new machine for each of the servers, under a new name, and ends the old ones in order.
func (r *run) replaceServers(ctx context.Context, p *scenario.FaultPlan) error {
	if err := r.each(p.Replacements, r.bootServer); err != nil {
		return err
	}
	for _, i := range p.Servers {
		r.note(record.ServerState, record.None, i, "is replaced")
		r.publish(i, agent.Terminating, r.s.Discovery.DrainDelay)
	}
	if !sleep(ctx, r.s.Discovery.DrainDelay.Duration()+r.s.Discovery.Spread.Duration()+r.s.Rules.DrainGrace.Duration()+deadFor) {
		return nil
	}
	for _, i := range p.Servers {
		r.servers[i].Kill()
		r.publish(i, agent.Gone, r.s.Discovery.DrainDelay)
	}
	return nil
}
