package model

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"marblelane/internal/testutil/explore"
)

// exploreAll reports whether the environment variable EXPLORE=all also enables the worlds whose exploration takes
// minutes.
func exploreAll() bool { return os.Getenv("EXPLORE") == "all" }

// requireStateCount explores a world. It requires that no state violates an invariant and that there are as many states
// as wanted. A want of 0 accepts any number, for the worlds that are too large to explore in every run.
func requireStateCount(t *testing.T, f Faults, w explore.World, want int) {
	states, err := explore.Run(w, explore.Options{})
	require.NoError(t, err)
	t.Logf("%+v: %d states", f, states)
	if want > 0 {
		require.Equal(t, want, states)
	}
}

func TestExplore_budgets(t *testing.T) {
	worlds := map[Faults]int{{ClockJumps: 1}: 14208}
	if !raceEnabled {
		worlds[Faults{Crashes: 1}], worlds[Faults{LeaderChanges: 1}], worlds[Faults{Duplicates: 1}] = 52542, 37671, 37070
	}
	if exploreAll() {
		worlds[Faults{Crashes: 1, LeaderChanges: 1}], worlds[Faults{LeaderChanges: 1, ClockJumps: 1}] = 0, 0
		worlds[Faults{Crashes: 1, LeaderChanges: 1, ClockJumps: 1}] = 0
	}
	for f, want := range worlds {
		requireStateCount(t, f, NewBudgetWorld(None, f), want)
	}
}

func TestExplore_leases(t *testing.T) {
	requireStateCount(t, Faults{}, NewLeaseWorld(None, 3, 1, 2, Faults{}), 11136)
	worlds := map[Faults]int{{Crashes: 1}: 8176}
	if !raceEnabled {
		worlds[Faults{LeaderChanges: 1}], worlds[Faults{Duplicates: 1}] = 47755, 17493
	}
	if exploreAll() {
		worlds[Faults{Crashes: 1, LeaderChanges: 1, Duplicates: 1}] = 0
		f := Faults{Crashes: 1, LeaderChanges: 1}
		requireStateCount(t, f, NewLeaseWorld(None, 3, 1, 2, f), 0)
	}
	for f, want := range worlds {
		requireStateCount(t, f, NewLeaseWorld(None, 2, 1, 2, f), want)
	}
}

func TestExplore_plantedDefects(t *testing.T) {
	leaderChange := Faults{LeaderChanges: 1}
	for _, c := range []struct {
		defect Defect
		world  explore.World
		want   string
	}{
		{GrantBeforeCommit, NewBudgetWorld(GrantBeforeCommit, leaderChange), "4 failures of a budget of 3"},
		{NoReservation, NewBudgetWorld(NoReservation, Faults{}), "4 failures of a budget of 3"},
		{GoneUnitsReturned, NewBudgetWorld(GoneUnitsReturned, Faults{Crashes: 1}), "4 failures of a budget of 3"},
		{NoLeaseWait, NewLeaseWorld(NoLeaseWait, 2, 1, 2, leaderChange), "is closed"},
		{LeaseFromResponse, NewLeaseWorld(LeaseFromResponse, 2, 1, 2, Faults{}), "is closed"},
		{LeaseWhileClosing, NewLeaseWorld(LeaseWhileClosing, 2, 1, 2, Faults{}), "is closed"},
		{NoBarrierOnElection, NewLeaseWorld(NoBarrierOnElection, 2, 1, 2, leaderChange), "is closed"},
	} {
		states, err := explore.Run(c.world, explore.Options{BreadthFirst: !raceEnabled})
		require.ErrorContains(t, err, c.want, "defect %d", c.defect)
		var violation *explore.Violation
		require.ErrorAs(t, err, &violation)
		t.Logf("defect %d, after %d states: %v", c.defect, states, err)
	}
}
