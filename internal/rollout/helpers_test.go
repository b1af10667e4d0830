package rollout_test

import (
	"encoding/json"

	"github.com/stretchr/testify/require"

	. "marblelane/internal/rollout"
	"marblelane/internal/rollout/model"
	"marblelane/internal/route"
)

func mustApply(t require.TestingT, s *State, c Command) int64 {
	rev, err := s.Apply(&c)
	require.NoError(t, err)
	return rev
}

func marshalState(t require.TestingT, s *State) string {
	data, err := json.Marshal(s)
	require.NoError(t, err)
	return string(data)
}

const (
	tenantName  = "t"
	rolloutName = "r"
)

func newSpec(budget int64) *Spec {
	return &Spec{
		Tenant: tenantName, Name: rolloutName, SubsetName: "new", Canary: route.Subset{Model: []string{"new"}},
		Budget: budget, AtEnd: AtEndReturn,
		Steps: []Step{{CanaryFraction: 0.1, HoldMS: MaxHoldMS}, {CanaryFraction: 0.5, HoldMS: MaxHoldMS}},
	}
}

func newSidecar(i int) model.Sidecar {
	return model.Sidecar{
		Process: route.Process{Name: string(rune('a' + i)), Start: 1}, Tenant: tenantName, Rollout: rolloutName,
	}
}

func controllerOptions() Options {
	return Options{
		Leader: "l", LeaseTerm: 1, StragglerAfter: 1, ShutOutAfter: 100, GoneAfter: 5, DropAfter: 1000,
		MaxStragglerFraction: 1, Alpha: 0, Rho: 3,
	}
}

func oneServerReady(route.Subset) int { return 1 }

// testFleet is a controller with sidecars that report to it.
type testFleet struct {
	state      *State
	controller *Controller
	sidecars   []model.Sidecar
}

func newTestFleet(t require.TestingT, n int, o Options, spec *Spec) *testFleet {
	f := &testFleet{state: NewState(), controller: NewController(o, 0)}
	mustApply(t, f.state, Command{Op: OpPost, Spec: spec})
	for i := range n {
		f.sidecars = append(f.sidecars, newSidecar(i))
	}
	return f
}

// report has a sidecar report; if it follows, it acts on the newest table by then.
func (f *testFleet) report(now int64, i int, follows bool, counts ...route.Count) route.ReportResponse {
	sidecar := &f.sidecars[i]
	if follows {
		table := f.state.Table()
		sidecar.ApplyTable(&table)
	}
	r := sidecar.NextReport(counts)
	response := f.controller.Report(now, f.state, &r)
	sidecar.ApplyReportResponse(now, &response)
	return response
}

// tick calls Tick, applies the returned commands, and returns their operations and the changes of access.
func (f *testFleet) tick(t require.TestingT, now int64, ready int) (ops []Op, changes []AccessChange) {
	commands, changes := f.controller.Tick(now, f.state, func(route.Subset) int { return ready })
	for _, c := range commands {
		mustApply(t, f.state, c)
		ops = append(ops, c.Op)
	}
	return ops, changes
}
