package audit

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestLog_repeatedTransitions(t *testing.T) {
	var l Log
	add := func(kind TransitionKind, rev, n int64) bool {
		before, ts := l.Len(), []Transition{{Process: testProcess("a"), AtMS: 5, Kind: kind, Rev: rev, Attempts: n}}
		fresh := len(l.FilterNew(ts))
		l.Add(ts)
		if fresh != l.Len()-before {
			t.Errorf("%s %d: FilterNew returned %d, Add added %d", kind, rev, fresh, l.Len()-before)
		}
		return fresh > 0
	}
	for i, c := range []struct {
		kind   TransitionKind
		rev, n int64
		added  bool
	}{
		{Readmitted, 1, 0, false}, {FirstReport, 1, 0, true}, {FirstReport, 1, 7, false}, {ShutOut, 1, 9, true}, {ShutOut, 1, 9, false},
		{Readmitted, 1, 9, true}, {ShutOut, 1, 9, true}, {FinalCount, 1, 9, true}, {FinalCount, 1, 9, false}, {FinalCount, 1, 0, true},
		{FirstReport, 2, 0, true}, {Gone, 2, 0, true}, {Gone, 2, 3, false},
	} {
		if got := add(c.kind, c.rev, c.n); got != c.added {
			t.Errorf("%d: %s %d, %d: added %v", i, c.kind, c.rev, c.n, got)
		}
	}
	// Two different final counts of one revision contradict each other, so every verdict is Unknown.
	tracker := NewTracker(TrackerOptions{}, "x", 0)
	for _, a := range tracker.Verdicts(Query{Rev: 1, From: math.MinInt64, To: 40, CommittedAt: math.MinInt64, Now: 50}, &l) {
		if a.Verdict != Unknown {
			t.Errorf("%+v", a)
		}
	}
}

func TestLog_bounded(t *testing.T) {
	var l Log
	for i := range int64(MaxLogTransitions + 500) {
		l.Add([]Transition{{Process: testProcess(fmt.Sprint(i % 700)), AtMS: 1000 + i, Kind: FirstReport, Rev: i}})
	}
	sum := 0
	for p := range l.byProcess {
		sum += len(l.OfProcess(p))
	}
	if l.Len() != MaxLogTransitions || sum != MaxLogTransitions || l.entries[0].Rev != 500 ||
		len(l.Since(1000+MaxLogTransitions)) != 500 {
		t.Errorf("%d transitions, %d by process, the oldest is %+v", l.Len(), sum, l.entries[0])
	}
	l.Add([]Transition{{Process: testProcess("late"), AtMS: l.entries[50].AtMS + MaxLogAgeMS, Kind: FirstReport, Rev: 1}})
	if l.entries[0].Rev != 550 {
		t.Errorf("the oldest is %+v", l.entries[0])
	}
	l.Add([]Transition{{Process: testProcess("later"), AtMS: 3 * MaxLogAgeMS, Kind: FirstReport, Rev: 1}})
	if l.Len() != 1 || len(l.byProcess) != 1 {
		t.Errorf("%d transitions of %d processes", l.Len(), len(l.byProcess))
	}
}

func TestLog_json(t *testing.T) {
	var l, restored Log
	l.Add([]Transition{
		{Process: testProcess("a"), AtMS: 5, Kind: FirstReport, Rev: 1},
		{Process: testProcess("b"), AtMS: 6, Kind: Gone, Attempts: 3, Note: "x"},
	})
	text, err := json.Marshal(&l)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &restored); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(l.Since(0), restored.Since(0)); diff != "" || len(restored.OfProcess(testProcess("b"))) != 1 {
		t.Error(diff)
	}
	for text, want := range map[string]string{
		`{"form":2}`: "form is 2", `{"form":"x"}`: "log", `{}`: "form is 0",
		`{"form":1,"transitions":[{"kind":"acts"},{"kind":"eats"}]}`: `transitions[1].kind is "eats"`,
	} {
		if err := json.Unmarshal([]byte(text), &restored); err == nil || !strings.Contains(err.Error(), want) || restored.Len() != 2 {
			t.Errorf("%s: %v", text, err)
		}
	}
}
