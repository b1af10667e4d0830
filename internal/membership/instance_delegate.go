package membership

// This file holds the callbacks that the library calls at an instance.

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

// NotifyAlive rejects nodes that are not of the form that this package gives them.
func (i *instance) NotifyAlive(n *memberlist.Node) error {
	if _, err := i.parseNode(n); err != nil {
		i.countDrop("node")
		return err
	}
	i.setSuspected(n.Name, false)
	return nil
}

// parseNode checks a node. The library reports the same one many times, so the result is reused while the node is alive, and
// between NotifyAlive and NotifyJoin.
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
		return // NotifyAlive has rejected it
	}
	i.mu.Lock()
	i.alive[n.Name] = &aliveNode{peer: p}
	i.changed[p.id] = n.Name
	i.mu.Unlock()
	wakeUp(i.wake)
}

// NotifyUpdate records that a node has changed its metadata or address.
func (i *instance) NotifyUpdate(n *memberlist.Node) { i.NotifyJoin(n) }

// NotifyLeave records that a node is dead by the failure detector, or has left.
func (i *instance) NotifyLeave(n *memberlist.Node) {
	i.mu.Lock()
	if before := i.alive[n.Name]; before != nil {
		i.changed[before.id] = n.Name
		delete(i.alive, n.Name)
	}
	i.mu.Unlock()
	wakeUp(i.wake)
}

// NotifyConflict records that two addresses claim one node name. The library keeps the first.
func (i *instance) NotifyConflict(existing, _ *memberlist.Node) {
	i.countDrop("conflict")
	if existing.Name == nodeName(i.id) {
		i.mu.Lock()
		i.conflict = true
		i.mu.Unlock()
		wakeUp(i.wake)
	}
}

// markSuspected records that this process suspects a node.
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

// AckPayload adds nothing to the answer to a ping.
func (i *instance) AckPayload() []byte { return nil }

// NotifyPingComplete records that a node answered: it is not suspected any more.
func (i *instance) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	i.setSuspected(n.Name, false)
}

// NodeMeta returns the metadata, which is within the library's limit (see meta.encode).
func (i *instance) NodeMeta(int) []byte { return i.meta }

// NotifyMsg receives a user message.
func (i *instance) NotifyMsg(b []byte) { i.receive(b) }

// MergeRemoteState receives what the other end of a push/pull knows. Mostly it is what this process knows.
func (i *instance) MergeRemoteState(b []byte, _ bool) {
	if own := i.pushPull.load(); own != nil && bytes.Equal(b, own.bytes()) {
		return
	}
	i.receive(b)
}

// receive queues a message for the owner.
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

// LocalState returns what a push/pull says beside the library's own list of nodes.
func (i *instance) LocalState(bool) []byte {
	own := i.pushPull.load()
	if own == nil {
		return nil
	}
	return own.bytes()
}

// entryBroadcast is an entry to broadcast. A later one of the same process replaces it.
type entryBroadcast struct {
	node string
	text []byte
}

// Name returns the node that the entry is about.
func (b *entryBroadcast) Name() string { return b.node }

// Invalidates reports whether this broadcast makes another one superfluous.
func (b *entryBroadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*entryBroadcast)
	return ok && o.node == b.node
}

// Message returns the bytes to send.
func (b *entryBroadcast) Message() []byte { return b.text }

// Finished is called when the broadcast was sent often enough.
func (b *entryBroadcast) Finished() {}
