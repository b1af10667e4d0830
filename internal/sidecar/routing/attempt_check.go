package routing

import (
	"errors"
	"net/http"
	"strconv"

	"marblelane/balance"
	"marblelane/internal/routeclient"
	"marblelane/internal/sidecar/inflight"
)

// Headers of attempts that are sent to a server.
const (
	RevisionHeader = "X-Route-Rev"    // revision under which the attempt counts; set only under a lease
	CanaryHeader   = "X-Route-Canary" // 1: the server is used as a canary for this attempt
)

// AttemptCheck holds the routing decision that an attempt is based on, and the result of the last check before the
// attempt's first byte. Until the outcome, only the attempt's goroutine uses it.
type AttemptCheck struct {
	client         *routeclient.Client
	tenant         string
	rev            int64
	canary         bool
	comparable     bool  // the class may use the canary, so the outcome is compared with those of canary attempts
	lateIsFailure  bool  // a response after the latency objective counts as a failure of the canary
	revisionFixed  bool  // the head is written before the last check; the attempt may start only under headerRevision
	headerRevision int64 // the revision in the head

	Started         bool  // Begin has succeeded at least once
	countedRevision int64 // the revision under which the attempt counts
}

// ErrRevoked is returned for an attempt whose revision is no longer acted on, or whose lease has expired.
var ErrRevoked = errors.New("the route of the attempt was revoked")

// Begin makes the last check before the attempt's first byte is written. It returns the revision under which the
// attempt counts, or ErrRevoked.
func (check *AttemptCheck) Begin() (revision int64, err error) {
	if check.revisionFixed {
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

// ExpectRevision returns the revision that Begin would return now, and stores it as the one that the head contains.
func (check *AttemptCheck) ExpectRevision() int64 {
	check.headerRevision = check.client.ExpectedRev(check.rev)
	return check.headerRevision
}

// RecordEnd counts an attempt whose connection was never established as started, since it counts against the server
// like any failed attempt. It returns the outcome unchanged.
func (check *AttemptCheck) RecordEnd(r inflight.AttemptOutcome) inflight.AttemptOutcome {
	if check != nil && !check.Started && (r.Result == balance.ConnectFailed || r.Result == balance.Unreachable) {
		check.revisionFixed = false // no head was written
		_, _ = check.Begin()        // after an error the attempt is not counted
	}
	return r
}

// SetHeaders sets the headers for the revision under which an attempt counts and for a canary, and removes those that
// the client has sent.
func (check *AttemptCheck) SetHeaders(h http.Header, revision int64) {
	h.Del(RevisionHeader)
	h.Del(CanaryHeader)
	if revision > 0 {
		h.Set(RevisionHeader, strconv.FormatInt(revision, 10))
	}
	if check.canary {
		h.Set(CanaryHeader, "1")
	}
}
