package simulate_test

import (
	"context"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simulate"
)

// fleet plays 40 sidecars, 20 of which are there at the start, and six servers, most of which restart at once.
func fleet(t *testing.T, count simulate.CountMode, seed uint64, changes ...simulate.Change) *simulate.Run {
	t.Helper()
	s, err := scenario.Parse("members", []byte(`title = "t"
length = "20s"
[servers]
count = 6
pod_size = 1
fall_multiple = 1e9
[traffic]
rate = 20
[[fault]]
kind = "drain"
at = "3s"
servers = "4"
`))
	require.NoError(t, err)
	s.Sidecars.Count = 40
	p := s.Plan(seed)
	for i := range p.Arrivals {
		p.Arrivals[i].Sidecar %= 20
	}
	run, err := simulate.Play(context.Background(), p, simulate.Options{
		Members: &simulate.Members{Count: count, Peers: 20, Changes: changes, MeanWork: 90}})
	require.NoError(t, err)
	return run
}

func numbers(from, to int) (out []int) {
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

func sides(side func(i int) int) []int {
	out := numbers(0, 40)
	for i := range out {
		out[i] = side(i)
	}
	return out
}

// Whatever becomes of the fleet, sidecars that follow the rule never assume more together than the settings' number
// does, and come back to all of it. Those that believe what they hear now do: so the figure can be seen to rise.
func TestMembersAssumeNoMoreThanTheFleet(t *testing.T) {
	whole := simulate.Change{At: 12000, Sides: make([]int, 40)}
	half, alone := sides(func(i int) int { return i % 2 }), sides(func(i int) int { return i })
	for name, test := range map[string]struct {
		changes []simulate.Change
		naive   float64 // at least
	}{
		"half die":       {[]simulate.Change{{At: 3000, Stop: numbers(10, 20)}}, 0},
		"double":         {[]simulate.Change{{At: 3000, Start: numbers(20, 40)}}, 20},
		"die and return": {[]simulate.Change{{At: 3000, Stop: numbers(6, 20)}, {At: 7000, Start: numbers(6, 20)}}, 10},
		"return at once": {[]simulate.Change{{At: 3000, Stop: numbers(6, 20)}, {At: 3000, Start: numbers(6, 20)}}, 10},
		"split":          {[]simulate.Change{{At: 1000, Sides: half}, whole}, 1.9},
		"all alone":      {[]simulate.Change{{At: 1000, Sides: alone}, whole}, 19},
		"split, third restarts": {[]simulate.Change{{At: 1000, Sides: half}, {At: 3000, Stop: numbers(0, 7)},
			{At: 6000, Start: numbers(0, 7)}, whole}, 1.9},
	} {
		for seed := uint64(1); seed <= 2; seed++ {
			rule := fleet(t, simulate.CountMembership, seed, test.changes...).Members
			assert.LessOrEqual(t, rule.MaxQuota, 1+1e-9, name)
			assert.Greater(t, rule.MeanQuota, 0.45, name)
			assert.GreaterOrEqual(t, fleet(t, simulate.CountReachable, seed, test.changes...).Members.MaxQuota, test.naive, name)
		}
	}
}

// A sidecar that is told what its settings say does, in a whole run, what one does that is told nothing, and a run with
// changes is its seed's.
func TestMembersToldTheSettingsNumberChangeNothing(t *testing.T) {
	change := simulate.Change{At: 3000, Stop: numbers(5, 20)}
	back := simulate.Change{At: 9000, Start: numbers(0, 40)}
	none := fleet(t, simulate.CountNone, 3, change, back)
	assert.True(t, reflect.DeepEqual(none, fleet(t, simulate.CountFixed, 3, change, back)))
	rule := fleet(t, simulate.CountMembership, 3, change, back)
	assert.True(t, reflect.DeepEqual(rule, fleet(t, simulate.CountMembership, 3, change, back)))
	assert.False(t, reflect.DeepEqual(rule.Events, none.Events), "told another number they do the same")
}

func TestMembersThatCannotBe(t *testing.T) {
	s := parse(t, "calm")
	for _, bad := range []simulate.Members{
		{Count: "guess", Peers: 1, MeanWork: 1}, {Count: simulate.CountMembership, MeanWork: 1},
		{Count: simulate.CountMembership, Peers: 1},
		{Count: simulate.CountMembership, Peers: 1, MeanWork: 1, Changes: []simulate.Change{{Sides: []int{1}}}},
	} {
		_, err := simulate.Play(context.Background(), s.Plan(1), simulate.Options{Members: &bad})
		assert.ErrorContains(t, err, "members", "%+v", bad)
	}
}
