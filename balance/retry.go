package balance

import "math"

const (
	maxRetries       = 1  // of a request that may have run: more of them multiply a load that is too high
	maxLocalFailures = 50 // attempts of a request that this machine could not send and that count as none
)

const (
	firstRetryBackoff milliseconds = 5 // doubles with each failure that counts as no attempt
	maxRetryBackoff   milliseconds = 100
)

// requestStep is what is to be done next for a request.
type requestStep uint8

const (
	stepWait requestStep = iota
	stepAttempt
	stepGiveUp
)

func (s requestStep) String() string { return [...]string{"wait", "attempt", "give up"}[s] }

// retryPolicy decides whether a request gets another attempt, waits, or gets its final answer. A request that
// this machine could not send is tried again after a backoff, within the client's time; where its body is
// still coming, and no time counts, the number of such failures is bounded.
type retryPolicy struct {
	*shared
	admission *admission
	health    *healthChecker
}

// next decides what is to be done next for a request without a final answer.
func (p *retryPolicy) next(r *request) requestStep {
	switch {
	case p.now >= r.deadline:
		return stepGiveUp
	case r.state != requestQueued:
		return stepWait
	case p.exhausted(r):
		return stepGiveUp
	case p.now < r.retryAt || p.health.holds(r):
		return stepWait
	}
	return stepAttempt
}

// exhausted reports whether no attempt may follow, or waiting for one is no use.
func (p *retryPolicy) exhausted(r *request) bool {
	mayHaveRun := 0
	latestStart := p.now + p.cfg.ConnectTimeout // of a next attempt: it may need a new connection
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverRan {
			continue
		}
		mayHaveRun++
		withKey := r.class.Idempotency == IdempotentWithKey
		if r.class.Idempotency == NonIdempotent || withKey && latestStart >= a.sentAt+r.class.KeyWindow {
			return true
		}
	}
	if r.bodyConsumed || r.countedAttempts() >= p.cfg.MaxAttempts || mayHaveRun > maxRetries {
		return true
	}
	return p.now >= r.arrivedAt+r.class.LatencyObjective && r.clientMayRetry()
}

// endsAtObjective reports whether the next attempt is given up at the latency objective, though it cannot be
// repeated then. It is while load is shed: in full queues all answers are late, and clients send again what
// takes long, which adds to the load.
func (p *retryPolicy) endsAtObjective(r *request) bool {
	overloaded := p.admission.overloaded() && !r.BodyStreaming
	return r.class.Idempotency == NonIdempotent && overloaded
}

// recordLocalFailure takes an attempt that this machine could not send out of the count, and delays the next
// one.
func (p *retryPolicy) recordLocalFailure(r *request, a *attempt) {
	r.retryAt = p.now + math.Min(math.Ldexp(firstRetryBackoff, int(r.localFailures)), maxRetryBackoff)
	if r.localFailures < maxLocalFailures {
		r.localFailures++
		a.uncounted = true
	}
}

// retryAfter is how long a client whose request was shed should wait: after the time of a quick answer there
// is capacity again, and a request can still be answered in time.
func (p *retryPolicy) retryAfter(r *request) milliseconds {
	if !p.cfg.RetryAfter {
		return 0
	}
	return math.Min(r.class.LatencyObjective*p.admission.minMeanLatency, p.cfg.MaxRetryAfter)
}

// clientMayRetry reports whether the client may send the request again without harm.
func (r *request) clientMayRetry() bool {
	withKey := r.class.Idempotency == IdempotentWithKey
	if r.class.Idempotency == Idempotent || withKey && r.class.KeyScope == KeyScopeAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return false
		}
	}
	return true
}
