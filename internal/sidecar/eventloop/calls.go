package eventloop

import (
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/upstream"
)

// takeArrival gives a new call its ID and hands it to the balancer.
func (l *Loop) takeArrival(now float64, c *inflight.Call) {
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

// takeBodyComplete starts the times of a call, and of its attempts, whose body has been forwarded to its end.
func (l *Loop) takeBodyComplete(now float64, c *inflight.Call) {
	c.Deadline = c.Outbound.Upload.CompletedAt().Add(c.Timeout)
	if open := l.calls[c.Request.ID]; open != nil {
		for _, a := range open.attempts {
			a.StartedAt = now
		}
	}
	l.HandleEvent(now, balance.BodyComplete{Request: c.Request.ID, Remaining: l.Clock.Millis(c.Deadline) - now})
}

// takeClientGone ends a call whose client has left.
func (l *Loop) takeClientGone(now float64, c *inflight.Call) {
	l.cancelUnwritten(c)
	l.HandleEvent(now, balance.ClientDisconnected{Request: c.Request.ID})
	l.release(c)
}

// takeAnswerStarted gives the client an answer that is forwarded as it comes.
func (l *Loop) takeAnswerStarted(now float64, a *upstream.Attempt, answer inflight.Answer) {
	c := a.Call
	if !c.Finish() {
		answer.Stream.Ended <- inflight.ErrBodyUnwanted
		return
	}
	a.FirstByteAfter = now - a.StartedAt
	c.Answers <- answer
	l.cancelUnwritten(c)
	l.HandleEvent(now, balance.ResponseStarted{
		Request: c.Request.ID, Attempt: a.Number, Server: a.Server.ID, Elapsed: a.FirstByteAfter,
	})
}

// takeAttemptDone hands the balancer the one outcome of an attempt. The first that is served is the client's answer.
func (l *Loop) takeAttemptDone(now float64, a *upstream.Attempt, reply inflight.Reply) {
	a.Cancel()
	c := a.Call
	if open := l.calls[c.Request.ID]; open != nil {
		open.liveAttempts--
	}
	if reply.Result == balance.OK && c.Finish() {
		c.Answers <- reply.Answer
		l.cancelUnwritten(c)
	}
	if c.SeenGone() && c.Finish() { // the attempt has seen that the client left: no other is made
		c.Answers <- inflight.Answer{ClientLeft: true}
		l.takeClientGone(now, c)
	}
	streamed := a.FirstByteAfter > 0
	elapsed := now - a.StartedAt
	if streamed {
		elapsed = a.FirstByteAfter
	}
	if a.RouteCheck != nil {
		l.Routing.CountOutcome(now, a.RouteCheck, c, &reply, elapsed, streamed)
	}
	l.HandleEvent(now, balance.Outcome{
		Request: c.Request.ID, Attempt: a.Number, Server: a.Server.ID, Result: reply.Result, Elapsed: elapsed,
		Finished: c.Finished(), Report: reply.Report, BodyConsumed: reply.BodyConsumed,
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
