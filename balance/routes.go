package balance

// This file decides which servers a tenant's requests prefer, and what an attempt to a canary costs its
// budget: docs/routes.md. What it remembers is in route_state.go.
//
// The share. A place in [0, 1) is drawn once for a request, and those below the share prefer the canary: a
// share that grows moves nobody back. With a key all sidecars draw the same place, so the share is as exact
// as keys are many. Without, a process goes through its places by the golden ratio from a start by chance:
// over S processes that had n requests each, up to a thousand, the share that is met has a standard error of
// at most 1 / (n √S), with 300 and ten requests each 0.6 % of all requests.
//
// The budget. An attempt that acts on the canary has a unit aside, so what fails is within what was granted,
// and a process without units makes no such attempt. The canary's servers are the last resort of all others,
// too; that is no attempt to the canary and costs no unit.

import (
	"math"
	"slices"
)

const (
	golden             = 0.6180339887498949 // the step whose multiples fill a circle most evenly
	maxRevokedAttempts = 3                  // attempts of a request that count as none; more of them count
	nearlyAll          = 0.9                // of a client's time: one that left later has waited in vain
)

// The sides of a request, and the groups of servers that each tries one after the other.
const (
	baseSide = iota
	canarySide
	sides
	groups = 3
)

// groupsOf is the group of a server on each side.
func (w *tenantRoute) groupsOf(s *Server) [sides]uint8 {
	canary := w.ID != 0 && w.Canary.has(s)
	switch {
	case canary:
		return [sides]uint8{2, 0}
	case w.Base.has(s):
		return [sides]uint8{0, 1}
	}
	return [sides]uint8{1, 2}
}

// prefersCanary looks at the newest routes and the permission, at each pick afresh.
func (b *Balancer) prefersCanary(w *tenantRoute, r *request) bool {
	if w.ID == 0 || b.now >= b.canaryLease || len(w.Classes) > 0 && !slices.Contains(w.Classes, r.Class) {
		return false
	}
	if !r.placeDrawn {
		r.placeDrawn, r.routePlace = true, w.draw(r)
	}
	return r.routePlace < w.CanaryFraction
}

func (w *tenantRoute) draw(r *request) float64 {
	key := r.RouteKey
	if key == 0 {
		key = r.IdempotencyKey
	}
	if key != 0 {
		return unit(mix(mix(w.ID) ^ key))
	}
	_, w.last = math.Modf(w.last + golden)
	return w.last
}

// routePick is one pick of a request that has a route.
type routePick struct {
	*tenantRoute
	r               *request
	retry           bool
	startTier       int
	totalWeight     float64 // sum of weights of all groups so far
	ignoreEjections bool    // all servers rest
}

// pickAlong picks for a request that has a route. Where all rest the cause is hardly the canary's: it is
// spared.
func (b *Balancer) pickAlong(t *routePick) *server {
	defer b.saveRunning()()
	side := baseSide
	if b.prefersCanary(t.tenantRoute, t.r) {
		side = canarySide
	}
	s, group := b.pickSide(t, side)
	canary := side == canarySide && group == 0
	if canary && t.budget != nil && !t.budget.Reserve() {
		canary, side = false, baseSide
		s, _ = b.pickSide(t, side)
	}
	if t.totalWeight == 0 {
		side, t.ignoreEjections = baseSide, true
		s, _ = b.pickSide(t, side)
	}
	if s == nil {
		return nil
	}
	b.storeRunning(t.tenantRoute, side)
	if b.now < b.canaryLease {
		b.nextRoute = attemptRoute{rev: b.rev, route: t.ID, canary: canary}
	}
	if canary {
		b.nextRoute.lateIsFailure, b.nextRoute.budget = t.LateIsFailure, t.budget
	}
	return s
}

// pickSide goes through the groups of a side and takes the first that has a server for the request. A first
// send passes over those whose servers cannot take one more, unless it is so everywhere. A canary whose units
// were spent on failures takes no load of the base: it is for who finds nobody else.
func (b *Balancer) pickSide(t *routePick, side int) (*server, int) {
	for _, loaded := range [2]bool{t.retry, true} {
		for group := range groups {
			if !loaded && group == groups-1 && side == baseSide && t.failed() {
				continue
			}
			if s, level := b.pickGroup(t, side, uint8(group)); s != nil && (loaded || level < full) {
				return s, group
			}
		}
	}
	return nil, groups
}

// pickGroup is the ordinary way within a group, with the running values of the side.
func (b *Balancer) pickGroup(t *routePick, side int, group uint8) (*server, int) {
	for _, s := range b.servers {
		l := &s.placements[t.slot]
		s.running, s.outsideGroup = l.running[side], l.group[side] != group
	}
	total := b.weighCandidates(t.r, t.retry, t.ignoreEjections)
	t.totalWeight += total
	return b.chooseCandidate(t.r, t.retry, t.startTier, total)
}

// failed: units were spent, and none is left.
func (w *tenantRoute) failed() bool {
	return w.budget != nil && w.budget.Spent > 0 && w.budget.Free() <= 0
}

// spends tells whether the end of an attempt costs its unit, or at its beginning whether a streamed answer
// will. A client that left tells nothing; one whose time ran out does. What never began costs nothing, but a
// canary that refuses or cannot be reached has failed.
func (a *attempt) spendsUnit(r *request, ev Outcome) bool {
	switch ev.Result {
	case NotSent, LocalFailure:
		return false
	case Cancelled:
		return a.missedForCanary
	case OK:
		return a.missedForCanary || a.lateIsFailure && !a.started && ev.Elapsed > r.class.LatencyObjective
	}
	return true
}

// miss notes of what is out that its answer did not come in the client's time, or in the aim where that
// counts: that the client has left, or is about to, is no reason then.
func (b *Balancer) recordMissed(r *request) {
	over := b.now >= r.arrived+nearlyAll*(r.deadline-r.arrived)
	for i := range r.attempts {
		a := &r.attempts[i]
		late := a.lateIsFailure && !a.started && b.now > a.sent+r.class.LatencyObjective
		a.missedForCanary = a.missedForCanary || a.live && (over || late)
	}
}

// void takes an attempt out of the count: its route was closed before it began. Routes that change faster
// than requests are sent could go on with it for ever.
func (b *Balancer) uncountRevoked(r *request, a *attempt) {
	if r.revokedAttempts < maxRevokedAttempts {
		r.revokedAttempts++
		a.uncounted = true
	}
}
