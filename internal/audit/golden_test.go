package audit

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"marblelane/internal/route"
	"marblelane/internal/testutil/golden"
)

// goldenTransitions returns at least one transition of each kind.
func goldenTransitions() []Transition {
	p := route.Process{Name: "sidecar-1", Start: 1764720000000000001}
	return []Transition{
		{Process: p, AtMS: 1000, Kind: FirstReport, Rev: 5, Attempts: 1},
		{Process: p, AtMS: 2000, Kind: FinalCount, Rev: 5, Attempts: 40},
		{Process: p, AtMS: 2000, Kind: FirstReport, Rev: 6},
		{Process: p, AtMS: 3000, Kind: ShutOut, Rev: 6, Attempts: 3, Note: "behind"},
		{Process: p, AtMS: 4000, Kind: Readmitted, Rev: 7},
		{Process: p, AtMS: 5000, Kind: Gone, Rev: 7, Attempts: 2},
	}
}

func TestStoredForms_log(t *testing.T) {
	var l Log
	l.Add(goldenTransitions())
	golden.RequireJSON(t, "log.golden.json", &l)
	text, err := os.ReadFile("testdata/log.golden.json")
	require.NoError(t, err)
	var read Log
	require.NoError(t, json.Unmarshal(text, &read))
	require.Equal(t, goldenTransitions(), read.Since(0))
}

func TestStoredForms_answers(t *testing.T) {
	const leader = "leader"
	tracker := NewTracker(TrackerOptions{}, leader, 0)
	p := route.Process{Name: "sidecar-1", Start: 9}
	report := &route.Report{Process: p, Seq: 1, Echo: route.LeaderTime{Leader: leader, MS: 50},
		AcknowledgedRev: 3, UnreadableRev: 4, NoLease: true,
		ListRev: 5, Version: "v", Config: "c", Schemas: []int{1, 2}, Counts: []route.Count{{Rev: 3, Started: 2}}}
	golden.RequireJSON(t, "transitions.golden.json", tracker.Report(100, 1000, report))
	golden.RequireJSON(t, "shut_out.golden.json", tracker.AccessChanged(150, 1050, p, ShutOut, 3, "behind"))
	tracker.Report(160, 1060, &route.Report{Process: route.Process{Name: "sidecar-1", Start: 10}, Seq: 1})
	golden.RequireJSON(t, "present.golden.json", tracker.ListProcesses(200))
	golden.RequireJSON(t, "summary.golden.json", tracker.Summarize(Query{Rev: 3, From: 60, To: 120, CommittedAt: 60}, nil))
}
