package state

import (
	"fmt"
	"testing"
	"time"
)

// A cut-off ends leases one after the other, as servers renew at different times; it takes no more than the share off
// the list. Servers that die now and then are taken off all the same.
func TestLeases_massExpiryHeld(t *testing.T) {
	const term = 15 * time.Second
	start := time.Unix(0, 0)
	for _, dead := range []int{100, 3} { // of 100 servers: all are cut off, or three die within a minute
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
			t.Errorf("cut off from all, %d stay listed and %d are held", len(listed), held)
		}
		if dead == 3 && (len(listed) != 97 || held != 0) {
			t.Errorf("three have died, %d stay listed and %d are held", len(listed), held)
		}
	}
}
