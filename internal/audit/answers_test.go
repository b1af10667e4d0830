package audit

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"marblelane/internal/route"
)

// TestAnswers_borders has times that begin or end in the millisecond of a sample, within which there is no order: process
// p made 2 attempts, and was sampled with 1 within [10, 20] and with 2 within [30, 40].
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
		{Query{From: 10, To: 40, CommittedAt: none}, Did}, {Query{From: 11, To: 40, CommittedAt: none}, Unknown},
		{Query{From: 10, To: 39, CommittedAt: none}, Unknown}, {Query{From: 11, To: 20, CommittedAt: 11}, Did},
		{Query{From: 11, To: 19, CommittedAt: 11}, Unknown}, {Query{From: 11, To: 20, CommittedAt: 10}, Unknown},
		{Query{From: 41, To: 79, CommittedAt: none}, DidNot}, {Query{From: 40, To: 79, CommittedAt: none}, Unknown},
		{Query{From: 41, To: 80, CommittedAt: none}, Unknown}, {Query{From: 5, To: 9, CommittedAt: none}, Unknown},
		{Query{From: 5, To: 9, CommittedAt: 10}, DidNot}, {Query{From: 5, To: 10, CommittedAt: 10}, Unknown},
		{Query{From: 41, To: 500, ClosedKnown: true, ClosedAt: 79}, DidNot},
		{Query{From: 41, To: 500, ClosedKnown: true, ClosedAt: 80}, Unknown},
		{Query{From: 81, To: 500, ClosedKnown: true, ClosedAt: 80}, DidNot},
		{Query{From: 10, To: 35, ClosedKnown: true, ClosedAt: 35}, Did},
		{Query{From: 10, To: 35, ClosedKnown: true, ClosedAt: 36}, Unknown},
		{Query{From: 9, To: 41, Slack: 1, CommittedAt: none}, Did}, {Query{From: 10, To: 41, Slack: 1, CommittedAt: none}, Unknown},
		{Query{From: 42, To: 78, Slack: 1, CommittedAt: none}, DidNot}, {Query{From: 42, To: 79, Slack: 1, CommittedAt: none}, Unknown},
		{Query{From: 60, To: 60, Slack: 30, CommittedAt: none}, Unknown}, {Query{From: 60, To: 60, Slack: -1}, Unknown},
	} {
		c.q.Rev = 5
		if a := tracker.Answers(c.q, nil)[0]; a.Verdict != c.want {
			t.Errorf("%d: %+v: %s (%s), want %s", i, c.q, a.Verdict, a.Reason, c.want)
		}
	}
}

// TestAnswers_droppedFacts asks for revisions whose counts were dropped to bound memory, and for one between two ranges
// that were passed over.
func TestAnswers_droppedFacts(t *testing.T) {
	tracker := NewTracker(TrackerOptions{MaxFacts: 4, MinListedRevs: 10}, "x", 0)
	r := &route.Report{Process: testProcess("p"), Seq: 1, AcknowledgedRev: 9}
	for rev := int64(1); rev < 8; rev++ {
		r.Counts = append(r.Counts, route.Count{Rev: rev, Started: 1})
	}
	tracker.Report(5, 5, r)
	verdict := func(rev int64) Verdict {
		return tracker.Answers(Query{Rev: rev, From: math.MinInt64, To: math.MaxInt64, CommittedAt: math.MinInt64}, nil)[0].Verdict
	}
	if verdict(1) != Unknown || verdict(3) != Unknown || verdict(7) != Did || verdict(8) != DidNot {
		t.Errorf("%s, %s, %s, %s", verdict(1), verdict(3), verdict(7), verdict(8))
	}
	// A process that lists as many as it must may have left older ones out.
	r.Process, r.Counts = testProcess("q"), r.Counts[4:]
	for _, c := range []struct {
		lists int
		want  Verdict
	}{{3, Unknown}, {4, DidNot}} {
		tracker = NewTracker(TrackerOptions{MinListedRevs: c.lists}, "x", 0)
		tracker.Report(5, 5, r)
		if got := verdict(2); got != c.want {
			t.Errorf("3 are listed, at least %d: %s, want %s", c.lists, got, c.want)
		}
	}
	p := &processRecord{}
	for _, s := range []revisionRange{{0, 4}, {4, 8}, {20, 30}, {3, 5}, {6, 7}} {
		p.addPassedOver(s, 10)
	}
	diff := cmp.Diff([]revisionRange{{0, 8}, {20, 30}}, p.passedOver, cmp.AllowUnexported(revisionRange{}))
	if diff != "" || p.wasPassedOver(8) || !p.wasPassedOver(4) {
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
		w.compareWithTruth(&got, trackerAnswers)
		if got.wrongDid+got.wrongDidNot > 0 {
			rt.Fatalf("wrong answers: %+v", got)
		}
	})
}

// runSeeds runs worlds of random choices, and counts the answers of all.
func runSeeds(n uint64, prepare func(w *fleetWorld), answers answerFunc) verdictCounts {
	var got verdictCounts
	for seed := range n {
		w := newFleetWorld(rand.New(rand.NewPCG(seed, 1)).IntN, 2)
		if prepare != nil {
			prepare(w)
		}
		for range 120 {
			w.step()
		}
		w.compareWithTruth(&got, answers)
	}
	return got
}

// Enough for each planted mistake to show, and few enough for each run.
const (
	worldCount = 60
	shortSteps = 6
)

func TestAnswers_known(t *testing.T) {
	got := runSeeds(worldCount, nil, trackerAnswers)
	if got.wrongDid+got.wrongDidNot > 0 || got.known*4 < got.answers {
		t.Errorf("wrong answers, or few are known: %+v", got)
	}
	t.Logf("%+v", got)
}

// TestAnswers_shortHistories goes through every order of a few steps of one process, its reports and its leader: each
// choice takes each value in turn.
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
		w := &fleetWorld{draw: draw, committed: map[int64]int64{1: 0, 2: 0}, closed: map[int64]int64{}, rev: 2}
		w.start("p")
		w.electLeader()
		w.processes[0].report.AcknowledgedRev = 1
		for range shortSteps {
			w.shortStep()
		}
		w.compareWithTruth(&got, trackerAnswers)
		if got.wrongDid+got.wrongDidNot > 0 {
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
	if got.known*12 < got.answers {
		t.Errorf("few answers are known: %+v", got)
	}
	t.Logf("%+v", got)
}

func (w *fleetWorld) shortStep() {
	p := w.processes[0]
	switch w.draw(6) {
	case 0:
		w.now++
	case 1:
		w.attempt(p, true)
	case 2:
		w.send(p)
	case 3:
		if n := len(w.reports); n > 0 {
			w.deliver(n-1, false) // the newest first, so that they arrive out of order
		}
	case 4:
		if n := len(w.answers); n > 0 {
			w.answers[n-1]()
			w.answers = nil
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
			w.answers[0]()
			w.answers = nil
		}
		w.now = 3
	}
	w.now = 40
	want := func(from, to int64, want ...Verdict) {
		t.Helper()
		var got []Verdict
		answers := trackerAnswers(w, w.query(5, from, to))
		for _, a := range answers {
			got = append(got, a.Verdict)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("from %d to %d: %s%+v", from, to, diff, answers)
		}
	}
	want(3, 38, DidNot, Did, Did)
	want(5, 9, DidNot, Did, Did)
	want(8, 11, DidNot, DidNot, DidNot)
	want(-10, 2, DidNot, DidNot, DidNot)
	want(36, 45, Unknown, Unknown, Unknown) // the time is not over

	// Another leader has only the log until processes report; then final counts are known.
	for _, p := range w.processes {
		p.report.AcknowledgedRev = 6
		w.send(p)
		w.deliver(0, false)
	}
	w.closed[5], w.rev = 40, 6
	w.now = 50
	w.electLeader()
	want(3, 40, DidNot, Unknown, Unknown) // nothing was marked: the times before it led are not known
	w.log.Mark(45 + copyAhead)
	w.committedSince[5] = 2
	want(2, 44, DidNot, Unknown, Unknown)
	want(2, 45, DidNot, Did, Did) // all attempts lie between
	want(3, 45, DidNot, Unknown, Unknown)
	w.closed = map[int64]int64{}
	want(45, 60, DidNot, Unknown, Unknown)
	want(46, 60, DidNot, DidNot, DidNot) // final counts do not change
	sum := w.tracker.Summarize(Query{Rev: 5, From: math.MinInt64, To: math.MaxInt64, Now: w.clock(60)}, &w.log)
	if sum.Did != 2 || sum.DidNot != 1 || sum.Unknown != 0 {
		t.Errorf("%+v", sum)
	}
}

// The mistakes below are ones that a tracker, or a process, could make.

// sampleAtArrival takes the arrival of a report for the time of its sample.
func sampleAtArrival(w *fleetWorld) {
	w.onArrival = func(w *fleetWorld, r *route.Report) *route.Report {
		late := *r
		late.Echo = route.LeaderTime{Leader: w.leader, MS: w.clock(w.now)}
		return &late
	}
}

// countsAsIncrements has reports carry what came on top of the one before, and the leader add that up.
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

// anyEcho reads an echo of another leader as this one's.
func anyEcho(w *fleetWorld) {
	w.onArrival = func(w *fleetWorld, r *route.Report) *route.Report {
		own := *r
		own.Echo.Leader = w.leader
		return &own
	}
	w.options.Retention = 1 << 40
}

// unpromisedLists has processes list fewer revisions than the tracker relies on.
func unpromisedLists(w *fleetWorld) {
	w.maxListedRevs, w.options.MinListedRevs = 1, 100
	w.electLeader()
}

// silenceAsDidNot answers DidNot for a process that was silent.
func silenceAsDidNot(w *fleetWorld, q Query) []Answer {
	out := trackerAnswers(w, q)
	for i := range out {
		p := w.tracker.processes[out[i].Process]
		if silent := p == nil || p.lastReportAt < q.From; out[i].Verdict == Unknown && silent {
			out[i].Verdict = DidNot
		}
	}
	return out
}

// widenedDid answers Did for a time that begins earlier.
func widenedDid(w *fleetWorld, q Query) []Answer {
	q.From--
	out := trackerAnswers(w, q)
	for i := range out {
		if out[i].Verdict == DidNot {
			out[i].Verdict = Unknown
		}
	}
	return out
}

// markedTooEarly takes the log for marked before it was.
func markedTooEarly(w *fleetWorld, q Query) []Answer {
	q.ClockAhead -= 3
	return trackerAnswers(w, q)
}

// TestAnswers_plantedMistakes plants mistakes: each gives wrong answers in the worlds in which the tracker gives none.
func TestAnswers_plantedMistakes(t *testing.T) {
	for name, c := range map[string]struct {
		prepare     func(w *fleetWorld)
		answers     answerFunc
		wrongDidNot bool // there must be wrong DidNot
		wrongDid    bool // there must be wrong Did
	}{
		"sample at arrival":        {prepare: sampleAtArrival, answers: trackerAnswers, wrongDidNot: true, wrongDid: true},
		"counts are increments":    {prepare: countsAsIncrements, answers: trackerAnswers, wrongDidNot: true},
		"silence is DidNot":        {answers: silenceAsDidNot, wrongDidNot: true},
		"growth across the border": {answers: widenedDid, wrongDid: true},
		"unlisted is no attempt":   {prepare: unpromisedLists, answers: trackerAnswers, wrongDidNot: true},
		"log marked too early":     {answers: markedTooEarly, wrongDidNot: true, wrongDid: true},
		"echo of another leader":   {prepare: anyEcho, answers: trackerAnswers, wrongDidNot: true},
	} {
		t.Run(name, func(t *testing.T) {
			got := runSeeds(worldCount, c.prepare, c.answers)
			t.Logf("%+v", got)
			if c.wrongDidNot && got.wrongDidNot == 0 || c.wrongDid && got.wrongDid == 0 {
				t.Errorf("the mistake gives no wrong answer: %+v", got)
			}
		})
	}
}
