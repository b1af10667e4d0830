package rollout_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	. "marblelane/internal/rollout"
	"marblelane/internal/route"
	"marblelane/internal/testutil/golden"
)

// goldenCommands returns commands that together set every field of the stored form, in an order in which they can be
// applied to a state.
func goldenCommands() []Command {
	revision := int64(7<<28 + 1)
	process := route.Process{Name: "sidecar-1", Start: 1764720000000000001}
	first := &Spec{
		Tenant: "shannonside", Name: "v2", SubsetName: "new", Classes: []string{"look", "buy"},
		Budget: 50, LateIsFailure: true, AtEnd: AtEndKeep,
		Note:   "second version",
		Canary: route.Subset{Model: []string{"m2"}, PodGroup: []int{3}, Zone: []string{"z1"}, UID: []string{"u1"}},
		Steps:  []Step{{CanaryFraction: 0.01, HoldMS: 60000, MinAttempts: 500}, {CanaryFraction: 1}},
	}
	second := &Spec{Tenant: "shannonside", Name: "v3", SubsetName: "new", Budget: 5, AtEnd: AtEndReturn,
		Canary: route.Subset{Model: []string{"m3"}}, Steps: []Step{{CanaryFraction: 0.25}}}
	entry := LedgerEntry{Process: process, Tenant: "shannonside", Rollout: "v2", Granted: 4}
	settled, gone := entry, entry
	settled.Spent, settled.Returned = 1, 2
	gone.Process.Name, gone.Gone = "sidecar-2", true
	opening := gone
	opening.Gone = false
	return []Command{
		{Op: OpBase, AtMS: 1000, Tenant: "shannonside", Base: route.Subset{Model: []string{"m1"}}, IfRev: new(int64)},
		{Op: OpPost, AtMS: 2000, Spec: first, IfRev: &revision},
		{Op: OpLedger, AtMS: 3000, Entries: []LedgerEntry{entry, opening}},
		{Op: OpLedger, AtMS: 3100, Entries: []LedgerEntry{settled, gone}},
		{Op: OpForward, AtMS: 4000, Tenant: "shannonside", Name: "v2", Step: 0},
		{Op: OpPause, AtMS: 5000, Tenant: "shannonside", Name: "v2", Reason: ReasonStragglers},
		{Op: OpResume, AtMS: 6000, Tenant: "shannonside", Name: "v2"},
		{Op: OpForward, AtMS: 6500, Tenant: "shannonside", Name: "v2", Step: 1},
		{Op: OpClose, AtMS: 7000, Rev: revision + 1},
		{Op: OpSchema, AtMS: 8000, Schema: 2},
		{Op: OpPost, AtMS: 9000, Spec: second},
		{Op: OpLedger, AtMS: 9100, Entries: []LedgerEntry{{Process: process, Tenant: "shannonside", Rollout: "v3", Granted: 2}}},
		{Op: OpRollBack, AtMS: 9200, Tenant: "gone", Name: "v1", Reason: ReasonCanaryWorse},
		{Op: OpStop, AtMS: 9300, Tenant: "gone", Name: "v1", Reason: "by hand"},
	}
}

func TestStoredForms_commands(t *testing.T) {
	golden.RequireJSON(t, "commands.golden.json", goldenCommands())
	var read []Command
	text, err := os.ReadFile("testdata/commands.golden.json")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &read))
	require.Equal(t, goldenCommands(), read)
}

func TestStoredForms_state(t *testing.T) {
	s := NewState()
	s.BeginEpoch(7)
	for _, c := range goldenCommands() {
		if c.Tenant == "gone" {
			continue
		}
		_, err := s.Apply(&c)
		require.NoError(t, err, "%+v", c)
	}
	golden.RequireJSON(t, "state.golden.json", s)
	golden.RequireJSON(t, "rollouts.golden.json", s.Rollouts())
	text, err := os.ReadFile("testdata/state.golden.json")
	require.NoError(t, err)
	read := NewState()
	require.NoError(t, json.Unmarshal(text, read))
	golden.RequireJSON(t, "state.golden.json", read)
}

func TestStoredForms_processStatus(t *testing.T) {
	controller := NewController(Defaults(), 0)
	controller.Report(100, NewState(), &route.Report{Process: route.Process{Name: "sidecar-1", Start: 9}, Seq: 1,
		AcknowledgedRev: 3, UnreadableRev: 4,
		ListRev: 5, Version: "v", Config: "c", Schemas: []int{1, 2}})
	golden.RequireJSON(t, "processes.golden.json", controller.Processes(200))
}
