package balance

// This file decides which servers a tenant's requests prefer, and when an attempt may go to a canary:
// docs/routes.md. What it remembers is in route_state.go.
//
// Canary fraction. A position in [0, 1) is drawn once for a request, and those below the fraction prefer the
// canary: a fraction that grows moves no request back. With a key all sidecars draw the same position, so the
// fraction is as exact as there are many keys. Without a key a process goes through its positions by the
// golden ratio from a random start: over S processes with n requests each, up to a thousand, the fraction
// that results has a standard error of at most 1 / (n √S); with 300 processes and ten requests each that is
// 0.6 % of all requests.
//
// Budget. An attempt that counts for the canary has a unit reserved, so failures never exceed what was
// granted, and a process without units sends no such attempt. The canary's servers are also the last resort
// of all other requests; such an attempt does not count for the canary and costs no unit.

import (
	"math"
	"slices"
)

const (
	goldenRatio            = 0.6180339887498949 // step whose multiples cover [0, 1) most evenly
	maxRevokedAttempts     = 3                  // attempts of a request that count as none; more of them count
	missedDeadlineFraction = 0.9                // of a client's time: a client that left later has waited in vain
)

// The sides of a request, and the groups of servers that are used for each, one after the other.
const (
	baseSide = iota
	canarySide
	sides
)

// groupsPerSide is how many groupsPerSide of servers each side has.
const groupsPerSide = 3

// canaryRouter decides which servers the requests of a tenant prefer, and holds the canary budgets.
type canaryRouter struct {
	*shared
	picker *picker

	rev         int64          // of the routes
	routes      []*tenantRoute // by tenant, from -1 on; nil: there are no routes
	leaseUntil  milliseconds   // until when canaries may be acted on
	budgets     canaryBudgets
	nextAttempt attemptRoute // what the attempt of the last pick acts on
}

// groupsOf returns the group of a server on each side.
func (t *tenantRoute) groupsOf(s *Server) [sides]uint8 {
	canary := t.ID != 0 && t.Canary.contains(s)
	switch {
	case canary:
		return [sides]uint8{2, 0}
	case t.Base.contains(s):
		return [sides]uint8{0, 1}
	}
	return [sides]uint8{1, 2}
}

// routeOf returns the route of a request, nil if it has none.
func (c *canaryRouter) routeOf(r *request) *tenantRoute {
	if c.routes == nil {
		return nil
	}
	if i := r.Tenant + 1; i > 0 && i < len(c.routes) && c.routes[i] != nil {
		return c.routes[i]
	}
	return c.routes[0]
}

// prefersCanary reports whether a request prefers the canary by the newest routes and lease. Each pick
// decides anew.
func (c *canaryRouter) prefersCanary(route *tenantRoute, r *request) bool {
	if route.ID == 0 || c.now >= c.leaseUntil {
		return false
	}
	if len(route.Classes) > 0 && !slices.Contains(route.Classes, r.Class) {
		return false
	}
	if !r.hasCanaryPosition {
		r.hasCanaryPosition, r.canaryPosition = true, route.drawPosition(r)
	}
	return r.canaryPosition < route.CanaryFraction
}

func (t *tenantRoute) drawPosition(r *request) float64 {
	key := r.RouteKey
	if key == 0 {
		key = r.IdempotencyKey
	}
	if key != 0 {
		return unit(mix(mix(t.ID) ^ key))
	}
	_, t.lastPosition = math.Modf(t.lastPosition + goldenRatio)
	return t.lastPosition
}

// routePick is one pick of a request that has a route.
type routePick struct {
	*tenantRoute
	request     *request
	retry       bool
	firstTier   int
	totalWeight float64 // sum of weights of all groups so far
	withEjected bool    // no other server is left
}

// pick returns the server for an attempt of a request that has a route, nil if there is none now.
func (c *canaryRouter) pick(route *tenantRoute, r *request, retry bool, firstTier int) *server {
	defer c.picker.saveCurrentWeights()()
	p := routePick{tenantRoute: route, request: r, retry: retry, firstTier: firstTier}
	side := baseSide
	if c.prefersCanary(route, r) {
		side = canarySide
	}
	s, group := c.pickSide(&p, side)
	toCanary := side == canarySide && group == 0
	if toCanary && route.budget != nil && !route.budget.Reserve() {
		toCanary, side = false, baseSide
		s, _ = c.pickSide(&p, side)
	}
	if p.totalWeight == 0 { // all are ejected: the cause is hardly the canary's
		side, p.withEjected = baseSide, true
		s, _ = c.pickSide(&p, side)
	}
	if s == nil {
		return nil
	}
	c.storeCurrentWeights(route, side)
	if c.now < c.leaseUntil {
		c.nextAttempt = attemptRoute{rev: c.rev, canaryID: route.ID, toCanary: toCanary}
	}
	if toCanary {
		c.nextAttempt.lateIsFailure, c.nextAttempt.budget = route.LateIsFailure, route.budget
	}
	return s
}

// takeNextAttempt returns what the attempt of the last pick acts on.
func (c *canaryRouter) takeNextAttempt() attemptRoute {
	next := c.nextAttempt
	c.nextAttempt = attemptRoute{}
	return next
}

// pickSide goes through the groups of a side and takes the first that has a server for the request. A first
// attempt passes over a group whose servers cannot take one more request, unless that is so in all groups. A
// canary whose units were spent on failures gets requests of the base only if no other server is left.
func (c *canaryRouter) pickSide(p *routePick, side int) (*server, int) {
	for _, acceptFull := range [2]bool{p.retry, true} {
		for group := range groupsPerSide {
			lastResort := group == groupsPerSide-1 && side == baseSide
			if !acceptFull && lastResort && p.budget != nil && p.budget.exhausted() {
				continue
			}
			if s, level := c.pickGroup(p, side, uint8(group)); s != nil && (acceptFull || level < fullLevel) {
				return s, group
			}
		}
	}
	return nil, groupsPerSide
}

// pickGroup picks within a group, with the running values of the side.
func (c *canaryRouter) pickGroup(p *routePick, side int, group uint8) (*server, int) {
	for _, s := range c.servers {
		placement := &s.placements[p.slot]
		s.currentWeight, s.outsideGroup = placement.currentWeight[side], placement.group[side] != group
	}
	total := c.picker.weighCandidates(p.request, p.retry, p.withEjected)
	p.totalWeight += total
	return c.picker.chooseCandidate(p.request, p.retry, p.firstTier, total)
}

// spendsUnit reports whether the end of an attempt costs its unit; for a streamed answer it is decided at its
// start. That the client left says nothing about the canary; that its time ran out does. An attempt that was
// not sent costs nothing, but a canary that rejects or cannot be reached has failed.
func (a *attempt) spendsUnit(r *request, ev Outcome) bool {
	switch ev.Result {
	case NotSent, LocalFailure:
		return false
	case Cancelled:
		return a.lateForCanary
	case OK:
		late := ev.Elapsed > r.class.LatencyObjective
		return a.lateForCanary || a.lateIsFailure && a.state != attemptResponding && late
	}
	return true
}

// settleBudget ends an attempt's use of its budget.
func (a *attempt) settleBudget(r *request, ev Outcome) {
	if a.budget != nil {
		a.budget.Settle(a.spendsUnit(r, ev))
		a.budget = nil
	}
}

// recordLateAttempts marks the attempts in flight whose answer did not come in the client's time, or within the
// objective where that counts. That the client has left, or is about to be answered, is no excuse for those.
func (c *canaryRouter) recordLateAttempts(r *request) {
	timeOver := c.now >= r.arrivedAt+missedDeadlineFraction*(r.deadline-r.arrivedAt)
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.state == attemptEnded {
			continue
		}
		late := a.lateIsFailure && a.state != attemptResponding && c.now > a.sentAt+r.class.LatencyObjective
		a.lateForCanary = a.lateForCanary || timeOver || late
	}
}

// uncountRevoked takes an attempt out of the count whose route was revoked before it started. The bound keeps
// a request from going on for ever where routes change faster than it is sent.
func (r *request) uncountRevoked(a *attempt) {
	if r.revokedAttempts < maxRevokedAttempts {
		r.revokedAttempts++
		a.uncounted = true
	}
}
