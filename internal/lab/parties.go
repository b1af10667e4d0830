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

// Start brings all parties up.
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

// makeDiscoveryLinks makes the links between each sidecar and each discovery service.
func (r *run) makeDiscoveryLinks() {
	for k := range max(r.Scenario.Discovery.Services, r.Scenario.Discovery.RegistryReplicas) {
		var row []*relay.Link
		for i := range r.Plan.Sidecars {
			row = append(row, relay.NewLink(relay.Rules{}, r.Plan.Seed^uint64(k)<<32^uint64(i)))
		}
		r.discoveryLinks = append(r.discoveryLinks, row)
	}
}

// startServers starts all servers of the plan, and gives the entries of those that discovery lists from the beginning.
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

// startRegistry starts the replicas of the registry, as members of the fleet where there is membership.
func (r *run) startRegistry(ctx context.Context, entries []agent.Entry) error {
	if err := r.openRegistry(ctx, entries); err != nil || r.members == nil {
		return err
	}
	return r.members.StartReplicas(ctx, r.registry.cluster)
}

// startAgents starts simulated discovery services.
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

// addServer starts the server of this number in the plan.
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

func (r *run) link(sidecar, server int) *relay.Link {
	r.linkMu.Lock()
	defer r.linkMu.Unlock()
	key := [2]int{sidecar, server}
	l := r.links[key]
	if l == nil {
		between := r.Scenario.Network.Latency(r.Plan.Sidecars[sidecar].Zone, r.Plan.Servers[server].Zone)
		rules := relay.Rules{Latency: between.Duration(), Jitter: r.Scenario.Network.Jitter}
		l = relay.NewLink(rules, r.Plan.Seed^uint64(sidecar)<<32^uint64(server))
		r.links[key] = l
	}
	return l
}

// clientAddr is where the clients of a sidecar connect.
func (r *run) clientAddr(i int) string {
	if r.program == NoProgram {
		// Spread over all servers by the time; a counter would need a lock.
		n := int(r.Events.Now()/time.Microsecond) % r.Scenario.Servers.Count
		return r.servers[n].Port.Addr(i)
	}
	if t := r.answerProxies[i]; t != nil && *t.defect.Load() != "" {
		return t.addr
	}
	return r.sidecars[i].addr()
}

// closedToNew tells whether a sidecar's clients open no new connections at this moment.
func (r *run) closedToNew(i int) bool {
	return r.program != NoProgram && r.sidecars[i].closedToNew.Load()
}
