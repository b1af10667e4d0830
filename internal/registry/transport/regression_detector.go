package transport

import (
	"log/slog"
	"sync"

	"github.com/hashicorp/raft"
)

// RegressionDetector runs on the leader and logs followers whose log has regressed. A follower that no longer has an
// entry that it acknowledged in this term lost synced data, or its data directory was rolled back to an old disk image.
// The leader sends the entries again, so they are safe once the follower has caught up. But the follower may also have
// lost its vote, and a second vote in one term cannot be undone.
//
// Not detected: a regression under another leader or without one, and a regression within a pipeline that has been open
// since the term began. A follower that was removed and added again under its name, with an empty directory, is logged
// as well.
type RegressionDetector struct {
	*Transport
	log *slog.Logger

	mu        sync.Mutex
	term      uint64
	followers map[raft.ServerID]*followerProgress
}

// followerProgress records which entries a follower has acknowledged in a term.
type followerProgress struct {
	first     uint64 // index of the entry before the first one sent, which the leader assumes the follower has
	index     uint64 // index of the last acknowledged entry
	regressed bool   // true once a regression was detected and logged
}

// NewRegressionDetector returns a detector that observes the responses to entries sent over t.
func NewRegressionDetector(t *Transport, log *slog.Logger) *RegressionDetector {
	return &RegressionDetector{Transport: t, log: log, followers: map[raft.ServerID]*followerProgress{}}
}

// AppendEntries sends entries and checks the response for a regression.
func (t *RegressionDetector) AppendEntries(id raft.ServerID, target raft.ServerAddress, a *raft.AppendEntriesRequest,
	r *raft.AppendEntriesResponse) error {
	err := t.Transport.AppendEntries(id, target, a, r)
	if err == nil && !heartbeat(a) && r.Term == a.Term {
		t.observe(id, a, r)
	}
	return err
}

func (t *RegressionDetector) observe(id raft.ServerID, a *raft.AppendEntriesRequest, r *raft.AppendEntriesResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Term < t.term {
		return
	}
	if a.Term > t.term {
		t.term = a.Term
		clear(t.followers)
	}
	follower := t.followers[id]
	if follower == nil {
		follower = &followerProgress{first: a.PrevLogEntry}
		t.followers[id] = follower
	}
	if a.PrevLogEntry > follower.first { // raft advances only past acknowledged entries, also in a pipeline
		follower.index = max(follower.index, a.PrevLogEntry)
	}
	switch {
	case r.Success:
		follower.index = max(follower.index, a.PrevLogEntry+uint64(len(a.Entries)))
	case r.LastLog < follower.index:
		t.log.Error("registry: a replica lost entries that it acknowledged: its disk lost them, or its data directory was "+
			"rolled back to an old image; replace it with replace-copy, as it may vote twice",
			"copy", id, "acknowledged", follower.index, "has", r.LastLog)
		follower.first, follower.index, follower.regressed = a.PrevLogEntry, 0, true
	}
}

// Regressed reports whether a follower's log has regressed in this term.
func (t *RegressionDetector) Regressed(id raft.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.followers[id] != nil && t.followers[id].regressed
}
