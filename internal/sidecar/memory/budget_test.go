package memory

import "testing"

// Guards against memory that is reserved beyond the budget, or that is never returned to it.
func TestBudget(t *testing.T) {
	budget := NewBudget(100)
	first, second := budget.NewReservation(), budget.NewReservation()
	for i, step := range []struct {
		do       func() bool
		want     bool
		wantUsed int64
	}{
		{func() bool { return first.GrowTo(60) }, true, 60},
		{func() bool { return first.GrowTo(50) }, true, 60},
		{func() bool { return second.GrowTo(41) }, false, 60},
		{func() bool { return budget.Reserve(41) }, false, 60},
		{func() bool { return budget.Reserve(40) }, true, 100},
		{func() bool { first.Release(); return second.GrowTo(60) }, true, 100},
		{func() bool { second.Close(); return second.GrowTo(90) }, true, 40},
		{func() bool { budget.Release(40); return first.GrowTo(101) }, false, 0},
		{func() bool { budget.SetLimit(101); return first.GrowTo(101) }, true, 101},
	} {
		if got := step.do(); got != step.want {
			t.Errorf("step %d: %v, want %v", i, got, step.want)
		}
		if used, _ := budget.Usage(); used != step.wantUsed {
			t.Errorf("step %d: %d bytes in use, want %d", i, used, step.wantUsed)
		}
	}
}
