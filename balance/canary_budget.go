package balance

import "slices"

// maxEndedBudgets bounds the budgets that are kept of canaries whose route has ended. A canary that comes back after
// so many others have ended starts with an empty budget.
const maxEndedBudgets = 64

// CanaryBudget is the budget that this process holds for one canary, in units since its start. An attempt reserves a
// unit before it is sent. A failure spends the unit; a good answer, and an end that says nothing about the canary,
// releases it. What was granted and neither spent nor returned is this process's alone to use, so failures never exceed
// what was granted.
type CanaryBudget struct {
	ID                       uint64
	Granted, Spent, Returned int64
	Reserved                 int64 // by attempts in flight
	Denied                   int64 // attempts that went elsewhere for want of a unit
}

// Free is how many units can be reserved.
func (c *CanaryBudget) Free() int64 { return c.Granted - c.Spent - c.Returned - c.Reserved }

// Reserve reserves a unit, if one is free.
func (c *CanaryBudget) Reserve() bool {
	if c.Free() <= 0 {
		c.Denied++
		return false
	}
	c.Reserved++
	return true
}

// Settle ends an attempt that reserved a unit.
func (c *CanaryBudget) Settle(failed bool) {
	c.Reserved--
	if failed {
		c.Spent++
	}
}

// Grant records how many units were granted in all, and returns those that are free beyond maxIdle.
func (c *CanaryBudget) Grant(units, maxIdle int64) {
	c.Granted = max(c.Granted, units)
	if idle := c.Free(); idle > maxIdle {
		c.Returned += idle - maxIdle
	}
}

// exhausted reports whether units were spent on failures and none is left.
func (c *CanaryBudget) exhausted() bool { return c.Spent > 0 && c.Free() <= 0 }

// canaryBudgets are the budgets of all canaries, in the order in which their routes ended and then of those that have
// a route.
type canaryBudgets []*CanaryBudget

// get returns the budget of a canary; it starts empty.
func (c *canaryBudgets) get(id uint64) *CanaryBudget {
	for _, budget := range *c {
		if budget.ID == id {
			return budget
		}
	}
	budget := &CanaryBudget{ID: id}
	*c = append(*c, budget)
	return budget
}

// dropEnded drops the oldest of too many budgets whose canary has no route and that no attempt has reserved from.
func (c *canaryBudgets) dropEnded(routes []*tenantRoute) {
	routed := make(map[uint64]bool)
	for _, route := range routes {
		if route != nil {
			routed[route.ID] = true
		}
	}
	var ended, live []*CanaryBudget
	excess := -maxEndedBudgets
	for _, budget := range *c {
		if routed[budget.ID] {
			live = append(live, budget)
			continue
		}
		ended = append(ended, budget)
		if budget.Reserved == 0 {
			excess++
		}
	}
	ended = slices.DeleteFunc(ended, func(budget *CanaryBudget) bool {
		drop := excess > 0 && budget.Reserved == 0
		if drop {
			excess--
		}
		return drop
	})
	*c = append(ended, live...)
}

// snapshot copies the newest state of each budget.
func (c canaryBudgets) snapshot() []CanaryBudget {
	copies := make([]CanaryBudget, len(c))
	for i, budget := range c {
		copies[i] = *budget
	}
	return copies
}

// check returns an error if the grant is invalid.
func (ev *BudgetGrant) check() error {
	switch {
	case ev.ID == 0:
		return &EventError{Event: "BudgetGrant", Field: "ID", Value: ev.ID}
	case ev.Units < 0:
		return &EventError{Event: "BudgetGrant", Field: "Units", Value: ev.Units}
	case ev.MaxIdle < 0:
		return &EventError{Event: "BudgetGrant", Field: "MaxIdle", Value: ev.MaxIdle}
	}
	return nil
}
