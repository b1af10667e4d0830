package balance

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// An attempt to a canary that this machine could not send costs no unit.
func TestCanaryBudget_localFailure(t *testing.T) {
	a := &attempt{}
	if a.spendsUnit(&request{}, Outcome{Result: LocalFailure}) || !a.spendsUnit(&request{}, Outcome{Result: Unreachable}) {
		t.Error("want a unit spent on a canary out of reach, and none on a failure of this machine")
	}
}

func TestCanaryBudget_property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p CanaryBudget
		var told int64
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if free := p.Free(); p.Reserve() != (free > 0) {
					t.Fatalf("%d free: %+v", free, p)
				}
			case 1, 2:
				if p.Reserved > 0 {
					p.Settle(rapid.Bool().Draw(t, "failed"))
				}
			case 3: // late and repeated ones among them
				units := rapid.Int64Range(0, 20).Draw(t, "units")
				keep := rapid.Int64Range(0, 5).Draw(t, "keep")
				idle := max(told, units) - told + p.Free()
				told = max(told, units)
				if p.Grant(units, keep); p.Free() != min(idle, keep) {
					t.Fatalf("%d idle, %d to keep: %+v", idle, keep, p)
				}
			}
			if p.Free() < 0 || p.Reserved < 0 || p.Granted != told || p.Spent+p.Returned+p.Reserved > told {
				t.Fatalf("%+v after %d were granted", p, told)
			}
		}
	})
}

// How an attempt may end, and what that costs: in a request's answer, in a stream, for a late one.
func TestCanaryBudget_attemptCost(t *testing.T) {
	end := func(res Result, took float64) func(*harness, RequestID) {
		return func(g *harness, id RequestID) {
			g.handle(Outcome{Request: id, Result: res, Elapsed: took, Finished: true})
		}
	}
	stream := func(took float64, res Result) func(*harness, RequestID) {
		return func(g *harness, id RequestID) {
			g.handle(AnswerStarted{Request: id, Elapsed: took})
			if p := g.b.CanaryBudgets()[0]; p.Reserved != 1 || p.Spent != 0 {
				t.Errorf("as the answer begins: %+v", p)
			}
			end(res, took)(g, id)
		}
	}
	for _, late := range []bool{false, true} {
		for name, c := range map[string]struct {
			class  int
			end    func(*harness, RequestID)
			failed bool
		}{
			"good":            {idempotentClass, end(OK, 300), false},
			"late":            {idempotentClass, end(OK, 301), late},
			"failed":          {idempotentClass, end(Failed, 1), true},
			"full":            {idempotentClass, end(Rejected, 1), true},
			"timed out":       {idempotentClass, end(TimedOut, 1), true},
			"connect failed":  {idempotentClass, end(ConnectFailed, 1), true},
			"reset":           {idempotentClass, end(Reset, 1), true},
			"broken":          {idempotentClass, end(WriteFailed, 1), true},
			"moot":            {idempotentClass, end(NotSent, 1), false},
			"its client left": {idempotentClass, end(Cancelled, 1), false},
			"void": {idempotentClass, func(g *harness, id RequestID) {
				g.handle(Outcome{Request: id, Result: Failed, RouteRevoked: true, Finished: true})
			}, false},
			"hung": {idempotentClass, func(g *harness, id RequestID) {
				g.now += 1500
				g.handle(Timer{Token: uint64(id)})
				end(Cancelled, 1500)(g, id)
			}, true},
			"hung up, then gone": {idempotentClass, func(g *harness, id RequestID) {
				g.handle(ClientGone{Request: id})
				end(Cancelled, 1500)(g, id)
			}, false},
			"left after the aim": {idempotentClass, func(g *harness, id RequestID) {
				g.now += 310
				g.handle(ClientGone{Request: id})
				end(Cancelled, 310)(g, id)
			}, late},
			"left just before its time": {idempotentClass, func(g *harness, id RequestID) {
				g.now += 1400
				g.handle(ClientGone{Request: id})
				end(Cancelled, 1400)(g, id)
			}, true},
			"the process ends": {idempotentClass, func(g *harness, id RequestID) {
				g.handle(Shutdown{})
				end(Cancelled, 10)(g, id)
			}, false},
			"stream":             {streamClass, stream(300, OK), false},
			"stream begins late": {streamClass, stream(301, OK), late},
			"late, client left":  {streamClass, stream(301, Cancelled), late},
			"stream breaks":      {streamClass, stream(10, Reset), true},
			"stream, left":       {streamClass, stream(10, Cancelled), false},
		} {
			w := canaryRoute(1, 1, 2)
			w.Budgeted, w.LateIsFailure = true, late
			g := newRoutedHarness(t, w)
			g.handle(BudgetGrant{ID: 9, Units: 1, MaxIdle: 1})
			id, a := g.sendForTenant(c.class)
			if _, b := g.sendForTenant(c.class); !a.ToCanary || b.ToCanary || b.Server <= 2 {
				t.Fatalf("%s: one unit, sent as %+v and %+v", name, a, b)
			}
			if p := g.b.CanaryBudgets()[0]; p != (CanaryBudget{ID: 9, Granted: 1, Reserved: 1, Denied: 1}) {
				t.Errorf("%s: while it is out %+v", name, p)
			}
			c.end(g, id)
			want := CanaryBudget{ID: 9, Granted: 1, Denied: 1}
			if c.failed {
				want.Spent = 1
			}
			if p := g.b.CanaryBudgets()[0]; p != want {
				t.Errorf("%s, late answers fail %v: %+v, want %+v", name, late, p, want)
			}
			if !g.b.shutdown {
				if _, a := g.sendForTenant(idempotentClass); a.ToCanary == c.failed {
					t.Errorf("%s: then %+v", name, a)
				}
			}
		}
	}
}

func TestCanaryBudget_endedRoutes(t *testing.T) {
	w := canaryRoute(1, 1)
	w.Budgeted = true
	g := newRoutedHarness(t, w)
	g.handle(BudgetGrant{ID: 9, Units: 4, MaxIdle: 4})
	id, _ := g.sendForTenant(idempotentClass)
	g.handle(Routes{Rev: 6})
	for i := range uint64(3 * maxEndedBudgets) {
		g.handle(BudgetGrant{ID: 100 + i, Units: 1, MaxIdle: 1})
	}
	at := func() int {
		return slices.IndexFunc(g.b.CanaryBudgets(), func(p CanaryBudget) bool { return p.ID == 9 })
	}
	if all := g.b.CanaryBudgets(); len(all) != maxEndedBudgets+1 || at() != 0 || all[maxEndedBudgets].ID != 100+3*maxEndedBudgets-1 {
		t.Fatalf("%d purses: %+v", len(all), all)
	}
	g.endAttempt(id, 0, Failed, 1)
	if p := g.b.CanaryBudgets()[at()]; p.Spent != 1 || p.Reserved != 0 {
		t.Errorf("after its route is gone: %+v", p)
	}
	g.handle(Routes{Rev: 7, List: []Route{w}})
	if p := g.b.CanaryBudgets()[at()]; p.Spent != 1 || p.Granted != 4 {
		t.Errorf("its route is back: %+v", p)
	}
}
