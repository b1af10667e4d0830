package rollout_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	. "marblelane/internal/rollout"
	"marblelane/internal/route"
)

// goldenState returns a state with tenants that have only a base, live rollouts or ended rollouts, and with an account of
// each kind.
func goldenState(t *testing.T) *State {
	s := NewState()
	s.BeginEpoch(7)
	everything := route.Subset{Model: []string{"new", "large <&>"}, PodGroup: []int{1, 2}, Zone: []string{"zone-é"},
		UID: []string{"server-1"}}
	steps := []Step{{CanaryFraction: 0.125, HoldMS: 60_000, MinAttempts: 100}, {CanaryFraction: 1, HoldMS: 0}}
	full := &Spec{Tenant: "checkout", Name: "full", SubsetName: "next", Canary: everything, Classes: []string{"lookup", "write"},
		Steps: steps, Budget: 500, LateIsFailure: true, AtEnd: AtEndKeep, Note: "a note"}
	plain := func(tenant, name, atEnd string) *Spec {
		return &Spec{Tenant: tenant, Name: name, SubsetName: "next", Canary: route.Subset{Model: []string{"new"}}, Steps: steps,
			Budget: 10, AtEnd: atEnd}
	}
	account := func(tenant, rollout, process string, granted, spent, returned int64, gone bool) Command {
		grant := LedgerEntry{Process: route.Process{Name: process, Start: 9}, Tenant: tenant, Rollout: rollout, Granted: granted}
		settlement, end := grant, grant
		settlement.Spent, settlement.Returned, end.Gone = spent, returned, gone
		return Command{Op: OpLedger, AtMS: 1_700_000_004_000, Entries: []LedgerEntry{grant, settlement, end}}
	}
	for _, command := range []Command{
		{Op: OpBase, AtMS: 1_700_000_000_000, Tenant: "checkout", Base: route.Subset{Model: []string{"old"}}},
		{Op: OpPost, AtMS: 1_700_000_001_000, Spec: full},
		account("checkout", "full", "process-a", 100, 20, 0, false),
		account("checkout", "full", "process-b", 50, 5, 45, true),
		{Op: OpForward, AtMS: 1_700_000_002_000, Tenant: "checkout", Name: "full", Step: 0},
		{Op: OpPost, AtMS: 1_700_000_001_000, Spec: plain("paused", "one", AtEndReturn)},
		{Op: OpPause, AtMS: 1_700_000_002_000, Tenant: "paused", Name: "one", Reason: "looked at"},
		{Op: OpPost, AtMS: 1_700_000_001_000, Spec: plain("ended", "back", AtEndReturn)},
		account("ended", "back", "process-a", 10, 9, 0, false),
		{Op: OpRollBack, AtMS: 1_700_000_002_000, Tenant: "ended", Name: "back", Reason: ReasonBudgetSpent},
		{Op: OpPost, AtMS: 1_700_000_003_000, Spec: plain("ended", "stopped", AtEndReturn)},
		{Op: OpStop, AtMS: 1_700_000_004_000, Tenant: "ended", Name: "stopped", Reason: "by hand"},
		{Op: OpPost, AtMS: 1_700_000_005_000, Spec: plain("ended", "done", AtEndKeep)},
		{Op: OpForward, AtMS: 1_700_000_006_000, Tenant: "ended", Name: "done", Step: 0},
		{Op: OpForward, AtMS: 1_700_000_007_000, Tenant: "ended", Name: "done", Step: 1},
		{Op: OpBase, AtMS: 1_700_000_000_000, Tenant: "base alone", Base: everything},
		{Op: OpClose, Rev: 7<<28 + 3},
		{Op: OpSchema, Schema: 2},
	} {
		mustApply(t, s, command)
	}
	return s
}

// TestStoredState_lifecycle checks that the stored form of rollouts in the snapshots of the list service does not change.
func TestStoredState_lifecycle(t *testing.T) {
	for name, want := range map[string]*State{"full": goldenState(t), "empty": NewState()} {
		t.Run(name, func(t *testing.T) {
			stored, err := os.ReadFile("testdata/golden/" + name + ".json")
			require.NoError(t, err)
			assert.Equal(t, string(stored), marshalState(t, want), "the state built from the commands")
			got := NewState()
			require.NoError(t, json.Unmarshal(stored, got))
			assert.Equal(t, string(stored), marshalState(t, got), "the state read and encoded again")
			assert.Equal(t, want.Table(), got.Table())
			assert.Equal(t, want.Rollouts(), got.Rollouts())
			assert.Equal(t, []int64{want.Rev(), want.ClosedRev(), int64(want.MinSchema())},
				[]int64{got.Rev(), got.ClosedRev(), int64(got.MinSchema())})
			granted, spent, returned := got.BudgetTotals("checkout", "full")
			wantGranted, wantSpent, wantReturned := want.BudgetTotals("checkout", "full")
			assert.Equal(t, []int64{wantGranted, wantSpent, wantReturned}, []int64{granted, spent, returned})
		})
	}
}
