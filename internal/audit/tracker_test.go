package audit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"marblelane/internal/route"
)

// world is a fleet with its true times, a network that loses, doubles and reorders, and leaders that come and go. All
// it does is drawn: draw(n) is one of 0 to n-1.
type world struct {
	draw      func(n int) int
	o         TrackerOptions
	kept      int // revisions that processes list at most; 0: all
	now       int64
	offset    int64 // of the leader's clock
	leader    string
	terms     int
	startedAt int64
	committed map[int64]int64 // true times
	closed    map[int64]int64
	since     map[int64]int64 // moments that are not after the commit, as a copy knows them
	rev       int64
	shut      int64 // the newest closed revision
	processes []*truth
	reports   []*route.Report
	answers   []func()
	book      *Tracker
	log       Log
	plant     func(w *world, r *route.Report) *route.Report // what a planted defect makes of a report as it arrives
	distort   func(p *truth, r *route.Report)               // and as it is sent
}

type truth struct {
	route.Process
	report   route.Report
	begun    map[int64]int64
	attempts []sum // revision, and when
	sent     map[int64]int64
}

func newWorld(draw func(n int) int, processes int) *world {
	w := &world{draw: draw, committed: map[int64]int64{}, closed: map[int64]int64{}, since: map[int64]int64{}}
	w.o = TrackerOptions{Keep: []int64{1 << 40, 15, 4}[draw(3)], Samples: []int{512, 4}[draw(2)], Processes: 100}
	w.kept = []int{0, 2, 1}[draw(3)]
	w.o.Lists = []int{0, max(w.kept, 1)}[draw(2)]
	for range processes {
		w.start(fmt.Sprint("p", len(w.processes)))
	}
	w.lead()
	return w
}

func (w *world) start(name string) {
	p := &truth{Process: route.Process{Name: name, Start: w.now*1000 + int64(len(w.processes))}}
	p.report.Process, p.begun, p.sent = p.Process, map[int64]int64{}, map[int64]int64{}
	w.processes = append(w.processes, p)
}

func (w *world) lead() {
	w.terms++
	if w.terms > 1 {
		w.offset = int64(w.draw(9) - 4)
	}
	w.leader, w.startedAt = fmt.Sprint("leader", w.terms), w.now
	w.book = NewTracker(w.o, w.leader, w.clock(w.now))
}

func (w *world) clock(at int64) int64 { return at + w.offset }

func (w *world) attempt(p *truth, permitted bool) {
	rev := int64(0)
	if permitted && p.report.AcknowledgedRev > w.shut {
		rev = p.report.AcknowledgedRev
	}
	p.begun[rev]++
	p.attempts = append(p.attempts, sum{rev: rev, n: w.now})
}

func (w *world) send(p *truth) {
	p.report.Seq++
	r := p.report
	revs := make([]int64, 0, len(p.begun))
	for rev := range p.begun {
		revs = append(revs, rev)
	}
	slices.Sort(revs)
	named := 0
	for _, rev := range slices.Backward(revs) {
		if rev > 0 {
			if named++; w.kept > 0 && named > w.kept && rev != r.AcknowledgedRev {
				continue
			}
		}
		half := p.begun[rev] / 2
		r.Counts = append(r.Counts, route.Count{Rev: rev, Tenant: "a", Started: half},
			route.Count{Rev: rev, Tenant: "a", Canary: true, Started: p.begun[rev] - half})
	}
	if w.distort != nil {
		w.distort(p, &r)
	}
	w.reports = append(w.reports, &r)
}

func (w *world) deliver(i int, again bool) {
	r := w.reports[i]
	if !again {
		w.reports = slices.Delete(w.reports, i, i+1)
	}
	if w.plant != nil {
		r = w.plant(w, r)
	}
	now := w.clock(w.now)
	w.log.Add(w.log.Fresh(w.book.Report(now, w.now, r)))
	stamp := route.Moment{Leader: w.leader, MS: now}
	for _, p := range w.processes {
		if p.Process == r.Process {
			w.answers = append(w.answers, func() { p.report.Echo = stamp })
		}
	}
}

// step does one thing. Several fall into one millisecond.
func (w *world) step() {
	p := w.processes[w.draw(len(w.processes))]
	switch w.draw(16) {
	case 0, 1:
		w.now++
	case 2, 3:
		w.attempt(p, true)
	case 4:
		w.attempt(p, w.draw(2) == 0)
	case 5, 6:
		w.send(p)
	case 7, 8, 9:
		if len(w.reports) > 0 {
			w.deliver(w.draw(len(w.reports)), w.draw(4) == 0)
		}
	case 10, 11:
		if n := len(w.answers); n > 0 {
			i := w.draw(n)
			w.answers[i]()
			w.answers = slices.Delete(w.answers, i, i+1)
		}
	case 12:
		w.rev += 1 + int64(w.draw(2))
		w.committed[w.rev] = w.now
		if w.draw(2) == 0 {
			w.since[w.rev] = w.now - int64(w.draw(3))
		}
	case 13:
		if w.committed[w.rev] != 0 || w.rev > 0 {
			p.report.AcknowledgedRev = w.rev
		}
	case 14:
		w.rare(p)
	case 15:
		w.log.Mark(w.now + copyAhead)
		w.book.Forget(w.clock(w.now))
	}
}

// copyAhead is what the clock of the copy that marks the log shows more than the true one.
const copyAhead = 1000

func (w *world) rare(p *truth) {
	switch w.draw(6) {
	case 0:
		w.lead()
	case 1:
		w.start(p.Name)
	case 2:
		for rev := w.shut + 1; rev < w.rev; rev++ {
			w.closed[rev] = w.now
		}
		w.shut = max(w.shut, w.rev-1)
	case 3:
		if len(w.reports) > 0 {
			w.reports = slices.Delete(w.reports, 0, 1)
		}
	case 4:
		w.log.Add(w.book.AccessChanged(w.clock(w.now), w.now, p.Process, []Kind{ShutOut, Gone, Back}[w.draw(3)], w.rev, ""))
	case 5:
		text, _ := w.log.MarshalJSON()
		w.log = Log{}
		if err := w.log.UnmarshalJSON(text); err != nil {
			panic(err)
		}
	}
}

func (w *world) query(rev, from, to int64) Query {
	q := Query{Rev: rev, From: w.clock(from), To: w.clock(to), Committed: math.MinInt64, Now: w.clock(w.now),
		Ahead: w.offset - copyAhead}
	if at, ok := w.committed[rev]; ok && at >= w.startedAt {
		q.Committed = w.clock(at)
	} else if at, ok := w.since[rev]; ok {
		q.Committed = w.clock(at)
	}
	if at, ok := w.closed[rev]; ok {
		q.Closed, q.ClosedKnown = w.clock(max(at, w.startedAt)), true
	}
	return q
}

// verdictCounts is the answers of all queries: how many there are, how many known, and how many are wrong of each kind.
type verdictCounts struct{ answers, known, wrongDid, wrongDidNot int }

type asker func(w *world, q Query) []Answer

func ask(w *world, q Query) []Answer { return w.book.Ask(q, &w.log) }

// judge holds the answers to every query against the truth.
func (w *world) judge(t *verdictCounts, ask asker) {
	truths := map[route.Process]*truth{}
	for _, p := range w.processes {
		truths[p.Process] = p
	}
	for rev := int64(0); rev <= w.rev+1; rev++ {
		for from := int64(-1); from <= w.now; from++ {
			for to := from; to <= w.now+1; to++ {
				for _, a := range ask(w, w.query(rev, from, to)) {
					acted := slices.ContainsFunc(truths[a.Process].attempts, func(s sum) bool {
						return s.rev == rev && s.n >= from && s.n <= to
					})
					t.answers++
					if a.Verdict != Unknown {
						t.known++
					}
					if a.Verdict == Did && !acted {
						t.wrongDid++
					}
					if a.Verdict == DidNot && acted {
						t.wrongDidNot++
					}
				}
			}
		}
	}
}

func TestAnswersAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "") }, 2)
		var got verdictCounts
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			w.step()
		}
		w.judge(&got, ask)
		if got.wrongDid+got.wrongDidNot > 0 {
			rt.Fatalf("wrong answers: %+v", got)
		}
	})
}

// seeds runs worlds of random choices and gives their answers together.
func seeds(n uint64, set func(w *world), ask asker) verdictCounts {
	var got verdictCounts
	for seed := range n {
		w := newWorld(rand.New(rand.NewPCG(seed, 1)).IntN, 2)
		if set != nil {
			set(w)
		}
		for range 120 {
			w.step()
		}
		w.judge(&got, ask)
	}
	return got
}

// Enough for each planted mistake to show, and few enough to run often.
const (
	worlds     = 60
	shortSteps = 6
)

func TestManyAnswersAreKnown(t *testing.T) {
	got := seeds(worlds, nil, ask)
	if got.wrongDid+got.wrongDidNot > 0 || got.known*4 < got.answers {
		t.Errorf("wrong answers, or few are known: %+v", got)
	}
	t.Logf("%+v", got)
}

// TestAllShortHistories goes through every order of a few acts of one process, its report and its leader: each choice in
// turn takes each value.
func TestAllShortHistories(t *testing.T) {
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
		w := &world{draw: draw, committed: map[int64]int64{1: 0, 2: 0}, closed: map[int64]int64{}, rev: 2}
		w.start("p")
		w.lead()
		w.processes[0].report.AcknowledgedRev = 1
		for range shortSteps {
			w.shortStep()
		}
		w.judge(&got, ask)
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

func (w *world) shortStep() {
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
			w.deliver(n-1, false) // the newest first, so that they come out of order
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

func TestAllIsKnownWhenAllReportsArrive(t *testing.T) {
	w := newWorld(func(int) int { return 0 }, 3)
	w.o.Lists = 1
	w.lead()
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
		answers := ask(w, w.query(5, from, to))
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
	want(36, 45, Unknown, Unknown, Unknown) // not over

	// Another leader has the log alone until it hears of them; then what was final stays known.
	for _, p := range w.processes {
		p.report.AcknowledgedRev = 6
		w.send(p)
		w.deliver(0, false)
	}
	w.closed[5], w.rev = 40, 6
	w.now = 50
	w.lead()
	want(3, 40, DidNot, Unknown, Unknown) // nothing was marked: when was before it led is not known
	w.log.Mark(45 + copyAhead)
	w.since[5] = 2
	want(2, 44, DidNot, Unknown, Unknown)
	want(2, 45, DidNot, Did, Did) // all of them lie between
	want(3, 45, DidNot, Unknown, Unknown)
	w.closed = map[int64]int64{}
	want(45, 60, DidNot, Unknown, Unknown)
	want(46, 60, DidNot, DidNot, DidNot) // what was final stays as it is
	sum := w.book.Who(Query{Rev: 5, From: math.MinInt64, To: math.MaxInt64, Now: w.clock(60)}, &w.log)
	if sum.Did != 2 || sum.DidNot != 1 || sum.Unknown != 0 {
		t.Errorf("%+v", sum)
	}
}

// TestPlantedMistakes has the mistakes that a book could make: each gives wrong answers in the worlds in which the book
// gives none.
func TestPlantedMistakes(t *testing.T) {
	widened := func(w *world, q Query) []Answer {
		q.From--
		out := ask(w, q)
		for i := range out {
			if out[i].Verdict == DidNot {
				out[i].Verdict = Unknown
			}
		}
		return out
	}
	for name, c := range map[string]struct {
		set func(w *world)
		ask asker
		not bool // it shows in DidNot
		did bool // it shows in Did
	}{
		"a sample is taken for its time of arrival": {ask: ask, not: true, did: true, set: func(w *world) {
			w.plant = func(w *world, r *route.Report) *route.Report {
				late := *r
				late.Echo = route.Moment{Leader: w.leader, MS: w.clock(w.now)}
				return &late
			}
		}},
		"counts are increments, which the book adds up": {ask: ask, not: true, set: func(w *world) {
			sums := map[route.Process]map[int64]int64{}
			w.distort = func(p *truth, r *route.Report) {
				for i := range r.Counts {
					c := &r.Counts[i]
					total := c.Started
					c.Started -= p.sent[c.Rev*2+int64(i%2)]
					p.sent[c.Rev*2+int64(i%2)] = total
				}
			}
			w.plant = func(w *world, r *route.Report) *route.Report {
				if sums[r.Process] == nil {
					sums[r.Process] = map[int64]int64{}
				}
				total := *r
				total.Counts = nil
				for i, c := range r.Counts {
					sums[r.Process][c.Rev*2+int64(i%2)] += max(c.Started, 0)
					c.Started = sums[r.Process][c.Rev*2+int64(i%2)]
					total.Counts = append(total.Counts, c)
				}
				return &total
			}
		}},
		"who is silent did not": {not: true, ask: func(w *world, q Query) []Answer {
			out := ask(w, q)
			for i := range out {
				if p := w.book.processes[out[i].Process]; out[i].Verdict == Unknown && (p == nil || p.heard < q.From) {
					out[i].Verdict = DidNot
				}
			}
			return out
		}},
		"growth across the border of the time is within it": {did: true, ask: widened},
		"what a process does not list it never did":         {not: true, ask: ask, set: func(w *world) { w.kept, w.o.Lists = 1, 100; w.lead() }},
		"the log is taken for marked when it was not": {not: true, did: true, ask: func(w *world, q Query) []Answer {
			q.Ahead -= 3
			return ask(w, q)
		}},
		"an echo of another leader is read as this one's": {not: true, ask: ask, set: func(w *world) {
			w.plant = func(w *world, r *route.Report) *route.Report {
				own := *r
				own.Echo.Leader = w.leader
				return &own
			}
			w.o.Keep = 1 << 40
		}},
	} {
		t.Run(name, func(t *testing.T) {
			got := seeds(worlds, c.set, c.ask)
			t.Logf("%+v", got)
			if c.not && got.wrongDidNot == 0 || c.did && got.wrongDid == 0 {
				t.Errorf("does not show: %+v", got)
			}
		})
	}
}
