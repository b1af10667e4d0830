package balance

// This file keeps count of requests, attempts and servers as events tell of them. It takes no decisions: what an event
// is worth, and what to do next, it asks the policy files.

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
)

// quietTime is after how long without a request, in ms, what was known of the load is stale.
const quietTime = 60_000

// mostFresh is the most that the running value of a server begins with.
const maxInitialRunning = 100

// Start begins the balancer's life. The actions are valid until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.now, b.started, b.out = now, now, b.out[:0]
	b.startList()
	return b.out
}

func (b *Balancer) onRequest(ev Request) error {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) {
		return fmt.Errorf("request %d: unknown class %d", ev.ID, ev.Class)
	}
	r := &request{
		Request: ev, class: &b.cfg.Classes[ev.Class], stats: &b.classes[ev.Class],
		tenant: b.tenant(ev.Tenant), arrived: b.now, deadline: b.now + ev.Remaining, wakeAt: math.Inf(1),
	}
	b.reqs[ev.ID] = r
	if b.now-b.admitAt > math.Max(quietTime, rateSpanObjectives*b.maxObjective) {
		b.forgetLoad()
	}
	admitted := !b.shutdown && b.admit(r)
	b.arrivals.add(b.now, 2*rotationPeriod)
	r.stats.arrived++ // only now: else its own class would look a little worse served
	r.tenant.arrived++
	if !admitted {
		b.answer(r, b.retryAfter(r))
		return nil
	}
	b.checkCandidates(r)
	b.advance(r)
	return nil
}

func (b *Balancer) onOutcome(ev Outcome) error {
	r := b.reqs[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].live {
		return fmt.Errorf("outcome of request %d, attempt %d, which is not out", ev.Request, ev.Attempt)
	}
	a := &r.attempts[ev.Attempt]
	if ev.RouteRevoked && !a.started {
		ev.Result = NotSent
		b.uncountRevoked(r, a)
	}
	if ev.Result == LocalFailure {
		b.retryLater(r, a)
	}
	a.live, a.neverRan = false, ev.Result.NeverRan()
	r.liveAttempts--
	a.settle(r, ev)
	r.bodyConsumed = r.bodyConsumed || ev.BodyConsumed
	if r.BodyStreaming { // what is sent next has all of its time
		r.restart(b.now, r.Remaining)
	}
	if !a.started {
		a.server.inFlight--
		if ev.Result == Cancelled {
			b.recordAbandoned(r, a)
		}
		b.stopCountingLoad(r, a)
	}
	b.recordOutcome(r, a, ev)
	a.endTrial()
	if r.done || ev.Finished || r.answerStarted {
		b.close(r)
	}
	b.advance(r)
	return nil
}

// onComplete: the server may begin, and all times count from now.
func (b *Balancer) onBodyComplete(ev BodyComplete) {
	r := b.reqs[ev.Request]
	if r == nil || r.done || !r.BodyStreaming {
		return
	}
	r.BodyStreaming = false
	r.restart(b.now, ev.Remaining)
	for i := range r.attempts {
		if a := &r.attempts[i]; a.live {
			a.sent, a.outOfLoad = b.now, false
			b.trackInFlight(1/r.class.LatencyObjective, b.answerRate(fewAnswers))
		}
	}
	b.advance(r)
}

// onStarted: the client owns the answer now: no deadline, no repeat. The server has done its work; how
// long the rest takes is the client's matter too.
func (b *Balancer) onAnswerStarted(ev AnswerStarted) {
	r := b.reqs[ev.Request]
	if r == nil || r.done || r.answerStarted || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].live {
		return
	}
	r.answerStarted = true
	b.cancelOthers(r, ev.Attempt)
	a := &r.attempts[ev.Attempt]
	a.server.inFlight--
	b.stopCountingLoad(r, a)
	b.recordOutcome(r, a, Outcome{Result: OK, Elapsed: ev.Elapsed})
	a.missedForCanary = a.spendsUnit(r, Outcome{Result: OK, Elapsed: ev.Elapsed})
	a.started = true
	a.endTrial()
}

// endTrial ends an attempt's part in the trial of its zone: it is over, or its answer has begun.
func (a *attempt) endTrial() {
	if a.zoneTrial {
		a.zoneTrial = false
		a.server.zone.out--
	}
}

// zone returns what is known of a zone.
func (b *Balancer) zone(id int) *zone {
	for _, z := range b.zones {
		if z.id == id {
			return z
		}
	}
	z := &zone{id: id, tier: b.tier(id), back: math.Inf(-1)}
	b.zones = append(b.zones, z)
	return z
}

// tenant returns the tally of a tenant; the last is for requests without one.
func (b *Balancer) tenant(i int) *requestCounts {
	if i < 0 || i >= len(b.cfg.Tenants) {
		i = len(b.cfg.Tenants)
	}
	return &b.tenants[i]
}

func (b *Balancer) onTimer(ev Timer) {
	switch ev.Token {
	case listTimer:
		b.updateStaleness()
		b.watchList()
		return
	case checkTimer:
		b.updateStaleness()
		b.check()
		return
	case stuckTimer:
		b.onStuckTimer()
		return
	case suspectTimer:
		b.onSuspectTimer()
		return
	}
	if r := b.reqs[RequestID(ev.Token)]; r != nil {
		r.wakeAt = math.Inf(1) // not compared with the clock: a timer may come a rounding error early
		b.advance(r)
	}
}

// dropGone forgets servers that are gone and keeps the others in order.
func (b *Balancer) dropGone() {
	for _, z := range b.zones {
		z.ready = 0
	}
	remaining := b.servers[:0]
	for _, s := range b.servers {
		if s.State != Gone {
			remaining = append(remaining, s)
			if s.State == Ready {
				s.zone.ready++
			}
		} else {
			delete(b.byID, s.ID)
		}
	}
	b.servers = remaining
	sort.Slice(remaining, func(i, j int) bool { return remaining[i].rank < remaining[j].rank })
	b.regroup(b.routes)
}

// send makes an attempt and counts it; one that is cut ends with the request's aim. While the body is open
// neither time nor load counts.
func (b *Balancer) send(r *request, s *server, cut bool) {
	s.tokens--
	s.inFlight++
	s.sentSince++
	r.liveAttempts++
	a := attempt{
		server: s, sent: b.now, live: true, endsAtObjective: cut, zoneTrial: s.zone.left,
		lateIsFailure: b.nextRoute.lateIsFailure, budget: b.nextRoute.budget,
	}
	if a.zoneTrial {
		s.zone.out++
	}
	if r.BodyStreaming {
		a.sent, a.outOfLoad, r.deadline, r.arrived = math.Inf(1), true, math.Inf(1), math.Inf(1)
	} else {
		b.trackInFlight(1/r.class.LatencyObjective, b.answerRate(fewAnswers))
	}
	r.attempts = append(r.attempts, a)
	act := Action{
		Kind: Send, Request: r.ID, Server: s.ID,
		RoutesRev: b.nextRoute.rev, CanaryID: b.nextRoute.route, ToCanary: b.nextRoute.canary,
	}
	b.nextRoute = attemptRoute{}
	if a.endsAtObjective {
		act.At = r.arrived + r.class.LatencyObjective
	}
	b.emit(act)
}

// onConnecting counts an attempt as load only while it is at the server.
func (b *Balancer) onConnecting(ev Connecting) {
	r := b.reqs[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].live {
		return
	}
	a := &r.attempts[ev.Attempt]
	switch {
	case !ev.Established && !a.outOfLoad:
		a.dialing = true
		b.stopCountingLoad(r, a)
	case ev.Established && a.dialing && b.now < a.sent+r.class.LatencyObjective:
		a.dialing, a.outOfLoad = false, false
		b.trackInFlight(1/r.class.LatencyObjective, b.answerRate(fewAnswers))
	}
}

// restart lets a request's time begin now.
func (r *request) restart(now, remaining float64) { r.arrived, r.deadline = now, now+remaining }

// onEnd gives up what would outlast this process: its clients would hear nothing.
func (b *Balancer) onShutdown() {
	b.shutdown = true
	for _, id := range slices.Sorted(maps.Keys(b.reqs)) {
		if r := b.reqs[id]; !r.done && !r.answerStarted {
			b.answer(r, 0)
		}
	}
}

func (b *Balancer) log(text string) { b.emit(Action{Kind: Log, Text: text}) }
