package routeclient

// This file counts the attempts of each revision, and makes reports of the counts.

import (
	"cmp"
	"slices"

	"marblelane/internal/route"
)

// countKey names a count within one revision.
type countKey struct {
	tenant string
	canary bool
}

// revisionCounts are the counts of one revision.
type revisionCounts struct {
	counts   map[countKey]*route.Count
	received bool // the leader has the final counts of attempts started
}

// countOf is the count of a tenant's side under a revision; c.mu is held.
func (c *Client) countOf(rev int64, key countKey) *route.Count {
	revision := c.revisions[rev]
	if revision == nil {
		revision = &revisionCounts{counts: map[countKey]*route.Count{}}
		c.revisions[rev] = revision
		if rev > 0 {
			c.revisionOrder = append(c.revisionOrder, rev) // the revision acted on only grows
		}
	}
	count := revision.counts[key]
	if count == nil {
		count = &route.Count{Rev: rev, Tenant: key.tenant, Canary: key.canary}
		revision.counts[key] = count
	}
	return count
}

// drainSamples takes the samples out of the ring; c.mu is held. What ended under a revision that is no longer kept is left
// out.
func (c *Client) drainSamples() {
	for {
		sample, more := c.samples.take()
		if !more {
			return
		}
		c.newestSample = sample
		c.needsUnits = c.needsUnits || sample.NeedsUnits
		for _, sampled := range sample.Counts {
			if revision := c.revisions[sampled.Rev]; revision != nil {
				revision.update(sampled)
			}
		}
	}
}

// update takes in what the event loop has counted.
func (r *revisionCounts) update(sampled route.Count) {
	if count := r.counts[countKey{sampled.Tenant, sampled.Canary}]; count != nil {
		count.Ended, count.Failed, count.Late = sampled.Ended, sampled.Failed, sampled.Late
	}
}

// makeReport is a report of this moment: the revision acted on, the lease and the counts belong together.
func (c *Client) makeReport(seq int64, echo route.LeaderTime) route.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainSamples()
	r := route.Report{
		Process:         route.Process{Name: c.cfg.Name, Start: c.start},
		Seq:             seq,
		Echo:            echo,
		Version:         c.cfg.Version,
		Config:          c.cfg.ConfigDigest,
		Schemas:         c.cfg.Schemas,
		ListRev:         c.newestSample.ListRev,
		AcknowledgedRev: c.actingRev,
		UnreadableRev:   c.unreadableRev,
		NoLease:         !c.hasLease(),
		LostSamples:     c.samples.lost,
		CountsTruncated: c.countsTruncated,
	}
	c.appendCounts(&r)
	return r
}

// appendCounts adds counts to a report: the newest revisions first, as many as it may have, and revision 0.
func (c *Client) appendCounts(r *route.Report) {
	for _, rev := range slices.Backward(c.revisionOrder) {
		revision := c.revisions[rev]
		if rev < c.actingRev && len(r.Counts)+len(revision.counts) > maxCounts {
			r.CountsTruncated = true
			break
		}
		revision.appendTo(r)
	}
	if withoutLease := c.revisions[0]; withoutLease != nil {
		withoutLease.appendTo(r)
	}
	slices.SortFunc(r.Counts, func(a, b route.Count) int {
		return cmp.Or(cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.Tenant, b.Tenant), compareBools(a.Canary, b.Canary))
	})
}

func (r *revisionCounts) appendTo(report *route.Report) {
	for _, count := range r.counts {
		report.Counts = append(report.Counts, *count)
	}
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// dropReceivedCounts notes that the leader has a report. Counts of the oldest revisions, beyond minRetainedRevs, are dropped if
// they are final and received: under a revision before the report's nothing has begun since. Counts that a report had no
// space for are dropped as well, as there would never be space for them.
func (c *Client) dropReceivedCounts(r *route.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range r.Counts {
		if revision := c.revisions[count.Rev]; revision != nil && count.Rev < r.AcknowledgedRev {
			revision.received = true
		}
	}
	drop := 0
	for _, rev := range c.revisionOrder[:max(0, len(c.revisionOrder)-minRetainedRevs)] {
		received := c.revisions[rev].received
		if !received && !r.CountsTruncated || rev >= r.AcknowledgedRev {
			break
		}
		c.countsTruncated = c.countsTruncated || !received
		delete(c.revisions, rev)
		drop++
	}
	c.revisionOrder = slices.Delete(c.revisionOrder, 0, drop)
}
