package registry

import (
	"slices"
	"sync"
	"time"
)

// leases is the leader's view of which registrations are renewed. It is fed with times of the monotonic clock.
type leases struct {
	mu             sync.Mutex
	ends           map[string]time.Time
	held           int
	recentExpiries []expiryCount // what has ended within the last term
}

// ended is how many leases ended at a time.
type expiryCount struct {
	at time.Time
	n  int
}

func newLeases() *leases { return &leases{ends: map[string]time.Time{}} }

// lease is one entry that has one.
type lease struct {
	uid     string
	changed int64
	term    time.Duration
}

// fewLeases is up to how many leased entries may all end: among few, a share says nothing of a cut-off.
const minLeasesForHold = 3

func (l *leases) renew(uid string, term time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[uid] = now.Add(term)
}

// forget drops all: this copy does not lead. When it leads again, every lease begins anew.
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

// due gives the entries whose leases have ended, with the revision that was seen; or, when they and those that ended
// within the last term are more than holdShare of all leased ones, only how many are held: it is likelier that this copy
// is cut off from them than that so many have died. They are held until enough of them are renewed or removed. The
// term counts, as servers renew at different times: what one cut-off ends does not end at one moment.
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
		if !ok { // registered before this copy led: a full term from now on
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
