package state

import (
	"slices"
	"sync"
	"time"
)

// Leases tracks, on the leader, the time at which each lease expires. It uses the monotonic clock.
type Leases struct {
	mu             sync.Mutex
	ends           map[string]time.Time
	held           int           // number of expired leases whose entries are kept, see Due
	recentExpiries []expiryCount // expiries within the last lease term
}

// expiryCount is the number of leases that expired at a time.
type expiryCount struct {
	at time.Time
	n  int
}

// NewLeases returns a Leases that tracks no lease yet.
func NewLeases() *Leases { return &Leases{ends: map[string]time.Time{}} }

// LeaseCheckInterval is the interval at which the leader checks leases.
const LeaseCheckInterval = 200 * time.Millisecond

// Lease is the lease of an entry: its term, and the revision of the entry's last change.
type Lease struct {
	UID     string
	Changed int64
	Term    time.Duration
}

// minLeasesForHold is the number of leased entries up to which all may expire. A fraction of so few does not indicate a
// partition.
const minLeasesForHold = 3

// Renew restarts a lease with its full term.
func (l *Leases) Renew(uid string, term time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[uid] = now.Add(term)
}

// End returns the time at which a lease expires; zero if this replica tracks no lease of the entry.
func (l *Leases) End(uid string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ends[uid]
}

// Forget drops all leases. It is called while this replica does not lead, so that every lease gets a full term once it
// leads again.
func (l *Leases) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.ends)
	l.held, l.recentExpiries = 0, nil
}

// HeldCount returns the number of entries that are kept although their leases have expired.
func (l *Leases) HeldCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Due returns the entries whose leases have expired, with the revision of the last change of each. If these and the
// ones that expired within the last lease term exceed maxExpiredFraction of all leased entries, it returns only their
// number, as held: a partition of this replica is likelier than so many failures. Held entries stay in the list until
// enough leases are renewed or removed. The window is a lease term because servers renew at different times.
func (l *Leases) Due(all []Lease, maxExpiredFraction float64, now time.Time) (expired map[string]int64, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired = map[string]int64{}
	leased := make(map[string]bool, len(all))
	maxTerm := time.Duration(0)
	for _, lease := range all {
		leased[lease.UID] = true
		maxTerm = max(maxTerm, lease.Term)
		end, ok := l.ends[lease.UID]
		if !ok { // the entry was registered under an earlier leader and gets a full term from now on
			l.ends[lease.UID] = now.Add(lease.Term)
			continue
		}
		if now.After(end) {
			expired[lease.UID] = lease.Changed
		}
	}
	for uid := range l.ends {
		if !leased[uid] {
			delete(l.ends, uid)
		}
	}
	recent := 0
	l.recentExpiries = slices.DeleteFunc(l.recentExpiries, func(e expiryCount) bool { return now.Sub(e.at) > maxTerm })
	for _, e := range l.recentExpiries {
		recent += e.n
	}
	if total := len(all) + recent; total > minLeasesForHold && len(expired) > 0 && float64(len(expired)+recent) > maxExpiredFraction*float64(total) {
		l.held = len(expired)
		return nil, l.held
	}
	l.held = 0
	if len(expired) > 0 {
		l.recentExpiries = append(l.recentExpiries, expiryCount{now, len(expired)})
	}
	return expired, 0
}
