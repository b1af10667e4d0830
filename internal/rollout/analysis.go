package rollout

// This file collects the outcomes that processes report, for the completion of a step and for the sequential test.

import "marblelane/internal/route"

// countKey identifies a count of one process.
type countKey struct {
	tenant string
	rev    int64
	canary bool
}

// outcomeCounts holds the number of attempts that have ended and how many of them have failed.
type outcomeCounts struct{ ended, failed int64 }

// since returns the increase over earlier totals, or zero if the difference is not plausible, so that the two cannot be
// totals of one count.
func (t outcomeCounts) since(earlier outcomeCounts) outcomeCounts {
	difference := outcomeCounts{t.ended - earlier.ended, t.failed - earlier.failed}
	if difference.failed < 0 || difference.failed > difference.ended {
		return outcomeCounts{}
	}
	return difference
}

// analyzeCounts adds the attempts since the process's last report to the sequential test and to the current step. If the
// process may have been dropped, its first totals may contain attempts that were counted before, so they are only stored.
func (c *Controller) analyzeCounts(p *processState, r *route.Report, mayHaveBeenDropped bool) {
	counts := r.Counts[max(0, len(r.Counts)-MaxCounts):] // the newest revisions come last
	totals := c.usableTotals(counts)
	if !mayHaveBeenDropped {
		c.addWindows(p, counts, totals)
	}
	p.counts = totals
}

// usableTotals returns the plausible counts of live rollouts.
func (c *Controller) usableTotals(counts []route.Count) map[countKey]outcomeCounts {
	totals := map[countKey]outcomeCounts{}
	for i := range counts {
		count := &counts[i]
		progress := c.rollouts[count.Tenant]
		if progress == nil || count.Rev < progress.postedRev || !isPlausible(count) {
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

func isPlausible(c *route.Count) bool {
	return c.Failed >= 0 && c.Late >= 0 && c.Failed <= c.Ended && c.Late <= c.Ended-c.Failed
}

// addWindows adds a window to the sequential test for each listed canary count. A window covers one process and one
// revision, so that the canary fraction is constant within it.
func (c *Controller) addWindows(p *processState, counts []route.Count, totals map[countKey]outcomeCounts) {
	for i := range counts {
		count := &counts[i]
		key := countKey{count.Tenant, count.Rev, true}
		total, usable := totals[key]
		if !usable || !count.Canary {
			continue
		}
		canary := total.since(p.counts[key])
		p.setCount(key, total) // a duplicate line then adds nothing
		key.canary = false
		base := totals[key].since(p.counts[key])
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
