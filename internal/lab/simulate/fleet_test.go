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

// runFleet simulates 40 sidecars, of which 20 run at the start, and six servers, of which four drain and restart at the
// same time.
func runFleet(t *testing.T, count simulate.CountMode, seed uint64, changes ...simulate.FleetChange) *simulate.Result {
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

// numbers returns the integers from (included) to (excluded).
func numbers(from, to int) (out []int) {
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

// sides returns the sides of the 40 sidecars in a partition.
func sides(side func(i int) int) []int {
	out := numbers(0, 40)
	for i := range out {
		out[i] = side(i)
	}
	return out
}

// With CountMembership the sum of quotas never exceeds the fleet's allowance, however the fleet changes, and its mean
// stays high enough. With CountReachable the sum does exceed the allowance, which shows that the measurement detects an
// excess.
func TestFleet_quotaSum(t *testing.T) {
	healed := simulate.FleetChange{At: 12000, Sides: make([]int, 40)}
	half, alone := sides(func(i int) int { return i % 2 }), sides(func(i int) int { return i })
	for name, test := range map[string]struct {
		changes      []simulate.FleetChange
		minReachable float64 // lower bound of MaxQuota with CountReachable
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
				membership := runFleet(t, simulate.CountMembership, seed, test.changes...).Members
				assert.LessOrEqual(t, membership.MaxQuota, 1+1e-9)
				assert.Greater(t, membership.MeanQuota, 0.45)
				reachable := runFleet(t, simulate.CountReachable, seed, test.changes...).Members
				assert.GreaterOrEqual(t, reachable.MaxQuota, test.minReachable)
			}
		})
	}
}

// A fixed count that equals the number in the settings does not change a run. With changes of the fleet, too, the same
// seed gives the same run.
func TestFleet_fixedCount(t *testing.T) {
	change := simulate.FleetChange{At: 3000, Stop: numbers(5, 20)}
	back := simulate.FleetChange{At: 9000, Start: numbers(0, 40)}
	none := runFleet(t, simulate.CountNone, 3, change, back)
	assert.True(t, reflect.DeepEqual(none, runFleet(t, simulate.CountFixed, 3, change, back)))
	membership := runFleet(t, simulate.CountMembership, 3, change, back)
	assert.True(t, reflect.DeepEqual(membership, runFleet(t, simulate.CountMembership, 3, change, back)))
	assert.False(t, reflect.DeepEqual(membership.Events, none.Events), "CountMembership and CountNone gave the same events")
}

func TestFleet_invalidMembers(t *testing.T) {
	s := loadScenario(t, "calm")
	for _, bad := range []simulate.Members{
		{Count: "guess", Peers: 1, MeanWork: 1}, {Count: simulate.CountMembership, MeanWork: 1},
		{Count: simulate.CountMembership, Peers: 1},
		{Count: simulate.CountMembership, Peers: 1, MeanWork: 1, Changes: []simulate.FleetChange{{Sides: []int{1}}}},
	} {
		_, err := simulate.Run(context.Background(), s.Plan(1), simulate.Options{Members: &bad})
		assert.ErrorContains(t, err, "members", "%+v", bad)
	}
}
