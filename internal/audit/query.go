package audit

import (
	"fmt"
	"slices"

	"marblelane/internal/route"
)

// Query asks which processes acted on a revision from From to To, both included, in ms on the leader's clock. To may be in
// the future; then a verdict of DidNotAct requires a close or a final count.
type Query struct {
	Rev, From, To int64
	CommittedAt   int64 // a time not after the commit of Rev, best read before the proposal; math.MinInt64: not known
	ClosedAt      int64 // a time not before the close of Rev, best read after the close was committed
	ClosedKnown   bool  // ClosedAt is set
	Now           int64

	// ClockAhead is the time in ms, rounded up, by which the leader's clock is ahead of the clock with which the log was
	// marked.
	ClockAhead int64

	// Slack is the maximum error of From and To in ms, if they were read from another clock or rounded. DidNotAct holds for
	// the time widened by Slack at both ends, and Acted for the time narrowed by Slack at both ends.
	Slack int64
}

const maxSlackMS = 24 * 60 * 60 * 1000

// Validate returns an error for an invalid query. All verdicts for an invalid query are Unknown.
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

// widened returns the time for which DidNotAct must hold.
func (q Query) widened() (from, to int64) {
	return max(q.From, minTime+q.Slack) - q.Slack, min(q.To, maxTime-1-q.Slack) + q.Slack
}

// narrowed returns the time for which Acted must hold.
func (q Query) narrowed() (from, to int64) {
	return min(q.From, maxTime-q.Slack) + q.Slack, max(q.To, minTime+q.Slack) - q.Slack
}

// Verdicts returns a verdict on each process in the tracker or the log, sorted by name and start. l may be nil. Nothing is
// known about processes without a verdict.
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

// Summary holds the verdicts for a query, with the number of processes for each verdict.
type Summary struct {
	Rev              int64            `json:"rev"`
	Acted            int              `json:"did"`
	DidNotAct        int              `json:"did_not"`
	Unknown          int              `json:"cannot_be_known"`
	DroppedProcesses int64            `json:"forgot"` // dropped by the tracker for lack of space; may still be in the log
	Verdicts         []ProcessVerdict `json:"answers"`
}

// Summarize returns the verdicts for a query and their numbers.
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

// verdict returns the verdict on one process and its reason. p is nil if only the log contains the process.
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

// unknownReason returns the reason why the facts do not determine a verdict.
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

// isGoneByLog reports whether a process is gone according to its newest change of access in the log.
func isGoneByLog(logged []*logEntry) bool {
	gone := false
	for _, e := range logged {
		if e.Kind.isAccess() {
			gone = e.Kind == Gone
		}
	}
	return gone
}
