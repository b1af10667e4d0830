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
// Replicas cannot detect that the data directories of a quorum were rolled back to old disk images, but their readers
// make it visible: each reader sends the last revision that it received, and only committed revisions are sent to
// readers. A reader ahead of a confirmed leader proves that committed changes were lost, and that their revisions would
// be assigned again to other changes. The leader then begins a new epoch, and every reader receives the full list.
//
// Only readers of the same epoch count: a reader of a later epoch may belong to another cluster, and two clusters would
// raise their epochs past each other forever. A rollback is not detected if the reader returns only after the revisions
// have passed its own.
type readerRevisions struct {
	mu   sync.Mutex
	seen map[int64]int64 // newest revision of each epoch
}

// maxReaderEpochs is the maximum number of epochs tracked, as readers may send any.
const maxReaderEpochs = 4

// minEpochInterval is the minimum time between two epochs begun because a reader was ahead.
const minEpochInterval = time.Minute

// observe records a revision that a reader resumes from.
func (r *readerRevisions) observe(rev int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil {
		r.seen = map[int64]int64{}
	}
	epoch := state.EpochOf(rev)
	r.seen[epoch] = max(r.seen[epoch], rev)
	if len(r.seen) > maxReaderEpochs { // the latest epoch is the least likely to belong to this cluster
		delete(r.seen, slices.Max(slices.Collect(maps.Keys(r.seen))))
	}
}

// newestAhead returns the newest reader revision that is higher than applied and of the same epoch; 0 if there is none.
// It drops revisions of earlier epochs, and those that are not ahead.
func (r *readerRevisions) newestAhead(applied int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for epoch, rev := range r.seen {
		if epoch < state.EpochOf(applied) || rev <= applied {
			delete(r.seen, epoch)
		}
	}
	return r.seen[state.EpochOf(applied)]
}

// seenParam is the query parameter by which a follower reports a reader's revision to the leader.
const seenParam = "seen"

// observeRequests returns a handler that records the revisions that readers resume from and calls next.
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
	var lastEpoch time.Time
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
				n.log.Debug("registry: failed to report a reader's revision to the leader", "error", err)
			}
		case n.Term() != 0 && (lastEpoch.IsZero() || time.Since(lastEpoch) > minEpochInterval):
			if n.beginNewEpoch() {
				lastEpoch = time.Now()
			}
		}
	}
}

// rev returns the revision that this replica has applied.
func (n *Node) rev() (rev int64) {
	n.hub.Read(func(s *state.State) { rev = s.Rev() })
	return rev
}

// reportToLeader sends the leader the revision of a reader that is ahead of this replica. This replica may merely lag,
// so the leader decides.
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

// beginNewEpoch begins a new epoch if a reader is ahead of every change that is committed. It reports whether it did.
func (n *Node) beginNewEpoch() bool {
	if n.raft.Barrier(listserver.ApplyTimeout).Error() != nil || n.Confirm() != nil {
		return false
	}
	rev := n.rev()
	seen := n.readers.newestAhead(rev)
	if seen == 0 {
		return false // this replica merely had not applied the revision yet
	}
	next := state.NextEpoch(n.cfg.Faults.Now(), state.EpochOf(rev))
	n.log.Error("registry: a reader is ahead of the replicas: their data directories lost committed changes or were restored from "+
		"old images; beginning a new epoch, in which readers receive the full list", "seen", seen, "has", rev, "epoch", next)
	if _, err := n.Apply(&state.Command{Op: state.OpBeginEpoch, Epoch: next}, listserver.ApplyTimeout); err != nil {
		n.log.Warn("registry: failed to begin a new epoch", "error", err)
		return false
	}
	return true
}
