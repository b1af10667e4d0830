package model

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marblelane/internal/rollout"
)

func TestSimulate_budget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Defaults()
		o.Seed = rapid.Uint64().Draw(t, "seed")
		o.Sidecars, o.Duration, o.RequestRate = rapid.IntRange(1, 30).Draw(t, "sidecars"), 15_000, 20
		o.Budget = rapid.Int64Range(1, 50).Draw(t, "budget")
		o.CanaryFailureRate = rapid.Float64Range(0, 1).Draw(t, "canary")
		o.LossRate, o.DuplicateRate = rapid.Float64Range(0, 0.3).Draw(t, "loss"), rapid.Float64Range(0, 0.3).Draw(t, "duplicates")
		o.KillTimes = rapid.SliceOfN(rapid.Int64Range(0, o.Duration), 0, 8).Draw(t, "kills")
		o.LeaderLossTimes = rapid.SliceOfN(rapid.Int64Range(0, o.Duration), 0, 1).Draw(t, "leader losses")
		o.Controller.Alpha = 0
		res, err := Simulate(o)
		require.NoError(t, err)
		require.LessOrEqual(t, res.Failures, o.Budget)
		require.False(t, res.Overclaimed)
		again, err := Simulate(o)
		require.NoError(t, err)
		require.Equal(t, res, again, "the same options must give the same result")
	})
}

func TestSimulate_baselineOverspends(t *testing.T) {
	o := Defaults()
	o.Sidecars, o.Duration, o.CanaryFailureRate, o.Budget, o.Controller.Alpha = 100, 20_000, 1, 10, 0
	res, err := Simulate(o)
	require.NoError(t, err)
	require.Equal(t, rollout.RolledBack, res.Phase)
	require.Equal(t, o.Budget, res.Failures)
	require.Greater(t, res.BaselineOver, o.Budget)
	require.LessOrEqual(t, res.LastAttempt, res.LastUnitSpent, "no attempt begins after the last unit is spent")
	_, err = Simulate(Options{})
	require.Error(t, err)
}

// TestSimulate_golden compares the JSON of one result with the recorded JSON. It guards against changes of the
// simulation and of the JSON keys.
func TestSimulate_golden(t *testing.T) {
	want, err := os.ReadFile("testdata/result.golden.json")
	require.NoError(t, err)
	o := Defaults()
	o.Sidecars = 10
	result, err := Simulate(o)
	require.NoError(t, err)
	got, err := json.Marshal(result)
	require.NoError(t, err)
	require.Equal(t, string(bytes.TrimSpace(want)), string(got))
}
