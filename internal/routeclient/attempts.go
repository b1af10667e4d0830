package routeclient

// This file checks and counts an attempt right before its first byte is written.

// StartAttempt checks, right before the first byte of an attempt is written, whether the attempt may still start. rev
// is the revision under which the attempt was decided on, or 0 if that happened without a lease. If ok is false, the
// attempt must not start. Otherwise StartAttempt counts it, and returns the revision under which it is counted.
//
// A canary attempt may start under the acting revision and during a lease only. Any other attempt may start under the
// acting revision, and is counted under revision 0 without a lease. An attempt with rev 0 is always counted under 0.
//
// An attempt that moves to another connection is checked and counted again, so that the counts are never below the
// number of attempts started.
func (c *Client) StartAttempt(rev int64, tenant string, canary bool) (counted int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counted, ok = c.countedRev(rev, canary); ok {
		c.countOf(counted, countKey{tenant, canary}).Started++
	}
	return counted, ok
}

// StartAttemptAs is StartAttempt for an attempt whose head contains the revision under which it counts, counted, and is
// already written. If the attempt would now count under another revision, it must not start and is not counted. The
// check and the count are one step, because undoing a count would make the totals decrease.
func (c *Client) StartAttemptAs(rev int64, tenant string, canary bool, counted int64) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now, ok := c.countedRev(rev, canary); !ok || now != counted {
		return false
	}
	c.countOf(counted, countKey{tenant, canary}).Started++
	return true
}

// countedRev returns the revision under which an attempt counts. ok is false if it must not start. The caller holds
// c.mu.
func (c *Client) countedRev(rev int64, canary bool) (counted int64, ok bool) {
	counted = rev
	if !c.hasLease() {
		counted = 0
	}
	if rev != c.actingRev && rev != 0 || canary && counted == 0 {
		return 0, false
	}
	return counted, true
}

// ExpectedRev returns the revision that StartAttempt would return for an attempt to the base, without counting the
// attempt. The head of the attempt contains this revision.
func (c *Client) ExpectedRev(rev int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasLease() {
		return 0
	}
	return rev
}
