package state

import (
	"fmt"
	"testing"
	"time"
)

// In a partition the leases expire one after the other, as servers renew at different times. No more than the allowed
// fraction may be removed. A few servers that fail independently are removed.
func TestLeases_massExpiryHeld(t *testing.T) {
	const term = 15 * time.Second
	start := time.Unix(0, 0)
	for _, dead := range []int{100, 3} { // of 100 servers: all are partitioned, or three fail within a minute
		l := NewLeases()
		listed := map[string]bool{}
		for i := range 100 {
			uid := fmt.Sprint(i)
			listed[uid] = true
			l.Renew(uid, term, start.Add(time.Duration(i)*term/300)) // spread over a third of the term
		}
		held := 0
		for now := start; now.Before(start.Add(5 * term)); now = now.Add(LeaseCheckInterval) {
			var all []Lease
			for i := range 100 {
				if uid := fmt.Sprint(i); listed[uid] {
					all = append(all, Lease{uid, 1, term})
					if i >= dead {
						l.Renew(uid, term, now)
					}
				}
			}
			var expired map[string]int64
			expired, held = l.Due(all, 0.3, now)
			for uid := range expired {
				delete(listed, uid)
			}
		}
		if dead == 100 && (len(listed) < 70 || held != len(listed)) {
			t.Errorf("partitioned from all servers: %d stay listed and %d are held", len(listed), held)
		}
		if dead == 3 && (len(listed) != 97 || held != 0) {
			t.Errorf("after three failures %d stay listed and %d are held", len(listed), held)
		}
	}
}
