package balance

// This file decides after each event of a request whether it gets another attempt, waits, or gets its final
// answer. A request that this machine could not send goes on after a backoff; its time bounds how long that
// is tried, and where its body is still coming the number of failures does.

import "math"

const (
	firstRetryPause  = 5   // ms before the first retry; each pause is twice the one before
	maxRetryPause    = 100 // ms
	maxRetries       = 1   // of a request that may have run: more of them multiply a load that is too high
	maxLocalFailures = 50  // attempts of a request that may fail so and count as none; more of them count
)

// retryLater takes an attempt that this machine could not begin out of the count, and lets the next one wait.
func (b *Balancer) retryLater(r *request, a *attempt) {
	r.retryAt = b.now + math.Min(math.Ldexp(firstRetryPause, int(r.localFailures)), maxRetryPause)
	if r.localFailures < maxLocalFailures {
		r.localFailures++
		a.uncounted = true
	}
}

// advance looks at a request afresh: it gets an attempt or its final answer, or it waits.
func (b *Balancer) advance(r *request) {
	if r.done || r.answerStarted {
		return
	}
	b.checkOverdue(r)
	if b.now >= r.deadline || r.liveAttempts == 0 && b.noMoreAttempts(r) {
		b.answer(r, 0)
		return
	}
	if r.liveAttempts == 0 && b.now >= r.retryAt && !b.waitsForChecks(r) {
		if s := b.pick(r, r.sends() > 0); s != nil {
			// Exception: while load is shed an unsafe request is given up at its aim. In full queues all that
			// is served is late; clients try the others again, and that is more load.
			overloaded := b.lastingShed > shedTolerance && !r.BodyStreaming
			b.send(r, s, r.class.Idempotency == NonIdempotent && overloaded)
		}
	}
	b.wake(r)
}

// noMoreAttempts reports whether nothing more can be sent for a request, or waiting is no use.
func (b *Balancer) noMoreAttempts(r *request) bool {
	ran, earliestStart := 0, b.now+b.cfg.ConnectTimeout // at the latest: it may need a new connection
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverRan {
			continue
		}
		ran++
		keyed := r.class.Idempotency == IdempotentWithKey
		if r.class.Idempotency == NonIdempotent || keyed && earliestStart >= a.sent+r.class.KeyWindow {
			return true
		}
	}
	// What never ran uses up no retry: after a crash two failed connects refused a request.
	spent := r.bodyConsumed || r.sends() >= b.cfg.MaxAttempts || ran > maxRetries
	return spent || b.now >= r.arrived+r.class.LatencyObjective && b.safeToRetry(r)
}

// retryAfter is when a client whose request was shed should return: after the time of a quick answer a place
// is free again, and what comes then can still be in time. Longer ones cost more than they spared.
func (b *Balancer) retryAfter(r *request) float64 {
	if !b.cfg.RetryAfter {
		return 0
	}
	return math.Min(r.class.LatencyObjective*b.quickest, b.cfg.MaxRetryAfter)
}

// answer ends a request without a server's answer: rejected where a retry does no harm, else failed. A client
// that is rejected is told to return after retryAfter ms; 0: at once.
func (b *Balancer) answer(r *request, retryAfter float64) {
	act := Action{Kind: Fail, Request: r.ID}
	if b.safeToRetry(r) {
		act.Kind, act.At = Reject, retryAfter
	}
	b.emit(act)
	b.recordMissed(r)
	b.close(r)
}

// close marks a request as answered and gives up what is still out for it.
func (b *Balancer) close(r *request) {
	r.done = true
	b.cancelOthers(r, -1)
	if r.liveAttempts == 0 {
		delete(b.reqs, r.ID)
	}
}

// safeToReject reports whether the client may send the request again without harm.
func (b *Balancer) safeToRetry(r *request) bool {
	keyed := r.class.Idempotency == IdempotentWithKey
	if r.class.Idempotency == Idempotent || keyed && r.class.KeyScope == KeyScopeAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return false
		}
	}
	return true
}

// wake sets the timer for the next time at which something may be due for a request.
func (b *Balancer) wake(r *request) {
	next := b.checkOverdue(r)
	if hold := math.Max(r.holdUntil, r.retryAt); hold > b.now {
		next = math.Min(next, hold)
	} else if r.liveAttempts == 0 {
		next = math.Min(next, b.now+math.Max(b.cfg.Quantum, r.class.LatencyObjective/20))
	}
	if next < r.wakeAt {
		r.wakeAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(r.ID), At: math.Max(0, next-b.now)})
	}
}

// cancelOthers gives up the attempts of a request that are in flight, but for one; -1: all.
func (b *Balancer) cancelOthers(r *request, keep int) {
	for i := range r.attempts {
		if r.attempts[i].live && i != keep && b.cfg.Cancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}
