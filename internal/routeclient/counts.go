package routeclient

// This file counts the attempts of each revision, and adds the counts to reports.

import (
	"cmp"
	"slices"

	"marblelane/internal/route"
)

// countKey identifies a count within one revision.
type countKey struct {
	tenant string
	canary bool
}

// revisionCounts holds the counts of one revision.
type revisionCounts struct {
	counts   map[countKey]*route.Count
	received bool // the leader has received the final numbers of attempts started
}

// countOf returns the count of a key under a revision, and adds it if necessary. The caller holds c.mu.
func (c *Client) countOf(rev int64, key countKey) *route.Count {
	revision := c.revisions[rev]
	if revision == nil {
		revision = &revisionCounts{counts: map[countKey]*route.Count{}}
		c.revisions[rev] = revision
		if rev > 0 {
			c.revisionOrder = append(c.revisionOrder, rev) // ascending, as the acting revision never decreases
		}
	}
	count := revision.counts[key]
	if count == nil {
		count = &route.Count{Rev: rev, Tenant: key.tenant, Canary: key.canary}
		revision.counts[key] = count
	}
	return count
}

// drainSamples applies and removes the samples of the ring. It ignores counts of revisions that are no longer kept. The
// caller holds c.mu.
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

// update applies a count of the event loop.
func (r *revisionCounts) update(sampled route.Count) {
	if count := r.counts[countKey{sampled.Tenant, sampled.Canary}]; count != nil {
		count.Ended, count.Failed, count.Late = sampled.Ended, sampled.Failed, sampled.Late
	}
}

// makeReport returns a report of the current state. The acting revision, the lease and the counts are read under one
// lock, so they are consistent.
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

// appendCounts adds counts to a report: all of revision 0 and of the acting revision, and those of the newest revisions
// before it as far as maxCounts allows.
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

// dropReceivedCounts records that the leader has received a report, and drops counts of the oldest revisions. The
// newest minRetainedRevs revisions are kept in any case. The counts of an older revision are dropped if the leader has
// received their final values: no attempt starts under a revision before the reported one after the report. Counts that
// did not fit into the report are dropped as well, as they would not fit into a later one either.
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
