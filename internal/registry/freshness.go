package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// freshness follows how old at most a copy's list is.
//
// A follower asks the leader for its revision, which the leader gives once a majority has confirmed that it leads: all
// that was acknowledged before the question has that revision at most, so once this copy has it too, its list is as new
// as the question. The way not taken: raft's time of the last contact, or the index that comes with entries. Heartbeats
// reach a copy that gets no entries just as well, and how long a message was under way nobody knows; the lab found lists
// that were milliseconds older than they said, and a copy that had come back seconds.
type freshness struct {
	mu     sync.Mutex
	at     time.Time      // zero: never yet
	oldest leaderRevision // that has not been reached
	newest leaderRevision
}

// promise is what the leader had at a time.
type leaderRevision struct {
	at  time.Time
	rev int64
}

// offer takes in that the leader had a revision at a time. One promise is kept until it is reached, and the newest
// beside it: where each new one replaced it, a copy that always lags a little would never reach any.
func (f *freshness) observeLeader(at time.Time, rev int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = leaderRevision{at, rev}
	if f.oldest.at.IsZero() {
		f.oldest = f.newest
	}
}

// lead takes in that this copy led at a time, as a majority has confirmed since.
func (f *freshness) observeLeadership(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at.Before(at) {
		f.at = at
	}
}

// since is the last time at which a copy that has a revision by now had all; zero: never yet.
func (f *freshness) since(rev int64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range []leaderRevision{f.oldest, f.newest} {
		if p.at.IsZero() || rev < p.rev {
			break
		}
		if f.oldest = (leaderRevision{}); f.at.Before(p.at) {
			f.at = p.at
		}
	}
	if f.oldest.at.IsZero() && rev < f.newest.rev {
		f.oldest = f.newest
	}
	return f.at
}

const leaderRevPath = "/registry/leader-revision"

// leaderRev answers followers: the revision that this copy had when they asked, if it led then.
func (s *Server) leaderRev(w http.ResponseWriter, _ *http.Request) {
	var rev int64
	s.hub.read(func(st *State) { rev = st.Rev() })
	if err := s.replica.Confirm(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"rev\":%d}\n", rev)
}

// follow asks at each beat how new this copy is, until ctx ends: a leader a majority, the others their leader.
func (n *Node) follow(ctx context.Context) {
	client := &http.Client{Timeout: 5 * n.cfg.Beat, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	t := time.NewTicker(n.cfg.Beat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		at := time.Now()
		if n.raft.State() == raft.Leader {
			if n.Confirm() == nil {
				n.fresh.observeLeadership(at)
			}
			continue
		}
		_, leader := n.Leader()
		if leader == "" {
			continue
		}
		rev, err := pollLeader(ctx, client, leader)
		if err != nil {
			n.log.Debug("registry: the leader does not say what it has", "error", err)
			continue
		}
		n.fresh.observeLeader(at, rev)
	}
}

func pollLeader(ctx context.Context, client *http.Client, leader string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+leader+leaderRevPath, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var has struct {
		Rev int64 `json:"rev"`
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s answers %s", leader, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&has); err != nil {
		return 0, fmt.Errorf("%s: %w", leader, err)
	}
	return has.Rev, nil
}
