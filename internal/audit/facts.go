package audit

// This file stores facts about the attempts of one process. The facts hold regardless of the order of the reports.

import (
	"cmp"
	"slices"

	"marblelane/internal/route"
)

// countHistory holds the facts about the count under one revision.
type countHistory struct {
	rev                int64
	steps              []countStep // sorted by count
	final              int64       // the final count, or unknownFinal
	lastSeq, lastCount int64       // Seq and count of the newest report that lists the revision
	finalReported      bool        // the final count was already returned as a transition
}

const unknownFinal = -1

// countStep states two facts: the count is at least count from reachedBy on, and at most count up to heldUntil.
type countStep struct{ count, reachedBy, heldUntil int64 }

// zeroCounts states that the counts of fromRev and of all later revisions were 0 up to until. A process's list is sorted
// by both fields in ascending order, and contains no fact that follows from another.
type zeroCounts struct{ fromRev, until int64 }

// revisionRange is the range of revisions between two others, both excluded. In the skipped ranges of a process, each
// revision without a history has a final count of 0.
type revisionRange struct{ above, below int64 }

func (r revisionRange) contains(rev int64) bool { return r.above < rev && rev < r.below }

// addSample records that the count was n at a moment from lo to hi, and reports whether this is consistent with earlier
// samples. final means that n is the final count.
func (h *countHistory) addSample(seq, n, lo, hi int64, final bool) (consistent bool) {
	falls := seq > h.lastSeq && n < h.lastCount || seq < h.lastSeq && n > h.lastCount
	exceedsFinal := h.final >= 0 && n > h.final
	if seq > h.lastSeq {
		h.lastSeq, h.lastCount = seq, n
	}
	if final && h.final < 0 {
		h.final = n
	}
	i, found := slices.BinarySearchFunc(h.steps, n, func(s countStep, n int64) int { return cmp.Compare(s.count, n) })
	if !found {
		h.steps = slices.Insert(h.steps, i, countStep{count: n, reachedBy: hi, heldUntil: lo})
	}
	step := &h.steps[i]
	step.reachedBy, step.heldUntil = min(step.reachedBy, hi), max(step.heldUntil, lo)
	return !falls && !exceedsFinal
}

// lastStep returns the step of the highest known count. A history has at least one step.
func (h *countHistory) lastStep() countStep { return h.steps[len(h.steps)-1] }

// dropBefore drops the steps whose facts concern only times before cutoff, except for the newest of them.
func (h *countHistory) dropBefore(cutoff int64) {
	droppable := 0
	for droppable < len(h.steps)-1 && h.steps[droppable+1].reachedBy < cutoff &&
		max(h.steps[droppable].reachedBy, h.steps[droppable].heldUntil) < cutoff {
		droppable++
	}
	h.steps = slices.Delete(h.steps, 0, droppable)
}

// halve drops every second inner step, which makes the history coarser in time.
func (h *countHistory) halve() {
	remaining := h.steps[:0]
	for i, step := range h.steps {
		if i%2 == 0 || i == len(h.steps)-1 {
			remaining = append(remaining, step)
		}
	}
	h.steps = remaining
}

// addZero adds a fact unless it follows from another, and drops facts that follow from it.
func (p *processRecord) addZero(z zeroCounts, maxFacts int) {
	for _, old := range p.zeros {
		if old.fromRev <= z.fromRev && old.until >= z.until {
			return
		}
	}
	p.zeros = slices.DeleteFunc(p.zeros, func(old zeroCounts) bool { return old.fromRev >= z.fromRev && old.until <= z.until })
	i, _ := slices.BinarySearchFunc(p.zeros, z.fromRev, func(old zeroCounts, rev int64) int {
		return cmp.Compare(old.fromRev, rev)
	})
	p.zeros = slices.Insert(p.zeros, i, z)
	if len(p.zeros) > maxFacts {
		p.zeros = slices.Delete(p.zeros, 0, 1)
	}
}

// addSkipped adds a range of revisions that the process skipped, merged with the ranges that it overlaps.
func (p *processRecord) addSkipped(r revisionRange, maxFacts int) {
	if r.above+1 >= r.below {
		return
	}
	p.skipped = slices.DeleteFunc(p.skipped, func(old revisionRange) bool {
		if old.above >= r.below || r.above >= old.below {
			return false
		}
		r.above, r.below = min(r.above, old.above), max(r.below, old.below)
		return true
	})
	i, _ := slices.BinarySearchFunc(p.skipped, r.above, func(old revisionRange, above int64) int {
		return cmp.Compare(old.above, above)
	})
	p.skipped = slices.Insert(p.skipped, i, r)
	if len(p.skipped) > maxFacts {
		p.skipped = slices.Delete(p.skipped, 0, 1)
	}
}

// wasSkipped reports whether the process skipped a revision, so that the final count is 0.
func (p *processRecord) wasSkipped(rev int64) bool {
	if p.history(rev) != nil {
		return false
	}
	return slices.ContainsFunc(p.skipped, func(r revisionRange) bool { return r.contains(rev) })
}

// limitFacts drops steps until at most maxFacts are left. It halves the longest history, so that older times become
// coarser than newer ones; once all histories are short, it drops the history of the oldest revision.
func (p *processRecord) limitFacts(maxFacts int) {
	for {
		total, largest := 0, 0
		for i := range p.histories {
			n := len(p.histories[i].steps)
			total += n
			if n > len(p.histories[largest].steps) {
				largest = i
			}
		}
		if total <= maxFacts {
			return
		}
		if h := &p.histories[largest]; len(h.steps) > 2 {
			h.halve()
			continue
		}
		p.dropHistory(p.oldestHistory())
	}
}

// oldestHistory returns the index of the oldest revision's history. Revision 0 is chosen only if there is no other.
func (p *processRecord) oldestHistory() int {
	if p.histories[0].rev == 0 && len(p.histories) > 1 {
		return 1
	}
	return 0
}

// dropHistory drops a history, and cuts the skipped range that contains its revision, as revisions without a history
// in such a range have a final count of 0.
func (p *processRecord) dropHistory(i int) {
	rev := p.histories[i].rev
	p.histories = slices.Delete(p.histories, i, i+1)
	p.newestDroppedRev = max(p.newestDroppedRev, rev)
	for i, r := range p.skipped {
		if r.contains(rev) {
			p.skipped[i].above = rev
		}
	}
}

// dropBefore drops facts that concern only times before cutoff.
func (p *processRecord) dropBefore(cutoff int64) {
	for i := len(p.histories) - 1; i >= 0; i-- {
		h := &p.histories[i]
		h.dropBefore(cutoff)
		if h.final >= 0 && h.lastSeq < p.lastReport.Seq && h.lastStep().reachedBy < cutoff {
			p.dropHistory(i)
		}
	}
	p.zeros = slices.DeleteFunc(p.zeros, func(z zeroCounts) bool { return z.until < cutoff })
}

func (p *processRecord) historyIndex(rev int64) (int, bool) {
	return slices.BinarySearchFunc(p.histories, rev, func(h countHistory, rev int64) int { return cmp.Compare(h.rev, rev) })
}

// history returns the history of a revision, or nil if there is none.
func (p *processRecord) history(rev int64) *countHistory {
	if i, found := p.historyIndex(rev); found {
		return &p.histories[i]
	}
	return nil
}

func (p *processRecord) historyOrNew(rev int64) *countHistory {
	i, found := p.historyIndex(rev)
	if !found {
		p.histories = slices.Insert(p.histories, i, countHistory{rev: rev, final: unknownFinal})
	}
	return &p.histories[i]
}

// highestKnownCount returns the highest known count under a revision.
func (p *processRecord) highestKnownCount(rev int64) int64 {
	if h := p.history(rev); h != nil {
		return h.lastStep().count
	}
	return 0
}

// addUnlisted records the facts that follow from the absence of revisions in a report that was sampled from lo to hi: see
// the package comment.
func (p *processRecord) addUnlisted(r *route.Report, listed []revisionCount, lo, hi int64, o TrackerOptions) {
	zeroFrom, oldestListed, listedRevs := r.AcknowledgedRev, int64(0), 0
	for _, c := range listed {
		if c.rev >= zeroFrom && c.count > 0 {
			zeroFrom = c.rev + 1
		}
		if c.rev > 0 {
			if listedRevs == 0 {
				oldestListed = c.rev
			}
			listedRevs++
		}
	}
	complete := listedRevs < o.MinListedRevs && !r.CountsTruncated
	if lo > minTime {
		p.addZero(zeroCounts{fromRev: max(zeroFrom, 1), until: lo}, o.MaxFacts)
		if complete && (len(listed) == 0 || listed[0].rev != 0) {
			p.historyOrNew(0).addSample(r.Seq, 0, lo, hi, false)
		}
	}
	switch {
	case complete:
		p.addSkipped(revisionRange{above: 0, below: r.AcknowledgedRev}, o.MaxFacts)
	case listedRevs > 0:
		p.addSkipped(revisionRange{above: oldestListed, below: r.AcknowledgedRev}, o.MaxFacts)
	}
}

// revisionCount is the number of attempts under one revision.
type revisionCount struct{ rev, count int64 }

// countsByRevision sums a report's attempts by revision, over tenants and over base and canary.
func countsByRevision(counts []route.Count) []revisionCount {
	var out []revisionCount
	for _, c := range counts {
		i, found := slices.BinarySearchFunc(out, c.Rev, func(r revisionCount, rev int64) int { return cmp.Compare(r.rev, rev) })
		if !found {
			out = slices.Insert(out, i, revisionCount{rev: c.Rev})
		}
		out[i].count += c.Started
	}
	return out
}
