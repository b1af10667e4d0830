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
)

// readers remembers the revisions that readers come back with.
//
// Where the folders of all copies, or of a majority, were put back from old images, no copy can tell: it has what it
// has. Readers can, as each says which revision it was told last, and only what was committed is told. One that is ahead
// of a confirmed leader proves that history was lost, and the same numbers would soon be given again with other
// meanings, which a reader that stayed away meanwhile cannot see. So the leader begins another history: a new epoch,
// whose list everybody takes whole.
//
// Only readers of the same epoch count. One of a later epoch may belong to another cluster, and two clusters that raise
// their epochs past each other would never end. What nobody asks for stays unnoticed: readers that come after the
// revisions have passed theirs.
type readerRevisions struct {
	mu   sync.Mutex
	seen map[int64]int64 // newest revision by epoch
}

// maxReaderEpochs bounds the memory that readers can make a replica use.
const maxReaderEpochs = 4

// beginPause is the least time between two histories that readers are the reason for.
const minEpochInterval = time.Minute

func (r *readerRevisions) take(rev int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil {
		r.seen = map[int64]int64{}
	}
	e := EpochOf(rev)
	r.seen[e] = max(r.seen[e], rev)
	if len(r.seen) > maxReaderEpochs { // the latest is the least likely to be this cluster's
		delete(r.seen, slices.Max(slices.Collect(maps.Keys(r.seen))))
	}
}

// ahead is the newest revision of a revision's own epoch that is beyond it; 0: there is none. What is not is forgotten.
func (r *readerRevisions) ahead(of int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for e, rev := range r.seen {
		if e < EpochOf(of) || rev <= of {
			delete(r.seen, e)
		}
	}
	return r.seen[EpochOf(of)]
}

const seenKey = "seen"

// watched hands requests on, and takes in what readers have seen.
func (r *readerRevisions) watched(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		name := ""
		switch strings.TrimSuffix(req.URL.Path, "/") {
		case listPath:
			name = "after"
		case leaderRevPath:
			name = seenKey
		}
		if name != "" && req.URL.RawQuery != "" {
			if rev, err := strconv.ParseInt(req.URL.Query().Get(name), 10, 64); err == nil && rev > 0 {
				r.take(rev)
			}
		}
		next.ServeHTTP(w, req)
	})
}

// heed looks at each beat whether a reader has seen more than there is, until ctx ends.
func (n *Node) heed(ctx context.Context) {
	client := &http.Client{Timeout: 5 * n.cfg.Beat, Transport: &http.Transport{DisableKeepAlives: true}}
	t := time.NewTicker(n.cfg.Beat)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		seen := n.readers.ahead(n.rev())
		switch {
		case seen == 0:
		case n.raft.State() != raft.Leader:
			if err := n.tellLeader(ctx, client, seen); err != nil {
				n.log.Debug("registry: the leader does not hear what a reader has seen", "error", err)
			}
		case n.Term() != 0 && (last.IsZero() || time.Since(last) > minEpochInterval):
			if n.beginAgain() {
				last = time.Now()
			}
		}
	}
}

func (n *Node) rev() (rev int64) {
	n.hub.read(func(s *State) { rev = s.Rev() })
	return rev
}

// tellLeader says to the leader what a reader of this copy has seen; this copy may only lag.
func (n *Node) tellLeader(ctx context.Context, client *http.Client, seen int64) error {
	_, leader := n.Leader()
	if leader == "" {
		return nil
	}
	url := fmt.Sprintf("http://%s%s?%s=%d", leader, leaderRevPath, seenKey, seen)
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

// beginAgain begins a new history if a reader is ahead of all that was ever committed, as far as this leader can know.
func (n *Node) beginAgain() bool {
	if n.raft.Barrier(applyTimeout).Error() != nil || n.Confirm() != nil {
		return false
	}
	rev := n.rev()
	seen := n.readers.ahead(rev)
	if seen == 0 {
		return false // this copy had not applied it yet
	}
	next := NextEpoch(n.cfg.Faults.Now(), EpochOf(rev))
	n.log.Error("registry: a reader was told more than the copies have: their folders lost what was committed, or old images "+
		"were put back; a new history begins, and readers take the list whole", "seen", seen, "has", rev, "epoch", next)
	if _, err := n.Apply(&Command{Op: OpBegin, Epoch: next}, applyTimeout); err != nil {
		n.log.Warn("registry: the new history", "error", err)
		return false
	}
	return true
}
