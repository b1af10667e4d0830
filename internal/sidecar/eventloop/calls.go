package eventloop

import (
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/upstream"
)

// startCall gives a new call its ID and hands it to the balancer.
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

// handleBodyComplete starts the times of a call, and of its attempts, whose body has been forwarded to its end.
func (l *Loop) handleBodyComplete(now float64, c *inflight.Call) {
	c.Deadline = c.Outbound.Upload.CompletedAt().Add(c.Timeout)
	if open := l.calls[c.Request.ID]; open != nil {
		for _, a := range open.attempts {
			a.StartedAt = now
		}
	}
	l.HandleEvent(now, balance.BodyComplete{Request: c.Request.ID, Remaining: l.Clock.Millis(c.Deadline) - now})
}

// handleClientGone ends a call whose client has left.
func (l *Loop) handleClientGone(now float64, c *inflight.Call) {
	l.cancelUnwritten(c)
	l.HandleEvent(now, balance.ClientDisconnected{Request: c.Request.ID})
	l.release(c)
}

// handleResponseStarted gives the client an answer that is forwarded as it comes.
func (l *Loop) handleResponseStarted(now float64, a *upstream.Attempt, answer inflight.Response) {
	c := a.Call
	if !c.Finish() {
		answer.Stream.WriteResult <- inflight.ErrBodyNotNeeded
		return
	}
	a.TimeToFirstByte = now - a.StartedAt
	c.Response <- answer
	l.cancelUnwritten(c)
	l.HandleEvent(now, balance.ResponseStarted{
		Request: c.Request.ID, Attempt: a.Number, Server: a.Server.ID, Elapsed: a.TimeToFirstByte,
	})
}

// handleAttemptDone hands the balancer the one outcome of an attempt. The first that is served is the client's answer.
func (l *Loop) handleAttemptDone(now float64, a *upstream.Attempt, reply inflight.AttemptOutcome) {
	a.Cancel()
	c := a.Call
	if open := l.calls[c.Request.ID]; open != nil {
		open.liveAttempts--
	}
	if reply.Result == balance.OK && c.Finish() {
		c.Response <- reply.Response
		l.cancelUnwritten(c)
	}
	if c.DisconnectSeen() && c.Finish() { // the attempt has seen that the client left: no other is made
		c.Response <- inflight.Response{ClientDisconnected: true}
		l.handleClientGone(now, c)
	}
	streamed := a.TimeToFirstByte > 0
	elapsed := now - a.StartedAt
	if streamed {
		elapsed = a.TimeToFirstByte
	}
	if a.RouteCheck != nil {
		l.Routing.CountOutcome(now, a.RouteCheck, c, &reply, elapsed, streamed)
	}
	l.HandleEvent(now, balance.Outcome{
		Request: c.Request.ID, Attempt: a.Number, Server: a.Server.ID, Result: reply.Result, Elapsed: elapsed,
		Finished: c.Finished(), Report: reply.LoadReport, BodyConsumed: reply.BodyConsumed,
		RouteRevoked: reply.RouteRevoked,
	})
	l.release(c)
}

// cancelUnwritten cancels the attempts that are not written yet: after the final answer nothing more is sent.
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

// release drops a call that is answered and has no live attempt.
func (l *Loop) release(c *inflight.Call) {
	if open := l.calls[c.Request.ID]; open != nil && open.liveAttempts == 0 && c.Finished() {
		delete(l.calls, c.Request.ID)
	}
}
