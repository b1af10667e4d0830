package membership

// This file implements the library's delegate interfaces.

import (
	"bytes"
	"time"

	"github.com/hashicorp/memberlist"
)

var (
	_ memberlist.Delegate         = (*instance)(nil)
	_ memberlist.EventDelegate    = (*instance)(nil)
	_ memberlist.AliveDelegate    = (*instance)(nil)
	_ memberlist.ConflictDelegate = (*instance)(nil)
	_ memberlist.PingDelegate     = (*instance)(nil)
)

// NotifyAlive rejects nodes whose name, metadata or address is invalid.
func (i *instance) NotifyAlive(n *memberlist.Node) error {
	if _, err := i.parseNode(n); err != nil {
		i.countDrop("node")
		return err
	}
	i.setSuspected(n.Name, false)
	return nil
}

// parseNode checks and converts a node. The library reports the same node many times, so the result is cached while the
// node is alive, and between NotifyAlive and NotifyJoin.
func (i *instance) parseNode(n *memberlist.Node) (*peer, error) {
	i.mu.Lock()
	alive, last := i.alive[n.Name], i.lastParsed
	i.mu.Unlock()
	if alive != nil && alive.matches(n) {
		return alive.peer, nil
	}
	if last != nil && nodeName(last.id) == n.Name && last.matches(n) {
		return last, nil
	}
	p, err := parsePeer(n, i.networks)
	if err != nil {
		return nil, err
	}
	i.mu.Lock()
	i.lastParsed = &p
	i.mu.Unlock()
	return &p, nil
}

// NotifyJoin records that a node is alive.
func (i *instance) NotifyJoin(n *memberlist.Node) {
	p, err := i.parseNode(n)
	if err != nil {
		return // NotifyAlive has already rejected it
	}
	i.mu.Lock()
	i.alive[n.Name] = &aliveNode{peer: p}
	i.changed[p.id] = n.Name
	i.mu.Unlock()
	wakeUp(i.wake)
}

// NotifyUpdate records that a node has changed its metadata or address.
func (i *instance) NotifyUpdate(n *memberlist.Node) { i.NotifyJoin(n) }

// NotifyLeave records that the failure detector has declared a node dead, or that it has left.
func (i *instance) NotifyLeave(n *memberlist.Node) {
	i.mu.Lock()
	if before := i.alive[n.Name]; before != nil {
		i.changed[before.id] = n.Name
		delete(i.alive, n.Name)
	}
	i.mu.Unlock()
	wakeUp(i.wake)
}

// NotifyConflict records that two addresses use the same node name. The library keeps the first.
func (i *instance) NotifyConflict(existing, _ *memberlist.Node) {
	i.countDrop("conflict")
	if existing.Name == nodeName(i.id) {
		i.mu.Lock()
		i.conflict = true
		i.mu.Unlock()
		wakeUp(i.wake)
	}
}

// markSuspected records that this process suspects a node to have failed.
func (i *instance) markSuspected(node string) { i.setSuspected(node, true) }

func (i *instance) setSuspected(node string, suspected bool) {
	i.mu.Lock()
	n := i.alive[node]
	changed := n != nil && n.suspected != suspected
	if changed {
		i.alive[node] = &aliveNode{n.peer, suspected}
		i.changed[n.id] = node
	}
	i.mu.Unlock()
	if changed {
		wakeUp(i.wake)
	}
}

// AckPayload returns nil, as this package adds nothing to the acknowledgements of pings.
func (i *instance) AckPayload() []byte { return nil }

// NotifyPingComplete clears the suspicion of a node that has acknowledged a ping.
func (i *instance) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	i.setSuspected(n.Name, false)
}

// NodeMeta returns the metadata. meta.encode checks that it is within the library's limit.
func (i *instance) NodeMeta(int) []byte { return i.meta }

// NotifyMsg handles a user message.
func (i *instance) NotifyMsg(b []byte) { i.receive(b) }

// MergeRemoteState handles the state received in a push/pull. It is mostly equal to the local state, and then ignored.
func (i *instance) MergeRemoteState(b []byte, _ bool) {
	if own := i.pushPull.load(); own != nil && bytes.Equal(b, own.bytes()) {
		return
	}
	i.receive(b)
}

// receive decodes a message and queues it for the owner.
func (i *instance) receive(b []byte) {
	if i.transport.closed.Load() {
		return
	}
	m, err := decodeMessage(b, i.networks)
	if err != nil {
		i.countDrop("message")
		return
	}
	for range i.received.push(m) {
		i.countDrop("ring")
	}
	wakeUp(i.wake)
}

// GetBroadcasts returns entries to broadcast.
func (i *instance) GetBroadcasts(overhead, limit int) [][]byte {
	return i.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState returns the state that a push/pull carries in addition to the library's own list of nodes.
func (i *instance) LocalState(bool) []byte {
	own := i.pushPull.load()
	if own == nil {
		return nil
	}
	return own.bytes()
}

// entryBroadcast is a queued broadcast of an entry. A later broadcast for the same process replaces it.
type entryBroadcast struct {
	node string
	text []byte
}

// Name returns the name of the entry's node.
func (b *entryBroadcast) Name() string { return b.node }

// Invalidates reports whether this broadcast replaces another one.
func (b *entryBroadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*entryBroadcast)
	return ok && o.node == b.node
}

// Message returns the bytes to send.
func (b *entryBroadcast) Message() []byte { return b.text }

// Finished is called when the broadcast was sent for the last time. It does nothing.
func (b *entryBroadcast) Finished() {}
