package lab

// This file starts the parties of a run of sidecars.

import (
	"context"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/members"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/stock"
)

// Start starts all parties of the run.
func (r *run) Start(ctx context.Context) error {
	r.makeDiscoveryLinks()
	entries, err := r.startServers()
	if err != nil || r.program == NoProgram {
		return err
	}
	if r.Scenario.Members != nil {
		if r.members, err = members.New(r.Run); err != nil {
			return err
		}
	}
	if r.Scenario.Discovery.RegistryReplicas > 0 {
		err = r.startRegistry(ctx, entries)
	} else {
		err = r.startAgents(entries)
	}
	if err != nil {
		return err
	}
	return r.startSidecars(ctx)
}

// makeDiscoveryLinks creates the links between each sidecar and each discovery service.
func (r *run) makeDiscoveryLinks() {
	for k := range max(r.Scenario.Discovery.Services, r.Scenario.Discovery.RegistryReplicas) {
		var row []*relay.Link
		for i := range r.Plan.Sidecars {
			row = append(row, relay.NewLink(relay.Rules{}, r.Plan.Seed^uint64(k)<<32^uint64(i)))
		}
		r.discoveryLinks = append(r.discoveryLinks, row)
	}
}

// startServers starts all servers of the plan. It returns the entries of the servers that discovery lists from the
// start. Spare servers are stopped again until a fault starts them.
func (r *run) startServers() (entries []agent.Entry, err error) {
	r.serverStarts = make([]atomic.Int64, len(r.Plan.Servers))
	for _, p := range r.Plan.Pods {
		r.pods = append(r.pods, stock.NewPod(r.Events, p.Limit))
	}
	for i := range r.Plan.Servers {
		if err := r.addServer(i); err != nil {
			return nil, err
		}
		if r.Plan.Servers[i].Spare {
			r.servers[i].Kill()
			continue
		}
		entries = append(entries, r.Entry(i, agent.Ready, 0))
	}
	return entries, nil
}

// startRegistry starts the replicas of the registry. If the scenario has membership, they join the fleet as members.
func (r *run) startRegistry(ctx context.Context, entries []agent.Entry) error {
	if err := r.openRegistry(ctx, entries); err != nil || r.members == nil {
		return err
	}
	return r.members.StartReplicas(ctx, r.registry.cluster)
}

// startAgents starts the simulated discovery services.
func (r *run) startAgents(entries []agent.Entry) error {
	addr := func(sidecar, server int) string { return r.servers[server].Port.Addr(sidecar) }
	for _, links := range r.discoveryLinks {
		a, err := agent.New(r.Events, len(r.Plan.Sidecars), entries, addr, func(sidecar int) *relay.Link {
			if sidecar >= len(links) {
				return nil
			}
			return links[sidecar]
		})
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	return nil
}

// addServer starts the stand-in server with number i in the plan.
func (r *run) addServer(i int) error {
	p := &r.Plan.Servers[i]
	healthCheckWork := -1.0
	if r.Scenario.Rules.HealthChecks {
		healthCheckWork = 0.08
	}
	s, err := stock.Start(r.Events, r.requests, r.pods[p.Pod], stock.SpecOf(r.Plan, i), stock.Options{
		Number: i, Seed: r.Plan.Seed, HealthCheckWork: healthCheckWork,
		Links: func(sidecar int) *relay.Link {
			if sidecar >= len(r.Plan.Sidecars) {
				return nil
			}
			return r.link(sidecar, i)
		},
		Observe: r.observeRequest,
	})
	if err != nil {
		return err
	}
	s.OnOverload = func() {
		r.RecordNote(record.ServerState, record.None, i, "is down for good")
		s.Kill()
	}
	r.servers = append(r.servers, s)
	return nil
}

// link returns the link between a sidecar and a server, and creates it at its first use.
func (r *run) link(sidecar, server int) *relay.Link {
	r.linkMu.Lock()
	defer r.linkMu.Unlock()
	key := [2]int{sidecar, server}
	l := r.links[key]
	if l == nil {
		latency := r.Scenario.Network.Latency(r.Plan.Sidecars[sidecar].Zone, r.Plan.Servers[server].Zone)
		rules := relay.Rules{Latency: latency.Duration(), Jitter: r.Scenario.Network.Jitter}
		l = relay.NewLink(rules, r.Plan.Seed^uint64(sidecar)<<32^uint64(server))
		r.links[key] = l
	}
	return l
}

// clientAddr returns the address to which the clients of sidecar i connect.
func (r *run) clientAddr(i int) string {
	if r.program == NoProgram {
		// The time spreads requests over all servers without the lock that a counter would need.
		n := int(r.Events.Now()/time.Microsecond) % r.Scenario.Servers.Count
		return r.servers[n].Port.Addr(i)
	}
	if proxy := r.responseProxies[i]; proxy != nil && *proxy.defect.Load() != "" {
		return proxy.addr
	}
	return r.sidecars[i].addr()
}

// noNewConns reports whether the clients of sidecar i open no new connections at present.
func (r *run) noNewConns(i int) bool {
	return r.program != NoProgram && r.sidecars[i].noNewConns.Load()
}
