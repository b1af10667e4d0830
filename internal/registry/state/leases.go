package state

import (
	"slices"
	"sync"
	"time"
)

// Leases tracks the lease of each entry on the leader, with times of the monotonic clock.
type Leases struct {
	mu             sync.Mutex
	ends           map[string]time.Time
	held           int
	recentExpiries []expiryCount // expired within the last lease term
}

// expiryCount is the number of leases that expired at a time.
type expiryCount struct {
	at time.Time
	n  int
}

// NewLeases tracks no leases yet.
func NewLeases() *Leases { return &Leases{ends: map[string]time.Time{}} }

// LeaseCheckInterval is the interval at which the leader checks leases.
const LeaseCheckInterval = 200 * time.Millisecond

// Lease is an entry with a lease.
type Lease struct {
	UID     string
	Changed int64
	Term    time.Duration
}

// minLeasesForHold: up to this many leased entries may all expire, as a fraction of so few does not indicate a
// partition.
const minLeasesForHold = 3

// Renew restarts a lease with its full term.
func (l *Leases) Renew(uid string, term time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[uid] = now.Add(term)
}

// End is when a lease ends; zero if this replica tracks none of the entry.
func (l *Leases) End(uid string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ends[uid]
}

// Forget drops all leases when this replica does not lead. Once it leads again every lease gets a full term.
func (l *Leases) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.ends)
	l.held, l.recentExpiries = 0, nil
}

// HeldCount is the number of expired leases whose entries are held.
func (l *Leases) HeldCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Due returns the entries whose leases have expired, with the revision observed. If these and the ones expired within
// the last lease term exceed maxExpiredFraction of all leased entries, it returns only how many are held: a partition of
// this replica is likelier than so many failures. They are held until enough are renewed or removed. The window is a
// lease term because servers renew at different times.
func (l *Leases) Due(all []Lease, maxExpiredFraction float64, now time.Time) (expired map[string]int64, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired = map[string]int64{}
	known := make(map[string]bool, len(all))
	maxTerm := time.Duration(0)
	for _, one := range all {
		known[one.UID] = true
		maxTerm = max(maxTerm, one.Term)
		end, ok := l.ends[one.UID]
		if !ok { // registered under an earlier leader: a full term from now on
			l.ends[one.UID] = now.Add(one.Term)
			continue
		}
		if now.After(end) {
			expired[one.UID] = one.Changed
		}
	}
	for uid := range l.ends {
		if !known[uid] {
			delete(l.ends, uid)
		}
	}
	recent := 0
	l.recentExpiries = slices.DeleteFunc(l.recentExpiries, func(e expiryCount) bool { return now.Sub(e.at) > maxTerm })
	for _, e := range l.recentExpiries {
		recent += e.n
	}
	if sum := len(all) + recent; sum > minLeasesForHold && len(expired) > 0 && float64(len(expired)+recent) > maxExpiredFraction*float64(sum) {
		l.held = len(expired)
		return nil, l.held
	}
	l.held = 0
	if len(expired) > 0 {
		l.recentExpiries = append(l.recentExpiries, expiryCount{now, len(expired)})
	}
	return expired, 0
}
