package membercold_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/lab/experiment/membercold"
	"marblelane/internal/lab/simulate"
)

// All servers restart at once, and each of many sidecars sends them little traffic. Without a bound, servers crash
// while they warm up. A budget lowers their load.
func TestExperiment_serversFallWithoutBudget(t *testing.T) {
	m := membercold.Experiment{Sidecars: []int{1000}, Rates: []float64{0.2}, FleetChanges: []string{"split-alone"},
		Seeds: 2, Utilization: 0.45, RestartFraction: 1, Cores: 4, FallMultiple: 4, MeanWork: 100 * time.Millisecond, LatencyObjective: 600 * time.Millisecond, Jobs: 2,
		CountModes: []simulate.CountMode{simulate.CountMembership, simulate.CountUnbounded}}
	rows, err := m.Run(context.Background())
	require.NoError(t, err)
	require.Len(t, rows, 2)
	limited, unbounded := rows[0], rows[1]
	assert.Equal(t, limited.SlowStarts, unbounded.SlowStarts)
	assert.Positive(t, unbounded.Overloaded)
	assert.Greater(t, unbounded.Peak, 1.0)
	assert.LessOrEqual(t, limited.Overloaded, unbounded.Overloaded)
	assert.Greater(t, limited.FullTrafficAfter, unbounded.FullTrafficAfter)
	assert.LessOrEqual(t, limited.AssumedMax, 1+1e-9)
}

func TestExperiment_invalidOptions(t *testing.T) {
	m := membercold.Experiment{Sidecars: []int{10}, Rates: []float64{0.2}, FleetChanges: []string{"nothing"},
		Seeds: 1, Utilization: 0.45, RestartFraction: 1, Cores: 4, FallMultiple: 4, MeanWork: 100 * time.Millisecond,
		LatencyObjective: 600 * time.Millisecond, CountModes: []simulate.CountMode{simulate.CountMembership}}
	_, err := m.Run(context.Background())
	assert.ErrorContains(t, err, `"nothing"`)
	_, err = (&membercold.Experiment{}).Run(context.Background())
	assert.Error(t, err)
}
