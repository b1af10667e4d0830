package eventloop

import (
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/upstream"
)

// startCall assigns an ID to a new call and passes its request to the balancer.
func (l *Loop) startCall(now float64, c *inflight.Call) {
	l.lastID++
	c.Request.ID = l.lastID
	l.calls[l.lastID] = &openCall{Call: c}
	request := c.Request
	request.BodyStreaming = c.Outbound.Upload != nil
	if request.BodyStreaming {
		request.Remaining = float64(c.Timeout) / float64(time.Millisecond)
	} else {
		request.Remaining = l.Clock.Millis(c.Deadline) - now
	}
	l.HandleEvent(now, request)
}

// startTime starts the client's time for a call with a streamed body, which may have begun earlier. A server may still be
// reading the body.
func (l *Loop) startTime(now float64, c *inflight.Call, at time.Time) {
	c.Deadline = at.Add(c.Timeout)
	l.HandleEvent(now, balance.BodyComplete{
		Request: c.Request.ID, Remaining: l.Clock.Millis(c.Deadline) - now, Elapsed: max(now-l.Clock.Millis(at), 0),
	})
}

// handleBodyComplete starts the clocks of a call's attempts once its body has been forwarded in full.
func (l *Loop) handleBodyComplete(now float64, c *inflight.Call) {
	if open := l.calls[c.Request.ID]; open != nil {
		for _, a := range open.attempts {
			a.StartedAt = now
		}
	}
	l.startTime(now, c, c.Outbound.Upload.CompletedAt())
}

// handleCallAbandoned ends a call whose client has closed the connection.
func (l *Loop) handleCallAbandoned(now float64, c *inflight.Call) {
	l.cancelUnwritten(c)
	l.HandleEvent(now, balance.ClientDisconnected{Request: c.Request.ID})
	l.release(c)
}

// handleResponseStarted passes the client a response that is forwarded while it is received.
func (l *Loop) handleResponseStarted(now float64, a *upstream.Attempt, response inflight.Response) {
	c := a.Call
	if !c.Finish() {
		response.Stream.WriteResult <- inflight.ErrBodyNotNeeded
		return
	}
	a.TimeToFirstByte = now - a.StartedAt
	c.Response <- response
	l.cancelUnwritten(c)
	l.HandleEvent(now, balance.ResponseStarted{
		Request: c.Request.ID, Attempt: a.Number, Server: a.Server.ID, Elapsed: a.TimeToFirstByte,
	})
}

// handleAttemptDone reports the outcome of an attempt to the balancer, once per attempt. The first successful response
// of a call goes to the client.
func (l *Loop) handleAttemptDone(now float64, a *upstream.Attempt, outcome inflight.AttemptOutcome) {
	a.Cancel()
	c := a.Call
	if open := l.calls[c.Request.ID]; open != nil {
		open.liveAttempts--
	}
	if outcome.Result == balance.OK && c.Finish() {
		c.Response <- outcome.Response
		l.cancelUnwritten(c)
	}
	if c.DisconnectSeen() && c.Finish() { // the attempt has noticed that the client closed the connection: no retry
		c.Response <- inflight.Response{ClientDisconnected: true}
		l.handleCallAbandoned(now, c)
	}
	streamed := a.TimeToFirstByte > 0
	elapsed := now - a.StartedAt
	if streamed {
		elapsed = a.TimeToFirstByte
	}
	if a.RouteCheck != nil {
		l.Routing.CountOutcome(now, a.RouteCheck, c, &outcome, elapsed, streamed)
	}
	l.HandleEvent(now, balance.Outcome{
		Request: c.Request.ID, Attempt: a.Number, Server: a.Server.ID, Result: outcome.Result, Elapsed: elapsed,
		Finished: c.Finished(), Report: outcome.LoadReport, BodyConsumed: outcome.BodyConsumed,
		RouteRevoked: outcome.RouteRevoked,
	})
	l.release(c)
}

// cancelUnwritten cancels the attempts of a call whose request is not written yet. Nothing is sent after the final
// response.
func (l *Loop) cancelUnwritten(c *inflight.Call) {
	open := l.calls[c.Request.ID]
	if open == nil {
		return
	}
	for _, a := range open.attempts {
		if !a.Written.Load() {
			a.Cancel()
		}
	}
}

// release removes a call from the table once it has its response and no attempt is in flight.
func (l *Loop) release(c *inflight.Call) {
	if open := l.calls[c.Request.ID]; open != nil && open.liveAttempts == 0 && c.Finished() {
		delete(l.calls, c.Request.ID)
	}
}
