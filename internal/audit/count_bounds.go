package audit

import "math"

// countBounds holds the bounds on a count before, within and after the time of a query: see the package comment.
type countBounds struct {
	query Query

	// Bounds for the verdict Acted, in the narrowed time.
	actedFrom, actedTo int64
	maxBefore          int64 // upper bound of the count when the time begins
	minByEnd           int64 // lower bound of the count when the time ends

	// Bounds for the verdict DidNotAct, outside the widened time.
	notActedFrom  int64
	notActedUntil int64 // a sample after this moment counts as one after the time
	minBefore     int64 // lower bound of the count before the time
	maxAfter      int64 // upper bound of the count after the time
	sampledAfter  bool  // there is a sample after the time, or a final count

	// Counts that reveal contradictions.
	maxKnown int64 // highest count of any sample
	minFinal int64 // lowest final count
}

func newCountBounds(q Query) countBounds {
	b := countBounds{query: q, maxBefore: math.MaxInt64, maxAfter: math.MaxInt64, minFinal: math.MaxInt64}
	b.actedFrom, b.actedTo = q.narrowed()
	b.notActedFrom, b.notActedUntil = q.widened()
	if q.ClosedKnown {
		b.notActedUntil = min(b.notActedUntil, q.ClosedAt)
	}
	if q.CommittedAt >= b.actedFrom {
		b.maxBefore = 0
	}
	return b
}

// acted reports whether at least one attempt lies within the time.
func (b *countBounds) acted() bool { return b.actedFrom <= b.actedTo && b.minByEnd > b.maxBefore }

// didNotAct reports whether no attempt lies within the time.
func (b *countBounds) didNotAct() bool { return b.maxAfter <= b.minBefore }

// addBounds applies the facts that the count is at least n from reachedBy on, and at most n up to heldUntil.
func (b *countBounds) addBounds(n, reachedBy, heldUntil int64) {
	b.maxKnown = max(b.maxKnown, n)
	if reachedBy <= b.actedTo || b.query.ClosedKnown && b.query.ClosedAt <= b.actedTo {
		b.minByEnd = max(b.minByEnd, n)
	}
	if heldUntil >= b.actedFrom {
		b.maxBefore = min(b.maxBefore, n)
	}
	if reachedBy < b.notActedFrom {
		b.minBefore = max(b.minBefore, n)
	}
	if heldUntil > b.notActedUntil {
		b.maxAfter = min(b.maxAfter, n)
		b.sampledAfter = true
	}
}

// addFinal applies the facts that the final count is n, and that it was reached by reachedBy.
func (b *countBounds) addFinal(n, reachedBy int64) {
	b.minFinal = min(b.minFinal, n)
	b.addBounds(n, reachedBy, maxTime)
}

// contradictory reports whether the facts contradict each other.
func (b *countBounds) contradictory() bool {
	withinTime := b.actedFrom <= b.actedTo && (b.minByEnd > b.maxAfter || b.minBefore > b.maxBefore)
	return b.maxKnown > b.minFinal || withinTime
}

// addFacts applies the facts in a process's record.
func (b *countBounds) addFacts(p *processRecord) {
	rev := b.query.Rev
	if h := p.history(rev); h != nil {
		for _, step := range h.steps {
			b.addBounds(step.count, step.reachedBy, step.heldUntil)
		}
		if h.final >= 0 {
			b.addFinal(h.final, maxTime)
		}
	}
	for _, zero := range p.zeros {
		if zero.fromRev <= rev {
			b.addBounds(0, maxTime, zero.until)
		}
	}
	if rev > 0 && p.wasSkipped(rev) {
		b.addFinal(0, maxTime)
	}
}

// addLog applies the log's transitions of a process: each count was reached by the time at which this copy marked the
// transition, and some counts are final. AtMS is not used, as it is of a wall clock. The count may have been reached long
// before the copy received the transition, so a count in the log gives no upper bound at any moment.
func (b *countBounds) addLog(logged []*logEntry) {
	for _, e := range logged {
		if e.Rev != b.query.Rev {
			continue
		}
		reachedBy := b.query.Now
		if e.happenedBy != maxTime {
			reachedBy = min(reachedBy, e.happenedBy+b.query.ClockAhead)
		}
		if e.Kind == FinalCount {
			b.addFinal(e.Attempts, reachedBy)
		} else {
			b.addBounds(e.Attempts, reachedBy, minTime)
		}
	}
}
