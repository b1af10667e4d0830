package balance

import "slices"

// maxEndedBudgets limits the number of budgets kept for canaries whose route has ended. A canary whose budget was
// dropped starts with an empty budget when it returns.
const maxEndedBudgets = 64

// CanaryBudget is the budget of this process for one canary, in units since the start of the process. An attempt
// reserves a unit before it is sent. A failure spends the unit. A successful response releases it, and so does an end
// that says nothing about the canary. No other process uses the granted units that are neither spent nor returned, so
// failures never exceed the units granted.
type CanaryBudget struct {
	ID                       uint64
	Granted, Spent, Returned int64
	Reserved                 int64 // units reserved by attempts in flight
	Denied                   int64 // attempts that were sent elsewhere because no unit was free
}

// Free returns the number of units that can be reserved.
func (c *CanaryBudget) Free() int64 { return c.Granted - c.Spent - c.Returned - c.Reserved }

// Reserve reserves a unit and reports whether one was free.
func (c *CanaryBudget) Reserve() bool {
	if c.Free() <= 0 {
		c.Denied++
		return false
	}
	c.Reserved++
	return true
}

// Settle ends the reservation of an attempt: a failure spends the unit, any other end releases it.
func (c *CanaryBudget) Settle(failed bool) {
	c.Reserved--
	if failed {
		c.Spent++
	}
}

// Grant records the total number of units granted, and marks the free units above maxIdle as returned.
func (c *CanaryBudget) Grant(units, maxIdle int64) {
	c.Granted = max(c.Granted, units)
	if idle := c.Free(); idle > maxIdle {
		c.Returned += idle - maxIdle
	}
}

// exhausted reports whether units were spent on failures and none is free.
func (c *CanaryBudget) exhausted() bool { return c.Spent > 0 && c.Free() <= 0 }

// canaryBudgets holds the budgets of all canaries: first those whose route has ended, in the order of the ends, then
// those with a route.
type canaryBudgets []*CanaryBudget

// get returns the budget of a canary, and creates an empty one if there is none.
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

// dropEnded keeps the newest maxEndedBudgets of the budgets whose canary has no route and that have no unit reserved.
// It drops the older ones.
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

// snapshot returns a copy of each budget.
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
