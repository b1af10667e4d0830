package balance

// This file tracks requests and attempts from the events about them. It takes no decisions: it passes each event to the
// components that do.

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// pollsPerObjective is how many times per latency objective a request without a usable server looks for one again.
const pollsPerObjective = 20

func (b *Balancer) onRequest(ev Request) error {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) {
		return &EventError{
			Event: "Request", Field: "Class", Value: ev.Class, Reason: fmt.Sprintf("there are %d", len(b.cfg.Classes)),
		}
	}
	r := &request{
		Request: ev, class: &b.cfg.Classes[ev.Class], stats: &b.demand.classes[ev.Class],
		tenant: b.demand.tenant(ev.Tenant), arrivedAt: b.now, deadline: b.now + ev.Remaining, wakeAt: math.Inf(1),
	}
	b.requests[ev.ID] = r
	if b.admission.idle() {
		b.admission.resetShedding()
		b.outliers.forgetErrors()
	}
	admitted := !b.shuttingDown && b.admission.admit(r)
	b.demand.recordArrival(r) // after admit, so that the request does not make its own class look worse served
	if !admitted {
		b.rejectOrFail(r, b.retry.retryAfter(r))
		return nil
	}
	b.health.checkCandidates(r, b.picker.eligible)
	b.advance(r)
	return nil
}

// onBodyComplete starts the time of a request and of its attempts. A server that takes long to read the body is as
// slow as one that takes long to respond. The load of an attempt whose response has started is over.
func (b *Balancer) onBodyComplete(ev BodyComplete) {
	r := b.requests[ev.Request]
	if r == nil || r.state == requestDone || !r.BodyStreaming {
		return
	}
	r.BodyStreaming = false
	r.resetDeadline(b.now, ev.Remaining)
	r.arrivedAt -= ev.Elapsed
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.state == attemptEnded || a.state == attemptResponding {
			continue
		}
		a.sentAt = math.Max(r.arrivedAt, a.decidedAt)
		b.admission.startLoad(r, a)
	}
	b.advance(r)
}

// onConnecting removes an attempt from the load while it waits for a connection, as it is no work for the server.
func (b *Balancer) onConnecting(ev Connecting) {
	r := b.requests[ev.Request]
	if r == nil {
		return
	}
	a := r.liveAttempt(ev.Attempt)
	switch {
	case a == nil:
	case !ev.Established && a.inLoad && a.transitionTo(attemptConnecting):
		b.admission.endLoad(r, a)
	case ev.Established && a.state == attemptConnecting && a.transitionTo(attemptSent):
		if b.now < a.sentAt+r.class.LatencyObjective {
			b.admission.startLoad(r, a)
		}
	}
}

// onResponseStarted stops the supervision of a request: the client controls the streamed response, which has neither
// deadline nor retry. The attempt no longer counts as load, as the rest of its time depends on the client, too.
func (b *Balancer) onResponseStarted(ev ResponseStarted) {
	r := b.requests[ev.Request]
	if r == nil || r.state == requestDone || r.state == requestResponding {
		return
	}
	a := r.liveAttempt(ev.Attempt)
	if a == nil {
		return
	}
	r.transitionTo(requestResponding)
	b.cancelOthers(r, ev.Attempt)
	a.server.inFlight--
	b.admission.endLoad(r, a)
	outcome := Outcome{Result: OK, Elapsed: ev.Elapsed}
	b.recordResponse(r, a, outcome)
	a.lateForCanary = a.spendsUnit(r, outcome)
	a.transitionTo(attemptResponding)
	a.endZoneTrial()
}

func (b *Balancer) onOutcome(ev Outcome) error {
	r := b.requests[ev.Request]
	if r == nil {
		return &EventError{Event: "Outcome", Field: "Request", Value: ev.Request, Reason: "which is not known"}
	}
	a := r.liveAttempt(ev.Attempt)
	if a == nil {
		return &EventError{
			Event: "Outcome", Field: "Attempt", Value: ev.Attempt,
			Reason: fmt.Sprintf("which is not in flight for request %d", ev.Request),
		}
	}
	responseStarted := a.state == attemptResponding
	if ev.RouteRevoked && !responseStarted {
		ev.Result = NotSent
		r.uncountRevoked(a)
	}
	if ev.Result == LocalFailure {
		b.retry.recordLocalFailure(r, a)
	}
	a.settleBudget(r, ev)
	a.neverRan = ev.Result.NeverRan()
	r.endAttempt(a)
	r.bodyConsumed = r.bodyConsumed || ev.BodyConsumed
	if r.BodyStreaming { // the next attempt gets the full time
		r.resetDeadline(b.now, r.Remaining)
	}
	if !responseStarted {
		a.server.inFlight--
		if ev.Result == Cancelled {
			b.admission.recordAbandoned(r, a)
		}
		b.admission.endLoad(r, a)
	}
	b.recordOutcome(r, a, ev, responseStarted)
	a.endZoneTrial()
	if r.state == requestDone || r.state == requestResponding || ev.Finished {
		b.closeRequest(r)
	}
	b.advance(r)
	return nil
}

// recordOutcome passes the end of an attempt to the components that learn from it.
func (b *Balancer) recordOutcome(r *request, a *attempt, ev Outcome, responseStarted bool) {
	switch {
	case ev.Result == Cancelled || ev.Result == NotSent || ev.Result == LocalFailure: // says nothing about the server
	case ev.Result == OK && !responseStarted:
		b.recordResponse(r, a, ev)
	case ev.Result == OK: // recorded at the start of the response
	case responseStarted: // the response ended prematurely
		b.outliers.recordFailure(a.server, false, partialEvidence)
	default:
		b.outliers.recordFailedAttempt(r, a, ev)
	}
}

// recordResponse passes a successful response to the components that learn from it.
func (b *Balancer) recordResponse(r *request, a *attempt, ev Outcome) {
	s, latency := a.server, ev.Elapsed/r.class.LatencyObjective
	if s.processDown && !b.slowStart.warmingUp(s) { // a restart that the list does not show yet
		b.slowStart.begin(s, b.now)
	}
	s.reset()
	if b.health.recordReport(s, ev.Report) > r.class.LatencyObjective {
		b.outliers.ejectForQueue(s, b.demand.rate())
	}
	b.admission.recordResponse(latency)
	if b.now <= r.arrivedAt+r.class.LatencyObjective {
		b.demand.recordServed(r)
	}
	b.locality.recordResponse(s.zone, a.zoneTrial, latency)
	if r.stats.samples > 0 {
		b.capacity.learn(s, ev.Elapsed/r.stats.mean)
	}
	r.stats.addLatency(ev.Elapsed)
}

func (b *Balancer) onClientDisconnected(ev ClientDisconnected) {
	if r := b.requests[ev.Request]; r != nil {
		b.canary.recordLateAttempts(r)
		b.closeRequest(r)
	}
}

// onShutdown rejects or fails all requests without a final response, as this process will not see their outcomes.
func (b *Balancer) onShutdown() {
	b.shuttingDown = true
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		r := b.requests[id]
		if r.state == requestQueued || r.state == requestAttempting {
			b.rejectOrFail(r, 0)
		}
	}
}

// advance takes the next step for a request: an attempt, its final response, or a wait.
func (b *Balancer) advance(r *request) {
	if r.state == requestResponding || r.state == requestDone {
		return
	}
	b.checkAttempts(r)
	switch b.retry.next(r) {
	case stepGiveUp:
		b.rejectOrFail(r, 0)
		return
	case stepAttempt:
		if s := b.pick(r, r.countedAttempts() > 0); s != nil {
			b.send(r, s)
		}
	}
	b.setWakeTimer(r)
}

// pick returns the server for an attempt of a request, or nil if no server is usable now.
func (b *Balancer) pick(r *request, retry bool) *server {
	firstTier := 0
	if !retry {
		firstTier = b.locality.startTier()
	}
	if route := b.canary.routeOf(r); route != nil {
		return b.canary.pick(route, r, retry, firstTier)
	}
	return b.picker.pick(r, retry, firstTier)
}

// send starts an attempt. While the request body is still arriving, the attempt has no deadline and adds no load.
func (b *Balancer) send(r *request, s *server) {
	s.tokens--
	s.inFlight++
	s.sentSinceReport++
	r.liveAttempts++
	route := b.canary.takeNextAttempt()
	a := attempt{
		server: s, decidedAt: b.now, sentAt: b.now, endsAtObjective: b.retry.endsAtObjective(r),
		zoneTrial: s.zone.suspended, lateIsFailure: route.lateIsFailure, budget: route.budget,
	}
	if a.zoneTrial {
		s.zone.trialsInFlight++
	}
	if r.BodyStreaming {
		a.sentAt, r.deadline, r.arrivedAt = math.Inf(1), math.Inf(1), math.Inf(1)
	} else {
		b.admission.startLoad(r, &a)
	}
	r.attempts = append(r.attempts, a)
	r.transitionTo(requestAttempting)
	action := Action{
		Kind: Send, Request: r.ID, Server: s.ID,
		RoutesRev: route.rev, CanaryID: route.canaryID, ToCanary: route.toCanary,
	}
	if a.endsAtObjective {
		action.At = r.arrivedAt + r.class.LatencyObjective
	}
	b.emit(action)
}

// checkAttempts marks overdue attempts. It removes from the load the attempts whose latency objective has passed and
// the overdue attempts at ejected servers. It returns the time of the next check.
func (b *Balancer) checkAttempts(r *request) (next milliseconds) {
	next = r.deadline
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.state == attemptEnded {
			continue
		}
		objectiveEnd := a.sentAt + r.class.LatencyObjective
		if b.now >= objectiveEnd || a.overdue && b.outliers.ejected(a.server) {
			b.admission.endLoad(r, a)
		} else {
			next = math.Min(next, objectiveEnd)
		}
		b.outliers.checkOverdue(r, a)
		if !a.overdue {
			next = math.Min(next, b.outliers.overdueAt(r, a))
		}
	}
	return next
}

// setWakeTimer sets the timer of a request for its next check or step.
func (b *Balancer) setWakeTimer(r *request) {
	next := b.checkAttempts(r)
	if hold := math.Max(r.healthChecksUntil, r.retryAt); hold > b.now {
		next = math.Min(next, hold)
	} else if r.state == requestQueued {
		next = math.Min(next, b.now+math.Max(b.cfg.Quantum, r.class.LatencyObjective/pollsPerObjective))
	}
	if next < r.wakeAt {
		r.wakeAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(r.ID), At: math.Max(0, next-b.now)})
	}
}

// rejectOrFail ends a request without a response of a server. The request is rejected if a retry is harmless, else it
// fails. A rejected client may retry after retryAfter; 0: at once.
func (b *Balancer) rejectOrFail(r *request, retryAfter milliseconds) {
	action := Action{Kind: Fail, Request: r.ID}
	if r.clientMayRetry() {
		action.Kind, action.At = Reject, retryAfter
	}
	b.emit(action)
	b.canary.recordLateAttempts(r)
	b.closeRequest(r)
}

// closeRequest marks a request as done and cancels its attempts in flight.
func (b *Balancer) closeRequest(r *request) {
	r.transitionTo(requestDone)
	b.cancelOthers(r, -1)
	if r.liveAttempts == 0 {
		delete(b.requests, r.ID)
	}
}

// cancelOthers cancels all attempts in flight of a request but one; except -1 cancels all.
func (b *Balancer) cancelOthers(r *request, except int) {
	for i := range r.attempts {
		if r.attempts[i].state != attemptEnded && i != except && b.cfg.Cancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}
