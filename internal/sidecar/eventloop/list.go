package eventloop

import (
	"log/slog"

	"marblelane/balance"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/upstream"
)

// handleListEvent lets the balancer decide which entries it accepts, and brings the table of servers in line before any
// other message is taken, so that attempts on their way see at their first byte what the balancer sees.
func (l *Loop) handleListEvent(now float64, event discovery.ListEvent) {
	l.checkClock(now)
	l.listReceived = l.listReceived || event.Kind == balance.ListFull || event.Kind == balance.ListDelta
	actions, err := l.balancer.Handle(now, l.serverList(event))
	if err != nil {
		slog.Error("eventloop: the balancer rejects a list", "err", err)
		return
	}
	l.Discovery.Revision.Store(l.balancer.ListRev())
	for i := range event.List.Targets {
		l.updateServer(&event.List.Targets[i])
	}
	if event.Kind != balance.ListDelta {
		l.retireUnusedServers()
	}
	l.Execute(now, actions)
}

// serverList converts what discovery has said to the balancer's event. Targets without a UID are left out.
func (l *Loop) serverList(event discovery.ListEvent) balance.ServerList {
	list := balance.ServerList{
		Kind: event.Kind, Rev: event.List.Rev, Source: event.Source, FromFetch: event.FromFetch, Busy: event.Busy,
		RetryAfter: event.RetryAfter, Servers: make([]balance.Server, 0, len(event.List.Targets)),
	}
	for i := range event.List.Targets {
		if target := &event.List.Targets[i]; target.UID != "" {
			list.Servers = append(list.Servers, l.cfg.Server(target))
		}
	}
	return list
}

// retireUnusedServers retires the servers of the table that the balancer does not use any more.
func (l *Loop) retireUnusedServers() {
	for id, server := range l.servers {
		if _, used := l.balancer.UsableServer(id); !used {
			l.retireServer(server)
		}
	}
}

// updateServer brings one server of the table in line with what the balancer makes of its entry. A restart or another
// address makes a new server.
func (l *Loop) updateServer(target *endpointlist.Target) {
	id := endpointlist.ServerID(target.UID)
	entry, used := l.balancer.UsableServer(id)
	if !used {
		l.retireServer(l.servers[id])
		return
	}
	if entry.AddressKey != endpointlist.AddressKey(target.Endpoint) || entry.StartedAt != target.BootMS {
		return // another entry of this UID counts, or an older list
	}
	old := l.servers[id]
	if old == nil || old.Endpoint != target.Endpoint || old.BootMS != target.BootMS {
		l.retireServer(old)
		l.servers[id] = &upstream.Server{ID: id, Endpoint: target.Endpoint, BootMS: target.BootMS}
	}
}

// retireServer takes a server's process out of the table: nothing new goes to it, and its connections are closed.
func (l *Loop) retireServer(server *upstream.Server) {
	if server != nil {
		delete(l.servers, server.ID)
		l.Pool.Retire(server)
	}
}
