package lab

// This file implements the faults of the stand-in servers and of their links.

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

// cut stops the traffic of links in one direction or both, or lets it flow again. While a link is cut in any
// direction, no new connection is established.
func (r *run) cut(p *scenario.FaultPlan, direction relay.Direction, on bool) error {
	var failed error
	r.eachLink(p, func(port *relay.Port, sidecar int, l *relay.Link) {
		l.Set(func(rules *relay.Rules) {
			if rules.Cut &^= direction; on {
				rules.Cut |= direction
			}
		})
		apply := port.Heal
		if l.Rules().Cut != 0 {
			apply = port.Cut
		}
		if err := apply(sidecar); err != nil {
			failed = err
		}
	})
	return failed
}

// vanish disconnects whole machines from the network, or connects them again. Their links are cut meanwhile, and their
// open connections are reset when they return.
func (r *run) vanish(servers []int, on bool) error {
	p := &scenario.FaultPlan{Servers: servers}
	for i := range r.Plan.Sidecars {
		p.Sidecars = append(p.Sidecars, i)
	}
	if !on { // resets the connections, because the machine has lost their state
		r.eachLink(p, func(port *relay.Port, sidecar int, _ *relay.Link) { port.EachConn(sidecar, (*relay.Conn).Reset) })
	}
	return r.cut(p, relay.Both, on)
}

// publish makes discovery list the state of server i after delay, which is the time discovery needs to notice the
// change.
func (r *run) publish(i int, state string, delay scenario.Duration) {
	if r.registry != nil {
		r.registry.publish(r.Entry(i, state, r.serverStarts[i].Load()), delay.Duration())
	}
	for _, a := range r.agents {
		a.Publish(r.Entry(i, state, r.serverStarts[i].Load()), delay.Duration(), r.Scenario.Discovery.Spread.Duration())
	}
}

// killServer kills server i. Discovery removes it after its crash delay.
func (r *run) killServer(i int) error {
	r.RecordNote(record.ServerState, record.None, i, "dies")
	r.servers[i].Kill()
	r.publish(i, agent.Gone, r.Scenario.Discovery.CrashDelay)
	return nil
}

// startServer starts server i again. Discovery lists it after its add delay.
func (r *run) startServer(i int) error {
	r.RecordNote(record.ServerState, record.None, i, invariant.ServerStarted)
	if err := r.servers[i].Restart(); err != nil {
		return err
	}
	r.serverStarts[i].Store(time.Now().UnixMilli() + r.serverClock.Load())
	r.publish(i, agent.Ready, r.Scenario.Discovery.AddDelay)
	return nil
}

// drainServers restarts servers in an orderly way: discovery lists them as terminating, they reject new requests once
// all sidecars know the new state and the grace period is over, then end and start again. With keepServing they are
// only listed as terminating, and go on serving all requests.
func (r *run) drainServers(ctx context.Context, servers []int, keepServing bool) error {
	for _, i := range servers {
		r.RecordNote(record.ServerState, record.None, i, "drains")
		r.publish(i, agent.Terminating, r.Scenario.Discovery.DrainDelay)
	}
	if keepServing {
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

// replaceServers starts a new machine with a new name for each of the servers, then lists the old servers as
// terminating and ends them after their grace period.
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
