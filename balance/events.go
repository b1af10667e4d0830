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
const mostFresh = 100

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
	if b.now-b.admitAt > math.Max(quietTime, paceAims*b.longestAim) {
		b.forgetLoad()
	}
	admitted := !b.over && b.admit(r)
	b.asked.add(b.now, 2*rotationPeriod)
	r.stats.asked++ // only now: else its own class would look a little worse served
	r.tenant.asked++
	if !admitted {
		b.answer(r, b.retryAfter(r))
		return nil
	}
	b.probeCandidates(r)
	b.advance(r)
	return nil
}

func (b *Balancer) onOutcome(ev Outcome) error {
	r := b.reqs[ev.Request]
	if r == nil || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].live {
		return fmt.Errorf("outcome of request %d, attempt %d, which is not out", ev.Request, ev.Attempt)
	}
	a := &r.tries[ev.Attempt]
	if ev.Void && !a.started {
		ev.Result = Moot
		b.void(r, a)
	}
	if ev.Result == LocalFailure {
		b.retryLater(r, a)
	}
	a.live, a.clean = false, ev.Result.NeverRan()
	r.live--
	a.settle(r, ev)
	r.spent = r.spent || ev.Spent
	if r.Open { // what is sent next has all of its time
		r.restart(b.now, r.Remaining)
	}
	if !a.started {
		a.s.inFlight--
		if ev.Result == Cancelled {
			b.recordAbandoned(r, a)
		}
		b.stopCountingLoad(r, a)
	}
	b.recordOutcome(r, a, ev)
	a.endTrial()
	if r.done || ev.Finished || r.stream {
		b.close(r)
	}
	b.advance(r)
	return nil
}

// onComplete: the server may begin, and all times count from now.
func (b *Balancer) onComplete(ev Complete) {
	r := b.reqs[ev.Request]
	if r == nil || r.done || !r.Open {
		return
	}
	r.Open = false
	r.restart(b.now, ev.Remaining)
	for i := range r.tries {
		if a := &r.tries[i]; a.live {
			a.sent, a.late = b.now, false
			b.trackInFlight(1/r.class.Aim, b.answerRate(fewAnswers))
		}
	}
	b.advance(r)
}

// onStarted: the client owns the answer now: no deadline, no repeat. The server has done its work; how
// long the rest takes is the client's matter too.
func (b *Balancer) onStarted(ev Started) {
	r := b.reqs[ev.Request]
	if r == nil || r.done || r.stream || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].live {
		return
	}
	r.stream = true
	b.cancelOthers(r, ev.Attempt)
	a := &r.tries[ev.Attempt]
	a.s.inFlight--
	b.stopCountingLoad(r, a)
	b.recordOutcome(r, a, Outcome{Result: OK, Took: ev.Took})
	a.missed = a.spends(r, Outcome{Result: OK, Took: ev.Took})
	a.started = true
	a.endTrial()
}

// endTrial ends an attempt's part in the trial of its zone: it is over, or its answer has begun.
func (a *attempt) endTrial() {
	if a.trial {
		a.trial = false
		a.s.zone.out--
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
		b.freshen()
		b.watchList()
		return
	case checkTimer:
		b.freshen()
		b.check()
		return
	case stuckTimer:
		b.onStuckTimer()
		return
	case doubtTimer:
		b.onDoubtTimer()
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
	kept := b.servers[:0]
	for _, s := range b.servers {
		if s.State != Gone {
			kept = append(kept, s)
			if s.State == Ready {
				s.zone.ready++
			}
		} else {
			delete(b.byID, s.ID)
		}
	}
	b.servers = kept
	sort.Slice(kept, func(i, j int) bool { return kept[i].rank < kept[j].rank })
	b.regroup(b.routes)
}

// send makes an attempt and counts it; one that is cut ends with the request's aim. While the body is open
// neither time nor load counts.
func (b *Balancer) send(r *request, s *server, cut bool) {
	s.tokens--
	s.inFlight++
	s.sentSince++
	r.live++
	a := attempt{
		s: s, sent: b.now, live: true, cut: cut, trial: s.zone.left,
		strict: b.nextRoute.strict, budget: b.nextRoute.budget,
	}
	if a.trial {
		s.zone.out++
	}
	if r.Open {
		a.sent, a.late, r.deadline, r.arrived = math.Inf(1), true, math.Inf(1), math.Inf(1)
	} else {
		b.trackInFlight(1/r.class.Aim, b.answerRate(fewAnswers))
	}
	r.tries = append(r.tries, a)
	act := Action{
		Kind: Send, Request: r.ID, Server: s.ID,
		Routes: b.nextRoute.rev, Route: b.nextRoute.route, Canary: b.nextRoute.canary,
	}
	b.nextRoute = attemptRoute{}
	if a.cut {
		act.At = r.arrived + r.class.Aim
	}
	b.emit(act)
}

// onConnecting counts an attempt as load only while it is at the server.
func (b *Balancer) onConnecting(ev Connecting) {
	r := b.reqs[ev.Request]
	if r == nil || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].live {
		return
	}
	a := &r.tries[ev.Attempt]
	switch {
	case !ev.Up && !a.late:
		a.dialing = true
		b.stopCountingLoad(r, a)
	case ev.Up && a.dialing && b.now < a.sent+r.class.Aim:
		a.dialing, a.late = false, false
		b.trackInFlight(1/r.class.Aim, b.answerRate(fewAnswers))
	}
}

// restart lets a request's time begin now.
func (r *request) restart(now, remaining float64) { r.arrived, r.deadline = now, now+remaining }

// onEnd gives up what would outlast this process: its clients would hear nothing.
func (b *Balancer) onEnd() {
	b.over = true
	for _, id := range slices.Sorted(maps.Keys(b.reqs)) {
		if r := b.reqs[id]; !r.done && !r.stream {
			b.answer(r, 0)
		}
	}
}

func (b *Balancer) log(text string) { b.emit(Action{Kind: Log, Text: text}) }
