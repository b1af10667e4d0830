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
	require.Zero(t, f.state.ClosedRev()-(f.state.Rev()-2), "closed a revision that a process may still act on")
	a = reportAll(7000, 1)
	require.Zero(t, a.LeaseMS)
	require.Contains(t, a.Reason, "has lacked a later one for 6000 ms")
	_, changes := f.tick(t, 7001, 1)
	straggler := f.sidecars[9]
	require.Equal(t, []AccessChange{
		{Process: straggler.Process, ShutOut: true, AcknowledgedRev: straggler.TableRev},
	}, changes)
	f.tick(t, 12098, 1)
	require.Less(t, f.state.ClosedRev(), f.state.Rev()-1,
		"closed the revision before the straggler's lease has expired on every clock")
	f.tick(t, 12099, 1)
	require.Equal(t, f.state.Rev()-1, f.state.ClosedRev())
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
	require.Greater(t, rejected.NewestStart, r.Start, "the response must name the start that the earlier process has to exceed")
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
			require.Equal(t, int64(5000), f.report(now, i, i < 6).LeaseMS,
				"a process was shut out although the service is at fault")
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

// TestController_schemaShutOut checks that processes that are shut out for their schema do not pause a rollout: they never
// acknowledge a newer revision, and that is no fault of the service.
func TestController_schemaShutOut(t *testing.T) {
	f := newTestFleet(t, 10, Defaults(), newSpec(3))
	mustApply(t, f.state, Command{Op: OpSchema, Schema: 2})
	for now := int64(0); now <= 12_000; now += 1000 {
		for i := range f.sidecars {
			if i < 5 {
				f.report(now, i, true)
				continue
			}
			r := f.sidecars[i].NextReport(nil)
			r.Schemas = []int{1}
			require.Contains(t, f.controller.Report(now, f.state, &r).Reason, "reads schemas up to 1, and 2 is asked for")
		}
		ops, _ := f.tick(t, now, 1)
		require.NotContains(t, ops, OpPause, "%d ms", now)
	}
}

func TestController_stepsAndPauses(t *testing.T) {
	spec := newSpec(3)
	spec.Steps[0] = Step{CanaryFraction: 0.1, HoldMS: 5500, MinAttempts: 10}
	f := newTestFleet(t, 4, Defaults(), spec)
	report := func(now int64, follow int, counts ...route.Count) {
		for i := range f.sidecars {
			f.report(now, i, i < follow, counts...)
			counts = nil // only the first process has counts
		}
	}
	count := route.Count{Rev: f.state.Rev(), Tenant: tenantName, Canary: true, Ended: 9}
	for now := int64(0); now <= 8000; now += 1000 {
		report(now, 4, count)
		ops, _ := f.tick(t, now, 1)
		require.NotContains(t, ops, OpForward, "advanced after 9 of 10 attempts")
	}
	count.Ended = 10
	report(8100, 4, count)
	paused, _ := f.tick(t, 8100, 0)
	require.Equal(t, []Op{OpPause}, paused[:1])
	ops, _ := f.tick(t, 8200, 0)
	require.NotContains(t, ops, OpResume)
	mustApply(t, f.state, Command{Op: OpPause, Tenant: tenantName, Name: rolloutName, Reason: "by hand"})
	ops, _ = f.tick(t, 8200, 1)
	require.NotContains(t, ops, OpResume, "resumed although a manual pause had replaced the controller's pause")
	mustApply(t, f.state, Command{Op: OpResume, Tenant: tenantName, Name: rolloutName})
	f.tick(t, 8200, 0)
	resumed, _ := f.tick(t, 8300, 1)
	require.Equal(t, []Op{OpResume}, resumed[:1])
	mustApply(t, f.state, Command{Op: OpPause, Tenant: tenantName, Name: rolloutName, Reason: "by hand"})
	ops, _ = f.tick(t, 8400, 1)
	require.NotContains(t, ops, OpResume, "resumed although the rollout was paused manually")
	report(8450, 4)
	resumedRev := mustApply(t, f.state, Command{Op: OpResume, Tenant: tenantName, Name: rolloutName})
	f.tick(t, 8500, 1)
	count.Rev = resumedRev
	report(11_000, 3, count)
	report(13_999, 3, count)
	ops, _ = f.tick(t, 13_999, 1)
	require.NotContains(t, ops, OpForward, "advanced before the step had lasted for its hold time")
	ops, _ = f.tick(t, 14_000, 1)
	require.NotContains(t, ops, OpForward, "advanced before every process had acknowledged the revision")
	report(14_001, 4, count)
	ops, _ = f.tick(t, 14_001, 1)
	require.Contains(t, ops, OpForward)

	newLeader := NewController(Defaults(), 0) // controller of the next leader
	commands, _ := newLeader.Tick(5099, f.state, oneServerReady)
	require.Empty(t, commands, "a new leader must wait until earlier leases have expired")
}

// TestController_silentFleet checks that a rollout neither advances nor resumes while no process reports, as the state of
// the fleet is then unknown.
func TestController_silentFleet(t *testing.T) {
	spec := newSpec(3)
	spec.Steps = []Step{{CanaryFraction: 0.25, HoldMS: 100}, {CanaryFraction: 1}}
	f := newTestFleet(t, 4, Defaults(), spec)
	for now := int64(0); now <= 5000; now += 1000 {
		for i := range f.sidecars {
			f.report(now, i, true)
		}
	}
	for now := int64(10_100); now < 60_000; now += 500 { // no process reports from here on
		if now == 30_100 {
			mustApply(t, f.state, Command{Op: OpPause, Tenant: tenantName, Name: rolloutName, Reason: ReasonStragglers})
		}
		ops, _ := f.tick(t, now, 1)
		require.NotContains(t, ops, OpForward, "%d ms", now)
		require.NotContains(t, ops, OpResume, "%d ms", now)
	}
}

// TestController_silentProcess checks that a step waits for a silent process until the process counts as gone, as the
// revision that it acts on is unknown.
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
			require.Greater(t, now, int64(20_100), "advanced before the silent process counted as gone")
			return
		}
		require.Less(t, now, int64(25_000), "the silent process must count as gone by now")
	}
}
