package lab_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/lab"
	"marblelane/internal/lab/simulate"
)

// Where all servers restart at once before many small sidecars, a server that is sent too much is seen to fall, and a
// budget keeps what cold servers are sent down.
func TestMemberCold(t *testing.T) {
	m := lab.MemberCold{Sidecars: []int{1000}, Rates: []float64{0.2}, Changes: []string{"split-alone"},
		Seeds: 2, Load: 0.45, AtOnce: 1, Cores: 4, Multiple: 4, Work: 100 * time.Millisecond, Aim: 600 * time.Millisecond, Jobs: 2,
		Counts: []simulate.CountMode{simulate.CountMembership, simulate.CountUnbounded}}
	rows, err := m.Run(context.Background())
	require.NoError(t, err)
	require.Len(t, rows, 2)
	rule, free := rows[0], rows[1]
	assert.Equal(t, rule.Starts, free.Starts)
	assert.Positive(t, free.Fell)
	assert.Greater(t, free.Peak, 1.0)
	assert.LessOrEqual(t, rule.Fell, free.Fell)
	assert.Greater(t, rule.Full, free.Full)
	assert.LessOrEqual(t, rule.Assumed, 1+1e-9)

	m.Changes = []string{"nothing"}
	_, err = m.Run(context.Background())
	assert.ErrorContains(t, err, `"nothing"`)
	_, err = (&lab.MemberCold{}).Run(context.Background())
	assert.Error(t, err)
}
