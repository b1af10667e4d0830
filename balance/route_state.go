package balance

import (
	"fmt"
	"math"
	"slices"
)

// tenantRoute is a route with the state that this process keeps for it.
type tenantRoute struct {
	Route
	slot         int           // index of its placement in server.placements
	lastPosition float64       // canary position of the last request without a key
	budget       *CanaryBudget // nil: attempts need no unit
}

// routePlacement is the state of a server in a route, by side.
type routePlacement struct {
	group         [sides]uint8
	currentWeight [sides]float64 // current weight in smooth weighted round robin (SWRR)
}

// attemptRoute is the route of an attempt; see Action.
type attemptRoute struct {
	rev           int64
	canaryID      uint64
	toCanary      bool
	lateIsFailure bool
	budget        *CanaryBudget // canary budget with a unit reserved for the attempt; nil: none
}

// onRoutes replaces the routes.
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
		for _, previous := range old {
			if previous != nil && previous.ID == route.ID {
				route.lastPosition = previous.lastPosition
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

// onServersChanged recomputes the placements of the servers after a change of the endpoint list.
func (c *canaryRouter) onServersChanged() {
	if c.routes != nil {
		c.placeServers(c.routes)
	}
}

// placeServers recomputes the placement of each server in each route, after the routes or the servers have changed. The
// current weights are kept if the tenant had a route before.
func (c *canaryRouter) placeServers(old []*tenantRoute) {
	slots := 0
	for _, route := range c.routes {
		if route != nil {
			slots++
		}
	}
	for _, s := range c.servers {
		previous := s.placements
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
			if i < len(old) && old[i] != nil && old[i].slot < len(previous) {
				placement.currentWeight = previous[old[i].slot].currentWeight
				continue
			}
			for side := range placement.currentWeight {
				placement.currentWeight[side] = maxInitialWeight * c.randomFor(uint64(s.ID), uint64(sides*i+side)+1)
			}
		}
	}
}

// storeCurrentWeights stores the current weights after a pick for a side of a route.
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

// check returns an error for the first invalid field of a route, without regard to other routes.
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
	c := *r
	c.Classes = slices.Clone(r.Classes)
	for _, s := range []*Subset{&c.Base, &c.Canary} {
		s.Kinds, s.Cells, s.Zones = slices.Clone(s.Kinds), slices.Clone(s.Cells), slices.Clone(s.Zones)
		s.IDs = slices.Clone(s.IDs)
		slices.Sort(s.IDs)
	}
	return c
}

// contains reports whether a server is in the subset. The IDs must be sorted.
func (u *Subset) contains(s *Server) bool {
	matches := func(list []int, v int) bool { return len(list) == 0 || slices.Contains(list, v) }
	if !matches(u.Kinds, s.Kind) || !matches(u.Cells, s.Cell) || !matches(u.Zones, s.Zone) {
		return false
	}
	_, found := slices.BinarySearch(u.IDs, s.ID)
	return found || len(u.IDs) == 0
}
