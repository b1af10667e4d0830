package audit

import (
	"fmt"
	"math"
	"slices"

	"marblelane/internal/route"
)

// Query asks who acted on a revision from one moment to another, both included, in ms on the leader's clock. To may lie
// ahead; then only a close or an end tells that a process does not act.
type Query struct {
	Rev, From, To int64
	Committed     int64 // not after the commit of Rev, so best read before it was proposed; math.MinInt64: not known
	Closed        int64 // not before the close of Rev, so best read after it was committed
	ClosedKnown   bool
	Now           int64

	// Ahead is what the leader's clock shows more than that of the copy on which the log was marked, in ms, rounded up.
	Ahead int64

	// Slack is by how much From and To may be off on the leader's clock, in ms: they were read on another clock, or were
	// rounded. DidNot then holds for the time widened by it at both ends, and Did for the time narrowed by it.
	Slack int64
}

// Check tells what is wrong with a query. Each answer to such a one is Unknown.
func (q Query) Check() error {
	if q.Rev < 0 {
		return fmt.Errorf("rev is %d, it is not negative", q.Rev)
	}
	if q.From > q.To {
		return fmt.Errorf("from (%d ms) is after to (%d ms)", q.From, q.To)
	}
	if q.Slack < 0 || q.Slack > mostSlack {
		return fmt.Errorf("slack is %d ms, it is 0 to %d", q.Slack, mostSlack)
	}
	return nil
}

const mostSlack = 24 * 60 * 60 * 1000

// wide and narrow are the times that DidNot and Did hold for.
func (q Query) wide() (from, to int64) {
	return max(q.From, never+q.Slack) - q.Slack, min(q.To, always-1-q.Slack) + q.Slack
}

func (q Query) narrow() (from, to int64) {
	return min(q.From, always-q.Slack) + q.Slack, max(q.To, never+q.Slack) - q.Slack
}

// Ask answers for each process that the book or the log knows, by name and start. l may be nil. Of a process that is not
// in the answers nothing is known either.
func (b *Tracker) Ask(q Query, l *Log) []Answer {
	if q.Rev == 0 {
		q.Committed, q.ClosedKnown = never, false
	}
	q.Now = max(q.Now, b.now)
	var logged map[route.Process][]*entry
	if l != nil {
		logged = l.of
	}
	out := make([]Answer, 0, len(b.processes)+len(logged))
	for key, p := range b.processes {
		out = append(out, b.answer(q, key, p, logged[key]))
	}
	for key, ts := range logged {
		if b.processes[key] == nil {
			out = append(out, b.answer(q, key, nil, ts))
		}
	}
	slices.SortFunc(out, func(a, b Answer) int { return compare(a.Process, b.Process) })
	return out
}

// Summary is the answers with how many there are of each.
type Summary struct {
	Rev     int64    `json:"rev"`
	Did     int      `json:"did"`
	DidNot  int      `json:"did_not"`
	Unknown int      `json:"cannot_be_known"`
	Forgot  int64    `json:"forgot"` // processes that the book dropped for want of room; the log may know of them
	Answers []Answer `json:"answers"`
}

// Who is Ask, counted.
func (b *Tracker) Who(q Query, l *Log) Summary {
	s := Summary{Rev: q.Rev, Forgot: b.forgot, Answers: b.Ask(q, l)}
	for _, a := range s.Answers {
		switch a.Verdict {
		case Did:
			s.Did++
		case DidNot:
			s.DidNot++
		default:
			s.Unknown++
		}
	}
	return s
}

// bounds are what is known of a count around a query's time: see the package's comment.
type bounds struct {
	q          Query
	from, to   int64 // for Did
	base, low  int64 // at most base as from begins, and at least low by to
	wide, past int64 // for DidNot: where the time begins, and what is sampled after past counts as after its end

	under, high int64 // at least under before wide, and at most high after past
	most, last  int64 // the highest count heard of, and the lowest that was called final
	after       bool  // there is a sample after past, or one that is final
}

func newBounds(q Query) bounds {
	k := bounds{q: q, base: math.MaxInt64, high: math.MaxInt64, last: math.MaxInt64}
	k.from, k.to = q.narrow()
	k.wide, k.past = q.wide()
	if q.ClosedKnown {
		k.past = min(k.past, q.Closed)
	}
	if q.Committed >= k.from {
		k.base = 0
	}
	return k
}

// add takes in that the count is at least n from by on and at most n up to until.
func (k *bounds) add(n, by, until int64) {
	k.most = max(k.most, n)
	if by <= k.to || k.q.ClosedKnown && k.q.Closed <= k.to {
		k.low = max(k.low, n)
	}
	if until >= k.from {
		k.base = min(k.base, n)
	}
	if by < k.wide {
		k.under = max(k.under, n)
	}
	if until > k.past {
		k.high = min(k.high, n)
		k.after = true
	}
}

// final takes in that the count is n in the end, and was so by then.
func (k *bounds) final(n, by int64) {
	k.last = min(k.last, n)
	k.add(n, by, always)
}

// contradict tells whether what was taken in cannot all be true.
func (k *bounds) contradict() bool {
	return k.most > k.last || k.from <= k.to && (k.low > k.high || k.under > k.base)
}

// book takes in what the book knows.
func (k *bounds) book(p *process) {
	rev := k.q.Rev
	if s := p.find(rev); s != nil {
		for _, t := range s.steps {
			k.add(t.n, t.by, t.until)
		}
		if s.final >= 0 {
			k.final(s.final, always)
		}
	}
	for _, n := range p.none {
		if n.from <= rev {
			k.add(0, always, n.until)
		}
	}
	if rev > 0 && p.skips(rev) {
		k.final(0, always)
	}
}

// log takes in what the log knows: that a count was reached by when this copy held the transition, and what it was at its
// end. The times that are in the log are those of wall clocks, and not used. No count of the log is known to have been so
// low up to a moment: before the transition was held it may have been so for long.
func (k *bounds) log(ts []*entry) {
	for _, t := range ts {
		if t.Rev != k.q.Rev {
			continue
		}
		by := k.q.Now
		if t.by != always {
			by = min(by, t.by+k.q.Ahead)
		}
		if t.Kind == Acted {
			k.final(t.N, by)
		} else {
			k.add(t.N, by, never)
		}
	}
}

func (b *Tracker) answer(q Query, key route.Process, p *process, ts []*entry) Answer {
	verdict, why := b.judge(q, p, ts)
	return Answer{Process: key, Verdict: verdict, Why: why}
}

func (b *Tracker) judge(q Query, p *process, ts []*entry) (Verdict, string) {
	if err := q.Check(); err != nil {
		return Unknown, err.Error()
	}
	from, to := q.wide()
	switch {
	case to < q.Committed:
		return DidNot, "the time ends before the revision was committed"
	case q.ClosedKnown && from > q.Closed:
		return DidNot, "the revision was closed before the time begins"
	case p != nil && p.broken:
		return Unknown, "its reports contradict each other"
	}
	k := newBounds(q)
	if p != nil {
		k.book(p)
	}
	k.log(ts)
	did, didNot := k.from <= k.to && k.low > k.base, k.high <= k.under
	switch {
	case k.contradict(), did && didNot:
		return Unknown, "its reports contradict each other"
	case did && k.base == 0:
		return Did, fmt.Sprintf("its first %d attempts lie within the time", k.low)
	case did:
		return Did, fmt.Sprintf("its attempts grew from %d to %d within the time", k.base, k.low)
	case didNot && k.high == 0:
		return DidNot, "it had made no attempt when the time was over"
	case didNot:
		return DidNot, fmt.Sprintf("its attempts were %d before the time, and after it", k.high)
	}
	return Unknown, b.whyNot(&k, p, ts)
}

// whyNot says what is missing.
func (b *Tracker) whyNot(k *bounds, p *process, ts []*entry) string {
	gone := p != nil && p.standing == Gone
	if p == nil {
		for _, t := range ts {
			gone = t.Kind == Gone || gone && !t.Kind.standing()
		}
	}
	switch {
	case k.after && k.low > 0 && k.q.From < b.startedAt:
		return "it made attempts, when is not known: the time begins before this leader led"
	case k.after:
		return "it made attempts, within the time or close to it: its reports are too far apart"
	case gone:
		return "it is gone, and was not heard after the time"
	case p == nil:
		return "this leader never heard of it, only the log of transitions did"
	case k.q.To >= b.now:
		return "the time is not over"
	case p.sampled <= k.q.To:
		return "it was silent: no report is surely from after the time"
	}
	return "what it reported of this revision is not known any more"
}
