package balance

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// An attempt to a canary that this machine could not send spends no unit; an unreachable canary spends one.
func TestCanaryBudget_localFailure(t *testing.T) {
	a := &attempt{}
	if a.spendsUnit(&request{}, Outcome{Result: LocalFailure}) || !a.spendsUnit(&request{}, Outcome{Result: Unreachable}) {
		t.Error("want a unit spent for an unreachable canary, and none for a local failure")
	}
}

// Reserve, Settle and Grant in any order never overdraw the budget, and a delayed or repeated grant adds its units only
// once. Idle units above the limit are returned.
func TestCanaryBudget_property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget CanaryBudget
		var granted int64
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if free := budget.Free(); budget.Reserve() != (free > 0) {
					t.Fatalf("Reserve with %d free units: %+v", free, budget)
				}
			case 1, 2:
				if budget.Reserved > 0 {
					budget.Settle(rapid.Bool().Draw(t, "failed"))
				}
			case 3: // grants may be delayed or repeated
				units := rapid.Int64Range(0, 20).Draw(t, "units")
				maxIdle := rapid.Int64Range(0, 5).Draw(t, "keep")
				idle := max(granted, units) - granted + budget.Free()
				granted = max(granted, units)
				if budget.Grant(units, maxIdle); budget.Free() != min(idle, maxIdle) {
					t.Fatalf("Grant with %d idle units, maxIdle %d: %+v", idle, maxIdle, budget)
				}
			}
			if budget.Free() < 0 || budget.Reserved < 0 || budget.Granted != granted || budget.Spent+budget.Returned+budget.Reserved > granted {
				t.Fatalf("overdrawn or wrong budget after %d granted units: %+v", granted, budget)
			}
		}
	})
}

// Checks which results of an attempt spend a unit of the budget, for plain and for streamed responses, and for late
// responses if they count as failures.
func TestCanaryBudget_attemptCost(t *testing.T) {
	end := func(result Result, elapsed float64) func(*harness, RequestID) {
		return func(h *harness, id RequestID) {
			h.handle(Outcome{Request: id, Result: result, Elapsed: elapsed, Finished: true})
		}
	}
	stream := func(elapsed float64, result Result) func(*harness, RequestID) {
		return func(h *harness, id RequestID) {
			h.handle(ResponseStarted{Request: id, Elapsed: elapsed})
			if budget := h.b.CanaryBudgets()[0]; budget.Reserved != 1 || budget.Spent != 0 {
				t.Errorf("budget at the start of the response: %+v", budget)
			}
			end(result, elapsed)(h, id)
		}
	}
	for _, late := range []bool{false, true} {
		for name, c := range map[string]attemptEnd{
			"ok":                  {idempotentClass, end(OK, 300), false},
			"late":                {idempotentClass, end(OK, 301), late},
			"failed":              {idempotentClass, end(Failed, 1), true},
			"rejected":            {idempotentClass, end(Rejected, 1), true},
			"timed out":           {idempotentClass, end(TimedOut, 1), true},
			"connect failed":      {idempotentClass, end(ConnectFailed, 1), true},
			"reset":               {idempotentClass, end(Reset, 1), true},
			"write failed":        {idempotentClass, end(WriteFailed, 1), true},
			"not sent":            {idempotentClass, end(NotSent, 1), false},
			"client disconnected": {idempotentClass, end(Cancelled, 1), false},
			"route revoked": {idempotentClass, func(h *harness, id RequestID) {
				h.handle(Outcome{Request: id, Result: Failed, RouteRevoked: true, Finished: true})
			}, false},
			"hung": {idempotentClass, func(h *harness, id RequestID) {
				h.now += 1500
				h.handle(Timer{Token: uint64(id)})
				end(Cancelled, 1500)(h, id)
			}, true},
			"client disconnected, then hung": {idempotentClass, func(h *harness, id RequestID) {
				h.handle(ClientDisconnected{Request: id})
				end(Cancelled, 1500)(h, id)
			}, false},
			"client disconnected after the objective": {idempotentClass, func(h *harness, id RequestID) {
				h.now += 310
				h.handle(ClientDisconnected{Request: id})
				end(Cancelled, 310)(h, id)
			}, late},
			"client disconnected just before the deadline": {idempotentClass, func(h *harness, id RequestID) {
				h.now += 1400
				h.handle(ClientDisconnected{Request: id})
				end(Cancelled, 1400)(h, id)
			}, true},
			"shutdown": {idempotentClass, func(h *harness, id RequestID) {
				h.handle(Shutdown{})
				end(Cancelled, 10)(h, id)
			}, false},
			"stream":                           {streamClass, stream(300, OK), false},
			"stream starts late":               {streamClass, stream(301, OK), late},
			"stream late, client disconnected": {streamClass, stream(301, Cancelled), late},
			"stream reset":                     {streamClass, stream(10, Reset), true},
			"stream, client disconnected":      {streamClass, stream(10, Cancelled), false},
		} {
			checkAttemptCost(t, name, c, late)
		}
	}
}

// attemptEnd is a way in which an attempt ends. failed is set if it spends the unit.
type attemptEnd struct {
	class  int
	end    func(*harness, RequestID)
	failed bool
}

// checkAttemptCost sends an attempt to a canary with one unit, ends the attempt and checks the budget.
func checkAttemptCost(t *testing.T, name string, c attemptEnd, late bool) {
	t.Helper()
	route := canaryRoute(1, 1, 2)
	route.Budgeted, route.LateIsFailure = true, late
	h := newRoutedHarness(t, route)
	h.handle(BudgetGrant{ID: 9, Units: 1, MaxIdle: 1})
	id, a := h.sendForTenant(c.class)
	if _, b := h.sendForTenant(c.class); !a.ToCanary || b.ToCanary || b.Server <= 2 {
		t.Fatalf("%s: two attempts with one unit: %+v and %+v", name, a, b)
	}
	if budget := h.b.CanaryBudgets()[0]; budget != (CanaryBudget{ID: 9, Granted: 1, Reserved: 1, Denied: 1}) {
		t.Errorf("%s: budget while the attempt is in flight: %+v", name, budget)
	}
	c.end(h, id)
	want := CanaryBudget{ID: 9, Granted: 1, Denied: 1}
	if c.failed {
		want.Spent = 1
	}
	if budget := h.b.CanaryBudgets()[0]; budget != want {
		t.Errorf("%s, LateIsFailure %v: budget %+v, want %+v", name, late, budget, want)
	}
	if !h.b.shuttingDown {
		if _, a := h.sendForTenant(idempotentClass); a.ToCanary == c.failed {
			t.Errorf("%s: next attempt %+v", name, a)
		}
	}
}

// The budget of a route that has ended is kept as long as an attempt has a unit reserved. Of the other budgets of ended
// routes, only the newest maxEndedBudgets are kept.
func TestCanaryBudget_endedRoutes(t *testing.T) {
	route := canaryRoute(1, 1)
	route.Budgeted = true
	h := newRoutedHarness(t, route)
	h.handle(BudgetGrant{ID: 9, Units: 4, MaxIdle: 4})
	id, _ := h.sendForTenant(idempotentClass)
	h.handle(Routes{Rev: 6})
	for i := range uint64(3 * maxEndedBudgets) {
		h.handle(BudgetGrant{ID: 100 + i, Units: 1, MaxIdle: 1})
	}
	at := func() int {
		return slices.IndexFunc(h.b.CanaryBudgets(), func(p CanaryBudget) bool { return p.ID == 9 })
	}
	if all := h.b.CanaryBudgets(); len(all) != maxEndedBudgets+1 || at() != 0 || all[maxEndedBudgets].ID != 100+3*maxEndedBudgets-1 {
		t.Fatalf("%d budgets: %+v", len(all), all)
	}
	h.endAttempt(id, 0, Failed, 1)
	if p := h.b.CanaryBudgets()[at()]; p.Spent != 1 || p.Reserved != 0 {
		t.Errorf("budget after the end of its route: %+v", p)
	}
	h.handle(Routes{Rev: 7, List: []Route{route}})
	if p := h.b.CanaryBudgets()[at()]; p.Spent != 1 || p.Granted != 4 {
		t.Errorf("budget after its route was added again: %+v", p)
	}
}
