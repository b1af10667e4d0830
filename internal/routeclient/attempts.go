package routeclient

// This file is the last check of an attempt before its first byte.

// StartAttempt checks what an attempt was decided on, right before its first byte is written. It returns the revision under
// which the attempt counts, and counts it in the same moment; if it is not ok the attempt must not begin. A canary attempt
// begins under the revision that is acted on, during a lease; any other one begins under that revision, or without a lease
// under 0. An attempt that was decided on without a lease, for which rev is 0, begins under 0 in any case.
//
// An attempt that moves to another connection is checked and counted again, so that the counts are never below what has
// begun.
func (c *Client) StartAttempt(rev int64, tenant string, canary bool) (counted int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counted, ok = c.countedRev(rev, canary); ok {
		c.countOf(counted, countKey{tenant, canary}).Started++
	}
	return counted, ok
}

// StartAttemptAs is Begin for an attempt whose head, already written, names the revision under which it counts. If it would count
// under another one it must not begin, and is not counted. Check and count are one step: a count that is taken back would
// make the counts fall.
func (c *Client) StartAttemptAs(rev int64, tenant string, canary bool, counted int64) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now, ok := c.countedRev(rev, canary); !ok || now != counted {
		return false
	}
	c.countOf(counted, countKey{tenant, canary}).Started++
	return true
}

// countedRev is the revision under which an attempt counts, if it may begin; c.mu is held.
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

// ExpectedRev is what Begin would return for an attempt that is no canary's, without counting it. The head of an attempt
// is written for it.
func (c *Client) ExpectedRev(rev int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasLease() {
		return 0
	}
	return rev
}
