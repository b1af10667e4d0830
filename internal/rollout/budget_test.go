package rollout_test

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	. "marblelane/internal/rollout"
	"marblelane/internal/rollout/model"
)

// randomFleet is a fleet of sidecars whose actions are applied to one state in random order. A second state, the twin, gets
// each ledger command twice and is stored and restored at random times.
type randomFleet struct {
	budget      int64
	state, twin *State
	controller  *Controller
	sidecars    []*model.Sidecar
	now         int64
	failures    int64
	delayed     []func() // messages that are delivered later
	rolledBack  bool
}

const randomFleetSize = 20

func newRandomFleet(t *rapid.T) *randomFleet {
	f := &randomFleet{
		budget: rapid.Int64Range(1, 50).Draw(t, "budget"), state: NewState(), twin: NewState(),
		controller: NewController(controllerOptions(), 0),
	}
	f.apply(t, Command{Op: OpPost, Spec: newSpec(f.budget)})
	for i := range randomFleetSize {
		sidecar := newSidecar(i)
		f.sidecars = append(f.sidecars, &sidecar)
	}
	return f
}

// apply applies a command to both states.
func (f *randomFleet) apply(t *rapid.T, c Command) {
	_, err := f.state.Apply(&c)
	_, twinErr := f.twin.Apply(&c)
	require.Equal(t, err, twinErr)
	if c.Op == OpLedger {
		before := marshalState(t, f.twin)
		_, _ = f.twin.Apply(&c)
		require.Equal(t, before, marshalState(t, f.twin), "applying a command a second time changed the state")
	}
}

func (f *randomFleet) pickIndex(t *rapid.T) int {
	return rapid.IntRange(0, len(f.sidecars)-1).Draw(t, "side")
}

func (f *randomFleet) pick(t *rapid.T) *model.Sidecar { return f.sidecars[f.pickIndex(t)] }

// exchangeReport sends a report and delivers the response and the newest table.
func (f *randomFleet) exchangeReport(t *rapid.T) {
	sidecar := f.pick(t)
	report := sidecar.NextReport(nil)
	response := f.controller.Report(f.now, f.state, &report)
	table := f.state.Table()
	sidecar.ApplyReportResponse(f.now, &response)
	sidecar.ApplyTable(&table)
}

// requestBudget sends a budget request. The response arrives at once or later, or the request is committed again later.
func (f *randomFleet) requestBudget(t *rapid.T) {
	sidecar := f.pick(t)
	request := sidecar.BudgetRequest(rapid.Int64Range(0, 9).Draw(t, "want"))
	commit := func() {
		f.apply(t, Command{Op: OpLedger, Entries: f.controller.BudgetEntries(f.now, f.state, &request)})
	}
	commit()
	response := f.controller.BudgetResponse(f.state, &request)
	switch rapid.IntRange(0, 3).Draw(t, "fate") {
	case 0:
		f.delayed = append(f.delayed, commit)
	case 1:
		process := sidecar.Process
		f.delayed = append(f.delayed, func() {
			if sidecar.Process == process {
				sidecar.ApplyBudgetResponse(&response)
			}
		})
	default:
		sidecar.ApplyBudgetResponse(&response)
	}
}

func (f *randomFleet) deliverDelayed(t *rapid.T) {
	if len(f.delayed) > 0 {
		i := rapid.IntRange(0, len(f.delayed)-1).Draw(t, "which")
		f.delayed[i]()
		f.delayed = slices.Delete(f.delayed, i, i+1)
	}
}

func (f *randomFleet) beginAttempt(t *rapid.T) {
	if sidecar := f.pick(t); sidecar.MayUseCanary(f.now) {
		sidecar.Budget.Reserve()
	}
}

func (f *randomFleet) endAttempt(t *rapid.T) {
	sidecar := f.pick(t)
	if sidecar.Budget.Reserved == 0 {
		return
	}
	failed := rapid.Bool().Draw(t, "failed")
	sidecar.Budget.Settle(failed)
	if failed {
		f.failures++
	}
}

// crash restarts a sidecar. All of its attempts in flight count as failed.
func (f *randomFleet) crash(t *rapid.T) {
	i := f.pickIndex(t)
	f.failures += f.sidecars[i].Budget.Reserved
	restarted := newSidecar(i)
	restarted.Start = f.sidecars[i].Start + 1
	*f.sidecars[i] = restarted
}

func (f *randomFleet) changeLeader(*rapid.T) {
	f.controller = NewController(controllerOptions(), f.now)
}

func (f *randomFleet) advanceTime(t *rapid.T) {
	f.now += rapid.Int64Range(0, 5).Draw(t, "ms")
	commands, _ := f.controller.Tick(f.now, f.state, oneServerReady)
	for _, c := range commands {
		f.apply(t, c)
	}
}

func (f *randomFleet) restoreTwin(t *rapid.T) {
	data := marshalState(t, f.twin)
	f.twin = NewState()
	require.NoError(t, json.Unmarshal([]byte(data), f.twin))
}

// checkGuarantees checks the guarantees of the budget after each step.
func (f *randomFleet) checkGuarantees(t *rapid.T) {
	granted, spent, returned := f.state.BudgetTotals(tenantName, rolloutName)
	require.LessOrEqual(t, granted-returned, f.budget)
	require.LessOrEqual(t, f.failures, f.budget)
	maxFailures := f.failures
	for _, sidecar := range f.sidecars {
		maxFailures += sidecar.Budget.Free() + sidecar.Budget.Reserved
	}
	require.LessOrEqual(t, maxFailures, f.budget, "the failures so far and those still possible exceed the budget")
	rolledBack := f.state.Phase(tenantName, rolloutName) == RolledBack
	require.Equal(t, spent == f.budget || f.rolledBack, rolledBack)
	f.rolledBack = rolledBack
	require.Equal(t, marshalState(t, f.state), marshalState(t, f.twin))
}

func TestBudget_randomFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRandomFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"contact": f.exchangeReport,
			"ask":     f.requestBudget,
			"late":    f.deliverDelayed,
			"begin":   f.beginAttempt,
			"end":     f.endAttempt,
			"crash":   f.crash,
			"leader":  f.changeLeader,
			"time":    f.advanceTime,
			"saved":   f.restoreTwin,
			"":        f.checkGuarantees,
		})
	})
}
