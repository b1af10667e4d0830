package eventloop

import (
	"context"
	"log/slog"
	"math"

	"marblelane/balance"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/upstream"
)

// Execute executes actions of the balancer, in order.
func (l *Loop) Execute(now float64, actions []balance.Action) {
	for i := range actions {
		l.execute(now, &actions[i])
	}
}

func (l *Loop) execute(now float64, action *balance.Action) {
	switch action.Kind {
	case balance.Send:
		l.startAttempt(now, action)
	case balance.Reject, balance.Fail:
		l.respondWithoutServer(now, action)
	case balance.Cancel:
		if c := l.calls[action.Request]; c != nil && action.Attempt < len(c.attempts) {
			c.attempts[action.Attempt].Cancel()
		}
	case balance.SetTimer:
		l.timers.add(timer{due: now + math.Max(action.At, 0), token: action.Token})
	case balance.HealthCheck:
		l.healthCheck(now, action.Server)
	case balance.CloseIdle:
		if server := l.servers[action.Server]; server != nil {
			l.Pool.CloseIdle(server)
		}
	case balance.Log:
		slog.Info("balancer: " + action.Text)
	case balance.Watch:
		l.Discovery.Revision.Store(action.After)
		l.Discovery.Watch(l.ctx, action.Source)
	case balance.Fetch:
		l.Discovery.Fetch(l.ctx, action.Source)
	case balance.RemoveServer:
		l.retireServer(l.servers[action.Server])
	default:
		slog.Error("eventloop: unknown balancer action", "action", action.Kind)
	}
}

// startAttempt sends the request of a call to a server, in a goroutine that ends with the attempt.
func (l *Loop) startAttempt(now float64, action *balance.Action) {
	c := l.calls[action.Request]
	if c == nil {
		return
	}
	deadline := c.Deadline
	if action.At > 0 {
		if at := l.Clock.Time(action.At); at.Before(deadline) {
			deadline = at
		}
	}
	a := &upstream.Attempt{
		Call: c.Call, Number: len(c.attempts), Server: l.serverByID(action.Server),
		RouteCheck: l.Routing.NewCheck(now, c.Call, action), StartedAt: now, Deadline: deadline,
	}
	a.Context, a.Cancel = context.WithCancel(l.ctx)
	c.attempts = append(c.attempts, a)
	c.liveAttempts++
	l.Workers.Go(func() { l.Post(attemptDone{a, l.Pool.Send(a)}) })
}

// healthCheck sends a health check to a server, in a goroutine that ends with its result.
func (l *Loop) healthCheck(now float64, id balance.ServerID) {
	server := l.serverByID(id)
	l.Workers.Go(func() { l.Post(healthCheckDone{server, now, l.Pool.HealthCheck(l.ctx, server)}) })
}

// serverByID returns the server with an ID. If the table has none it returns a retired server, to which nothing is sent.
func (l *Loop) serverByID(id balance.ServerID) *upstream.Server {
	if server := l.servers[id]; server != nil {
		return server
	}
	server := &upstream.Server{ID: id}
	server.Retired.Store(true)
	return server
}

// respondWithoutServer ends a call with a response of the balancer's own: rejected, if the request did not run and may be
// sent again, or failed.
func (l *Loop) respondWithoutServer(now float64, action *balance.Action) {
	c := l.calls[action.Request]
	if c == nil || !c.Finish() {
		return
	}
	l.cancelUnwritten(c.Call)
	switch {
	case action.Kind == balance.Reject:
		c.Response <- inflight.Response{Status: inflight.StatusRejected, RetryAfter: action.At}
	case !c.Deadline.IsZero() && now >= l.Clock.Millis(c.Deadline):
		c.Response <- inflight.Response{Status: inflight.StatusTimedOut}
	default:
		c.Response <- inflight.Response{Status: inflight.StatusFailed}
	}
	l.release(c.Call)
}
