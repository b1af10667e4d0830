package snapshot_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"marblelane/internal/snapshot"
	"marblelane/internal/snapshot/crashcheck"
)

func TestAged(t *testing.T) {
	state := crashcheck.State(4, 1)
	state.Learned.Servers[0] = snapshot.Server{UID: "a", Size: 2, ConsecutiveErrors: 3, ErrorAge: 1000, Down: true,
		Ejections: 2, EjectionRemaining: 5000, WarmingUp: true, WarmUpAge: 4000}
	agedBy := func(elapsed time.Duration) (snapshot.Server, *snapshot.Snapshot, snapshot.Age) {
		aged, age := state.AgedAt(state.Written.Add(elapsed), snapshot.DefaultAgingPolicy())
		return aged.Learned.Servers[0], aged, age
	}
	server, aged, age := agedBy(2 * time.Second)
	assert.Equal(t, snapshot.Age{Elapsed: 2 * time.Second, Known: true, SizeWeight: math.Exp2(-2.0 / 3600)}, age)
	assert.Equal(t, []float64{3000, 3000, 6000, 2000},
		[]float64{server.ErrorAge, server.EjectionRemaining, server.WarmUpAge, aged.List.Age})
	assert.Equal(t, state.Learned.Rates, aged.Learned.Rates)

	server, aged, _ = agedBy(time.Hour)
	assert.Equal(t, snapshot.Server{UID: "a", Size: 1}, server, "the size is halved and faults are dropped")
	assert.Equal(t, snapshot.Rates{}, aged.Learned.Rates)
	assert.Equal(t, 2.25, aged.Learned.Kinds["big"])

	server, _, age = agedBy(25 * time.Hour)
	assert.Zero(t, server.Size)
	assert.True(t, age.Known)

	_, _, age = agedBy(-time.Second)
	assert.Equal(t, snapshot.Age{Known: true, SizeWeight: 1}, age, "a backward step within ClockSlack")

	server, aged, age = agedBy(-time.Hour)
	assert.Equal(t, snapshot.Age{SizeWeight: 0.5}, age)
	assert.Equal(t, 1.0, server.Size)
	assert.Equal(t, state.Learned.Servers[0].EjectionRemaining, server.EjectionRemaining)
	assert.Equal(t, state.Learned.Servers[0].WarmUpAge, server.WarmUpAge)
	assert.Equal(t, snapshot.Rates{}, aged.Learned.Rates)
	assert.Equal(t, 2.0, state.Learned.Servers[0].Size, "the loaded state is unchanged")
}
