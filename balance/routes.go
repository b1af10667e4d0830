package balance

// This file decides which servers the requests of a tenant prefer, and when an attempt may go to a canary:
// see docs/routes.md. The state of the routes is in route_state.go.
//
// Canary fraction. Each request has one position in [0, 1) and prefers the canary if the position is below
// the fraction, so a growing fraction moves no request back to the base. All sidecars compute the same
// position from a key, so the error of the fraction depends only on the number of keys. For requests without
// a key, a process steps through positions by the golden ratio from a random start. Over S processes with n
// requests each, n up to a thousand, the resulting fraction has a standard error of at most 1 / (n √S). With
// 300 processes and ten requests each that is 0.6 % of all requests.
//
// Budget. An attempt that counts for the canary reserves a unit, so failures never exceed the units granted,
// and a process without units sends no such attempt. The servers of the canary are also the last resort of
// all other requests. Such an attempt does not count for the canary and needs no unit.

import (
	"math"
	"slices"
)

const (
	goldenRatio            = 0.6180339887498949 // step whose multiples modulo 1 cover [0, 1) most evenly
	maxRevokedAttempts     = 3                  // uncounted revoked attempts of a request; further ones count
	missedDeadlineFraction = 0.9                // of the client's time; an attempt cancelled later is a miss
)

// The sides of a route. A request prefers one side, and each side tries the groups of servers in its own
// order.
const (
	baseSide = iota
	canarySide
	sides
)

// groupsPerSide is the number of groups of servers on each side.
const groupsPerSide = 3

// canaryRouter decides which servers the requests of a tenant prefer, and keeps the canary budgets.
type canaryRouter struct {
	*shared
	picker *picker

	rev         int64          // revision of the routes
	routes      []*tenantRoute // indexed by tenant + 1; nil: there are no routes
	leaseUntil  milliseconds   // end of the lease, which allows the use of canaries
	budgets     canaryBudgets
	nextAttempt attemptRoute // route of the attempt of the last pick
}

// groupsOf returns the index of a server's group on each side; the group with the index 0 is tried first.
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

// routeOf returns the route of a request, or nil if it has none.
func (c *canaryRouter) routeOf(r *request) *tenantRoute {
	if c.routes == nil {
		return nil
	}
	if i := r.Tenant + 1; i > 0 && i < len(c.routes) && c.routes[i] != nil {
		return c.routes[i]
	}
	return c.routes[0]
}

// prefersCanary reports whether a request prefers the canary by the current routes and lease. It is evaluated
// again for each pick.
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
	totalWeight float64 // sum of the weights of all groups tried so far
	withEjected bool    // ejected servers are candidates, too, as no other server is left
}

// pick returns the server for an attempt of a request that has a route, or nil if no server is usable now.
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
	if p.totalWeight == 0 { // all servers are ejected, so the canary is hardly the cause
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

// takeNextAttempt returns and clears the route of the attempt of the last pick.
func (c *canaryRouter) takeNextAttempt() attemptRoute {
	next := c.nextAttempt
	c.nextAttempt = attemptRoute{}
	return next
}

// pickSide tries the groups of a side in order and returns a server of the first group that has one for the
// request, and the group. A first attempt skips a group whose servers cannot take one more request, unless
// this holds for all groups. A canary whose units were spent on failures gets requests of the base only if no
// other server is left.
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

// pickGroup picks a server of a group by the current weights of the side, and returns it with its level.
func (c *canaryRouter) pickGroup(p *routePick, side int, group uint8) (*server, int) {
	for _, s := range c.servers {
		placement := &s.placements[p.slot]
		s.currentWeight, s.outsideGroup = placement.currentWeight[side], placement.group[side] != group
	}
	total := c.picker.weighCandidates(p.request, p.retry, p.withEjected)
	p.totalWeight += total
	return c.picker.chooseCandidate(p.request, p.retry, p.firstTier, total)
}

// spendsUnit reports whether the end of an attempt spends its unit. For a streamed response this is decided
// at the start of the response. A disconnected client says nothing about the canary, but a request that
// missed its deadline is a failure of the canary. An attempt that was not sent spends nothing, but a canary
// that rejects an attempt or cannot be reached has failed.
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

// settleBudget spends or releases the unit that an attempt has reserved.
func (a *attempt) settleBudget(r *request, ev Outcome) {
	if a.budget != nil {
		a.budget.Settle(a.spendsUnit(r, ev))
		a.budget = nil
	}
}

// recordLateAttempts marks the attempts in flight that got no response before the client's deadline, or
// before the latency objective where a late response counts as a failure. These are failures of the canary
// even if the client disconnects or its request is rejected.
func (c *canaryRouter) recordLateAttempts(r *request) {
	missedDeadline := c.now >= r.arrivedAt+missedDeadlineFraction*(r.deadline-r.arrivedAt)
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.state == attemptEnded {
			continue
		}
		late := a.lateIsFailure && a.state != attemptResponding && c.now > a.sentAt+r.class.LatencyObjective
		a.lateForCanary = a.lateForCanary || missedDeadline || late
	}
}

// uncountRevoked excludes an attempt whose route was revoked before it was sent from the number of attempts.
// The limit ends a request whose routes change faster than it can be sent.
func (r *request) uncountRevoked(a *attempt) {
	if r.revokedAttempts < maxRevokedAttempts {
		r.revokedAttempts++
		a.uncounted = true
	}
}
