package balance

// This file decides after each event of a request whether it gets another attempt, waits, or gets its final
// answer. A request that this machine could not send goes on after a backoff; its time bounds how long that
// is tried, and where its body is still coming the number of failures does.

import "math"

const (
	firstRetryPause   = 5   // ms before the first retry; each pause is twice the one before
	longestRetryPause = 100 // ms
	maxRetries        = 1   // of a request that may have run: more of them multiply a load that is too high
	mostUnbegun       = 50  // attempts of a request that may fail so and count as none; more of them count
)

// retryLater takes an attempt that this machine could not begin out of the count, and lets the next one wait.
func (b *Balancer) retryLater(r *request, a *attempt) {
	r.retryAt = b.now + math.Min(math.Ldexp(firstRetryPause, int(r.unbegun)), longestRetryPause)
	if r.unbegun < mostUnbegun {
		r.unbegun++
		a.void = true
	}
}

// advance looks at a request afresh: it gets an attempt or its final answer, or it waits.
func (b *Balancer) advance(r *request) {
	if r.done || r.stream {
		return
	}
	b.checkOverdue(r)
	if b.now >= r.deadline || r.live == 0 && b.noMoreAttempts(r) {
		b.answer(r, 0)
		return
	}
	if r.live == 0 && b.now >= r.retryAt && !b.held(r) {
		if s := b.pick(r, r.sends() > 0); s != nil {
			// Exception: while load is shed an unsafe request is given up at its aim. In full queues all that
			// is served is late; clients try the others again, and that is more load.
			b.send(r, s, r.class.Effect == Unsafe && b.steady > shedTolerance && !r.Open)
		}
	}
	b.wake(r)
}

// noMoreAttempts reports whether nothing more can be sent for a request, or waiting is no use.
func (b *Balancer) noMoreAttempts(r *request) bool {
	ran, begun := 0, b.now+b.cfg.ConnectTimeout // at the latest: it may need a new connection
	for i := range r.tries {
		a := &r.tries[i]
		if a.clean {
			continue
		}
		ran++
		if r.class.Effect == Unsafe || r.class.Effect == Keyed && begun >= a.sent+r.class.Window {
			return true
		}
	}
	// What never ran uses up no retry: after a crash two failed connects refused a request.
	spent := r.spent || r.sends() >= b.cfg.MaxAttempts || ran > maxRetries
	return spent || b.now >= r.arrived+r.class.Aim && b.safeToReject(r)
}

// retryAfter is when a client whose request was shed should return: after the time of a quick answer a place
// is free again, and what comes then can still be in time. Longer ones cost more than they spared.
func (b *Balancer) retryAfter(r *request) float64 {
	if !b.cfg.RetryAfter {
		return 0
	}
	return math.Min(r.class.Aim*b.quickest, b.cfg.MaxRetryAfter)
}

// answer ends a request without a server's answer: rejected where a retry does no harm, else failed. A client
// that is rejected is told to return after retryAfter ms; 0: at once.
func (b *Balancer) answer(r *request, retryAfter float64) {
	act := Action{Kind: Fail, Request: r.ID}
	if b.safeToReject(r) {
		act.Kind, act.At = Refuse, retryAfter
	}
	b.emit(act)
	b.miss(r)
	b.close(r)
}

// close marks a request as answered and gives up what is still out for it.
func (b *Balancer) close(r *request) {
	r.done = true
	b.cancelOthers(r, -1)
	if r.live == 0 {
		delete(b.reqs, r.ID)
	}
}

// safeToReject reports whether the client may send the request again without harm.
func (b *Balancer) safeToReject(r *request) bool {
	if r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll {
		return true
	}
	for i := range r.tries {
		if !r.tries[i].clean {
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
	} else if r.live == 0 {
		next = math.Min(next, b.now+math.Max(b.cfg.Quantum, r.class.Aim/20))
	}
	if next < r.wakeAt {
		r.wakeAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(r.ID), At: math.Max(0, next-b.now)})
	}
}

// cancelOthers gives up the attempts of a request that are in flight, but for one; -1: all.
func (b *Balancer) cancelOthers(r *request, keep int) {
	for i := range r.tries {
		if r.tries[i].live && i != keep && b.cfg.Cancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}
