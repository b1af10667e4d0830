package model

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"marblelane/internal/testutil/explore"
)

// all is set to go through the worlds that take minutes, too: one crash, one cut and one leader change together.
func all() bool { return os.Getenv("EXPLORE") == "all" }

// explored goes through a world, which must have so many states; 0: they are too many to be gone through each time.
func explored(t *testing.T, f Faults, w explore.World, want int) {
	states, err := explore.Run(w, explore.Options{})
	require.NoError(t, err)
	t.Logf("%+v: %d states", f, states)
	if want > 0 {
		require.Equal(t, want, states)
	}
}

func TestExploreBudgets(t *testing.T) {
	worlds := map[Faults]int{{Jump: 1}: 14208}
	if !raced {
		worlds[Faults{Crashes: 1}], worlds[Faults{Leaders: 1}], worlds[Faults{Twice: 1}] = 52542, 37671, 37070
	}
	if all() {
		worlds[Faults{Crashes: 1, Leaders: 1}], worlds[Faults{Leaders: 1, Jump: 1}] = 0, 0
		worlds[Faults{Crashes: 1, Leaders: 1, Jump: 1}] = 0
	}
	for f, want := range worlds {
		explored(t, f, NewPurses(None, f), want)
	}
}

func TestExploreTerms(t *testing.T) {
	explored(t, Faults{}, NewTerms(None, 3, 1, 2, Faults{}), 11136)
	worlds := map[Faults]int{{Crashes: 1}: 8176}
	if !raced {
		worlds[Faults{Leaders: 1}], worlds[Faults{Twice: 1}] = 47755, 17493
	}
	if all() {
		worlds[Faults{Crashes: 1, Leaders: 1, Twice: 1}] = 0
		f := Faults{Crashes: 1, Leaders: 1}
		explored(t, f, NewTerms(None, 3, 1, 2, f), 0)
	}
	for f, want := range worlds {
		explored(t, f, NewTerms(None, 2, 1, 2, f), want)
	}
}

func TestPlantedDefectsAreFound(t *testing.T) {
	change := Faults{Leaders: 1}
	for _, c := range []struct {
		d    Defect
		w    explore.World
		want string
	}{
		{ToldEarly, NewPurses(ToldEarly, change), "4 failures of a budget of 3"},
		{CountedLate, NewPurses(CountedLate, Faults{}), "4 failures of a budget of 3"},
		{GoneReturned, NewPurses(GoneReturned, Faults{Crashes: 1}), "4 failures of a budget of 3"},
		{NoWait, NewTerms(NoWait, 2, 1, 2, change), "is closed"},
		{TermOfAnswer, NewTerms(TermOfAnswer, 2, 1, 2, Faults{}), "is closed"},
		{GrantsClosed, NewTerms(GrantsClosed, 2, 1, 2, Faults{}), "is closed"},
		{NoBarrier, NewTerms(NoBarrier, 2, 1, 2, change), "is closed"},
	} {
		states, err := explore.Run(c.w, explore.Options{BreadthFirst: !raced})
		require.ErrorContains(t, err, c.want, "defect %d", c.d)
		var b *explore.Violation
		require.ErrorAs(t, err, &b)
		t.Logf("defect %d, after %d states: %v", c.d, states, err)
	}
}
