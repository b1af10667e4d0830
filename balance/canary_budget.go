package balance

import (
	"fmt"
	"slices"
)

// mostEnded bounds the purses that are kept of canaries whose route is gone. A canary that comes back after so many
// others have ended begins with an empty purse.
const maxEndedBudgets = 64

// CanaryBudget is the budget that this process holds for one canary, in units since its start. An attempt sets one
// aside before it is sent; a good answer, and whatever says nothing of the canary, lays it back; a failure spends it.
// What was granted and neither spent nor returned is this process's alone to use, so no failure is beyond what was
// granted.
type CanaryBudget struct {
	ID                       uint64
	Granted, Spent, Returned int64
	Reserved                 int64 // set aside by attempts that are out
	Denied                   int64 // attempts that went elsewhere for want of a unit
}

// Free is how many units can be set aside.
func (p *CanaryBudget) Free() int64 { return p.Granted - p.Spent - p.Returned - p.Reserved }

// Take sets a unit aside.
func (p *CanaryBudget) Reserve() bool {
	if p.Free() <= 0 {
		p.Denied++
		return false
	}
	p.Reserved++
	return true
}

// Settle ends an attempt that set a unit aside.
func (p *CanaryBudget) Settle(failed bool) {
	p.Reserved--
	if failed {
		p.Spent++
	}
}

// Grant takes in what was granted in all, and gives back what is idle beyond keep.
func (p *CanaryBudget) Grant(units, keep int64) {
	p.Granted = max(p.Granted, units)
	if idle := p.Free(); idle > keep {
		p.Returned += idle - keep
	}
}

// CanaryBudgets are those of all canaries that need one or were granted units, the newest state of each; of the
// canaries whose route is gone the last 64 that ended.
func (b *Balancer) CanaryBudgets() []CanaryBudget {
	out := make([]CanaryBudget, len(b.canaryBudgets))
	for i, p := range b.canaryBudgets {
		out[i] = *p
	}
	return out
}

func (b *Balancer) onBudgetGrant(ev BudgetGrant) error {
	switch {
	case ev.ID == 0:
		return fmt.Errorf("BudgetGrant.ID is 0")
	case ev.Units < 0:
		return fmt.Errorf("BudgetGrant.Units is %d", ev.Units)
	case ev.MaxIdle < 0:
		return fmt.Errorf("BudgetGrant.MaxIdle is %d", ev.MaxIdle)
	}
	b.canaryBudget(ev.ID).Grant(ev.Units, ev.MaxIdle)
	b.dropEndedBudgets()
	return nil
}

// canaryBudget returns the purse of a canary; it begins empty.
func (b *Balancer) canaryBudget(id uint64) *CanaryBudget {
	for _, p := range b.canaryBudgets {
		if p.ID == id {
			return p
		}
	}
	p := &CanaryBudget{ID: id}
	b.canaryBudgets = append(b.canaryBudgets, p)
	return p
}

// dropEndedBudgets forgets the oldest of too many whose canary is gone, with nothing out.
func (b *Balancer) dropEndedBudgets() {
	routed := make(map[uint64]bool)
	for _, w := range b.routes {
		if w != nil {
			routed[w.ID] = true
		}
	}
	var ended, live []*CanaryBudget // in the order in which they ended, so that the oldest go first
	over := -maxEndedBudgets
	for _, p := range b.canaryBudgets {
		if routed[p.ID] {
			live = append(live, p)
		} else if ended = append(ended, p); p.Reserved == 0 {
			over++
		}
	}
	ended = slices.DeleteFunc(ended, func(p *CanaryBudget) bool {
		drop := over > 0 && p.Reserved == 0
		if drop {
			over--
		}
		return drop
	})
	b.canaryBudgets = append(ended, live...)
}

// settle ends an attempt's use of its purse.
func (a *attempt) settle(r *request, ev Outcome) {
	if a.budget != nil {
		a.budget.Settle(a.spendsUnit(r, ev))
		a.budget = nil
	}
}
