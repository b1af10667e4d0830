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
func fleet(t *testing.T, count simulate.CountMode, seed uint64, changes ...simulate.FleetChange) *simulate.Result {
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
	run, err := simulate.Run(context.Background(), p, simulate.Options{
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

// With the counts of membership the sum of quotas never exceeds the fleet's allowance, however the fleet changes, and
// comes back to it. With counts of reachable members it does exceed it, which shows that the measure can rise.
func TestFleet_quotaSum(t *testing.T) {
	healed := simulate.FleetChange{At: 12000, Sides: make([]int, 40)}
	half, alone := sides(func(i int) int { return i % 2 }), sides(func(i int) int { return i })
	for name, test := range map[string]struct {
		changes      []simulate.FleetChange
		minReachable float64 // least maximum of the sum with CountReachable
	}{
		"half die":       {[]simulate.FleetChange{{At: 3000, Stop: numbers(10, 20)}}, 0},
		"double":         {[]simulate.FleetChange{{At: 3000, Start: numbers(20, 40)}}, 20},
		"die and return": {[]simulate.FleetChange{{At: 3000, Stop: numbers(6, 20)}, {At: 7000, Start: numbers(6, 20)}}, 10},
		"return at once": {[]simulate.FleetChange{{At: 3000, Stop: numbers(6, 20)}, {At: 3000, Start: numbers(6, 20)}}, 10},
		"split":          {[]simulate.FleetChange{{At: 1000, Sides: half}, healed}, 1.9},
		"all alone":      {[]simulate.FleetChange{{At: 1000, Sides: alone}, healed}, 19},
		"split, third restarts": {[]simulate.FleetChange{{At: 1000, Sides: half}, {At: 3000, Stop: numbers(0, 7)},
			{At: 6000, Start: numbers(0, 7)}, healed}, 1.9},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 2; seed++ {
				membership := fleet(t, simulate.CountMembership, seed, test.changes...).Members
				assert.LessOrEqual(t, membership.MaxQuota, 1+1e-9)
				assert.Greater(t, membership.MeanQuota, 0.45)
				reachable := fleet(t, simulate.CountReachable, seed, test.changes...).Members
				assert.GreaterOrEqual(t, reachable.MaxQuota, test.minReachable)
			}
		})
	}
}

// A count that equals the settings changes nothing in a run, and the same seed gives the same run with changes.
func TestFleet_fixedCount(t *testing.T) {
	change := simulate.FleetChange{At: 3000, Stop: numbers(5, 20)}
	back := simulate.FleetChange{At: 9000, Start: numbers(0, 40)}
	none := fleet(t, simulate.CountNone, 3, change, back)
	assert.True(t, reflect.DeepEqual(none, fleet(t, simulate.CountFixed, 3, change, back)))
	membership := fleet(t, simulate.CountMembership, 3, change, back)
	assert.True(t, reflect.DeepEqual(membership, fleet(t, simulate.CountMembership, 3, change, back)))
	assert.False(t, reflect.DeepEqual(membership.Events, none.Events), "another count changes nothing")
}

func TestFleet_invalidMembers(t *testing.T) {
	s := parse(t, "calm")
	for _, bad := range []simulate.Members{
		{Count: "guess", Peers: 1, MeanWork: 1}, {Count: simulate.CountMembership, MeanWork: 1},
		{Count: simulate.CountMembership, Peers: 1},
		{Count: simulate.CountMembership, Peers: 1, MeanWork: 1, Changes: []simulate.FleetChange{{Sides: []int{1}}}},
	} {
		_, err := simulate.Run(context.Background(), s.Plan(1), simulate.Options{Members: &bad})
		assert.ErrorContains(t, err, "members", "%+v", bad)
	}
}
