package rollout_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	. "marblelane/internal/rollout"
	"marblelane/internal/route"
)

func TestState_lifecycle(t *testing.T) {
	s := NewState()
	s.BeginEpoch(7)
	base := route.Subset{Model: []string{"old"}}
	first := mustApply(t, s, Command{Op: OpBase, Tenant: tenantName, Base: base, IfRev: new(int64)})
	require.Equal(t, int64(7<<28+1), first)
	require.Equal(t, first, mustApply(t, s, Command{Op: OpBase, Tenant: tenantName, Base: base, IfRev: new(int64)}),
		"the same command sent twice")
	_, err := s.Apply(&Command{Op: OpPost, Spec: newSpec(3), IfRev: new(int64)})
	require.ErrorIs(t, err, ErrConflict)

	keepSpec := newSpec(3)
	keepSpec.AtEnd = AtEndKeep
	rev := mustApply(t, s, Command{Op: OpPost, Spec: keepSpec, IfRev: &first})
	require.Equal(t, first+1, rev)
	_, err = s.Apply(&Command{Op: OpBase, Tenant: tenantName})
	require.ErrorIs(t, err, ErrBusy)
	otherSpec := *keepSpec
	otherSpec.Name = "other"
	_, err = s.Apply(&Command{Op: OpPost, Spec: &otherSpec})
	require.ErrorIs(t, err, ErrBusy)

	apply := func(op Op, step int) int64 {
		return mustApply(t, s, Command{Op: op, Tenant: tenantName, Name: rolloutName, Step: step})
	}
	require.Equal(t, rev+1, apply(OpPause, 0))
	require.Zero(t, s.Table().Routes[0].Share)
	require.Equal(t, rolloutName, RolloutName(s.Table().Routes[0].Rollout), "the route of a paused rollout must still name it")
	require.Equal(t, rev+1, apply(OpForward, 0), "a paused rollout must not advance")
	require.Equal(t, rev+2, apply(OpResume, 0))
	require.Equal(t, rev+3, apply(OpForward, 0))
	require.Equal(t, rev+3, apply(OpForward, 0), "the same command sent twice")
	require.Equal(t, rev, mustApply(t, s, Command{Op: OpPost, Spec: keepSpec}), "the same post sent again after later changes")
	require.Equal(t, rev+4, apply(OpForward, 1))
	require.Equal(t, keepSpec.Canary, s.Table().Routes[0].Base)
	require.Empty(t, s.Table().Routes[0].Rollout)
	for _, op := range []Op{OpPause, OpResume, OpRollBack, OpStop} {
		_, err = s.Apply(&Command{Op: op, Tenant: tenantName, Name: rolloutName})
		require.ErrorIs(t, err, ErrEnded)
	}
	changedSpec := *keepSpec
	changedSpec.Budget++
	_, err = s.Apply(&Command{Op: OpPost, Spec: &changedSpec})
	require.ErrorIs(t, err, ErrExists)
	_, err = s.Apply(&Command{Op: OpStop, Tenant: tenantName, Name: "none"})
	require.ErrorIs(t, err, ErrNotFound)
}

// newCompletedState returns a state with a base and a rollout that has completed its steps.
func newCompletedState(t *testing.T) *State {
	s := NewState()
	s.BeginEpoch(7)
	mustApply(t, s, Command{Op: OpBase, Tenant: tenantName, Base: route.Subset{Model: []string{"old"}}})
	spec := newSpec(3)
	spec.AtEnd = AtEndKeep
	mustApply(t, s, Command{Op: OpPost, Spec: spec})
	for step := range spec.Steps {
		mustApply(t, s, Command{Op: OpForward, Tenant: tenantName, Name: rolloutName, Step: step})
	}
	require.Equal(t, Done, s.Phase(tenantName, rolloutName))
	return s
}

func TestState_closedRevision(t *testing.T) {
	s := newCompletedState(t)
	mustApply(t, s, Command{Op: OpClose, Rev: s.Rev() + 5})
	require.Equal(t, s.Rev()-1, s.ClosedRev(), "the newest revision must not be closed")
	mustApply(t, s, Command{Op: OpClose, Rev: 3})
	require.Equal(t, s.Rev()-1, s.ClosedRev())
}

func TestState_endedRollouts(t *testing.T) {
	s := newCompletedState(t)
	mustApply(t, s, Command{Op: OpClose, Rev: s.Rev() - 1})
	for i := range 2*MaxEndedRollouts + 1 {
		next := *newSpec(3)
		next.AtEnd = AtEndKeep
		next.Name = fmt.Sprint(i)
		mustApply(t, s, Command{Op: OpPost, Spec: &next})
		mustApply(t, s, Command{Op: OpStop, Tenant: tenantName, Name: next.Name})
	}
	require.Len(t, s.Rollouts(), MaxEndedRollouts)
	restored := NewState()
	require.NoError(t, json.Unmarshal([]byte(marshalState(t, s)), restored))
	require.Equal(t, marshalState(t, s), marshalState(t, restored))
	require.ErrorContains(t, json.Unmarshal([]byte(`{"form":2}`), restored), "form 2, this program reads form 1")
	require.Equal(t, marshalState(t, s), marshalState(t, restored), "a rejected stored state changed the state")
}

// TestState_reusedName checks that a rollout that reuses the name of one that is no longer kept has its own ID and budget.
func TestState_reusedName(t *testing.T) {
	s := NewState()
	first := newSpec(3)
	mustApply(t, s, Command{Op: OpPost, Spec: first})
	firstID := s.Table().Routes[0].Rollout
	require.Equal(t, rolloutName, RolloutName(firstID))
	mustApply(t, s, Command{Op: OpStop, Tenant: tenantName, Name: rolloutName})
	for i := range MaxEndedRollouts {
		other := *first
		other.Name = fmt.Sprint("other-", i)
		mustApply(t, s, Command{Op: OpPost, Spec: &other})
		mustApply(t, s, Command{Op: OpStop, Tenant: tenantName, Name: other.Name})
	}
	mustApply(t, s, Command{Op: OpPost, Spec: first})
	secondID := s.Table().Routes[0].Rollout
	require.Equal(t, rolloutName, RolloutName(secondID))
	require.NotEqual(t, firstID, secondID)
	require.NotEqual(t, route.RolloutID(tenantName, firstID), route.RolloutID(tenantName, secondID))
	p := route.Process{Name: "n", Start: 1}
	mustApply(t, s, Command{Op: OpLedger, Entries: []LedgerEntry{{Process: p, Tenant: tenantName, Rollout: secondID, Granted: 3},
		{Process: p, Tenant: tenantName, Rollout: firstID, Granted: 3, Spent: 3}}})
	_, spent, _ := s.BudgetTotals(tenantName, rolloutName)
	require.Zero(t, spent)
}
