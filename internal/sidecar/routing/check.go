package routing

import (
	"errors"
	"net/http"
	"strconv"

	"marblelane/balance"
	"marblelane/internal/routeclient"
	"marblelane/internal/sidecar/inflight"
)

// Headers to a server.
const (
	RevisionHeader = "X-Route-Rev"    // the attempt was decided on this revision, under a lease
	CanaryHeader   = "X-Route-Canary" // 1: the attempt goes there as to a canary
)

// Check is what an attempt was decided on, and what the last check before its first byte has said. Only the attempt's
// goroutine uses it until the outcome.
type Check struct {
	client         *routeclient.Client
	tenant         string
	rev            int64
	canary         bool
	comparable     bool  // its class may go to the canary: its end is compared with those of the canary's attempts
	lateIsFailure  bool  // an answer after the latency objective is a failure of the canary
	fixed          bool  // its head is written before the last check: it starts as that says, or not at all
	headerRevision int64 // that the head says

	Started         bool  // at least once
	countedRevision int64 // under which it counts
}

// ErrRevoked says that the revision or the lease that an attempt was decided on is over.
var ErrRevoked = errors.New("the route of the attempt was revoked")

// Begin is the last check before the first byte. It gives the revision under which the attempt counts.
func (check *Check) Begin() (revision int64, err error) {
	if check.fixed {
		if !check.client.StartAttemptAs(check.rev, check.tenant, check.canary, check.headerRevision) {
			return 0, ErrRevoked
		}
		check.Started, check.countedRevision = true, check.headerRevision
		return check.headerRevision, nil
	}
	revision, ok := check.client.StartAttempt(check.rev, check.tenant, check.canary)
	if !ok {
		return 0, ErrRevoked
	}
	check.Started, check.countedRevision = true, revision
	return revision, nil
}

// Expect is the revision that Begin would give now, which the head names.
func (check *Check) Expect() int64 {
	check.headerRevision = check.client.ExpectedRev(check.rev)
	return check.headerRevision
}

// RecordEnd counts an attempt whose connection was never established as started: it says of the server what a failed one
// does.
func (check *Check) RecordEnd(r inflight.AttemptOutcome) inflight.AttemptOutcome {
	if check != nil && !check.Started && (r.Result == balance.ConnectFailed || r.Result == balance.Unreachable) {
		check.fixed = false  // no head was written
		_, _ = check.Begin() // an error leaves it uncounted
	}
	return r
}

// SetHeaders names the revision under which an attempt counts, and its canary, in the head to the server.
func (check *Check) SetHeaders(h http.Header, revision int64) {
	h.Del(RevisionHeader)
	h.Del(CanaryHeader)
	if revision > 0 {
		h.Set(RevisionHeader, strconv.FormatInt(revision, 10))
	}
	if check.canary {
		h.Set(CanaryHeader, "1")
	}
}
