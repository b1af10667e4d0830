package explore

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"marblelane/internal/statekey"
)

// jugs is the water jug puzzle with jugs of 3 and 5 litres. The invariant is that the jug of 5 litres never holds the
// wanted amount. The shortest violation takes six events for 4 litres. There is none for 6 litres.
type jugs struct{ three, five, wanted int64 }

var errAmountReached = errors.New("wanted amount is reached")

func (j jugs) Key() []byte { return statekey.AppendInts(nil, j.three, j.five) }

func (j jugs) Check() error {
	if j.five == j.wanted {
		return errAmountReached
	}
	return nil
}

func (j jugs) Next(emit func(string, World)) {
	toFive := min(j.three, 5-j.five)
	toThree := min(j.five, 3-j.three)
	for event, next := range map[string]jugs{
		"fill three": {3, j.five, j.wanted}, "fill five": {j.three, 5, j.wanted},
		"empty three": {0, j.five, j.wanted}, "empty five": {j.three, 0, j.wanted},
		"three to five": {j.three - toFive, j.five + toFive, j.wanted},
		"five to three": {j.three + toThree, j.five - toThree, j.wanted},
	} {
		emit(event, next)
	}
}

func TestRun(t *testing.T) {
	for _, breadthFirst := range []bool{false, true} {
		states, err := Run(jugs{wanted: 6}, Options{BreadthFirst: breadthFirst})
		require.NoError(t, err)
		require.Equal(t, 16, states, "all states in which a jug is full or empty")
	}
	_, err := Run(jugs{wanted: 4}, Options{BreadthFirst: true})
	var violation *Violation
	require.ErrorAs(t, err, &violation)
	require.ErrorIs(t, err, errAmountReached)
	require.Equal(t, []string{"fill five", "five to three", "empty three", "five to three", "fill five", "five to three"},
		violation.Trace)
	require.EqualError(t, err,
		"fill five: five to three: empty three: five to three: fill five: five to three: wanted amount is reached")

	states, err := Run(jugs{wanted: 6}, Options{MaxStates: 7})
	require.ErrorIs(t, err, ErrTooManyStates)
	require.ErrorContains(t, err, "than 7")
	require.Equal(t, 7, states)
	_, err = Run(jugs{wanted: 0}, Options{})
	require.EqualError(t, err, "wanted amount is reached", "the first state violates the invariant")
}
