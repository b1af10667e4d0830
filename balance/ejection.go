package balance

// This file judges servers by the outcomes of attempts, and ejects those that fail or cannot be reached.

import "math"

const (
	overdueDeviations = 4 // mean deviations above the mean of its class at which an attempt is overdue
	errorsToEject     = 2 // consecutive errors before a server is ejected
	maxEjectionsStale = 6 // doublings of an ejection for refused connections, while the list is stale
	maxEjections      = 3 // ... else
)

// ejected reports whether a server gets no requests now: it left several attempts without an answer, or
// cannot be reached. The next ejection is longer.
func (b *Balancer) ejected(s *server) bool { return b.now < s.ejectedUntil }

// checkOverdue counts attempts that take far too long as errors, as a hung server would show late, takes
// those that have had their latency objective off the load, and returns when to check again.
func (b *Balancer) checkOverdue(r *request) float64 {
	next := r.deadline
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.live {
			continue
		}
		objectiveEnd := a.sent + r.class.LatencyObjective
		if b.now >= objectiveEnd || a.overdue && b.ejected(a.server) {
			b.stopCountingLoad(r, a)
		} else {
			next = math.Min(next, objectiveEnd)
		}
		if late := a.sent + b.overdueAfter(r); !a.overdue && b.now >= late {
			a.overdue = true
			b.recordFailure(a.server, false, partialEvidence)
		} else if !a.overdue {
			next = math.Min(next, late)
		}
	}
	return next
}

// onConnectionReady takes back what was held against a server whose connection was late: it is there.
func (b *Balancer) onConnectionReady(ev ConnectionReady) {
	if s := b.byID[ev.Server]; s != nil && s.processDown {
		s.pardon()
		b.withdrawEvidence(s)
	}
}

// overdueAfter follows the class's answers: in a congested fleet all are late, by no server's fault.
func (b *Balancer) overdueAfter(r *request) float64 {
	if r.stats.n < 5 {
		return r.class.LatencyObjective / 2
	}
	return r.stats.mean + overdueDeviations*r.stats.dev
}

// recordFailure counts an error of a server, which is ejected when it is away, or after several errors in a
// row.
func (b *Balancer) recordFailure(s *server, away bool, weight float64) {
	s.consecutiveErrors++
	s.lastErrorAt = b.now
	b.recordTierLatency(s.zone.tier, 2)
	b.addEvidence(s, weight)
	b.learnSize(s, 3)
	if away || s.consecutiveErrors >= errorsToEject {
		b.eject(s)
		if s.suspectedSince > 0 {
			b.endSuspicion(s)
		}
	}
}

// eject keeps a server out of the rotation, each time in a row for twice as long.
func (b *Balancer) eject(s *server) {
	s.ejectedUntil = b.now + b.maxObjective*float64(int(1)<<min(s.ejections, b.ejectionLimit(s)))
	s.ejections++
}

// recordOutcome takes in what the end of an attempt says of its server and of the load.
func (b *Balancer) recordOutcome(r *request, a *attempt, ev Outcome) {
	s := a.server
	switch {
	case a.started && ev.Result == OK: // it was judged as it began
	case ev.Result == OK:
		if s.processDown && !b.warmingUp(s) { // it is back: a restart that the list has yet to tell
			b.beginSlowStart(s, b.now)
		}
		s.pardon()
		// A server with a long queue may stay slow until it is idle: it is left out for one round.
		if b.takeLoadReport(s, ev.Report) > r.class.LatencyObjective {
			s.ejectedUntil = b.now + math.Min(b.maxObjective, float64(len(b.servers))/b.demand())
		}
		b.answers.add(b.now, rateSpanObjectives*b.maxObjective)
		b.latest.add(b.now, b.maxObjective)
		b.recordLatency(ev.Elapsed / r.class.LatencyObjective)
		if b.now <= r.arrived+r.class.LatencyObjective {
			r.stats.served++
			r.tenant.served++
		}
		b.answered(s.zone, a.zoneTrial, ev.Elapsed/r.class.LatencyObjective)
		if r.stats.n > 0 {
			b.learnSize(s, ev.Elapsed/r.stats.mean)
		}
		r.stats.add(ev.Elapsed)
	case ev.Result == Cancelled || ev.Result == NotSent || ev.Result == LocalFailure:
	case a.started: // it broke off
		b.recordFailure(s, false, partialEvidence)
	default:
		if away := ev.Result.away(); away || !a.overdue && !b.excused(r, a, ev.Result) {
			weight := partialEvidence
			if away && ev.Elapsed >= b.cfg.ConnectTimeout/2 { // who refuses is there
				weight = 1
			}
			s.processDown = s.processDown || ev.Result == ConnectFailed // unreachable, it may still run
			b.recordFailure(s, away, weight)
		}
	}
}

// pardon clears the errors and ejections of a server.
func (s *server) pardon() {
	s.consecutiveErrors, s.ejections, s.ejectedUntil = 0, 0, 0
	s.processDown, s.healthCheckFailed = false, false
}

// ejectionLimit bounds how often the ejection of a server doubles. While the list is stale one that refuses
// connections stays out for longer: no list event will say that it is gone.
func (b *Balancer) ejectionLimit(s *server) int {
	if b.list.stale && s.processDown {
		return maxEjectionsStale
	}
	return maxEjections
}

// excused reports whether an attempt timed out by no fault of its server: it was given up at the latency
// objective, or had less time than answers take. A server may drop what it cannot answer in time.
func (b *Balancer) excused(r *request, a *attempt, result Result) bool {
	needed := r.class.LatencyObjective / 2
	if r.stats.n >= 5 {
		needed = r.stats.mean
	}
	return result == TimedOut && (a.endsAtObjective || a.sent <= b.now && b.now-a.sent < needed)
}

// forgetLoad drops what was shed and which errors followed each other before a long time without a request:
// neither tells of the load or of the servers now.
func (b *Balancer) forgetLoad() {
	b.lastingShed = 0
	for _, s := range b.servers {
		if !b.ejected(s) {
			s.consecutiveErrors, s.ejections = 0, 0
		}
	}
}
