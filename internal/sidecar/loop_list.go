package sidecar

// This file brings the table of servers in line with the endpoint list that the module accepts.

import (
	"log/slog"

	"marblelane/balance"
)

// takeListEvent lets the module decide what is believed, and brings the table of servers in line before anything else is
// done, so that attempts on their way see at their first byte what the module sees.
func (l *loop) takeListEvent(now float64, n listEvent) {
	l.lookAtClock(now)
	l.told = l.told || n.kind == balance.ListFull || n.kind == balance.ListDelta
	ev := balance.ServerList{Kind: n.kind, Rev: n.list.Rev, Source: n.source, FromFetch: n.check, Busy: n.busy, RetryAfter: n.wait,
		Servers: make([]balance.Server, 0, len(n.list.Targets))}
	for i := range n.list.Targets {
		if n.list.Targets[i].UID != "" { // nobody
			ev.Servers = append(ev.Servers, l.cfg.entry(&n.list.Targets[i]))
		}
	}
	actions, err := l.bal.Handle(now, ev)
	if err != nil {
		slog.Error("the module refuses a list", "error", err)
		return
	}
	l.disc.rev.Store(l.bal.ListRev())
	for i := range n.list.Targets {
		l.align(&n.list.Targets[i])
	}
	if n.kind != balance.ListDelta {
		for id, up := range l.servers {
			if _, used := l.bal.UsableServer(id); !used {
				l.retire(up)
			}
		}
	}
	l.act(now, actions)
}

// align brings one server of the table in line with what the module makes of its entry.
func (l *loop) align(t *target) {
	s, used := l.bal.UsableServer(idOf(t.UID))
	old := l.servers[s.ID]
	switch {
	case !used:
		l.retire(l.servers[idOf(t.UID)])
	case s.AddressKey != placeOf(t.Endpoint) || s.StartedAt != t.BootMS: // another entry of this name counts, or an older list
	case old == nil || old.endpoint != t.Endpoint || old.bootMS != t.BootMS:
		l.retire(old)
		l.servers[s.ID] = &upstream{id: s.ID, endpoint: t.Endpoint, bootMS: t.BootMS}
	}
}

// retire ends a server's process as this sidecar knew it: nothing new goes to it, its connections go.
func (l *loop) retire(up *upstream) {
	if up != nil {
		delete(l.servers, up.id)
		l.pool.retire(up)
	}
}
