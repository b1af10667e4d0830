package explore

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// cans is the riddle of two cans, of 3 and 5 litres: a promise that nobody ever measures 4 is broken in six steps.
type cans struct{ three, five, wanted int64 }

var errMeasured = errors.New("it is measured")

func (c cans) Key() []byte { return Ints(nil, c.three, c.five) }

func (c cans) Check() error {
	if c.five == c.wanted {
		return errMeasured
	}
	return nil
}

func (c cans) Next(emit func(string, World)) {
	over := min(c.three, 5-c.five)
	back := min(c.five, 3-c.three)
	for what, next := range map[string]cans{
		"fill three": {3, c.five, c.wanted}, "fill five": {c.three, 5, c.wanted},
		"empty three": {0, c.five, c.wanted}, "empty five": {c.three, 0, c.wanted},
		"three to five": {c.three - over, c.five + over, c.wanted}, "five to three": {c.three + back, c.five - back, c.wanted},
	} {
		emit(what, next)
	}
}

func TestRun(t *testing.T) {
	for _, shortest := range []bool{false, true} {
		states, err := Run(cans{wanted: 6}, Options{Shortest: shortest})
		require.NoError(t, err)
		require.Equal(t, 16, states, "one can is full or empty")
	}
	_, err := Run(cans{wanted: 4}, Options{Shortest: true})
	var b *Breach
	require.ErrorAs(t, err, &b)
	require.ErrorIs(t, err, errMeasured)
	require.Equal(t, []string{"fill five", "five to three", "empty three", "five to three", "fill five", "five to three"}, b.Trace)
	require.EqualError(t, err, "fill five: five to three: empty three: five to three: fill five: five to three: it is measured")

	states, err := Run(cans{wanted: 6}, Options{Most: 7})
	require.ErrorIs(t, err, ErrMost)
	require.ErrorContains(t, err, "than 7")
	require.Equal(t, 7, states)
	_, err = Run(cans{wanted: 0}, Options{})
	require.EqualError(t, err, "it is measured", "at once")
}
