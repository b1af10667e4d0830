package memberscale

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"marblelane/internal/lab/gossip"
	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
	"marblelane/lab/scenarios"
)

// checkLeaks fails the test if it leaks goroutines. Those of the last probes end within a few intervals, for which
// goleak waits.
func checkLeaks(t *testing.T) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
}

func TestRun_quick(t *testing.T) {
	checkLeaks(t)
	m := Default(true)
	r, err := m.Run(t.Context())
	require.NoError(t, err)
	require.Empty(t, r.Unmeasured)
	for _, s := range r.Sizes {
		assert.Positive(t, s.Idle.Bytes)
		assert.Positive(t, s.Idle.CPU)
		assert.Positive(t, s.Crash.DetectAll)
		assert.GreaterOrEqual(t, s.Crash.RemovedAll, s.Crash.DetectP50, "a member was removed before it was unreachable")
		want := 1 + len(m.Losses)
		if s.Members <= m.MaxConcurrentSize {
			want++ // starved
		}
		require.Len(t, s.Losses, want)
		for _, l := range s.Losses {
			assert.Zero(t, l.RemovedEvents, "a running member was removed at %+v", l)
			assert.GreaterOrEqual(t, l.AgreeSeconds, 0.0)
		}
		require.Len(t, s.Splits, 2)
		for _, x := range s.Splits {
			assert.Positive(t, x.NoticeSeconds)
			assert.Positive(t, x.AgreeSeconds)
			assert.Zero(t, x.MaxRemoved, "a member was removed because of a partition")
		}
	}
	var out bytes.Buffer
	Print(&out, r)
	assert.Contains(t, out.String(), "half and half")
}

// Measurements that were not done in time are listed in Unmeasured and have no result.
func TestRun_timeoutAndCancel(t *testing.T) {
	checkLeaks(t)
	m := Default(true)
	m.TotalTimeout = 10 * time.Millisecond
	r, err := m.Run(t.Context())
	require.NoError(t, err)
	for i, n := range m.Sizes {
		assert.True(t, slices.ContainsFunc(r.Unmeasured, func(s string) bool {
			return strings.HasPrefix(s, fmt.Sprint(n, " "))
		}))
		assert.Nil(t, r.Sizes[i].Idle)
		assert.Empty(t, r.Sizes[i].Losses)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = m.Run(ctx)
	require.ErrorIs(t, err, context.Canceled)
}

// The check of agreement fails if a member is unreachable, and if the number of members is right but their names are
// not.
func TestCheckAgreement_detectsDisagreement(t *testing.T) {
	checkLeaks(t)
	m := Default(true)
	m.EventTimeout = 2 * time.Second
	f, err := m.openFleet(t.Context(), 4, gossip.Rules{})
	require.NoError(t, err)
	defer f.close()
	require.NoError(t, f.awaitAgreement(t.Context(), true))
	f.network.SetHostDown(gossip.Addr(3), true)
	x, err := f.measureSplit(t.Context(), "one and the rest", 1) // the vanished member stays unreachable
	require.NoError(t, err)
	assert.EqualValues(t, -1, x.AgreeSeconds)
	assert.ErrorContains(t, f.awaitAgreement(t.Context(), false), "does not agree")

	a, b, c := roster.ID{Name: "a", Start: 1}, roster.ID{Name: "b", Start: 1}, roster.ID{Name: "b", Start: 2}
	sees := func(state membership.MemberState, ids ...roster.ID) membership.Report {
		r := membership.Report{Self: a}
		for _, id := range ids {
			r.Members = append(r.Members, membership.Member{Name: id.Name, Start: id.Start, State: state})
		}
		return r
	}
	running := []roster.ID{b, a}
	good := sees(membership.Alive, a, b)
	require.NoError(t, checkAgreement([]membership.Report{good, sees(membership.Suspected, b, a)}, running))
	for _, bad := range []membership.Report{sees(membership.Alive, a, c), sees(membership.Alive, a),
		sees(membership.Alive, a, b, c), sees(membership.Unreachable, a, b), sees(membership.Gone, a, b)} {
		require.Error(t, checkAgreement([]membership.Report{good, bad}, running))
	}
}

// With the planted defect that trusts the failure detector, members that are only partitioned are removed. The result
// shows it.
func TestMeasureSplit_countsRemoved(t *testing.T) {
	checkLeaks(t)
	m := Default(true)
	m.Defect = membership.DefectTrustDetector
	f, err := m.openFleet(t.Context(), 6, gossip.Rules{})
	require.NoError(t, err)
	defer f.close()
	x, err := f.measureSplit(t.Context(), "half and half", 3)
	require.NoError(t, err)
	assert.Positive(t, x.MaxRemoved)
}

func TestMeasureProcesses_idle(t *testing.T) {
	checkLeaks(t)
	m := Default(true)
	m.Sizes = []int{3}
	s, err := scenarios.Load("scale")
	require.NoError(t, err)
	r, err := m.MeasureProcesses(t.Context(), s, programs.Sidecar, 50*time.Millisecond)
	require.NoError(t, err)
	require.Len(t, r.Processes, 2)
	for i, p := range r.Processes {
		assert.Equal(t, i == 1, p.WithMembers)
		assert.Equal(t, i == 1, p.JoinSeconds > 0)
		assert.Positive(t, p.RSS)
	}
	_, err = m.MeasureProcesses(t.Context(), s, programs.Marblelane, 50*time.Millisecond)
	require.ErrorContains(t, err, "did not start", "the program is not a sidecar")
}
