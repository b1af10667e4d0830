package audit

import (
	"fmt"
	"slices"

	"marblelane/internal/route"
)

// Query asks who acted on a revision from one moment to another, both included, in ms on the leader's clock. To may lie
// ahead; then only a close or a final count tells that a process did not act.
type Query struct {
	Rev, From, To int64
	CommittedAt   int64 // not after the commit of Rev, so best read before it was proposed; math.MinInt64: not known
	ClosedAt      int64 // not before the close of Rev, so best read after it was committed
	ClosedKnown   bool  // ClosedAt is set
	Now           int64

	// ClockAhead is by how much the leader's clock is ahead of that of the copy on which the log was marked, in ms, rounded
	// up.
	ClockAhead int64

	// Slack is by how much From and To may be off on the leader's clock, in ms: they were read on another clock, or were
	// rounded. DidNot then holds for the time widened by it at both ends, and Did for the time narrowed by it.
	Slack int64
}

const maxSlackMS = 24 * 60 * 60 * 1000

// Validate finds what is wrong with a query. Each answer to an invalid one is Unknown.
func (q Query) Validate() error {
	if q.Rev < 0 {
		return fmt.Errorf("rev is %d, it is not negative", q.Rev)
	}
	if q.From > q.To {
		return fmt.Errorf("from (%d ms) is after to (%d ms)", q.From, q.To)
	}
	if q.Slack < 0 || q.Slack > maxSlackMS {
		return fmt.Errorf("slack is %d ms, it is 0 to %d", q.Slack, maxSlackMS)
	}
	return nil
}

// widened is the time that DidNot holds for.
func (q Query) widened() (from, to int64) {
	return max(q.From, minTime+q.Slack) - q.Slack, min(q.To, maxTime-1-q.Slack) + q.Slack
}

// narrowed is the time that Did holds for.
func (q Query) narrowed() (from, to int64) {
	return min(q.From, maxTime-q.Slack) + q.Slack, max(q.To, minTime+q.Slack) - q.Slack
}

// Verdicts answers for each process that the tracker or the log knows, by name and start. l may be nil. Of a process
// without an answer nothing is known.
func (t *Tracker) Verdicts(q Query, l *Log) []ProcessVerdict {
	if q.Rev == 0 {
		q.CommittedAt, q.ClosedKnown = minTime, false
	}
	q.Now = max(q.Now, t.now)
	var logged map[route.Process][]*logEntry
	if l != nil {
		logged = l.byProcess
	}
	out := make([]ProcessVerdict, 0, len(t.processes)+len(logged))
	for key, p := range t.processes {
		out = append(out, t.processVerdict(q, key, p, logged[key]))
	}
	for key, entries := range logged {
		if t.processes[key] == nil {
			out = append(out, t.processVerdict(q, key, nil, entries))
		}
	}
	slices.SortFunc(out, func(a, b ProcessVerdict) int { return compareProcesses(a.Process, b.Process) })
	return out
}

// Summary is the answers to a query, with the number of each verdict.
type Summary struct {
	Rev              int64            `json:"rev"`
	Acted            int              `json:"did"`
	DidNotAct        int              `json:"did_not"`
	Unknown          int              `json:"cannot_be_known"`
	DroppedProcesses int64            `json:"forgot"` // by the tracker, for want of space; the log may know of them
	Verdicts         []ProcessVerdict `json:"answers"`
}

// Summarize counts the answers to a query.
func (t *Tracker) Summarize(q Query, l *Log) Summary {
	s := Summary{Rev: q.Rev, DroppedProcesses: t.droppedProcesses, Verdicts: t.Verdicts(q, l)}
	for _, a := range s.Verdicts {
		switch a.Verdict {
		case Acted:
			s.Acted++
		case DidNotAct:
			s.DidNotAct++
		default:
			s.Unknown++
		}
	}
	return s
}

func (t *Tracker) processVerdict(q Query, key route.Process, p *processRecord, logged []*logEntry) ProcessVerdict {
	verdict, reason := t.verdict(q, p, logged)
	return ProcessVerdict{Process: key, Verdict: verdict, Reason: reason}
}

// verdict is that on one process; p is nil where only the log knows it.
func (t *Tracker) verdict(q Query, p *processRecord, logged []*logEntry) (Verdict, string) {
	if err := q.Validate(); err != nil {
		return Unknown, err.Error()
	}
	from, to := q.widened()
	switch {
	case to < q.CommittedAt:
		return DidNotAct, "the time ends before the revision was committed"
	case q.ClosedKnown && from > q.ClosedAt:
		return DidNotAct, "the revision was closed before the time begins"
	case p != nil && p.inconsistent:
		return Unknown, "its reports contradict each other"
	}
	b := newCountBounds(q)
	if p != nil {
		b.addFacts(p)
	}
	b.addLog(logged)
	did, didNot := b.acted(), b.didNotAct()
	switch {
	case b.contradictory(), did && didNot:
		return Unknown, "its reports contradict each other"
	case did && b.maxBefore == 0:
		return Acted, fmt.Sprintf("its first %d attempts lie within the time", b.minByEnd)
	case did:
		return Acted, fmt.Sprintf("its attempts grew from %d to %d within the time", b.maxBefore, b.minByEnd)
	case didNot && b.maxAfter == 0:
		return DidNotAct, "it had made no attempt when the time was over"
	case didNot:
		return DidNotAct, fmt.Sprintf("its attempts were %d before the time, and after it", b.maxAfter)
	}
	return Unknown, t.unknownReason(&b, p, logged)
}

// unknownReason says what is missing for a verdict.
func (t *Tracker) unknownReason(b *countBounds, p *processRecord, logged []*logEntry) string {
	gone := p != nil && p.access == Gone
	if p == nil {
		gone = isGoneByLog(logged)
	}
	switch {
	case b.sampledAfter && b.minByEnd > 0 && b.query.From < t.startedAt:
		return "it made attempts, when is not known: the time begins before this leader led"
	case b.sampledAfter:
		return "it made attempts, within the time or close to it: its reports are too far apart"
	case gone:
		return "it is gone, and was not heard after the time"
	case p == nil:
		return "this leader never heard of it, only the log of transitions did"
	case b.query.To >= t.now:
		return "the time is not over"
	case p.sampledAfter <= b.query.To:
		return "it was silent: no report is surely from after the time"
	}
	return "what it reported of this revision is not known any more"
}

// isGoneByLog reports whether a process is gone by its newest change of access in the log.
func isGoneByLog(logged []*logEntry) bool {
	gone := false
	for _, e := range logged {
		if e.Kind.isAccess() {
			gone = e.Kind == Gone
		}
	}
	return gone
}
