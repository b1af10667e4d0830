package eventloop

import (
	"log/slog"

	"marblelane/balance"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/upstream"
)

// handleListEvent passes an endpoint list to the balancer, which decides which entries to accept, and updates the table
// of servers accordingly. Both happen before the next message is handled, so that attempts in flight see the balancer's
// current state when they are about to send their first byte.
func (l *Loop) handleListEvent(now float64, event discovery.ListEvent) {
	l.checkClock(now)
	l.listReceived = l.listReceived || event.Kind == balance.ListFull || event.Kind == balance.ListDelta
	actions, err := l.balancer.Handle(now, l.serverList(event))
	if err != nil {
		slog.Error("eventloop: the balancer rejected the endpoint list", "err", err)
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

// serverList converts an endpoint list to the balancer's event. Targets without a UID are left out.
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

// retireUnusedServers retires the servers of the table that the balancer no longer uses.
func (l *Loop) retireUnusedServers() {
	for id, server := range l.servers {
		if _, used := l.balancer.UsableServer(id); !used {
			l.retireServer(server)
		}
	}
}

// updateServer updates the server of a list entry to the balancer's decision about the entry. After a restart or a change
// of address the server is replaced by a new one.
func (l *Loop) updateServer(target *endpointlist.Target) {
	id := endpointlist.ServerID(target.UID)
	entry, used := l.balancer.UsableServer(id)
	if !used {
		l.retireServer(l.servers[id])
		return
	}
	if entry.AddressKey != endpointlist.AddressKey(target.Endpoint) || entry.StartedAt != target.BootMS {
		return // the balancer uses another entry of this UID, or that of an older list
	}
	old := l.servers[id]
	if old == nil || old.Endpoint != target.Endpoint || old.BootMS != target.BootMS {
		l.retireServer(old)
		l.servers[id] = &upstream.Server{ID: id, Endpoint: target.Endpoint, BootMS: target.BootMS}
	}
}

// retireServer removes a server from the table and closes its connections. It gets no further requests. nil is ignored.
func (l *Loop) retireServer(server *upstream.Server) {
	if server != nil {
		delete(l.servers, server.ID)
		l.Pool.Retire(server)
	}
}
