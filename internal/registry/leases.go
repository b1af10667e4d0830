package registry

import (
	"slices"
	"sync"
	"time"
)

// leases tracks the lease of each entry on the leader, with times of the monotonic clock.
type leases struct {
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

func newLeases() *leases { return &leases{ends: map[string]time.Time{}} }

// lease is an entry with a lease.
type lease struct {
	uid     string
	changed int64
	term    time.Duration
}

// minLeasesForHold: up to this many leased entries may all expire, as a fraction of so few does not indicate a
// partition.
const minLeasesForHold = 3

func (l *leases) renew(uid string, term time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[uid] = now.Add(term)
}

// forget drops all leases when this replica does not lead. Once it leads again every lease gets a full term.
func (l *leases) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.ends)
	l.held, l.recentExpiries = 0, nil
}

func (l *leases) heldCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// due returns the entries whose leases have expired, with the revision observed. If these and the ones expired within
// the last lease term exceed maxExpiredFraction of all leased entries, it returns only how many are held: a partition of
// this replica is likelier than so many failures. They are held until enough are renewed or removed. The window is a
// lease term because servers renew at different times.
func (l *leases) due(all []lease, maxExpiredFraction float64, now time.Time) (expired map[string]int64, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired = map[string]int64{}
	known := make(map[string]bool, len(all))
	maxTerm := time.Duration(0)
	for _, one := range all {
		known[one.uid] = true
		maxTerm = max(maxTerm, one.term)
		end, ok := l.ends[one.uid]
		if !ok { // registered under an earlier leader: a full term from now on
			l.ends[one.uid] = now.Add(one.term)
			continue
		}
		if now.After(end) {
			expired[one.uid] = one.changed
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
