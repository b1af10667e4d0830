package eventloop

import (
	"context"
	"log/slog"
	"math"

	"marblelane/balance"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/upstream"
)

// Execute carries out actions of the balancer, in order.
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
		slog.Error("eventloop: unknown action of the balancer", "action", action.Kind)
	}
}

// startAttempt sends a call to a server, in a goroutine that ends with the attempt.
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

// healthCheck asks a server how it is, in a goroutine that ends with the answer.
func (l *Loop) healthCheck(now float64, id balance.ServerID) {
	server := l.serverByID(id)
	l.Workers.Go(func() { l.Post(healthCheckDone{server, now, l.Pool.HealthCheck(l.ctx, server)}) })
}

// serverByID gives the server of an ID. One that is not in the table is retired: nothing is sent to it.
func (l *Loop) serverByID(id balance.ServerID) *upstream.Server {
	if server := l.servers[id]; server != nil {
		return server
	}
	server := &upstream.Server{ID: id}
	server.Retired.Store(true)
	return server
}

// respondWithoutServer gives a client the balancer's own answer: rejected, where a retry does no harm, or failed.
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
