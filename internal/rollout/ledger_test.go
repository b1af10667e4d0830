package rollout_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	. "marblelane/internal/rollout"
	"marblelane/internal/rollout/model"
	"marblelane/internal/route"
)

func TestLedger_bounded(t *testing.T) {
	s := NewState()
	s.BeginEpoch(1)
	mustApply(t, s, Command{Op: OpPost, Spec: newSpec(MaxBudget)})
	applyEntry := func(i int, e LedgerEntry) {
		e.Process, e.Tenant, e.Rollout = route.Process{Name: fmt.Sprint(i), Start: 1}, tenantName, rolloutName
		mustApply(t, s, Command{Op: OpLedger, Entries: []LedgerEntry{e}})
	}
	for i := range MaxAccounts + 500 {
		applyEntry(i, LedgerEntry{Granted: 2})
		if i < MaxAccounts/2 {
			applyEntry(i, LedgerEntry{Granted: 2, Spent: 1, Gone: true})
		}
	}
	r, _ := s.Rollout(tenantName, rolloutName)
	granted, spent, _ := s.BudgetTotals(tenantName, rolloutName)
	require.Len(t, r.Ledger, MaxAccounts/2+500+1)
	require.Equal(t, Account{Granted: MaxAccounts, Spent: MaxAccounts, Gone: true}, r.Ledger[SumAccountKey])
	require.Equal(t, [2]int64{2 * (MaxAccounts + 500), MaxAccounts}, [2]int64{granted, spent})
	mustApply(t, s, Command{Op: OpStop, Tenant: tenantName, Name: rolloutName})
	for i := MaxAccounts / 2; i < MaxAccounts+500; i++ {
		applyEntry(i, LedgerEntry{Granted: 5, Spent: 1, Returned: 1})
	}
	r, _ = s.Rollout(tenantName, rolloutName)
	require.Len(t, r.Ledger, 1, "settled accounts of a rollout that is over are folded")
	require.Equal(t, Account{Granted: 2 * (MaxAccounts + 500), Spent: MaxAccounts*3/2 + 500, Returned: MaxAccounts/2 + 500,
		Gone: true}, r.Ledger[SumAccountKey])
}

// TestBudget_randomFleet has many sidecars act in any order on one state. A second state gets each ledger command twice,
// and is stored and restored now and then.
func TestBudget_randomFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.Int64Range(1, 50).Draw(t, "budget")
		state, twin := NewState(), NewState()
		now, failures := int64(0), int64(0)
		applyBoth := func(c Command) {
			_, errA := state.Apply(&c)
			_, errB := twin.Apply(&c)
			require.Equal(t, errA, errB)
			if c.Op == OpLedger {
				before := marshalState(t, twin)
				_, _ = twin.Apply(&c)
				require.Equal(t, before, marshalState(t, twin), "applying a command twice is applying it once")
			}
		}
		applyBoth(Command{Op: OpPost, Spec: newSpec(budget)})
		sidecars := make([]*model.Sidecar, 20)
		for i := range sidecars {
			c := newSidecar(i)
			sidecars[i] = &c
		}
		controller := NewController(controllerOptions(), 0)
		var delayed []func()
		over := false
		sidecarIndex := rapid.IntRange(0, len(sidecars)-1)
		pick := func() *model.Sidecar { return sidecars[sidecarIndex.Draw(t, "side")] }
		t.Repeat(map[string]func(*rapid.T){
			"contact": func(t *rapid.T) {
				c := pick()
				r, sentAt := c.Report(nil), now
				a := controller.Report(now, state, &r)
				table := state.Table()
				c.ApplyAnswer(sentAt, &a)
				c.ApplyTable(&table)
			},
			"ask": func(t *rapid.T) {
				c := pick()
				request := c.BudgetRequest(rapid.Int64Range(0, 9).Draw(t, "want"))
				applyBoth(Command{Op: OpLedger, Entries: controller.BudgetEntries(now, state, &request)})
				a := controller.BudgetResponse(state, &request)
				switch rapid.IntRange(0, 3).Draw(t, "fate") {
				case 0: // the answer is lost, and the request comes again
					delayed = append(delayed, func() {
						applyBoth(Command{Op: OpLedger, Entries: controller.BudgetEntries(now, state, &request)})
					})
				case 1: // the answer is late
					p := c.Process
					delayed = append(delayed, func() {
						if c.Process == p {
							c.ApplyGrants(&a)
						}
					})
				default:
					c.ApplyGrants(&a)
				}
			},
			"late": func(t *rapid.T) {
				if len(delayed) > 0 {
					i := rapid.IntRange(0, len(delayed)-1).Draw(t, "which")
					delayed[i]()
					delayed = slices.Delete(delayed, i, i+1)
				}
			},
			"begin": func(t *rapid.T) {
				if c := pick(); c.MayUseCanary(now) {
					c.Budget.Reserve()
				}
			},
			"end": func(t *rapid.T) {
				if c := pick(); c.Budget.Reserved > 0 {
					failed := rapid.Bool().Draw(t, "failed")
					if c.Budget.Settle(failed); failed {
						failures++
					}
				}
			},
			"crash": func(t *rapid.T) {
				i := sidecarIndex.Draw(t, "side")
				failures += sidecars[i].Budget.Reserved
				c := newSidecar(i)
				c.Start = sidecars[i].Start + 1
				*sidecars[i] = c
			},
			"leader": func(*rapid.T) { controller = NewController(controllerOptions(), now) },
			"time": func(t *rapid.T) {
				now += rapid.Int64Range(0, 5).Draw(t, "ms")
				commands, _ := controller.Tick(now, state, oneReady)
				for _, c := range commands {
					applyBoth(c)
				}
			},
			"saved": func(t *rapid.T) {
				data := marshalState(t, twin)
				twin = NewState()
				require.NoError(t, json.Unmarshal([]byte(data), twin))
			},
			"": func(t *rapid.T) {
				granted, spent, returned := state.BudgetTotals(tenantName, rolloutName)
				require.LessOrEqual(t, granted-returned, budget)
				require.LessOrEqual(t, failures, budget)
				maxFailures := failures
				for _, c := range sidecars {
					maxFailures += c.Budget.Free() + c.Budget.Reserved
				}
				require.LessOrEqual(t, maxFailures, budget, "all that may still fail")
				phase := state.Phase(tenantName, rolloutName)
				require.Equal(t, spent == budget || over, phase == RolledBack)
				over = phase == RolledBack
				require.Equal(t, marshalState(t, state), marshalState(t, twin))
			},
		})
	})
}
