package registry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"marblelane/internal/registry/listserver"
)

// freshness tracks an upper bound of the staleness of a replica's list.
//
// A follower polls the leader for its revision, which the leader returns once a quorum has confirmed it. Every write
// acknowledged before the poll has at most that revision, so once the follower has applied it, its list is as new as
// the poll. raft's time of last contact is not usable for this: heartbeats also reach a follower that receives no
// entries, and the delay of a message is unknown.
type freshness struct {
	mu     sync.Mutex
	at     time.Time      // the list contains every write acknowledged before this time; zero: unknown
	oldest leaderRevision // oldest polled revision that is not applied yet; zero: none
	newest leaderRevision // last polled revision
}

// leaderRevision is the leader's revision and the time at which it was polled.
type leaderRevision struct {
	at  time.Time
	rev int64
}

// observeLeader records the leader's revision as of a poll. The oldest revision not yet applied is kept beside the
// newest: a follower that always lags a little would never reach the newest one.
func (f *freshness) observeLeader(at time.Time, rev int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = leaderRevision{at, rev}
	if f.oldest.at.IsZero() {
		f.oldest = f.newest
	}
}

// observeLeadership records that this replica was the leader at a time. A quorum must have confirmed it since.
func (f *freshness) observeLeadership(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at.Before(at) {
		f.at = at
	}
}

// completeSince returns the latest time for which a replica that has applied rev has every write acknowledged before
// it; zero if no such time is known.
func (f *freshness) completeSince(rev int64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, polled := range []leaderRevision{f.oldest, f.newest} {
		if polled.at.IsZero() || rev < polled.rev {
			break
		}
		if f.oldest = (leaderRevision{}); f.at.Before(polled.at) {
			f.at = polled.at
		}
	}
	if f.oldest.at.IsZero() && rev < f.newest.rev {
		f.oldest = f.newest
	}
	return f.at
}

// trackStaleness updates the staleness at each heartbeat interval until ctx ends: a leader confirms with a quorum, a
// follower polls the leader.
func (n *Node) trackStaleness(ctx context.Context) {
	client := &http.Client{Timeout: 5 * n.cfg.HeartbeatInterval, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	t := time.NewTicker(n.cfg.HeartbeatInterval)
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
		rev, err := listserver.PollRevision(ctx, client, leader, listserver.LeaderRevPath)
		if err != nil {
			n.log.Debug("registry: failed to poll the leader's revision", "error", err)
			continue
		}
		n.fresh.observeLeader(at, rev)
	}
}
