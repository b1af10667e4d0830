package rollout

// This file gathers the outcomes that processes report, for the analysis of a step and for the sequential test.

import "marblelane/internal/route"

// countKey names a count of one process.
type countKey struct {
	tenant string
	rev    int64
	canary bool
}

// outcomeCounts are attempts that have ended, and how many of these have failed.
type outcomeCounts struct{ ended, failed int64 }

// sub is what came on top of earlier totals; none where the two are not of one count.
func (t outcomeCounts) sub(earlier outcomeCounts) outcomeCounts {
	difference := outcomeCounts{t.ended - earlier.ended, t.failed - earlier.failed}
	if difference.failed < 0 || difference.failed > difference.ended {
		return outcomeCounts{}
	}
	return difference
}

// analyzeCounts takes in the attempts since the process's last report. The first totals of a process that may have been
// counted before, and forgotten, tell nothing.
func (c *Controller) analyzeCounts(p *processState, r *route.Report, maybeForgotten bool) {
	counts := r.Counts[max(0, len(r.Counts)-MaxCounts):] // the newest revisions come last
	totals := c.usableTotals(counts)
	if !maybeForgotten {
		c.addWindows(p, counts, totals)
	}
	p.counts = totals
}

// usableTotals are the counts of live rollouts, without those that cannot be.
func (c *Controller) usableTotals(counts []route.Count) map[countKey]outcomeCounts {
	totals := map[countKey]outcomeCounts{}
	for i := range counts {
		count := &counts[i]
		progress := c.rollouts[count.Tenant]
		if progress == nil || count.Rev < progress.postedRev || !plausible(count) {
			continue
		}
		outcome := outcomeCounts{count.Ended, count.Failed}
		if progress.lateIsFailure {
			outcome.failed += count.Late
		}
		totals[countKey{count.Tenant, count.Rev, count.Canary}] = outcome
	}
	return totals
}

func plausible(c *route.Count) bool {
	return c.Failed >= 0 && c.Late >= 0 && c.Failed <= c.Ended && c.Late <= c.Ended-c.Failed
}

// addWindows adds a window to the sequential test for each canary that is counted. A window is of one process under one
// revision, so that the canary fraction is the same throughout.
func (c *Controller) addWindows(p *processState, counts []route.Count, totals map[countKey]outcomeCounts) {
	for i := range counts {
		count := &counts[i]
		key := countKey{count.Tenant, count.Rev, true}
		total, usable := totals[key]
		if !usable || !count.Canary {
			continue
		}
		canary := total.sub(p.counts[key])
		p.setCount(key, total) // a line that is there twice counts once
		key.canary = false
		base := totals[key].sub(p.counts[key])
		c.rollouts[count.Tenant].addWindow(count.Rev, canary, base, c.options.Rho)
	}
}

func (p *processState) setCount(key countKey, total outcomeCounts) {
	if p.counts == nil {
		p.counts = map[countKey]outcomeCounts{}
	}
	p.counts[key] = total
}

func (w *rolloutProgress) addWindow(rev int64, canary, base outcomeCounts, rho float64) {
	if rev >= w.rev {
		w.canaryEnded += canary.ended
	}
	w.logEvidence += logWindowEvidence(canary.ended, base.ended, canary.failed, base.failed, rho)
	w.maxLogEvidence = max(w.maxLogEvidence, w.logEvidence)
}
