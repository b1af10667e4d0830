package registry

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// transport carries raft over the network. It goes on trying to send entries to a copy that is away, instead of handing
// each failure to raft, which doubles its pause each time, up to 10 s: a copy that came back was told nothing for as
// long again, while heartbeats kept it from noticing.
//
// And it knows when what a copy has acknowledged was sent. raft's own VerifyLeader takes any answer that comes after it
// was asked for one that was sent after, too: a leader that was frozen for seconds read the answers to heartbeats from
// before, and took itself for the leader although there was another (the lab's rule age-told, registry-leader-frozen).
type transport struct {
	*raft.NetworkTransport
	retryInterval time.Duration // between two tries
	// wanted tells whether a copy is still to be sent the entries of a term.
	wanted func(id raft.ServerID, term uint64) bool

	end  chan struct{}
	once sync.Once

	beats sync.RWMutex // held while a heartbeat is handled
	ended bool         // none is any more

	mu    sync.Mutex
	term  uint64
	acked map[raft.ServerID]time.Time // when the newest message of the term that a copy has acknowledged was sent
}

func newTransport(n *raft.NetworkTransport, again time.Duration) *transport {
	return &transport{NetworkTransport: n, retryInterval: again, end: make(chan struct{}),
		wanted: func(raft.ServerID, uint64) bool { return false }}
}

// heartbeat tells one from a message that carries entries, or could.
func heartbeat(a *raft.AppendEntriesRequest) bool {
	return len(a.Entries) == 0 && a.PrevLogEntry == 0 && a.LeaderCommitIndex == 0
}

// AppendEntries sends entries; while the copy is away and they are still wanted it tries again.
func (t *transport) AppendEntries(id raft.ServerID, target raft.ServerAddress, a *raft.AppendEntriesRequest, r *raft.AppendEntriesResponse) error {
	for {
		sent := time.Now()
		err := t.NetworkTransport.AppendEntries(id, target, a, r)
		if err == nil && r.Term == a.Term {
			t.acknowledge(id, a.Term, sent)
		}
		if err == nil || heartbeat(a) || !t.wanted(id, a.Term) {
			return err
		}
		select {
		case <-time.After(t.retryInterval):
		case <-t.end:
			return err
		}
	}
}

func (t *transport) acknowledge(id raft.ServerID, term uint64, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term > t.term {
		t.term, t.acked = term, map[raft.ServerID]time.Time{}
	}
	if term == t.term && t.acked[id].Before(sent) {
		t.acked[id] = sent
	}
}

// follows tells whether a copy has acknowledged a message of a term that was sent after a time. It then had not voted
// for a later leader by that time.
func (t *transport) follows(id raft.ServerID, term uint64, after time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return term == t.term && t.acked[id].After(after)
}

// acknowledged is when the newest message of a term that a copy has acknowledged was sent; zero: there is none.
func (t *transport) acknowledged(id raft.ServerID, term uint64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term != t.term {
		return time.Time{}
	}
	return t.acked[id]
}

// SetHeartbeatHandler lets raft handle heartbeats. It does so as they come in, unlike all else, and is not waited for when
// it shuts down: one that was under way then found the log closed, and raft panics where it cannot write.
func (t *transport) SetHeartbeatHandler(handle func(raft.RPC)) {
	t.NetworkTransport.SetHeartbeatHandler(func(rpc raft.RPC) {
		t.beats.RLock()
		defer t.beats.RUnlock()
		if !t.ended {
			handle(rpc)
		}
	})
}

// stop ends the tries, and waits for heartbeats that are under way.
func (t *transport) stop() {
	t.once.Do(func() { close(t.end) })
	t.beats.Lock()
	defer t.beats.Unlock()
	t.ended = true
}
