package routing

import (
	"errors"
	"net/http"
	"strconv"

	"marblelane/balance"
	"marblelane/internal/routeclient"
	"marblelane/internal/sidecar/inflight"
)

const (
	RevisionHeader = "X-Route-Rev"    // to a server: the attempt was decided on this revision, with permission
	CanaryHeader   = "X-Route-Canary" // to a server: 1, the attempt goes there as to a canary
)

// Check is what an attempt was decided on, and what the last look before its first byte has said.
type Check struct {
	client         *routeclient.Client
	tenant         string
	rev            int64
	canary         bool
	comparable     bool // its class may go to the canary: how it ends is compared with how the canary's end
	lateIsFailure  bool // an answer after the aim is a failure of the canary
	fixed          bool // its head is on its way when the last look comes: it begins as that says, or not at all
	headerRevision int64

	Started         bool  // at least once; the attempt's own until its outcome
	countedRevision int64 // it counts under this revision
}

// ErrRevoked says that the revision or the permission that an attempt was decided on is over.
var ErrRevoked = errors.New("its route is not acted on any more")

// Begin is the last look.
func (check *Check) Begin() (under int64, err error) {
	if check.fixed {
		if !check.client.BeginAs(check.rev, check.tenant, check.canary, check.headerRevision) {
			return 0, ErrRevoked
		}
		check.Started, check.countedRevision = true, check.headerRevision
		return check.headerRevision, nil
	}
	under, ok := check.client.Begin(check.rev, check.tenant, check.canary)
	if !ok {
		return 0, ErrRevoked
	}
	check.Started, check.countedRevision = true, under
	return under, nil
}

// Expect is what begin would say now, and what the head says.
func (check *Check) Expect() int64 {
	check.headerRevision = check.client.Under(check.rev)
	return check.headerRevision
}

// RecordEnd counts an attempt whose connection never came up as begun: it tells of the server as one that failed does.
func (check *Check) RecordEnd(r inflight.Reply) inflight.Reply {
	if check != nil && !check.Started && (r.Result == balance.ConnectFailed || r.Result == balance.Unreachable) {
		check.fixed = false // no head was written
		check.Begin()       // not ok: it stays uncounted
	}
	return r
}

// SetHeaders tells a server what an attempt counts under.
func (check *Check) SetHeaders(h http.Header, under int64) {
	h.Del(RevisionHeader)
	h.Del(CanaryHeader)
	if under > 0 {
		h.Set(RevisionHeader, strconv.FormatInt(under, 10))
	}
	if check.canary {
		h.Set(CanaryHeader, "1")
	}
}
