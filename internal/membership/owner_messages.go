package membership

// This file handles messages from other processes, and sends and broadcasts the owner's messages.

import (
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"marblelane/internal/membership/roster"
)

const (
	// maxBroadcasts bounds the number of queued broadcasts. Push/pulls carry the entries that are pruned.
	maxBroadcasts = 1024
	// broadcastDelayIntervals is the time, in intervals, after which an entry received in a message is broadcast unless
	// the library has reported the process by then.
	broadcastDelayIntervals = 2
)

// handleMessage merges the entries of a message and handles acknowledgements and requests for them.
func (o *owner) handleMessage(now time.Duration, m message) {
	o.merge(now, o.limitEntries(m.rosterEntries())...)
	by := roster.ID(m.Sender)
	switch m.Kind {
	case kindAckRequest:
		if by != o.roster.Self() {
			o.ackRequests = append(o.ackRequests, m.rosterEntries()...)
		}
	case kindAck:
		if roster.ID(m.Acknowledged) == o.roster.Self() {
			o.handleAck(now, by, m.Digest)
		}
	}
}

// limitEntries drops entries of unknown processes once the roster has maxEntries processes. Otherwise a sender could
// fill the memory with invented processes.
func (o *owner) limitEntries(entries []roster.Entry) []roster.Entry {
	knownCount := o.roster.Len()
	if knownCount+len(entries) <= maxEntries {
		return entries
	}
	added := map[roster.ID]bool{}
	return slices.DeleteFunc(entries, func(e roster.Entry) bool {
		id := idOf(e)
		if _, isKnown := o.roster.Find(id); isKnown || added[id] {
			return false
		}
		if knownCount+len(added) >= maxEntries {
			o.counters.countDrop("full")
			return true
		}
		added[id] = true
		return false
	})
}

// merge merges entries into the roster and broadcasts those that carry new proofs. The library itself broadcasts
// present processes that it has reported. Other present processes are delayed until it reports them (see
// broadcastPending).
func (o *owner) merge(now time.Duration, entries ...roster.Entry) {
	changed := o.roster.Merge(now, entries...)
	for _, e := range changed {
		id := idOf(e)
		if !e.Present() {
			o.broadcast(e)
		} else if id != o.roster.Self() && o.reachable[id] == nil {
			o.pendingBroadcasts[id] = now
		}
		if o.status.members[id] != nil && !e.Present() {
			o.log.Info("members: member is gone", "name", e.Name, "start", e.GoneStart, "proof", proofText(e.Proof))
		}
	}
	if len(changed) > 0 {
		o.pushPull.invalidate()
		o.scanNeeded, o.rosterChangedAt = true, now
	}
}

// broadcastPending broadcasts the processes that the library did not report within broadcastDelayIntervals.
func (o *owner) broadcastPending(now time.Duration) {
	for id, since := range o.pendingBroadcasts {
		if now-since < broadcastDelayIntervals*o.cfg.Interval && o.reachable[id] == nil {
			continue
		}
		delete(o.pendingBroadcasts, id)
		if e, known := o.roster.Find(id); known && e.Present() && o.reachable[id] == nil {
			o.broadcast(e)
		}
	}
}

// entries returns all entries of the roster, and updates the cached push/pull message if the roster has changed.
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

// reportedByLibrary reports whether the library's own list of nodes carries all the information of an entry.
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

// broadcast queues an entry to be broadcast.
func (o *owner) broadcast(e roster.Entry) {
	text := encodeEntries(kindEntries, e).bytes()
	o.broadcasts.QueueBroadcast(&entryBroadcast{node: nodeName(idOf(e)), text: text})
	o.broadcasts.Prune(maxBroadcasts)
}

// send sends a message to a process in one packet. Packets may be lost, so the senders of each kind of message repeat
// it as long as it is needed.
func (o *owner) send(i *instance, to roster.ID, addr string, text []byte) {
	err := i.library.SendToAddress(memberlist.Address{Addr: addr, Name: nodeName(to)}, text)
	if err != nil {
		o.log.Debug("members: send failed", "to", nodeName(to), "addr", addr, "err", err)
	}
}

// sendToReachable sends a message to all reachable members.
func (o *owner) sendToReachable(i *instance, text []byte) {
	for id, n := range o.reachable {
		o.send(i, id, n.addr, text)
	}
}
