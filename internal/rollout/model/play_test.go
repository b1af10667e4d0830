package model

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marblelane/internal/rollout"
)

func TestPlaysKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Defaults()
		o.Seed = rapid.Uint64().Draw(t, "seed")
		o.Sidecars, o.For, o.Rate = rapid.IntRange(1, 30).Draw(t, "sidecars"), 15_000, 20
		o.Budget = rapid.Int64Range(1, 50).Draw(t, "budget")
		o.Canary = rapid.Float64Range(0, 1).Draw(t, "canary")
		o.Loss, o.Twice = rapid.Float64Range(0, 0.3).Draw(t, "loss"), rapid.Float64Range(0, 0.3).Draw(t, "twice")
		o.Kills = rapid.SliceOfN(rapid.Int64Range(0, o.For), 0, 8).Draw(t, "kills")
		o.Leaders = rapid.SliceOfN(rapid.Int64Range(0, o.For), 0, 1).Draw(t, "leaders")
		o.Controller.Alpha = 0
		res, err := Play(o)
		require.NoError(t, err)
		require.LessOrEqual(t, res.Failures, o.Budget)
		require.False(t, res.Overclaimed)
		again, err := Play(o)
		require.NoError(t, err)
		require.Equal(t, res, again, "the same options, the same result")
	})
}

func TestBaselineOverspends(t *testing.T) {
	o := Defaults()
	o.Sidecars, o.For, o.Canary, o.Budget, o.Controller.Alpha = 100, 20_000, 1, 10, 0
	res, err := Play(o)
	require.NoError(t, err)
	require.Equal(t, rollout.RolledBack, res.Phase)
	require.Equal(t, o.Budget, res.Failures)
	require.Greater(t, res.BaselineOver, o.Budget)
	require.LessOrEqual(t, res.LastAttempt, res.LastUnit, "no unit, no attempt")
	_, err = Play(Options{})
	require.Error(t, err)
}
