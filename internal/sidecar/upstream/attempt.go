package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/routing"
)

// Attempt is one send of a call to a server. The event loop makes it, and Pool.Send carries it out.
type Attempt struct {
	// Call is the request of the client.
	Call *inflight.Call
	// Number is the place of the attempt among those of its call, from 0 on.
	Number int
	// Server is where the attempt goes.
	Server *Server
	// RouteCheck is the last check of the route that the attempt was decided on; nil if no route applies.
	RouteCheck *routing.Check
	// StartedAt is when the balancer decided on the attempt, or when the body was complete if that came later, in ms of the
	// balancer's clock. Only the event loop uses it.
	StartedAt float64
	// TimeToFirstByte is how many ms after StartedAt an answer started that is forwarded as it arrives; 0 if none did. Only
	// the event loop uses it.
	TimeToFirstByte float64
	// Deadline is when the answer must have been read. It is not used for a body that is forwarded as it arrives: the
	// client's time runs from the last byte of that.
	Deadline time.Time
	// Written is set once the last byte of the request has been written.
	Written atomic.Bool
	// Context ends the attempt at any point; Cancel ends Context.
	Context context.Context
	Cancel  context.CancelFunc
}

// upload returns the body that is forwarded as it arrives. It is nil if the body is held in memory, and for a health check,
// which has no attempt.
func (a *Attempt) upload() *inflight.Upload {
	if a == nil {
		return nil
	}
	return a.Call.Outbound.Upload
}
