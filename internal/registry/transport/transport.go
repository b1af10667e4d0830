// Package transport is the network transport of raft between the replicas of the registry.
package transport

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// Transport is raft's network transport with two changes. It retries entries for an unreachable follower itself, as
// raft's backoff of up to 10 s would leave a follower that returns without entries for that long.
//
// It also records when an acknowledged request was sent. raft's own VerifyLeader accepts any response received after
// the call, even to an earlier heartbeat: a leader that was suspended would confirm itself although another was
// elected. The lab checks this with scenario registry-leader-frozen.
type Transport struct {
	*raft.NetworkTransport
	retryInterval time.Duration // pause between two attempts to send entries
	// NeedsEntries reports whether a replica still has to receive the entries of a term.
	NeedsEntries func(id raft.ServerID, term uint64) bool

	end  chan struct{}
	once sync.Once

	heartbeats sync.RWMutex // read-locked while a heartbeat is handled
	stopped    bool         // true once no more heartbeats are handled

	mu    sync.Mutex
	term  uint64
	acked map[raft.ServerID]time.Time // by replica: when the newest request that it acknowledged in the term was sent
}

// New wraps raft's transport. Without NeedsEntries, which the caller may set before raft sends entries, nothing is
// retried.
func New(n *raft.NetworkTransport, retryInterval time.Duration) *Transport {
	return &Transport{NetworkTransport: n, retryInterval: retryInterval, end: make(chan struct{}),
		NeedsEntries: func(raft.ServerID, uint64) bool { return false }}
}

// heartbeat reports whether a message is a heartbeat, which carries no entries.
func heartbeat(a *raft.AppendEntriesRequest) bool {
	return len(a.Entries) == 0 && a.PrevLogEntry == 0 && a.LeaderCommitIndex == 0
}

// AppendEntries sends entries, and retries while sending fails and the follower still needs them.
func (t *Transport) AppendEntries(id raft.ServerID, target raft.ServerAddress, a *raft.AppendEntriesRequest, r *raft.AppendEntriesResponse) error {
	for {
		sent := time.Now()
		err := t.NetworkTransport.AppendEntries(id, target, a, r)
		if err == nil && r.Term == a.Term {
			t.acknowledge(id, a.Term, sent)
		}
		if err == nil || heartbeat(a) || !t.NeedsEntries(id, a.Term) {
			return err
		}
		select {
		case <-time.After(t.retryInterval):
		case <-t.end:
			return err
		}
	}
}

func (t *Transport) acknowledge(id raft.ServerID, term uint64, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term > t.term {
		t.term, t.acked = term, map[raft.ServerID]time.Time{}
	}
	if term == t.term && t.acked[id].Before(sent) {
		t.acked[id] = sent
	}
}

// AcknowledgedSince reports whether a replica has acknowledged a request of a term that was sent after a time. If so,
// the replica had not voted for a later leader by that time.
func (t *Transport) AcknowledgedSince(id raft.ServerID, term uint64, after time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return term == t.term && t.acked[id].After(after)
}

// LastAcknowledged returns when the newest request that a replica acknowledged in a term was sent, or the zero time
// without one.
func (t *Transport) LastAcknowledged(id raft.ServerID, term uint64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term != t.term {
		return time.Time{}
	}
	return t.acked[id]
}

// SetHeartbeatHandler sets the handler of heartbeats. raft handles heartbeats as they arrive, concurrently with all
// other messages, and does not wait for them when it shuts down. A heartbeat in flight would then write to a closed
// log, and raft panics when a write fails. So Stop waits for them.
func (t *Transport) SetHeartbeatHandler(handle func(raft.RPC)) {
	t.NetworkTransport.SetHeartbeatHandler(func(rpc raft.RPC) {
		t.heartbeats.RLock()
		defer t.heartbeats.RUnlock()
		if !t.stopped {
			handle(rpc)
		}
	})
}

// Stop ends the retries and waits for heartbeats in flight. Later heartbeats are ignored.
func (t *Transport) Stop() {
	t.once.Do(func() { close(t.end) })
	t.heartbeats.Lock()
	defer t.heartbeats.Unlock()
	t.stopped = true
}
