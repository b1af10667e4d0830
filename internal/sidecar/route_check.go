package sidecar

// This file is the last check of an attempt's route before its first byte.

import (
	"errors"
	"net/http"
	"strconv"

	"marblelane/balance"
	"marblelane/internal/routeclient"
)

const (
	revHeader    = "X-Route-Rev"    // to a server: the attempt was decided on this revision, with permission
	canaryHeader = "X-Route-Canary" // to a server: 1, the attempt goes there as to a canary
)

// routeCheck is what an attempt was decided on, and what the last look before its first byte has said.
type routeCheck struct {
	steer  *routeclient.Client
	tenant string
	rev    int64
	canary bool
	alike  bool // its class may go to the canary: how it ends is compared with how the canary's end
	late   bool // an answer after the aim is a failure of the canary
	fixed  bool // its head is on its way when the last look comes: it begins as that says, or not at all
	said   int64

	begun bool  // at least once; the attempt's own until its outcome
	under int64 // it counts under this revision
}

// errVoid: the revision or the permission that an attempt was decided on is over.
var errVoid = errors.New("its route is not acted on any more")

// begin is the last look.
func (k *routeCheck) begin() (under int64, err error) {
	if k.fixed {
		if !k.steer.BeginAs(k.rev, k.tenant, k.canary, k.said) {
			return 0, errVoid
		}
		k.begun, k.under = true, k.said
		return k.said, nil
	}
	under, ok := k.steer.Begin(k.rev, k.tenant, k.canary)
	if !ok {
		return 0, errVoid
	}
	k.begun, k.under = true, under
	return under, nil
}

// expect is what begin would say now, and what the head says.
func (k *routeCheck) expect() int64 {
	k.said = k.steer.Under(k.rev)
	return k.said
}

// ended counts an attempt whose connection never came up as begun: it tells of the server as one that failed does.
func (k *routeCheck) ended(r reply) reply {
	if k != nil && !k.begun && (r.result == balance.ConnectFailed || r.result == balance.Unreachable) {
		k.fixed = false // no head was written
		k.begin()       // not ok: it stays uncounted
	}
	return r
}

// mark tells a server what an attempt counts under.
func (k *routeCheck) mark(h http.Header, under int64) {
	h.Del(revHeader)
	h.Del(canaryHeader)
	if under > 0 {
		h.Set(revHeader, strconv.FormatInt(under, 10))
	}
	if k.canary {
		h.Set(canaryHeader, "1")
	}
}
