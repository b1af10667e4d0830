package routeleader

import (
	"context"
	"net/http"
	"time"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

// This file keeps the history that every replica records for the audit, whether it leads or not, so that a new leader
// can answer audit queries about times before its leadership. The history is in memory only and costs no disk writes.
// Each replica records two things, both on its monotonic clock:
//
//   - The time by which it had applied each audit transition. The recorded event happened before that time.
//   - The newest routes revision of the leader at the time of a poll. Newer revisions were committed after the poll.
//     The replica polls for it, as it does for the list (see freshness), because an unrequested message from a leader
//     may have been delayed and does not show when its content was current.

const (
	routesRevPath   = "/registry/routes-revision"
	revPollInterval = 500 * time.Millisecond
	revPollTimeout  = time.Second
)

// msSinceCreation converts a time to milliseconds since this Routing was created, rounded up.
func (r *Routing) msSinceCreation(at time.Time) int64 {
	return (at.Sub(r.createdAt) + time.Millisecond - 1).Milliseconds()
}

// markAuditLog records how much of the audit log this replica has applied. The clock is read after the
// state, so the recorded time is never too early.
func (r *Routing) markAuditLog() {
	r.list.Read(func(s *state.State) { s.AuditLog.Mark(r.msSinceCreation(time.Now())) })
}

// handleNewestRev answers polls of followers with the newest routes revision. It rejects them if this replica does not
// lead or has a change in flight, because a follower may apply that change before this replica does.
func (r *Routing) handleNewestRev(w http.ResponseWriter, req *http.Request) {
	if r.rejectIfOff(w) {
		return
	}
	l := r.current()
	rev, idle := r.tables.settled()
	if l == nil || !idle {
		writeRejection(w, &Rejection{status: http.StatusServiceUnavailable, after: time.Second, Error: "this copy does not lead, or a change is under way"})
		return
	}
	if err := r.replica.Confirm(); err != nil {
		writeRejection(w, rejectionOf(err))
		return
	}
	if r.current() != l {
		writeRejection(w, rejectionOf(listserver.ErrNotLeader))
		return
	}
	writeJSON(w, struct {
		Rev int64 `json:"rev"`
	}{rev})
}

// pollRevs polls the leader for the newest routes revision until ctx ends.
func (r *Routing) pollRevs(ctx context.Context) {
	client := &http.Client{Timeout: revPollTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	t := time.NewTicker(revPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		me, address := r.replica.Leader()
		if me || address == "" || r.server.Options().Operators == nil {
			continue
		}
		at := time.Now()
		if rev, err := listserver.PollRevision(ctx, client, address, routesRevPath); err != nil {
			r.log.Debug("registry: routes: failed to poll the newest revision of the leader", "error", err)
		} else {
			r.tables.observeRev(at, rev)
		}
	}
}

// settled returns the newest revision and reports whether this replica has no change in flight.
func (t *tables) settled() (rev int64, idle bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rev, _ = t.tail.revisions()
	return rev, len(t.proposed) == 0
}

// LastRevPoll returns the time of the last poll of the leader's newest revision, or zero if there was none.
func (r *Routing) LastRevPoll() time.Time {
	r.tables.mu.Lock()
	defer r.tables.mu.Unlock()
	if len(r.tables.upperBounds) == 0 {
		return time.Time{}
	}
	return r.tables.upperBounds[len(r.tables.upperBounds)-1].at
}

// observeRev records that no revision newer than rev was committed by time at.
func (t *tables) observeRev(at time.Time, rev int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := len(t.upperBounds) - 1
	switch {
	case last >= 0 && rev < t.upperBounds[last].rev: // the response to a later poll was processed first
	case last >= 0 && rev == t.upperBounds[last].rev:
		t.upperBounds[last].at = at
	default:
		if len(t.upperBounds) == maxMoments {
			t.upperBounds = append(t.upperBounds[:0], t.upperBounds[maxMoments/2:]...)
		}
		t.upperBounds = append(t.upperBounds, moment{rev: rev, at: at})
	}
}

// notCommittedUntil returns the latest time at which rev is known not to have been committed, or zero if unknown. It is
// always unknown for the first revision of an epoch, which is not proposed by a routes leader.
func (t *tables) notCommittedUntil(rev int64) (at time.Time) {
	if rev == state.EpochOf(rev)<<state.CountBits {
		return at
	}
	for _, m := range t.upperBounds {
		if m.rev < rev && m.at.After(at) {
			at = m.at
		}
	}
	return at
}
