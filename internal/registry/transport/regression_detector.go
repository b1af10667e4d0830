package transport

import (
	"log/slog"
	"sync"

	"github.com/hashicorp/raft"
)

// RegressionDetector logs, on the leader, followers whose log has regressed: one that no longer has an entry that it
// acknowledged in this term lost synced data, or its data directory was rolled back to an old disk image. The leader
// sends the entries again, so they are safe once the follower has caught up; a second vote in one term cannot be undone.
//
// Not detected: a regression under another leader or none, and one within a pipeline that is open since the term began.
// A follower that was removed and added again under its name, with an empty directory, is logged as well.
type RegressionDetector struct {
	*Transport
	log *slog.Logger

	mu        sync.Mutex
	term      uint64
	followers map[raft.ServerID]*followerProgress
}

// followerProgress is what a follower has followerProgress in a term.
type followerProgress struct {
	first     uint64 // index before the first entry sent, as assumed by the leader
	index     uint64 // last index acknowledged
	regressed bool   // regressed, and logged
}

// NewRegressionDetector watches the answers to entries that are sent over t.
func NewRegressionDetector(t *Transport, log *slog.Logger) *RegressionDetector {
	return &RegressionDetector{Transport: t, log: log, followers: map[raft.ServerID]*followerProgress{}}
}

// AppendEntries sends entries and looks at the answer.
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
	h := t.followers[id]
	if h == nil {
		h = &followerProgress{first: a.PrevLogEntry}
		t.followers[id] = h
	}
	if a.PrevLogEntry > h.first { // raft moves on only past what was acknowledged, in a stream too
		h.index = max(h.index, a.PrevLogEntry)
	}
	switch {
	case r.Success:
		h.index = max(h.index, a.PrevLogEntry+uint64(len(a.Entries)))
	case r.LastLog < h.index:
		t.log.Error("registry: a copy no longer has what it acknowledged: its disk lost it, or an old image of its folder "+
			"was put back; replace-copy it, it may vote twice", "copy", id, "acknowledged", h.index, "has", r.LastLog)
		h.first, h.index, h.regressed = a.PrevLogEntry, 0, true
	}
}

// Regressed reports whether a follower's log has regressed in this term.
func (t *RegressionDetector) Regressed(id raft.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.followers[id] != nil && t.followers[id].regressed
}
