package membership

// This file takes in and sends the messages of the fleet.

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"marblelane/internal/membership/roster"
)

// take takes in what another process says.
func (g *Group) take(now time.Duration, m message) {
	g.merge(now, g.room(m.roster())...)
	by := roster.ID(m.By)
	switch m.Kind {
	case kindAsk:
		if by == g.roster.Self() {
			return
		}
		g.asking = append(g.asking, m.roster()...)
	case kindAck:
		if roster.ID(m.To) != g.roster.Self() {
			return
		}
		if g.roster.Acknowledged(by, m.Digest) {
			g.same++
			g.differs, g.pause = 0, exchangeEvery
			return
		}
		g.differ++
		if n := g.live[by]; n != nil {
			g.want(now, n.addr)
		}
	}
}

// want has all be exchanged with another process that knows something else, if it is time. While many join, all of them
// differ from each other for a moment, and what is told anyway brings most of them together.
func (g *Group) want(now time.Duration, addr string) {
	if g.differs == 0 {
		g.differs = now
	}
	quiet := min(exchangeQuiet, 2*g.lookPause())
	if now < g.exchangeAt || now-g.news < quiet && now-g.differs < exchangeBy {
		return
	}
	select {
	case g.exchanges <- addr:
	default: // one waits already; what it brings may do
		return
	}
	g.differs = now
	each := exchangeEvery * time.Duration(max(len(g.live), 400)) / 400 // what it costs grows with the fleet
	g.pause = min(max(g.pause*3/2, each), exchangeSeldom)
	g.exchangeAt = now + g.pause/2 + rand.N(g.pause)
	if g.View().Forced {
		g.exchangeAt = now + exchangeForced
	}
}

// room leaves out processes that are not known where many are known already: whoever can send here may name any.
func (g *Group) room(entries []roster.Entry) []roster.Entry {
	all := g.roster.Len()
	if all+len(entries) <= maxEntries {
		return entries
	}
	fresh := map[roster.ID]bool{}
	return slices.DeleteFunc(entries, func(e roster.Entry) bool {
		id := idOf(e)
		if _, known := g.roster.Find(id); known || fresh[id] {
			return false
		}
		if all+len(fresh) >= maxEntries {
			g.figures.drop("full")
			return true
		}
		fresh[id] = true
		return false
	})
}

// merge takes in entries and tells on what was news. That a process is there the library itself tells on, if it has told
// it here; what only messages say may wait for that.
func (g *Group) merge(now time.Duration, entries ...roster.Entry) {
	fresh := g.roster.Merge(now, entries...)
	for _, e := range fresh {
		switch id := idOf(e); {
		case !e.Present():
			g.tell(e)
		case id != g.roster.Self() && g.live[id] == nil:
			g.untold[id] = now
		}
		if m := g.marks[idOf(e)]; m != nil && !e.Present() {
			g.log.Info("members: gone", "name", e.Name, "start", e.Gone, "proof", proofText(e.Proof))
		}
	}
	if len(fresh) > 0 {
		g.fresh, g.stale, g.news = false, true, now
	}
}

// retell tells on whom the library does not tell of here.
func (g *Group) retell(now time.Duration) {
	for id, at := range g.untold {
		if now-at < 2*g.cfg.Interval && g.live[id] == nil {
			continue
		}
		delete(g.untold, id)
		if e, known := g.roster.Find(id); known && e.Present() && g.live[id] == nil {
			g.tell(e)
		}
	}
}

// entries are all that are known. A push/pull says the same.
func (g *Group) entries() []roster.Entry {
	if !g.fresh {
		k := &knowledge{entries: g.roster.Entries()}
		for _, e := range k.entries {
			if n := g.live[idOf(e)]; !e.Present() || idOf(e) != g.roster.Self() && (n == nil || n.suspected || n.addr != e.Addr) {
				k.rest = append(k.rest, e)
			}
		}
		g.told.Store(k)
		g.fresh = true
	}
	return g.told.Load().entries
}

func (g *Group) tell(e roster.Entry) {
	g.queue.QueueBroadcast(&broadcastMessage{name: nodeName(idOf(e)), text: encodeEntries(kindEntries, e).bytes()})
	g.queue.Prune(queueMost)
}

// send sends a user message to a process, as a packet. It is known to be lost now and then; all of them are sent again.
func (g *Group) send(i *instance, to roster.ID, addr string, text []byte) {
	err := i.list.SendToAddress(memberlist.Address{Addr: addr, Name: nodeName(to)}, text)
	if err != nil {
		g.log.Debug("members: send", "to", nodeName(to), "addr", addr, "error", err)
	}
}
