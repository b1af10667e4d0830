package balance

// This file decides when a request goes on that this machine could not send. Its time bounds how long
// that is tried, and where its body is still coming the number of failures does.

import "math"

const (
	firstRetryPause   = 5   // ms before the first retry; each pause is twice the one before
	longestRetryPause = 100 // ms
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
