package registry

import (
	"log/slog"
	"sync"

	"github.com/hashicorp/raft"
)

// noticing is a leader's eye on copies that go back: one that no longer has an entry that it has acknowledged in this
// lead lost what its disk had synced, or its folder was put back from an old image. The leader sends it all again, so
// the entries are safe once it has caught up; that it may have voted twice meanwhile nobody can undo. So it is said.
//
// What it cannot notice: a copy that went back while another led, or while none did; what an entry was acknowledged
// with in a stream that has been one since the lead began and was never broken. And a copy that was removed and added
// under its old name, with an empty folder, is told of too.
type regressionDetector struct {
	*transport
	log *slog.Logger

	mu   sync.Mutex
	term uint64
	has  map[raft.ServerID]*acknowledged
}

// acknowledged is what a copy has acknowledged in a lead.
type acknowledged struct {
	first uint64 // the entry before the first that was sent: the leader's own guess
	index uint64 // the last that it has acknowledged
	back  bool   // it went back, and that was said
}

func newRegressionDetector(t *transport, log *slog.Logger) *regressionDetector {
	return &regressionDetector{transport: t, log: log, has: map[raft.ServerID]*acknowledged{}}
}

// AppendEntries sends entries and looks at the answer.
func (t *regressionDetector) AppendEntries(id raft.ServerID, target raft.ServerAddress, a *raft.AppendEntriesRequest,
	r *raft.AppendEntriesResponse) error {
	err := t.transport.AppendEntries(id, target, a, r)
	if err == nil && !heartbeat(a) && r.Term == a.Term {
		t.notice(id, a, r)
	}
	return err
}

func (t *regressionDetector) notice(id raft.ServerID, a *raft.AppendEntriesRequest, r *raft.AppendEntriesResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Term < t.term {
		return
	}
	if a.Term > t.term {
		t.term = a.Term
		clear(t.has)
	}
	h := t.has[id]
	if h == nil {
		h = &acknowledged{first: a.PrevLogEntry}
		t.has[id] = h
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
		h.first, h.index, h.back = a.PrevLogEntry, 0, true
	}
}

// wentBack tells whether a copy was seen to go back in this lead.
func (t *regressionDetector) wentBack(id raft.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.has[id] != nil && t.has[id].back
}
