package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/routing"
)

// Attempt is one try at sending a call to a server. The event loop creates it, and Pool.Send carries it out.
type Attempt struct {
	// Call is the client's request.
	Call *inflight.Call
	// Number is the index of the attempt among those of its call, from 0 on.
	Number int
	// Server is the server that the attempt is sent to.
	Server *Server
	// RouteCheck makes the last check of the route that the attempt was decided on. It is nil if no route applies.
	RouteCheck *routing.AttemptCheck
	// StartedAt is when the balancer decided on the attempt, or when the body was complete if that was later, in ms on
	// the balancer's clock. Only the event loop uses it.
	StartedAt float64
	// TimeToFirstByte is the time in ms from StartedAt to the start of a response that is forwarded as it arrives. It
	// is 0 if no such response has started. Only the event loop uses it.
	TimeToFirstByte float64
	// Deadline is when the response must have been read. It does not apply to a request whose body is forwarded as it
	// arrives: there the time limit of the client starts at the last byte of the body.
	Deadline time.Time
	// Written is set once the last byte of the request has been written.
	Written atomic.Bool
	// Context ends the attempt at any point. Cancel cancels it.
	Context context.Context
	Cancel  context.CancelFunc
}

// upload returns the request body that is forwarded as it arrives. It is nil if the body is held in memory, and for a
// health check, which has no attempt.
func (a *Attempt) upload() *inflight.Upload {
	if a == nil {
		return nil
	}
	return a.Call.Outbound.Upload
}
