package routeleader

import (
	"context"
	"net/http"
	"time"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

// This file is what each replica notes for the audit, leader or not, so that one that comes to lead can answer for
// times before. It is in memory alone: neither costs a write to a disk. Two things are noted, both on the replica's
// monotonic clock:
//
//   - by when it held each transition of the log. What a transition tells had come true by then.
//   - that at some moment the leader had no newer revision of routes than this: each newer one was committed later. The
//     leader is asked, as for the list (see freshness), and for the same reason: what comes from a leader by itself tells
//     nothing of when.

const (
	routesRevPath   = "/registry/routes-revision"
	revPollInterval = 500 * time.Millisecond
	revPollTimeout  = time.Second
)

// clock converts a time to milliseconds since this replica started, rounded up.
func (r *Routing) clock(at time.Time) int64 {
	return (at.Sub(r.opened) + time.Millisecond - 1).Milliseconds()
}

// markAuditLog records how much of the audit log this replica has applied. The time is read after the state.
func (r *Routing) markAuditLog() {
	r.list.Read(func(s *state.State) { s.AuditLog.Mark(r.clock(time.Now())) })
}

// handleNewestRev answers polls of followers with the newest routes revision, if this replica leads and no change is in
// flight: a change in flight may be applied on a follower before it is applied here.
func (r *Routing) handleNewestRev(w http.ResponseWriter, req *http.Request) {
	if r.rejectIfOff(w) {
		return
	}
	l := r.current()
	rev, still := r.tables.settled()
	if l == nil || !still {
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
			r.log.Debug("registry: routes: the leader does not say what it has", "error", err)
		} else {
			r.tables.observeRev(at, rev)
		}
	}
}

// settled returns the newest revision, and whether this replica has no change in flight.
func (t *tables) settled() (rev int64, still bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rev, _ = t.tail.revisions()
	return rev, len(t.proposed) == 0
}

// LastRevPoll is when the leader's newest revision was polled last; zero if never.
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
	case last >= 0 && rev < t.upperBounds[last].rev: // a later answer was processed first
	case last >= 0 && rev == t.upperBounds[last].rev:
		t.upperBounds[last].at = at
	default:
		if len(t.upperBounds) == maxMoments {
			t.upperBounds = append(t.upperBounds[:0], t.upperBounds[maxMoments/2:]...)
		}
		t.upperBounds = append(t.upperBounds, moment{rev: rev, at: at})
	}
}

// notCommittedUntil returns the latest time at which rev is known not to be committed; zero if unknown. The first revision of an
// epoch is not proposed by a routes leader, so nothing is known of it.
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
