package lab

// This file is the faults of the stand-ins for servers.

import (
	"context"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/harness"
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
	for i := range r.Plan.Sidecars {
		p.Sidecars = append(p.Sidecars, i)
	}
	if !on { // what was open is gone with the machine's state
		r.eachLink(p, func(port *relay.Port, sidecar int, _ *relay.Link) { port.EachConn(sidecar, (*relay.Conn).Reset) })
	}
	return r.cut(p, relay.Both, on)
}

// publish lets discovery list the state of a server after the delay with which it notices.
func (r *run) publish(i int, state string, notice scenario.Duration) {
	if r.registry != nil {
		r.registry.publish(r.Entry(i, state, r.serverStarts[i].Load()), notice.Duration())
	}
	for _, a := range r.agents {
		a.Publish(r.Entry(i, state, r.serverStarts[i].Load()), notice.Duration(), r.Scenario.Discovery.Spread.Duration())
	}
}

func (r *run) killServer(i int) error {
	r.RecordNote(record.ServerState, record.None, i, "dies")
	r.servers[i].Kill()
	r.publish(i, agent.Gone, r.Scenario.Discovery.CrashDelay)
	return nil
}

func (r *run) startServer(i int) error {
	r.RecordNote(record.ServerState, record.None, i, invariant.ServerStarted)
	if err := r.servers[i].Restart(); err != nil {
		return err
	}
	r.serverStarts[i].Store(time.Now().UnixMilli() + r.serverClock.Load())
	r.publish(i, agent.Ready, r.Scenario.Discovery.AddDelay)
	return nil
}

// drainServers ends servers in order: discovery lists them as terminating, they reject new requests once all sidecars know
// and their grace is over, end, and start again. Those that stay do not end, and serve all requests.
func (r *run) drainServers(ctx context.Context, servers []int, stay bool) error {
	for _, i := range servers {
		r.RecordNote(record.ServerState, record.None, i, "drains")
		r.publish(i, agent.Terminating, r.Scenario.Discovery.DrainDelay)
	}
	if stay {
		return nil
	}
	wait := r.Scenario.Discovery.DrainDelay.Duration() + r.Scenario.Discovery.Spread.Duration() + r.Scenario.Rules.DrainGrace.Duration()
	if !harness.Sleep(ctx, wait) {
		return nil
	}
	for _, i := range servers {
		r.servers[i].SetBehaviour(func(b *stock.Behaviour) { b.Drain = true })
	}
	if !harness.Sleep(ctx, serverDowntime) {
		return nil
	}
	for _, i := range servers {
		r.servers[i].Kill()
	}
	if !harness.Sleep(ctx, serverDowntime) {
		return nil
	}
	for _, i := range servers {
		r.servers[i].SetBehaviour(func(b *stock.Behaviour) { b.Drain = false })
	}
	return harness.ForEach(servers, r.startServer)
}

// replaceServers starts a new machine for each of the servers, under a new name, and ends the old ones in order.
func (r *run) replaceServers(ctx context.Context, p *scenario.FaultPlan) error {
	if err := harness.ForEach(p.Replacements, r.startServer); err != nil {
		return err
	}
	for _, i := range p.Servers {
		r.RecordNote(record.ServerState, record.None, i, "is replaced")
		r.publish(i, agent.Terminating, r.Scenario.Discovery.DrainDelay)
	}
	if !harness.Sleep(ctx, r.Scenario.Discovery.DrainDelay.Duration()+r.Scenario.Discovery.Spread.Duration()+r.Scenario.Rules.DrainGrace.Duration()+serverDowntime) {
		return nil
	}
	for _, i := range p.Servers {
		r.servers[i].Kill()
		r.publish(i, agent.Gone, r.Scenario.Discovery.DrainDelay)
	}
	return nil
}
