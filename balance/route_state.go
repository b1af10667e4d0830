package balance

// This file holds what a balancer remembers of routes. It takes no decisions: those are in routes.go.

import (
	"fmt"
	"math"
	"slices"
)

// tenantRoute is a route with what this process keeps for it.
type tenantRoute struct {
	Route
	slot   int           // of its lane in each server
	last   float64       // place drawn last without a key
	budget *CanaryBudget // nil: attempts need no unit
}

// routePlacement is a server's place in a route, by side.
type routePlacement struct {
	group   [sides]uint8
	running [sides]float64 // SWRR running value
}

// attemptRoute is what an attempt acts on; see Action.
type attemptRoute struct {
	rev           int64
	route         uint64
	canary        bool
	lateIsFailure bool
	budget        *CanaryBudget // that it has a unit of
}

// onRoutes puts routes in place of those before.
func (b *Balancer) onRoutes(ev Routes) error {
	if err := b.checkRoutes(&ev); err != nil {
		return err
	}
	old := b.routes
	b.rev, b.routes = ev.Rev, nil
	if len(ev.List) > 0 {
		b.routes = make([]*tenantRoute, len(b.cfg.Tenants)+1)
	}
	for i := range ev.List {
		w := &tenantRoute{Route: ev.List[i].clone(), slot: i}
		w.last = b.chance(w.ID, 0)
		for _, o := range old {
			if o != nil && o.ID == w.ID {
				w.last = o.last
			}
		}
		if w.ID != 0 && w.Budgeted {
			w.budget = b.canaryBudget(w.ID)
		}
		b.routes[w.Tenant+1] = w
	}
	b.regroup(old)
	b.dropEndedBudgets()
	return nil
}

// checkRoutes tells which field of the routes cannot be, if any.
func (b *Balancer) checkRoutes(ev *Routes) error {
	if ev.Rev < 1 && len(ev.List) > 0 {
		return fmt.Errorf("Routes.Rev is %d", ev.Rev)
	}
	tenants, ids := map[int]bool{}, map[uint64]bool{}
	for i := range ev.List {
		w, name := &ev.List[i], fmt.Sprintf("Routes.List[%d].", i)
		switch {
		case w.Tenant < -1 || w.Tenant >= len(b.cfg.Tenants):
			return fmt.Errorf("%sTenant is %d, there are %d", name, w.Tenant, len(b.cfg.Tenants))
		case tenants[w.Tenant]:
			return fmt.Errorf("%sTenant: %d has a route already", name, w.Tenant)
		case w.ID != 0 && ids[w.ID]:
			return fmt.Errorf("%sID: %d is another route's already", name, w.ID)
		case !(w.CanaryFraction >= 0 && w.CanaryFraction <= 1):
			return fmt.Errorf("%sCanaryFraction is %v, not 0 to 1", name, w.CanaryFraction)
		}
		for _, c := range w.Classes {
			if c < 0 || c >= len(b.cfg.Classes) {
				return fmt.Errorf("%sClasses has %d, there are %d", name, c, len(b.cfg.Classes))
			}
		}
		tenants[w.Tenant], ids[w.ID] = true, true
	}
	return nil
}

func (b *Balancer) onCanaryLease(ev CanaryLease) error {
	if math.IsNaN(ev.Until) {
		return fmt.Errorf("CanaryLease.Until is %v", ev.Until)
	}
	b.canaryLease = ev.Until
	return nil
}

func (w *Route) clone() Route {
	out := *w
	out.Classes = slices.Clone(w.Classes)
	for _, s := range []*Subset{&out.Base, &out.Canary} {
		s.Kinds, s.Cells, s.Zones = slices.Clone(s.Kinds), slices.Clone(s.Cells), slices.Clone(s.Zones)
		s.IDs = slices.Clone(s.IDs)
		slices.Sort(s.IDs)
	}
	return out
}

// has tells whether a server is in the subset; IDs are sorted.
func (u *Subset) has(s *Server) bool {
	in := func(list []int, v int) bool { return len(list) == 0 || slices.Contains(list, v) }
	if !in(u.Kinds, s.Kind) || !in(u.Cells, s.Cell) || !in(u.Zones, s.Zone) {
		return false
	}
	_, found := slices.BinarySearch(u.IDs, s.ID)
	return found || len(u.IDs) == 0
}

// routeOf gives the route of a request, nil if it has none.
func (b *Balancer) routeOf(r *request) *tenantRoute {
	if b.routes == nil {
		return nil
	}
	if i := r.Tenant + 1; i > 0 && i < len(b.routes) && b.routes[i] != nil {
		return b.routes[i]
	}
	return b.routes[0]
}

// regroup puts each server in its place in each route, after the routes or the servers have changed. Where a tenant
// had a route before, the running values stay.
func (b *Balancer) regroup(old []*tenantRoute) {
	slots := 0
	for _, w := range b.routes {
		if w != nil {
			slots++
		}
	}
	for _, s := range b.servers {
		before := s.placements
		if s.placements = nil; slots == 0 {
			continue
		}
		s.placements = make([]routePlacement, slots)
		for i, w := range b.routes {
			if w == nil {
				continue
			}
			l := &s.placements[w.slot]
			l.group = w.groupsOf(&s.Server)
			if i < len(old) && old[i] != nil && old[i].slot < len(before) {
				l.running = before[old[i].slot].running
				continue
			}
			for side := range l.running {
				l.running[side] = 100 * b.chance(uint64(s.ID), uint64(sides*i+side)+1)
			}
		}
	}
}

// chance is a random number of this process from 0 to 1 that moves no other: the same for the same a and c.
func (b *Balancer) chance(a, c uint64) float64 {
	return unit(mix(mix(mix(b.cfg.Seed)^uint64(b.cfg.Number)) ^ mix(a+c*0x9e3779b97f4a7c15)))
}

// setAside keeps what other requests see from a pick along a route; the result puts it back.
func (b *Balancer) saveRunning() func() {
	for _, s := range b.servers {
		s.savedRunning = s.running
	}
	pool := b.pool
	b.pickingAlongRoute = true
	return func() {
		b.pickingAlongRoute, b.pool, b.maxOtherRunning = false, pool, math.Inf(1)
		for _, s := range b.servers {
			s.running, s.outsideGroup = s.savedRunning, false
		}
	}
}

// keep takes over the running values that a pick has left.
func (b *Balancer) storeRunning(w *tenantRoute, side int) {
	for _, s := range b.servers {
		if !s.outsideGroup {
			s.placements[w.slot].running[side] = s.running
		}
	}
}
