package membership

// This file handles messages of other processes, and sends and broadcasts the owner's.

import (
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"marblelane/internal/membership/roster"
)

const (
	// maxBroadcasts bounds the entries that wait to be broadcast. Push/pull carries those that are pruned.
	maxBroadcasts = 1024
	// broadcastDelayIntervals is for how many intervals an entry that came in a message waits for the library to report
	// the same, before it is broadcast.
	broadcastDelayIntervals = 2
)

func (o *owner) handleMessage(now time.Duration, m message) {
	o.merge(now, o.withinBound(m.roster())...)
	by := roster.ID(m.By)
	switch m.Kind {
	case kindAckRequest:
		if by != o.roster.Self() {
			o.ackRequests = append(o.ackRequests, m.roster()...)
		}
	case kindAck:
		if roster.ID(m.To) == o.roster.Self() {
			o.handleAck(now, by, m.Digest)
		}
	}
}

// withinBound leaves out entries of unknown processes that do not fit into the roster. A sender may invent any number of
// them.
func (o *owner) withinBound(entries []roster.Entry) []roster.Entry {
	known := o.roster.Len()
	if known+len(entries) <= maxEntries {
		return entries
	}
	added := map[roster.ID]bool{}
	return slices.DeleteFunc(entries, func(e roster.Entry) bool {
		id := idOf(e)
		if _, isKnown := o.roster.Find(id); isKnown || added[id] {
			return false
		}
		if known+len(added) >= maxEntries {
			o.counters.drop("full")
			return true
		}
		added[id] = true
		return false
	})
}

// merge merges entries into the roster. It broadcasts new proofs at once. That a process is present the library
// broadcasts itself, if it has reported it here; an entry that only messages carry waits for that.
func (o *owner) merge(now time.Duration, entries ...roster.Entry) {
	changed := o.roster.Merge(now, entries...)
	for _, e := range changed {
		id := idOf(e)
		if !e.Present() {
			o.broadcast(e)
		} else if id != o.roster.Self() && o.reachable[id] == nil {
			o.pending[id] = now
		}
		if o.status.members[id] != nil && !e.Present() {
			o.log.Info("members: gone", "name", e.Name, "start", e.GoneStart, "proof", proofText(e.Proof))
		}
	}
	if len(changed) > 0 {
		o.pushPull.invalidate()
		o.scanNeeded, o.rosterChangedAt = true, now
	}
}

// broadcastPending broadcasts the entries that the library did not report in time.
func (o *owner) broadcastPending(now time.Duration) {
	for id, since := range o.pending {
		if now-since < broadcastDelayIntervals*o.cfg.Interval && o.reachable[id] == nil {
			continue
		}
		delete(o.pending, id)
		if e, known := o.roster.Find(id); known && e.Present() && o.reachable[id] == nil {
			o.broadcast(e)
		}
	}
}

// entries returns all entries of the roster, and keeps what a push/pull says in step with them.
func (o *owner) entries() []roster.Entry {
	return o.pushPull.get(func() *pushPullState {
		s := &pushPullState{entries: o.roster.Entries()}
		for _, e := range s.entries {
			if !o.reportedByLibrary(e) {
				s.unreported = append(s.unreported, e)
			}
		}
		return s
	}).entries
}

// reportedByLibrary reports whether the library's list of nodes tells others all that the entry does.
func (o *owner) reportedByLibrary(e roster.Entry) bool {
	if !e.Present() {
		return false
	}
	if idOf(e) == o.roster.Self() {
		return true
	}
	n := o.reachable[idOf(e)]
	return n != nil && !n.suspected && n.addr == e.Addr
}

func (o *owner) broadcast(e roster.Entry) {
	text := encodeEntries(kindEntries, e).bytes()
	o.broadcasts.QueueBroadcast(&entryBroadcast{node: nodeName(idOf(e)), text: text})
	o.broadcasts.Prune(maxBroadcasts)
}

// send sends a message to a process in one packet. Packets get lost; every kind of message is repeated while it matters.
func (o *owner) send(i *instance, to roster.ID, addr string, text []byte) {
	err := i.library.SendToAddress(memberlist.Address{Addr: addr, Name: nodeName(to)}, text)
	if err != nil {
		o.log.Debug("members: send failed", "to", nodeName(to), "addr", addr, "err", err)
	}
}

func (o *owner) sendToReachable(i *instance, text []byte) {
	for id, n := range o.reachable {
		o.send(i, id, n.addr, text)
	}
}
