package registry

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

// readerRevisions tracks the revisions that readers resume from.
//
// If the data directories of a quorum were rolled back to old disk images, no replica can detect it. Readers can: each
// sends the last revision that it received, and only committed revisions are sent. A reader ahead of a confirmed leader
// proves that committed changes were lost, and that their revisions would be assigned again to other changes. So the
// leader begins a new epoch, for which every reader takes the full list.
//
// Only readers of the same epoch count: one of a later epoch may belong to another cluster, and two clusters would raise
// their epochs past each other for ever. A rollback stays undetected for a reader that returns only after the revisions
// have passed its own.
type readerRevisions struct {
	mu   sync.Mutex
	seen map[int64]int64 // newest revision by epoch
}

// maxReaderEpochs bounds the memory that readers can make a replica use.
const maxReaderEpochs = 4

// minEpochInterval is the minimum time between two epochs begun because a reader was ahead.
const minEpochInterval = time.Minute

func (r *readerRevisions) observe(rev int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil {
		r.seen = map[int64]int64{}
	}
	e := state.EpochOf(rev)
	r.seen[e] = max(r.seen[e], rev)
	if len(r.seen) > maxReaderEpochs { // the latest epoch is the least likely to be of this cluster
		delete(r.seen, slices.Max(slices.Collect(maps.Keys(r.seen))))
	}
}

// newestAhead returns the newest reader revision beyond of in the same epoch; 0 if none. Entries not newestAhead are dropped.
func (r *readerRevisions) newestAhead(of int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for e, rev := range r.seen {
		if e < state.EpochOf(of) || rev <= of {
			delete(r.seen, e)
		}
	}
	return r.seen[state.EpochOf(of)]
}

const seenParam = "seen"

// observeRequests passes requests on, and records the revisions that readers resume from.
func (r *readerRevisions) observeRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		name := ""
		switch strings.TrimSuffix(req.URL.Path, "/") {
		case listserver.ListPath:
			name = "after"
		case listserver.LeaderRevPath:
			name = seenParam
		}
		if name != "" && req.URL.RawQuery != "" {
			if rev, err := strconv.ParseInt(req.URL.Query().Get(name), 10, 64); err == nil && rev > 0 {
				r.observe(rev)
			}
		}
		next.ServeHTTP(w, req)
	})
}

// watchReaderRevisions checks at each heartbeat interval whether a reader is ahead of this replica, until ctx ends.
func (n *Node) watchReaderRevisions(ctx context.Context) {
	client := &http.Client{Timeout: 5 * n.cfg.HeartbeatInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	t := time.NewTicker(n.cfg.HeartbeatInterval)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		seen := n.readers.newestAhead(n.rev())
		switch {
		case seen == 0:
		case n.raft.State() != raft.Leader:
			if err := n.reportToLeader(ctx, client, seen); err != nil {
				n.log.Debug("registry: the leader does not hear what a reader has seen", "error", err)
			}
		case n.Term() != 0 && (last.IsZero() || time.Since(last) > minEpochInterval):
			if n.beginNewEpoch() {
				last = time.Now()
			}
		}
	}
}

func (n *Node) rev() (rev int64) {
	n.hub.Read(func(s *state.State) { rev = s.Rev() })
	return rev
}

// reportToLeader sends the leader the revision of a reader that is ahead of this replica, which may only lag.
func (n *Node) reportToLeader(ctx context.Context, client *http.Client, seen int64) error {
	_, leader := n.Leader()
	if leader == "" {
		return nil
	}
	url := fmt.Sprintf("http://%s%s?%s=%d", leader, listserver.LeaderRevPath, seenParam, seen)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// beginNewEpoch begins a new epoch if a reader is ahead of everything that this leader knows to be committed.
func (n *Node) beginNewEpoch() bool {
	if n.raft.Barrier(listserver.ApplyTimeout).Error() != nil || n.Confirm() != nil {
		return false
	}
	rev := n.rev()
	seen := n.readers.newestAhead(rev)
	if seen == 0 {
		return false // this replica had not applied it yet
	}
	next := state.NextEpoch(n.cfg.Faults.Now(), state.EpochOf(rev))
	n.log.Error("registry: a reader was told more than the copies have: their folders lost what was committed, or old images "+
		"were put back; a new history begins, and readers take the list whole", "seen", seen, "has", rev, "epoch", next)
	if _, err := n.Apply(&state.Command{Op: state.OpBeginEpoch, Epoch: next}, listserver.ApplyTimeout); err != nil {
		n.log.Warn("registry: the new history", "error", err)
		return false
	}
	return true
}
