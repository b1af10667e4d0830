package audit

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"marblelane/internal/route"
)

func testProcess(name string) route.Process { return route.Process{Name: name, Start: 1} }

// newReport returns a report of a process with n attempts under rev.
func newReport(name string, seq, rev, n int64) *route.Report {
	return &route.Report{
		Process: testProcess(name), Seq: seq, AcknowledgedRev: rev,
		Counts: []route.Count{{Rev: rev, Tenant: "t", Started: n}},
	}
}

func TestTracker_bounded(t *testing.T) {
	o := TrackerOptions{Retention: 1000, MaxFacts: 16, MaxProcesses: 10}
	tracker := NewTracker(o, "x", 0)
	for i := range int64(2000) {
		r := newReport(fmt.Sprint("p", i%12), i+1, i/100, i)
		r.Echo = route.LeaderTime{Leader: "x", MS: i - 1}
		for rev := range i % 40 {
			r.Counts = append(r.Counts, route.Count{Rev: rev, Tenant: "t"})
		}
		tracker.Report(i, i, r)
		for key, p := range tracker.processes {
			steps := 0
			for i := range p.histories {
				steps += len(p.histories[i].steps)
			}
			if steps > o.MaxFacts || len(p.zeros) > o.MaxFacts || len(p.skipped) > o.MaxFacts {
				t.Fatalf("%v has %d steps, %d zero counts, %d skipped ranges", key, steps, len(p.zeros), len(p.skipped))
			}
		}
		if len(tracker.processes) > o.MaxProcesses {
			t.Fatalf("%d processes", len(tracker.processes))
		}
	}
	if s := tracker.Summarize(Query{Rev: 3, To: 5}, nil); s.DroppedProcesses == 0 || len(s.Verdicts) != 10 {
		t.Errorf("%+v", s)
	}
	tracker.DropExpired(2500)
	if len(tracker.processes) != 10 {
		t.Errorf("%d processes are left before the retention time has passed", len(tracker.processes))
	}
	tracker.DropExpired(3500)
	if len(tracker.processes) != 0 {
		t.Errorf("%d processes are left after the retention time", len(tracker.processes))
	}
}

func TestTracker_transitions(t *testing.T) {
	tracker := NewTracker(TrackerOptions{MinListedRevs: 4}, "x", 0)
	kinds := func(ts []Transition) (out []string) {
		for _, t := range ts {
			out = append(out, fmt.Sprintf("%s %d %d", t.Kind, t.Rev, t.Attempts))
		}
		return out
	}
	five, both := newReport("a", 1, 5, 2), newReport("a", 3, 7, 1)
	both.Counts = append(both.Counts, route.Count{Rev: 5, Tenant: "t", Started: 3}, route.Count{Rev: 5, Tenant: "u", Started: 1})
	idle := &route.Report{Process: testProcess("b"), Seq: 1, AcknowledgedRev: 5}
	laterRev := &route.Report{Process: testProcess("b"), Seq: 2, AcknowledgedRev: 6}
	earlierRev := newReport("b", 3, 5, 1)
	for i, c := range []struct {
		r    *route.Report
		want []string
	}{
		{five, []string{"acts 5 2"}}, {five, nil}, {both, []string{"acted 5 4", "acts 7 1"}}, {newReport("a", 2, 5, 3), nil},
		{both, nil}, {idle, []string{"acts 5 0"}}, {laterRev, []string{"acted 5 0", "acts 6 0"}}, {earlierRev, nil},
		{newReport("c", 0, 5, 1), nil}, {newReport("c", 1, 5, -1), nil}, {newReport("", 1, 5, 1), nil},
	} {
		if diff := cmp.Diff(c.want, kinds(tracker.Report(9, 9, c.r))); diff != "" {
			t.Errorf("%d: %s", i, diff)
		}
	}
	for _, a := range tracker.Verdicts(Query{Rev: 5, From: 0, To: 9, CommittedAt: 0}, nil) {
		if want := map[string]Verdict{"a": Acted, "b": Unknown}[a.Name]; a.Verdict != want {
			t.Errorf("%+v, want %s: the acknowledged revision of b fell", a, want)
		}
	}
	got := tracker.ListProcesses(12)
	if len(got) != 2 || got[0].AcknowledgedRev != 7 || got[0].LastReportAgoMS != 3 || got[0].SampledAgoMS != -1 {
		t.Errorf("%+v", got)
	}
	newer := newReport("a", 1, 7, 0)
	newer.Start, newer.Echo = 2, route.LeaderTime{Leader: "x", MS: 10}
	tracker.Report(13, 13, newer)
	if got := tracker.ListProcesses(14); !got[0].Superseded || got[1].Superseded || got[1].SampledAgoMS != 4 {
		t.Errorf("%+v", got)
	}
	for i, c := range []struct {
		kind TransitionKind
		want []string
	}{
		{ShutOut, []string{"shut out 7 1"}}, {ShutOut, nil}, {Readmitted, []string{"back 7 1"}},
		{Gone, []string{"gone 7 1"}}, {FirstReport, nil},
	} {
		if diff := cmp.Diff(c.want, kinds(tracker.AccessChanged(15, 15, testProcess("a"), c.kind, 7, ""))); diff != "" {
			t.Errorf("%d: %s", i, diff)
		}
	}
	if q := (Query{Rev: 5, From: 3, To: 2}); q.Validate() == nil || tracker.Verdicts(q, nil)[0].Verdict != Unknown {
		t.Error("a query whose time ends before it begins got a verdict")
	}
}
