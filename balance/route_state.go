package balance

import (
	"fmt"
	"math"
	"slices"
)

// tenantRoute is a route with what this process keeps for it.
type tenantRoute struct {
	Route
	slot         int           // of its placement in each server
	lastPosition float64       // drawn last without a key
	budget       *CanaryBudget // nil: attempts need no unit
}

// routePlacement is a server's place in a route, by side.
type routePlacement struct {
	group         [sides]uint8
	currentWeight [sides]float64 // SWRR running value
}

// attemptRoute is what an attempt acts on; see Action.
type attemptRoute struct {
	rev           int64
	canaryID      uint64
	toCanary      bool
	lateIsFailure bool
	budget        *CanaryBudget // that a unit is reserved from; nil: none is
}

// onRoutes puts routes in place of those before.
func (c *canaryRouter) onRoutes(ev Routes) error {
	if err := ev.check(&c.cfg); err != nil {
		return err
	}
	old := c.routes
	c.rev, c.routes = ev.Rev, nil
	if len(ev.List) > 0 {
		c.routes = make([]*tenantRoute, len(c.cfg.Tenants)+1)
	}
	for i := range ev.List {
		route := &tenantRoute{Route: ev.List[i].clone(), slot: i}
		route.lastPosition = c.randomFor(route.ID, 0)
		for _, before := range old {
			if before != nil && before.ID == route.ID {
				route.lastPosition = before.lastPosition
			}
		}
		if route.ID != 0 && route.Budgeted {
			route.budget = c.budgets.get(route.ID)
		}
		c.routes[route.Tenant+1] = route
	}
	c.placeServers(old)
	c.budgets.dropEnded(c.routes)
	return nil
}

func (c *canaryRouter) onCanaryLease(ev CanaryLease) error {
	if math.IsNaN(ev.Until) {
		return &EventError{Event: "CanaryLease", Field: "Until", Value: ev.Until}
	}
	c.leaseUntil = ev.Until
	return nil
}

func (c *canaryRouter) onBudgetGrant(ev BudgetGrant) error {
	if err := ev.check(); err != nil {
		return err
	}
	c.budgets.get(ev.ID).Grant(ev.Units, ev.MaxIdle)
	c.budgets.dropEnded(c.routes)
	return nil
}

// onServersChanged places servers in the routes after a change of the endpoint list.
func (c *canaryRouter) onServersChanged() {
	if c.routes != nil {
		c.placeServers(c.routes)
	}
}

// placeServers sets the place of each server in each route, after the routes or the servers have changed. Where a
// tenant had a route before, the running values stay.
func (c *canaryRouter) placeServers(old []*tenantRoute) {
	slots := 0
	for _, route := range c.routes {
		if route != nil {
			slots++
		}
	}
	for _, s := range c.servers {
		before := s.placements
		s.placements = nil
		if slots == 0 {
			continue
		}
		s.placements = make([]routePlacement, slots)
		for i, route := range c.routes {
			if route == nil {
				continue
			}
			placement := &s.placements[route.slot]
			placement.group = route.groupsOf(&s.Server)
			if i < len(old) && old[i] != nil && old[i].slot < len(before) {
				placement.currentWeight = before[old[i].slot].currentWeight
				continue
			}
			for side := range placement.currentWeight {
				placement.currentWeight[side] = maxInitialWeight * c.randomFor(uint64(s.ID), uint64(sides*i+side)+1)
			}
		}
	}
}

// storeCurrentWeights keeps the running values that a pick has left for the side of a route.
func (c *canaryRouter) storeCurrentWeights(route *tenantRoute, side int) {
	for _, s := range c.servers {
		if !s.outsideGroup {
			s.placements[route.slot].currentWeight[side] = s.currentWeight
		}
	}
}

// check returns an error for the first invalid field of the routes.
func (ev *Routes) check(cfg *Config) error {
	if ev.Rev < 1 && len(ev.List) > 0 {
		return &EventError{Event: "Routes", Field: "Rev", Value: ev.Rev}
	}
	tenants, ids := map[int]bool{}, map[uint64]bool{}
	for i := range ev.List {
		route, path := &ev.List[i], fmt.Sprintf("List[%d].", i)
		if err := route.check(path, cfg); err != nil {
			return err
		}
		switch {
		case tenants[route.Tenant]:
			return routeError(path+"Tenant", route.Tenant, "which has a route already")
		case route.ID != 0 && ids[route.ID]:
			return routeError(path+"ID", route.ID, "which is another route's already")
		}
		tenants[route.Tenant], ids[route.ID] = true, true
	}
	return nil
}

// check returns an error for the first field of a route that is invalid by itself.
func (r *Route) check(path string, cfg *Config) error {
	if r.Tenant < -1 || r.Tenant >= len(cfg.Tenants) {
		return routeError(path+"Tenant", r.Tenant, fmt.Sprintf("there are %d", len(cfg.Tenants)))
	}
	if !(r.CanaryFraction >= 0 && r.CanaryFraction <= 1) {
		return routeError(path+"CanaryFraction", r.CanaryFraction, "not 0 to 1")
	}
	for i, class := range r.Classes {
		if class < 0 || class >= len(cfg.Classes) {
			path += fmt.Sprintf("Classes[%d]", i)
			return routeError(path, class, fmt.Sprintf("there are %d", len(cfg.Classes)))
		}
	}
	return nil
}

func routeError(field string, value any, reason string) *EventError {
	return &EventError{Event: "Routes", Field: field, Value: value, Reason: reason}
}

func (r *Route) clone() Route {
	out := *r
	out.Classes = slices.Clone(r.Classes)
	for _, s := range []*Subset{&out.Base, &out.Canary} {
		s.Kinds, s.Cells, s.Zones = slices.Clone(s.Kinds), slices.Clone(s.Cells), slices.Clone(s.Zones)
		s.IDs = slices.Clone(s.IDs)
		slices.Sort(s.IDs)
	}
	return out
}

// contains reports whether a server is in the subset; IDs are sorted.
func (u *Subset) contains(s *Server) bool {
	matches := func(list []int, v int) bool { return len(list) == 0 || slices.Contains(list, v) }
	if !matches(u.Kinds, s.Kind) || !matches(u.Cells, s.Cell) || !matches(u.Zones, s.Zone) {
		return false
	}
	_, found := slices.BinarySearch(u.IDs, s.ID)
	return found || len(u.IDs) == 0
}
