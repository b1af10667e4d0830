package rollout_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	. "marblelane/internal/rollout"
	"marblelane/internal/route"
)

func TestController_stragglers(t *testing.T) {
	f := newTestFleet(t, 10, Defaults(), newSpec(3))
	reportAll := func(now int64, behind int) (last route.ReportResponse) {
		for i := range f.sidecars {
			last = f.report(now, i, i < len(f.sidecars)-behind)
		}
		return last
	}
	reportAll(0, 0)
	mustApply(t, f.state, Command{Op: OpPause, Tenant: tenantName, Name: rolloutName})
	a := reportAll(1000, 1)
	require.False(t, a.Resync)
	require.Equal(t, int64(5000), a.LeaseMS)
	require.True(t, reportAll(3000, 1).Resync)
	require.Equal(t, int64(5000), reportAll(6999, 1).LeaseMS)
	ops, _ := f.tick(t, 6999, 1)
	require.Empty(t, ops)
	require.Zero(t, f.state.Closed()-(f.state.Rev()-2), "a process may still act on the revision before")
	a = reportAll(7000, 1)
	require.Zero(t, a.LeaseMS)
	require.Contains(t, a.Reason, "has lacked a later one for 6000 ms")
	_, changes := f.tick(t, 7001, 1)
	straggler := f.sidecars[9]
	require.Equal(t, []AccessChange{
		{Process: straggler.Process, ShutOut: true, AcknowledgedRev: straggler.TableRev},
	}, changes)
	f.tick(t, 12098, 1)
	require.Less(t, f.state.Closed(), f.state.Rev()-1, "its lengthened term is not over")
	f.tick(t, 12099, 1)
	require.Equal(t, f.state.Rev()-1, f.state.Closed())
	require.Equal(t, int64(5000), reportAll(12100, 0).LeaseMS)
	_, changes = f.tick(t, 12100, 1)
	require.Equal(t, []AccessChange{
		{Process: straggler.Process, Readmitted: true, AcknowledgedRev: f.state.Rev()},
	}, changes)

	earlier := f.sidecars[0]
	f.sidecars[0].Start++
	f.report(12200, 0, true)
	r := earlier.NextReport(nil)
	rejected := f.controller.Report(12200, f.state, &r)
	require.Contains(t, rejected.Reason, "a later start")
	require.Greater(t, rejected.NewestStart, r.Start, "the start that an earlier process has to exceed")
	mustApply(t, f.state, Command{Op: OpSchema, Schema: 3})
	require.Contains(t, f.report(12300, 1, true).Reason, "reads schemas up to 2, and 3 is asked for")
}

func TestController_serviceFault(t *testing.T) {
	f := newTestFleet(t, 10, Defaults(), newSpec(3))
	for i := range f.sidecars {
		f.report(0, i, true)
	}
	mustApply(t, f.state, Command{Op: OpForward, Tenant: tenantName, Name: rolloutName})
	for now := int64(100); now <= 7000; now += 2300 {
		for i := range f.sidecars {
			require.Equal(t, int64(5000), f.report(now, i, i < 6).LeaseMS, "no process is shut out")
		}
	}
	ops, _ := f.tick(t, 7000, 1)
	require.Contains(t, ops, OpPause)
	ops, _ = f.tick(t, 7100, 1)
	require.NotContains(t, ops, OpResume)
	for i := range f.sidecars {
		f.report(7200, i, true)
	}
	ops, _ = f.tick(t, 7200, 1)
	require.Contains(t, ops, OpResume)
	require.NotContains(t, ops, OpForward)
}

func TestController_stepsAndPauses(t *testing.T) {
	spec := newSpec(3)
	spec.Steps[0] = Step{CanaryFraction: 0.1, HoldMS: 5500, MinAttempts: 10}
	f := newTestFleet(t, 4, Defaults(), spec)
	report := func(now int64, follow int, counts ...route.Count) {
		for i := range f.sidecars {
			f.report(now, i, i < follow, counts...)
			counts = nil // only the first one has any
		}
	}
	count := route.Count{Rev: f.state.Rev(), Tenant: tenantName, Canary: true, Ended: 9}
	for now := int64(0); now <= 8000; now += 1000 {
		report(now, 4, count)
		ops, _ := f.tick(t, now, 1)
		require.NotContains(t, ops, OpForward, "9 attempts of 10")
	}
	count.Ended = 10
	report(8100, 4, count)
	paused, _ := f.tick(t, 8100, 0)
	require.Equal(t, []Op{OpPause}, paused[:1])
	ops, _ := f.tick(t, 8200, 0)
	require.NotContains(t, ops, OpResume)
	mustApply(t, f.state, Command{Op: OpPause, Tenant: tenantName, Name: rolloutName, Reason: "by hand"})
	ops, _ = f.tick(t, 8200, 1)
	require.NotContains(t, ops, OpResume, "the pause was taken over by command")
	mustApply(t, f.state, Command{Op: OpResume, Tenant: tenantName, Name: rolloutName})
	f.tick(t, 8200, 0)
	resumed, _ := f.tick(t, 8300, 1)
	require.Equal(t, []Op{OpResume}, resumed[:1])
	mustApply(t, f.state, Command{Op: OpPause, Tenant: tenantName, Name: rolloutName, Reason: "by hand"})
	ops, _ = f.tick(t, 8400, 1)
	require.NotContains(t, ops, OpResume, "it was paused by command")
	report(8450, 4)
	resumedRev := mustApply(t, f.state, Command{Op: OpResume, Tenant: tenantName, Name: rolloutName})
	f.tick(t, 8500, 1)
	count.Rev = resumedRev
	report(11_000, 3, count)
	report(13_999, 3, count)
	ops, _ = f.tick(t, 13_999, 1)
	require.NotContains(t, ops, OpForward, "the step has not lasted long enough")
	ops, _ = f.tick(t, 14_000, 1)
	require.NotContains(t, ops, OpForward, "a process does not act on it yet")
	report(14_001, 4, count)
	ops, _ = f.tick(t, 14_001, 1)
	require.Contains(t, ops, OpForward)

	next := NewController(Defaults(), 0) // the next leader's
	commands, _ := next.Tick(5099, f.state, oneReady)
	require.Empty(t, commands, "a new leader waits until earlier leases have expired")
}

// TestController_silentFleet: a rollout moves on what is known of the fleet, and of a silent one nothing is known.
func TestController_silentFleet(t *testing.T) {
	spec := newSpec(3)
	spec.Steps = []Step{{CanaryFraction: 0.25, HoldMS: 100}, {CanaryFraction: 1}}
	f := newTestFleet(t, 4, Defaults(), spec)
	for now := int64(0); now <= 5000; now += 1000 {
		for i := range f.sidecars {
			f.report(now, i, true)
		}
	}
	for now := int64(10_100); now < 60_000; now += 500 { // no process reports any more
		if now == 30_100 {
			mustApply(t, f.state, Command{Op: OpPause, Tenant: tenantName, Name: rolloutName, Reason: ReasonStragglers})
		}
		ops, _ := f.tick(t, now, 1)
		require.NotContains(t, ops, OpForward, "%d ms", now)
		require.NotContains(t, ops, OpResume, "%d ms", now)
	}
}

// TestController_silentProcess: a silent process is waited for until it is gone, as it is not known what it acts on.
func TestController_silentProcess(t *testing.T) {
	spec := newSpec(3)
	spec.Steps = []Step{{CanaryFraction: 0.25, HoldMS: 100}, {CanaryFraction: 1}}
	f := newTestFleet(t, 4, Defaults(), spec)
	for i := range f.sidecars {
		f.report(0, i, true)
	}
	mustApply(t, f.state, Command{Op: OpPause, Tenant: tenantName, Name: rolloutName, Reason: "by hand"})
	mustApply(t, f.state, Command{Op: OpResume, Tenant: tenantName, Name: rolloutName})
	for now := int64(500); ; now += 500 {
		for i := range 3 {
			f.report(now, i, true)
		}
		ops, _ := f.tick(t, now, 1)
		if slices.Contains(ops, OpForward) {
			require.Greater(t, now, int64(20_100), "the process is not gone yet")
			return
		}
		require.Less(t, now, int64(25_000), "the process must be gone by now")
	}
}
