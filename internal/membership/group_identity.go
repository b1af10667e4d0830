package membership

// This file changes the identity under which this process is known, and replaces the library's instance.

import (
	"fmt"
	"time"

	"marblelane/internal/membership/roster"
)

// become starts the library under a name.
func (g *Group) become(id roster.ID) error {
	m := g.meta
	m.Start = id.Start
	text, err := m.encode()
	if err != nil {
		return err
	}
	i := &instance{id: id, meta: text, networks: g.cfg.Networks, queue: &g.queue, told: &g.told, ring: &g.ring,
		wake: g.wake, dropped: g.figures.drop}
	if err := i.open(&g.cfg, g.inner, g.log); err != nil {
		return err
	}
	if i.addr() == "" {
		i.end()
		return fmt.Errorf("the node %s at %s was refused", nodeName(id), g.addr)
	}
	g.current.Store(i)
	return nil
}

// replace proves those gone whose address another process has: one of the same name that started later, or one of
// another name while they are not heard. Of two starts nothing follows where the names differ: clocks do.
func (g *Group) replace(now time.Duration) {
	self := g.roster.Self()
	at := map[string]roster.ID{g.addr: self}
	for id, n := range g.live {
		if was, ok := at[n.addr]; !ok || id.Start > was.Start {
			at[n.addr] = id
		}
	}
	for _, e := range g.entries() {
		has, ok := at[e.Addr]
		if id := idOf(e); !ok || !e.Present() || id == self || id == has {
			continue
		}
		later := has.Name == e.Name && has.Start > e.Start
		if later || has.Name != e.Name && g.live[idOf(e)] == nil {
			g.merge(now, gone(idOf(e), roster.ProofAddressReused))
		}
	}
}

// rise gives this process a start above that of one of its name that was there before and is not any more: the wall clock
// was set back. Only a newcomer does; to one that is there for long the later one is its own upgrade, and cut off.
func (g *Group) rise(now time.Duration) {
	self := g.roster.Self()
	if g.met == 0 && len(g.live) > 0 {
		g.met = now
	}
	for _, e := range g.entries() {
		if _, heard := g.live[idOf(e)]; heard || e.Observer || e.Name != self.Name || e.Start <= self.Start {
			continue
		}
		if g.later == 0 {
			g.later = now
		}
		if g.raises < raiseMost && now-g.met <= riseWithin*g.cfg.Interval &&
			(!e.Present() || e.Addr == g.addr || now-g.later >= riseAfter*g.cfg.Interval) {
			g.raises++
			g.log.Warn("members: this start seems earlier than the one before; the clock was set back", "name", self.Name,
				"start", self.Start, "before", e.Start)
			g.merge(now, gone(self, roster.ProofAddressReused))
			g.later = 0
		}
		return
	}
	g.later = 0
}

// part parts two processes of one name and one start.
func (g *Group) part(now time.Duration) {
	if self := g.roster.Self(); g.current.Load().takeConflict() {
		g.log.Warn("members: another process has this one's name and start", "name", self.Name, "start", self.Start)
		g.merge(now, gone(self, roster.ProofAddressReused))
	}
}

// rename takes a new node of the library where the start was raised: it was proved gone. The old node says good-bye, so
// that nobody takes it for a twin.
func (g *Group) rename() {
	id, old := g.roster.Self(), g.current.Load()
	if id == old.id {
		return
	}
	if !old.lease.over.Load() {
		g.figures.risen.Add(1)
		g.log.Warn("members: proved gone, and here: begins again", "name", id.Name, "start", id.Start, "was", old.id.Start)
		g.publish(g.now()) // it is a newcomer from now on
		if len(g.live) > 0 {
			_ = old.list.Leave(byeMost) // the others find out by themselves
		}
		old.end()
	}
	if err := g.become(id); err != nil {
		g.log.Warn("members: begin again", "error", err) // the next turn tries again
		return
	}
	signal(g.joinWake)
	for _, n := range g.live {
		select {
		case g.exchanges <- n.addr: // it knows the others
		default:
		}
		break
	}
}

// ask asks those that have not acknowledged this process.
func (g *Group) ask() {
	self, i := g.roster.Self(), g.current.Load()
	most := askMost
	if g.differ > g.same {
		most = askFew
	} else if g.same > 0 {
		most = max(most, len(g.live)/5)
	}
	g.same, g.differ = 0, 0
	wanting := g.roster.Unacknowledged(most)
	if g.wanted = len(wanting) > 0; !g.wanted {
		return
	}
	m := encodeEntries(kindAsk, roster.Entry{Name: self.Name, Start: self.Start, Addr: g.addr})
	m.By, m.Digest = ident(self), g.roster.Digest()
	text := m.bytes()
	for _, e := range wanting {
		if e.Addr != "" {
			g.send(i, idOf(e), e.Addr, text)
		}
	}
}
