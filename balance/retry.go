package balance

import "math"

const (
	// Retries of a request that may have run; more of them multiply the load of an overloaded fleet.
	maxRetries       = 1
	maxLocalFailures = 50 // local failures of a request that are not counted as attempts
)

const (
	firstRetryBackoff milliseconds = 5 // backoff after the first local failure; doubles with each further one
	maxRetryBackoff   milliseconds = 100
)

// requestStep is the next step for a request.
type requestStep uint8

const (
	stepWait requestStep = iota
	stepAttempt
	stepGiveUp
)

func (s requestStep) String() string { return [...]string{"wait", "attempt", "give up"}[s] }

// retryPolicy decides whether a request gets another attempt, waits, or gets its final response. After a
// local failure, which prevented this machine from sending an attempt, the request is sent again after a
// backoff, until the client's deadline. While the request's body is still arriving there is no deadline,
// so the number of local failures is limited.
type retryPolicy struct {
	*shared
	admission *admission
	health    *healthChecker
}

// next returns the next step for a request without a final response.
func (p *retryPolicy) next(r *request) requestStep {
	switch {
	case p.now >= r.deadline:
		return stepGiveUp
	case r.state != requestQueued:
		return stepWait
	case p.exhausted(r):
		return stepGiveUp
	case p.now < r.retryAt || p.health.awaitsCheck(r):
		return stepWait
	}
	return stepAttempt
}

// exhausted reports whether no further attempt is allowed, or waiting for one is useless.
func (p *retryPolicy) exhausted(r *request) bool {
	mayHaveRun := 0
	latestStart := p.now + p.cfg.ConnectTimeout // the next attempt may need a new connection
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

// endsAtObjective reports whether the next attempt is ended at the latency objective. This holds for
// non-idempotent requests while load is shed, although they cannot be repeated. With full queues all
// responses are late, and clients repeat requests that take long, which adds to the load.
func (p *retryPolicy) endsAtObjective(r *request) bool {
	overloaded := p.admission.overloaded() && !r.BodyStreaming
	return r.class.Idempotency == NonIdempotent && overloaded
}

// recordLocalFailure excludes an attempt that this machine could not send from the count of attempts, and
// delays the next attempt.
func (p *retryPolicy) recordLocalFailure(r *request, a *attempt) {
	r.retryAt = p.now + math.Min(math.Ldexp(firstRetryBackoff, int(r.localFailures)), maxRetryBackoff)
	if r.localFailures < maxLocalFailures {
		r.localFailures++
		a.uncounted = true
	}
}

// retryAfter returns how long a client whose request was shed should wait. After the time of a fast
// response there is capacity again, and the request can still be answered in time.
func (p *retryPolicy) retryAfter(r *request) milliseconds {
	if !p.cfg.RetryAfter {
		return 0
	}
	return math.Min(r.class.LatencyObjective*p.admission.minMeanLatency, p.cfg.MaxRetryAfter)
}

// clientMayRetry reports whether it is safe for the client to send the request again.
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
