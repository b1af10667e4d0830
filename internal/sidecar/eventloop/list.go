package eventloop

import (
	"log/slog"

	"marblelane/balance"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/upstream"
)

// TakeListEvent lets the module decide what is believed, and brings the table of servers in line before anything else is
// done, so that attempts on their way see at their first byte what the module sees.
func (l *Loop) TakeListEvent(now float64, n discovery.ListEvent) {
	l.checkClock(now)
	l.listReceived = l.listReceived || n.Kind == balance.ListFull || n.Kind == balance.ListDelta
	ev := balance.ServerList{Kind: n.Kind, Rev: n.List.Rev, Source: n.Source, FromFetch: n.FromFetch, Busy: n.Busy, RetryAfter: n.RetryAfter,
		Servers: make([]balance.Server, 0, len(n.List.Targets))}
	for i := range n.List.Targets {
		if n.List.Targets[i].UID != "" { // nobody
			ev.Servers = append(ev.Servers, l.Cfg.Server(&n.List.Targets[i]))
		}
	}
	actions, err := l.Balancer.Handle(now, ev)
	if err != nil {
		slog.Error("the module refuses a list", "error", err)
		return
	}
	l.Discovery.Revision.Store(l.Balancer.ListRev())
	for i := range n.List.Targets {
		l.alignServer(&n.List.Targets[i])
	}
	if n.Kind != balance.ListDelta {
		for id, up := range l.servers {
			if _, used := l.Balancer.UsableServer(id); !used {
				l.retire(up)
			}
		}
	}
	l.Act(now, actions)
}

// alignServer brings one server of the table in line with what the module makes of its entry.
func (l *Loop) alignServer(t *endpointlist.Target) {
	s, used := l.Balancer.UsableServer(endpointlist.ServerID(t.UID))
	old := l.servers[s.ID]
	switch {
	case !used:
		l.retire(l.servers[endpointlist.ServerID(t.UID)])
	case s.AddressKey != endpointlist.AddressKey(t.Endpoint) || s.StartedAt != t.BootMS: // another entry of this name counts, or an older list
	case old == nil || old.Endpoint != t.Endpoint || old.BootMS != t.BootMS:
		l.retire(old)
		l.servers[s.ID] = &upstream.Server{ID: s.ID, Endpoint: t.Endpoint, BootMS: t.BootMS}
	}
}

// retire ends a server's process as this sidecar knew it: nothing new goes to it, its connections go.
func (l *Loop) retire(up *upstream.Server) {
	if up != nil {
		delete(l.servers, up.ID)
		l.Pool.Retire(up)
	}
}
