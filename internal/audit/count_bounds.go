package audit

import "math"

// countBounds are what is known of a count around the time of a query: see the package comment.
type countBounds struct {
	query Query

	// For Did, with the narrowed time.
	actedFrom, actedTo int64
	maxBefore      int64 // the count is at most this as the time begins
	minByEnd       int64 // the count is at least this when the time ends

	// For DidNot, with the widened time.
	notActedFrom   int64
	notActedUntil  int64 // a sample after it counts as one after the end
	minBefore    int64 // the count is at least this before the time
	maxAfter     int64 // the count is at most this after the time
	sampledAfter bool  // there is a sample after the time, or a final one

	// To find contradictions.
	maxKnown int64 // the highest count known
	minFinal int64 // the lowest count that was final
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

// acted reports whether attempts lie within the time.
func (b *countBounds) acted() bool { return b.actedFrom <= b.actedTo && b.minByEnd > b.maxBefore }

// didNotAct reports whether no attempt lies within the time.
func (b *countBounds) didNotAct() bool { return b.maxAfter <= b.minBefore }

// addBounds takes in that the count is at least n from reachedBy on, and at most n up to heldUntil.
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

// addFinal takes in that the count is n in the end, and was reached by then.
func (b *countBounds) addFinal(n, reachedBy int64) {
	b.minFinal = min(b.minFinal, n)
	b.addBounds(n, reachedBy, maxTime)
}

// contradictory reports whether what was taken in cannot all be true.
func (b *countBounds) contradictory() bool {
	withinTime := b.actedFrom <= b.actedTo && (b.minByEnd > b.maxAfter || b.minBefore > b.maxBefore)
	return b.maxKnown > b.minFinal || withinTime
}

// addFacts takes in the facts of a process.
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

// addLog takes in what the log knows of a process: that a count was reached by the time at which this copy held the
// transition, and final counts. The times in the log are of wall clocks, and not used. Before the copy held a transition
// its count may have stood for long, so no count of the log bounds the count from above up to a moment.
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
