package balance

// This file decides when a request is tried again that this machine could not send: it had no socket, port, route or
// memory left for it. Such a failure says nothing of a server, so nothing is held against one, and mostly it is over
// soon: the request waits a little and is sent again, to whichever server is next then. Its time bounds how long this
// goes on, and for a body that is still coming, which has no such bound, the number of failures does.

import "math"

const (
	firstRetryPause   = 5   // ms before the first retry; each pause is twice the one before
	longestRetryPause = 100 // ms
	mostUnbegun       = 50  // attempts of a request that may fail so and count as none; more of them count
)

// away reports whether the result says that its server cannot be had at present.
func (r Result) away() bool { return r == ConnectFailed || r == Unreachable }

// retryLater takes an attempt that this machine could not begin out of the count, and lets the next one wait.
func (b *Balancer) retryLater(r *request, a *attempt) {
	pause := math.Ldexp(firstRetryPause, int(r.unbegun))
	r.retryAt = b.now + math.Min(pause, longestRetryPause)
	if r.unbegun < mostUnbegun {
		r.unbegun++
		a.void = true
	}
}
