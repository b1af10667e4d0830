package audit

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"marblelane/internal/route"
)

// TestAnswers_borders queries times that begin or end in the millisecond of a sample; the order within a millisecond is
// unknown. Process p made 2 attempts: its count was sampled as 1 within [10, 20] and as 2 within [30, 40].
func TestAnswers_borders(t *testing.T) {
	tracker := NewTracker(TrackerOptions{}, "x", 0)
	for i, at := range []int64{10, 30} {
		r := newReport("p", int64(i+1), 5, int64(i+1))
		r.Echo = route.LeaderTime{Leader: "x", MS: at}
		tracker.Report(at+10, 0, r)
	}
	last := newReport("p", 3, 5, 2)
	last.Echo = route.LeaderTime{Leader: "x", MS: 80}
	tracker.Report(90, 0, last)
	none := int64(math.MinInt64)
	for i, c := range []struct {
		q    Query
		want Verdict
	}{
		{Query{From: 10, To: 40, CommittedAt: none}, Acted}, {Query{From: 11, To: 40, CommittedAt: none}, Unknown},
		{Query{From: 10, To: 39, CommittedAt: none}, Unknown}, {Query{From: 11, To: 20, CommittedAt: 11}, Acted},
		{Query{From: 11, To: 19, CommittedAt: 11}, Unknown}, {Query{From: 11, To: 20, CommittedAt: 10}, Unknown},
		{Query{From: 41, To: 79, CommittedAt: none}, DidNotAct}, {Query{From: 40, To: 79, CommittedAt: none}, Unknown},
		{Query{From: 41, To: 80, CommittedAt: none}, Unknown}, {Query{From: 5, To: 9, CommittedAt: none}, Unknown},
		{Query{From: 5, To: 9, CommittedAt: 10}, DidNotAct}, {Query{From: 5, To: 10, CommittedAt: 10}, Unknown},
		{Query{From: 41, To: 500, ClosedKnown: true, ClosedAt: 79}, DidNotAct},
		{Query{From: 41, To: 500, ClosedKnown: true, ClosedAt: 80}, Unknown},
		{Query{From: 81, To: 500, ClosedKnown: true, ClosedAt: 80}, DidNotAct},
		{Query{From: 10, To: 35, ClosedKnown: true, ClosedAt: 35}, Acted},
		{Query{From: 10, To: 35, ClosedKnown: true, ClosedAt: 36}, Unknown},
		{Query{From: 9, To: 41, Slack: 1, CommittedAt: none}, Acted}, {Query{From: 10, To: 41, Slack: 1, CommittedAt: none}, Unknown},
		{Query{From: 42, To: 78, Slack: 1, CommittedAt: none}, DidNotAct}, {Query{From: 42, To: 79, Slack: 1, CommittedAt: none}, Unknown},
		{Query{From: 60, To: 60, Slack: 30, CommittedAt: none}, Unknown}, {Query{From: 60, To: 60, Slack: -1}, Unknown},
	} {
		c.q.Rev = 5
		if a := tracker.Verdicts(c.q, nil)[0]; a.Verdict != c.want {
			t.Errorf("%d: %+v: %s (%s), want %s", i, c.q, a.Verdict, a.Reason, c.want)
		}
	}
}

// TestAnswers_droppedFacts queries revisions whose counts were dropped to bound memory, and a revision between two skipped
// ranges.
func TestAnswers_droppedFacts(t *testing.T) {
	tracker := NewTracker(TrackerOptions{MaxFacts: 4, MinListedRevs: 10}, "x", 0)
	r := &route.Report{Process: testProcess("p"), Seq: 1, AcknowledgedRev: 9}
	for rev := int64(1); rev < 8; rev++ {
		r.Counts = append(r.Counts, route.Count{Rev: rev, Started: 1})
	}
	tracker.Report(5, 5, r)
	verdict := func(rev int64) Verdict {
		return tracker.Verdicts(Query{Rev: rev, From: math.MinInt64, To: math.MaxInt64, CommittedAt: math.MinInt64}, nil)[0].Verdict
	}
	if verdict(1) != Unknown || verdict(3) != Unknown || verdict(7) != Acted || verdict(8) != DidNotAct {
		t.Errorf("%s, %s, %s, %s", verdict(1), verdict(3), verdict(7), verdict(8))
	}
	// A process that lists as many revisions as are guaranteed may have left out older ones.
	r.Process, r.Counts = testProcess("q"), r.Counts[4:]
	for _, c := range []struct {
		lists int
		want  Verdict
	}{{3, Unknown}, {4, DidNotAct}} {
		tracker = NewTracker(TrackerOptions{MinListedRevs: c.lists}, "x", 0)
		tracker.Report(5, 5, r)
		if got := verdict(2); got != c.want {
			t.Errorf("3 revisions are listed, at least %d guaranteed: %s, want %s", c.lists, got, c.want)
		}
	}
	p := &processRecord{}
	for _, s := range []revisionRange{{0, 4}, {4, 8}, {20, 30}, {3, 5}, {6, 7}} {
		p.addSkipped(s, 10)
	}
	diff := cmp.Diff([]revisionRange{{0, 8}, {20, 30}}, p.skipped, cmp.AllowUnexported(revisionRange{}))
	if diff != "" || p.wasSkipped(8) || !p.wasSkipped(4) {
		t.Error(diff)
	}
}

func TestAnswers_randomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newFleetWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "") }, 2)
		var got verdictCounts
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			w.step()
		}
		w.compareWithTruth(&got, trackerVerdicts)
		if got.wrongActed+got.wrongDidNotAct > 0 {
			rt.Fatalf("wrong verdicts: %+v", got)
		}
	})
}

// runSeeds runs n worlds with random choices, and returns the verdict counts of all of them.
func runSeeds(n uint64, prepare func(w *fleetWorld), verdicts verdictFunc) verdictCounts {
	var got verdictCounts
	for seed := range n {
		w := newFleetWorld(rand.New(rand.NewPCG(seed, 1)).IntN, 2)
		if prepare != nil {
			prepare(w)
		}
		for range 120 {
			w.step()
		}
		w.compareWithTruth(&got, verdicts)
	}
	return got
}

const (
	worldCount = 60 // random worlds per test; each planted mistake causes a wrong verdict in at least one
	shortSteps = 6  // steps of each exhaustively enumerated history
)

func TestAnswers_known(t *testing.T) {
	got := runSeeds(worldCount, nil, trackerVerdicts)
	if got.wrongActed+got.wrongDidNotAct > 0 || got.known*4 < got.verdicts {
		t.Errorf("wrong verdicts, or too few verdicts other than Unknown: %+v", got)
	}
	t.Logf("%+v", got)
}

// TestAnswers_shortHistories enumerates all sequences of a few steps of one process, its reports and its leader, by giving
// each choice each of its values in turn.
func TestAnswers_shortHistories(t *testing.T) {
	var got verdictCounts
	for path := []int(nil); ; {
		at, width := 0, []int(nil)
		draw := func(n int) int {
			if at == len(path) {
				path = append(path, 0)
			}
			at, width = at+1, append(width, n)
			return path[at-1]
		}
		w := &fleetWorld{choose: draw, committed: map[int64]int64{1: 0, 2: 0}, closed: map[int64]int64{}, rev: 2}
		w.start("p")
		w.electLeader()
		w.processes[0].report.AcknowledgedRev = 1
		for range shortSteps {
			w.shortStep()
		}
		w.compareWithTruth(&got, trackerVerdicts)
		if got.wrongActed+got.wrongDidNotAct > 0 {
			t.Fatalf("%+v after the choices %v", got, path)
		}
		last := len(path) - 1
		for last >= 0 && path[last]+1 == width[last] {
			last--
		}
		if last < 0 {
			break
		}
		path = append(path[:last], path[last]+1)
	}
	if got.known*12 < got.verdicts {
		t.Errorf("too few verdicts other than Unknown: %+v", got)
	}
	t.Logf("%+v", got)
}

func (w *fleetWorld) shortStep() {
	p := w.processes[0]
	switch w.choose(6) {
	case 0:
		w.now++
	case 1:
		w.attempt(p, true)
	case 2:
		w.send(p)
	case 3:
		if n := len(w.reports); n > 0 {
			w.deliver(n-1, false) // deliver the newest first, so that reports arrive out of order
		}
	case 4:
		if n := len(w.responses); n > 0 {
			w.responses[n-1]()
			w.responses = nil
		}
	case 5:
		p.report.AcknowledgedRev = 2
	}
}

func TestAnswers_allReportsArrive(t *testing.T) {
	w := newFleetWorld(func(int) int { return 0 }, 3)
	w.options.MinListedRevs = 1
	w.electLeader()
	w.rev, w.committed[5], w.now = 5, 3, 3
	for i, p := range w.processes {
		p.report.AcknowledgedRev = 5
		for w.now < 40 {
			w.now++
			if i > 0 && w.now%7 == 0 {
				w.attempt(p, true)
			}
			w.send(p)
			w.deliver(0, false)
			w.responses[0]()
			w.responses = nil
		}
		w.now = 3
	}
	w.now = 40
	want := func(from, to int64, want ...Verdict) {
		t.Helper()
		var got []Verdict
		verdicts := trackerVerdicts(w, w.query(5, from, to))
		for _, a := range verdicts {
			got = append(got, a.Verdict)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("from %d to %d: %s%+v", from, to, diff, verdicts)
		}
	}
	want(3, 38, DidNotAct, Acted, Acted)
	want(5, 9, DidNotAct, Acted, Acted)
	want(8, 11, DidNotAct, DidNotAct, DidNotAct)
	want(-10, 2, DidNotAct, DidNotAct, DidNotAct)
	want(36, 45, Unknown, Unknown, Unknown) // the time is not over

	// A new leader has only the log until processes report to it. The final counts in the log are known.
	for _, p := range w.processes {
		p.report.AcknowledgedRev = 6
		w.send(p)
		w.deliver(0, false)
	}
	w.closed[5], w.rev = 40, 6
	w.now = 50
	w.electLeader()
	want(3, 40, DidNotAct, Unknown, Unknown) // the log is not marked, so no times before this leader led are known
	w.log.Mark(45 + copyAhead)
	w.committedSince[5] = 2
	want(2, 44, DidNotAct, Unknown, Unknown)
	want(2, 45, DidNotAct, Acted, Acted) // all attempts lie within the time
	want(3, 45, DidNotAct, Unknown, Unknown)
	w.closed = map[int64]int64{}
	want(45, 60, DidNotAct, Unknown, Unknown)
	want(46, 60, DidNotAct, DidNotAct, DidNotAct) // final counts do not change
	sum := w.tracker.Summarize(Query{Rev: 5, From: math.MinInt64, To: math.MaxInt64, Now: w.clock(60)}, &w.log)
	if sum.Acted != 2 || sum.DidNotAct != 1 || sum.Unknown != 0 {
		t.Errorf("%+v", sum)
	}
}

// The functions below plant mistakes that a tracker or a process could make.

// sampleAtArrival plants the mistake that a report counts as sampled at its arrival.
func sampleAtArrival(w *fleetWorld) {
	w.onArrival = func(w *fleetWorld, r *route.Report) *route.Report {
		replaced := *r
		replaced.Echo = route.LeaderTime{Leader: w.leader, MS: w.clock(w.now)}
		return &replaced
	}
}

// countsAsIncrements plants the mistake that reports contain increments since the previous report, which the leader sums.
func countsAsIncrements(w *fleetWorld) {
	sideKey := func(rev int64, i int) int64 { return rev*2 + int64(i%2) }
	w.onSend = func(p *trueProcess, r *route.Report) {
		for i := range r.Counts {
			c, key := &r.Counts[i], sideKey(r.Counts[i].Rev, i)
			total := c.Started
			c.Started -= p.sent[key]
			p.sent[key] = total
		}
	}
	sums := map[route.Process]map[int64]int64{}
	w.onArrival = func(w *fleetWorld, r *route.Report) *route.Report {
		if sums[r.Process] == nil {
			sums[r.Process] = map[int64]int64{}
		}
		total := *r
		total.Counts = nil
		for i, c := range r.Counts {
			key := sideKey(c.Rev, i)
			sums[r.Process][key] += max(c.Started, 0)
			c.Started = sums[r.Process][key]
			total.Counts = append(total.Counts, c)
		}
		return &total
	}
}

// anyEcho plants the mistake that the echo of another leader's response counts as an echo of this leader's.
func anyEcho(w *fleetWorld) {
	w.onArrival = func(w *fleetWorld, r *route.Report) *route.Report {
		replaced := *r
		replaced.Echo.Leader = w.leader
		return &replaced
	}
	w.options.Retention = 1 << 40
}

// tooShortLists plants the mistake that processes list fewer revisions than the tracker relies on.
func tooShortLists(w *fleetWorld) {
	w.maxListedRevs, w.options.MinListedRevs = 1, 100
	w.electLeader()
}

// silenceAsDidNotAct plants the mistake that the verdict on a silent process is DidNotAct.
func silenceAsDidNotAct(w *fleetWorld, q Query) []ProcessVerdict {
	out := trackerVerdicts(w, q)
	for i := range out {
		p := w.tracker.processes[out[i].Process]
		if silent := p == nil || p.lastReportAt < q.From; out[i].Verdict == Unknown && silent {
			out[i].Verdict = DidNotAct
		}
	}
	return out
}

// widenedActed plants the mistake that Acted is determined for a time that begins earlier.
func widenedActed(w *fleetWorld, q Query) []ProcessVerdict {
	q.From--
	out := trackerVerdicts(w, q)
	for i := range out {
		if out[i].Verdict == DidNotAct {
			out[i].Verdict = Unknown
		}
	}
	return out
}

// markedTooEarly plants the mistake that the log counts as marked before it was.
func markedTooEarly(w *fleetWorld, q Query) []ProcessVerdict {
	q.ClockAhead -= 3
	return trackerVerdicts(w, q)
}

// TestAnswers_plantedMistakes checks that each planted mistake causes wrong verdicts in the worlds in which the tracker
// itself returns none.
func TestAnswers_plantedMistakes(t *testing.T) {
	for name, c := range map[string]struct {
		prepare        func(w *fleetWorld)
		verdicts       verdictFunc
		wrongDidNotAct bool // the mistake must cause a wrong DidNotAct
		wrongActed     bool // the mistake must cause a wrong Acted
	}{
		"sample at arrival":        {prepare: sampleAtArrival, verdicts: trackerVerdicts, wrongDidNotAct: true, wrongActed: true},
		"counts are increments":    {prepare: countsAsIncrements, verdicts: trackerVerdicts, wrongDidNotAct: true},
		"silence is DidNotAct":     {verdicts: silenceAsDidNotAct, wrongDidNotAct: true},
		"growth across the border": {verdicts: widenedActed, wrongActed: true},
		"unlisted is no attempt":   {prepare: tooShortLists, verdicts: trackerVerdicts, wrongDidNotAct: true},
		"log marked too early":     {verdicts: markedTooEarly, wrongDidNotAct: true, wrongActed: true},
		"echo of another leader":   {prepare: anyEcho, verdicts: trackerVerdicts, wrongDidNotAct: true},
	} {
		t.Run(name, func(t *testing.T) {
			got := runSeeds(worldCount, c.prepare, c.verdicts)
			t.Logf("%+v", got)
			if c.wrongDidNotAct && got.wrongDidNotAct == 0 || c.wrongActed && got.wrongActed == 0 {
				t.Errorf("the mistake causes no wrong verdict: %+v", got)
			}
		})
	}
}
