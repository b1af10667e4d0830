package audit

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"marblelane/internal/route"
)

func one(name string) route.Process { return route.Process{Name: name, Start: 1} }

func TestLogSaysAThingOnce(t *testing.T) {
	var l Log
	add := func(kind Kind, rev, n int64) bool {
		before, ts := l.Len(), []Transition{{Process: one("a"), AtMS: 5, Kind: kind, Rev: rev, N: n}}
		fresh := len(l.Fresh(ts))
		l.Add(ts)
		if fresh != l.Len()-before {
			t.Errorf("%s %d: %d are fresh, %d were added", kind, rev, fresh, l.Len()-before)
		}
		return fresh > 0
	}
	for i, c := range []struct {
		kind   Kind
		rev, n int64
		added  bool
	}{
		{Back, 1, 0, false}, {Acts, 1, 0, true}, {Acts, 1, 7, false}, {ShutOut, 1, 9, true}, {ShutOut, 1, 9, false},
		{Back, 1, 9, true}, {ShutOut, 1, 9, true}, {Acted, 1, 9, true}, {Acted, 1, 9, false}, {Acted, 1, 0, true},
		{Acts, 2, 0, true}, {Gone, 2, 0, true}, {Gone, 2, 3, false},
	} {
		if got := add(c.kind, c.rev, c.n); got != c.added {
			t.Errorf("%d: %s %d, %d: added %v", i, c.kind, c.rev, c.n, got)
		}
	}
	// Two ends of one revision contradict each other, whatever else is asked.
	b := NewTracker(TrackerOptions{}, "x", 0)
	for _, a := range b.Ask(Query{Rev: 1, From: math.MinInt64, To: 40, Committed: math.MinInt64, Now: 50}, &l) {
		if a.Verdict != Unknown {
			t.Errorf("%+v", a)
		}
	}
}

func TestLogIsBounded(t *testing.T) {
	var l Log
	for i := range int64(LogMost + 500) {
		l.Add([]Transition{{Process: one(fmt.Sprint(i % 700)), AtMS: 1000 + i, Kind: Acts, Rev: i}})
	}
	sum := 0
	for p := range l.of {
		sum += len(l.Of(p))
	}
	if l.Len() != LogMost || sum != LogMost || l.all[0].Rev != 500 || len(l.Since(1000+LogMost)) != 500 {
		t.Errorf("%d transitions, %d by process, from %+v on", l.Len(), sum, l.all[0])
	}
	l.Add([]Transition{{Process: one("late"), AtMS: l.all[50].AtMS + LogAgeMS, Kind: Acts, Rev: 1}})
	if l.all[0].Rev != 550 {
		t.Errorf("the oldest is %+v", l.all[0])
	}
	l.Add([]Transition{{Process: one("later"), AtMS: 3 * LogAgeMS, Kind: Acts, Rev: 1}})
	if l.Len() != 1 || len(l.of) != 1 {
		t.Errorf("%d transitions of %d processes", l.Len(), len(l.of))
	}
}

func TestLogIsWrittenAndRead(t *testing.T) {
	var l, again Log
	l.Add([]Transition{{Process: one("a"), AtMS: 5, Kind: Acts, Rev: 1}, {Process: one("b"), AtMS: 6, Kind: Gone, N: 3, Note: "x"}})
	text, err := json.Marshal(&l)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &again); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(l.Since(0), again.Since(0)); diff != "" || len(again.Of(one("b"))) != 1 {
		t.Error(diff)
	}
	for text, why := range map[string]string{
		`{"form":2}`: "form is 2", `{"form":"x"}`: "log", `{}`: "form is 0",
		`{"form":1,"transitions":[{"kind":"acts"},{"kind":"eats"}]}`: `transitions[1].kind is "eats"`,
	} {
		if err := json.Unmarshal([]byte(text), &again); err == nil || !strings.Contains(err.Error(), why) || again.Len() != 2 {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// report is one as a process sends it when it makes n attempts under rev.
func report(name string, seq, rev, n int64) *route.Report {
	return &route.Report{Process: one(name), Seq: seq, AcknowledgedRev: rev, Counts: []route.Count{{Rev: rev, Tenant: "t", Started: n}}}
}

func TestBookIsBounded(t *testing.T) {
	o := TrackerOptions{Keep: 1000, Samples: 16, Processes: 10}
	b := NewTracker(o, "x", 0)
	for i := range int64(2000) {
		r := report(fmt.Sprint("p", i%12), i+1, i/100, i)
		r.Echo = route.Moment{Leader: "x", MS: i - 1}
		for rev := range i % 40 {
			r.Counts = append(r.Counts, route.Count{Rev: rev, Tenant: "t"})
		}
		b.Report(i, i, r)
		for key, p := range b.processes {
			steps := 0
			for i := range p.series {
				steps += len(p.series[i].steps)
			}
			if steps > o.Samples || len(p.none) > o.Samples || len(p.skipped) > o.Samples {
				t.Fatalf("%v holds %d steps, %d, %d", key, steps, len(p.none), len(p.skipped))
			}
		}
		if len(b.processes) > o.Processes {
			t.Fatalf("%d processes", len(b.processes))
		}
	}
	if s := b.Who(Query{Rev: 3, To: 5}, nil); s.Forgot == 0 || len(s.Answers) != 10 {
		t.Errorf("%+v", s)
	}
	b.Forget(2500)
	if len(b.processes) != 10 {
		t.Errorf("%d processes are left before the time is over", len(b.processes))
	}
	b.Forget(3500)
	if len(b.processes) != 0 {
		t.Errorf("%d processes are left", len(b.processes))
	}
}

func TestTransitionsOfReports(t *testing.T) {
	b := NewTracker(TrackerOptions{Lists: 4}, "x", 0)
	kinds := func(ts []Transition) (out []string) {
		for _, t := range ts {
			out = append(out, fmt.Sprintf("%s %d %d", t.Kind, t.Rev, t.N))
		}
		return out
	}
	five, both := report("a", 1, 5, 2), report("a", 3, 7, 1)
	both.Counts = append(both.Counts, route.Count{Rev: 5, Tenant: "t", Started: 3}, route.Count{Rev: 5, Tenant: "u", Started: 1})
	idle := &route.Report{Process: one("b"), Seq: 1, AcknowledgedRev: 5}
	moved := &route.Report{Process: one("b"), Seq: 2, AcknowledgedRev: 6}
	back := report("b", 3, 5, 1)
	for i, c := range []struct {
		r    *route.Report
		want []string
	}{
		{five, []string{"acts 5 2"}}, {five, nil}, {both, []string{"acted 5 4", "acts 7 1"}}, {report("a", 2, 5, 3), nil},
		{both, nil}, {idle, []string{"acts 5 0"}}, {moved, []string{"acted 5 0", "acts 6 0"}}, {back, nil},
		{report("c", 0, 5, 1), nil}, {report("c", 1, 5, -1), nil}, {report("", 1, 5, 1), nil},
	} {
		if diff := cmp.Diff(c.want, kinds(b.Report(9, 9, c.r))); diff != "" {
			t.Errorf("%d: %s", i, diff)
		}
	}
	for _, a := range b.Ask(Query{Rev: 5, From: 0, To: 9, Committed: 0}, nil) {
		if want := map[string]Verdict{"a": Did, "b": Unknown}[a.Name]; a.Verdict != want {
			t.Errorf("%+v, want %s: b went back", a, want)
		}
	}
	if got := b.Present(12); len(got) != 2 || got[0].Have != 7 || got[0].HeardMS != 3 || got[0].SampledMS != -1 {
		t.Errorf("%+v", got)
	}
	newer := report("a", 1, 7, 0)
	newer.Start, newer.Echo = 2, route.Moment{Leader: "x", MS: 10}
	b.Report(13, 13, newer)
	if got := b.Present(14); !got[0].Superseded || got[1].Superseded || got[1].SampledMS != 4 {
		t.Errorf("%+v", got)
	}
	for i, c := range []struct {
		kind Kind
		want []string
	}{{ShutOut, []string{"shut out 7 1"}}, {ShutOut, nil}, {Back, []string{"back 7 1"}}, {Gone, []string{"gone 7 1"}}, {Acts, nil}} {
		if diff := cmp.Diff(c.want, kinds(b.AccessChanged(15, 15, one("a"), c.kind, 7, ""))); diff != "" {
			t.Errorf("%d: %s", i, diff)
		}
	}
	if q := (Query{Rev: 5, From: 3, To: 2}); q.Check() == nil || b.Ask(q, nil)[0].Verdict != Unknown {
		t.Error("a time that ends before it begins is answered")
	}
}

// TestBorders has what falls into the very millisecond of a border, where nothing is before or after anything: process p
// made 2 attempts, and was sampled with 1 within [10, 20] and with 2 within [30, 40].
func TestBorders(t *testing.T) {
	b := NewTracker(TrackerOptions{}, "x", 0)
	for i, at := range []int64{10, 30} {
		r := report("p", int64(i+1), 5, int64(i+1))
		r.Echo = route.Moment{Leader: "x", MS: at}
		b.Report(at+10, 0, r)
	}
	b.Report(90, 0, &route.Report{Process: one("p"), Seq: 3, AcknowledgedRev: 5, Echo: route.Moment{Leader: "x", MS: 80}, Counts: []route.Count{{Rev: 5, Started: 2}}})
	none := int64(math.MinInt64)
	for i, c := range []struct {
		q    Query
		want Verdict
	}{
		{Query{From: 10, To: 40, Committed: none}, Did}, {Query{From: 11, To: 40, Committed: none}, Unknown},
		{Query{From: 10, To: 39, Committed: none}, Unknown}, {Query{From: 11, To: 20, Committed: 11}, Did},
		{Query{From: 11, To: 19, Committed: 11}, Unknown}, {Query{From: 11, To: 20, Committed: 10}, Unknown},
		{Query{From: 41, To: 79, Committed: none}, DidNot}, {Query{From: 40, To: 79, Committed: none}, Unknown},
		{Query{From: 41, To: 80, Committed: none}, Unknown}, {Query{From: 5, To: 9, Committed: none}, Unknown},
		{Query{From: 5, To: 9, Committed: 10}, DidNot}, {Query{From: 5, To: 10, Committed: 10}, Unknown},
		{Query{From: 41, To: 500, ClosedKnown: true, Closed: 79}, DidNot},
		{Query{From: 41, To: 500, ClosedKnown: true, Closed: 80}, Unknown},
		{Query{From: 81, To: 500, ClosedKnown: true, Closed: 80}, DidNot},
		{Query{From: 10, To: 35, ClosedKnown: true, Closed: 35}, Did},
		{Query{From: 10, To: 35, ClosedKnown: true, Closed: 36}, Unknown},
		{Query{From: 9, To: 41, Slack: 1, Committed: none}, Did}, {Query{From: 10, To: 41, Slack: 1, Committed: none}, Unknown},
		{Query{From: 42, To: 78, Slack: 1, Committed: none}, DidNot}, {Query{From: 42, To: 79, Slack: 1, Committed: none}, Unknown},
		{Query{From: 60, To: 60, Slack: 30, Committed: none}, Unknown}, {Query{From: 60, To: 60, Slack: -1}, Unknown},
	} {
		c.q.Rev = 5
		if a := b.Ask(c.q, nil)[0]; a.Verdict != c.want {
			t.Errorf("%d: %+v: %s (%s), want %s", i, c.q, a.Verdict, a.Why, c.want)
		}
	}
}

// TestDroppedIsNotPassedOver asks for revisions whose counts were dropped for want of room, and for one between two
// spans of those passed over.
func TestDroppedIsNotPassedOver(t *testing.T) {
	b := NewTracker(TrackerOptions{Samples: 4, Lists: 10}, "x", 0)
	r := &route.Report{Process: one("p"), Seq: 1, AcknowledgedRev: 9}
	for rev := int64(1); rev < 8; rev++ {
		r.Counts = append(r.Counts, route.Count{Rev: rev, Started: 1})
	}
	b.Report(5, 5, r)
	verdict := func(rev int64) Verdict {
		return b.Ask(Query{Rev: rev, From: math.MinInt64, To: math.MaxInt64, Committed: math.MinInt64}, nil)[0].Verdict
	}
	if verdict(1) != Unknown || verdict(3) != Unknown || verdict(7) != Did || verdict(8) != DidNot {
		t.Errorf("%s, %s, %s, %s", verdict(1), verdict(3), verdict(7), verdict(8))
	}
	// Who lists as many as it keeps may have left older ones out.
	r.Process, r.Counts = one("q"), r.Counts[4:]
	for _, c := range []struct {
		lists int
		want  Verdict
	}{{3, Unknown}, {4, DidNot}} {
		b = NewTracker(TrackerOptions{Lists: c.lists}, "x", 0)
		b.Report(5, 5, r)
		if got := verdict(2); got != c.want {
			t.Errorf("3 are listed of at least %d: %s, want %s", c.lists, got, c.want)
		}
	}
	p := &process{}
	for _, s := range []skipped{{0, 4}, {4, 8}, {20, 30}, {3, 5}, {6, 7}} {
		p.addSkipped(s, 10)
	}
	if diff := cmp.Diff([]skipped{{0, 8}, {20, 30}}, p.skipped, cmp.AllowUnexported(skipped{})); diff != "" || p.skips(8) || !p.skips(4) {
		t.Error(diff)
	}
}
