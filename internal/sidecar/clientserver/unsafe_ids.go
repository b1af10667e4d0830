package clientserver

import (
	"sync"
	"time"
)

const (
	// abandonedRetention is how long the ID of an abandoned request is kept: longer than any client waits before it sends
	// the request again on another connection.
	abandonedRetention = time.Minute
	maxAbandoned       = 4096 // beyond it the oldest are dropped
)

// unsafeIDs holds the IDs of non-idempotent requests that are in flight, and of those that may have run and whose client
// left before the answer. A request with such an ID is not sent again. IDs are held as hashes, so that long ones take no
// memory. It is safe for concurrent use.
type unsafeIDs struct {
	mu        sync.Mutex
	inFlight  map[uint64]struct{}
	abandoned map[uint64]struct{}
	order     []abandonedID // of abandoned, the oldest first
}

type abandonedID struct {
	id    uint64
	until time.Time
}

// begin records that a request is in flight. It returns false if one with this ID is, or was abandoned.
func (u *unsafeIDs) begin(id uint64, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dropExpired(now)
	_, inFlight := u.inFlight[id]
	_, abandoned := u.abandoned[id]
	if inFlight || abandoned {
		return false
	}
	if u.inFlight == nil {
		u.inFlight = map[uint64]struct{}{}
	}
	u.inFlight[id] = struct{}{}
	return true
}

// end records that a request is no longer in flight.
func (u *unsafeIDs) end(id uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.inFlight, id)
}

// abandon records that the client of a request left before the answer, and that the request may have run.
func (u *unsafeIDs) abandon(id uint64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dropExpired(now)
	if _, known := u.abandoned[id]; known {
		return
	}
	if u.abandoned == nil {
		u.abandoned = map[uint64]struct{}{}
	}
	u.abandoned[id] = struct{}{}
	u.order = append(u.order, abandonedID{id, now.Add(abandonedRetention)})
}

// all returns the IDs of abandoned requests.
func (u *unsafeIDs) all() (ids []uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.order {
		ids = append(ids, a.id)
	}
	return ids
}

// dropExpired drops the IDs that are kept no longer. The caller holds the lock.
func (u *unsafeIDs) dropExpired(now time.Time) {
	for len(u.order) > 0 && (len(u.order) >= maxAbandoned || !now.Before(u.order[0].until)) {
		delete(u.abandoned, u.order[0].id)
		u.order = u.order[1:]
	}
}
