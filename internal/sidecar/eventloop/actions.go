package eventloop

import (
	"container/heap"
	"context"
	"log/slog"
	"math"

	"marblelane/balance"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/upstream"
)

func (l *Loop) Act(now float64, actions []balance.Action) {
	for i := range actions {
		act := &actions[i]
		switch act.Kind {
		case balance.Send:
			l.send(now, act)
		case balance.Reject, balance.Fail:
			l.answer(now, act)
		case balance.Cancel:
			if c := l.Calls[act.Request]; c != nil && act.Attempt < len(c.Attempts) {
				c.Attempts[act.Attempt].Cancel()
			}
		case balance.SetTimer:
			heap.Push(&l.timers, timer{due: now + math.Max(act.At, 0), token: act.Token})
		case balance.HealthCheck:
			l.probe(now, act.Server)
		case balance.CloseIdle:
			if up := l.servers[act.Server]; up != nil {
				l.Pool.CloseIdle(up)
			}
		case balance.Log:
			slog.Info("module", "text", act.Text)
		case balance.Watch:
			l.Discovery.Revision.Store(act.After)
			l.Discovery.Watch(l.Ctx, act.Source)
		case balance.Fetch:
			l.Discovery.Fetch(l.Ctx, act.Source)
		case balance.Forget:
			l.retire(l.servers[act.Server])
		default:
			slog.Error("the module asks for what this sidecar cannot do", "action", act.Kind)
		}
	}
}

func (l *Loop) send(now float64, act *balance.Action) {
	c := l.Calls[act.Request]
	if c == nil {
		return
	}
	cut := c.Deadline
	if act.At > 0 {
		if at := l.Clock.Time(act.At); at.Before(cut) {
			cut = at
		}
	}
	up := l.servers[act.Server]
	if up == nil { // hardly: the module sends to ready servers of the same list
		up = &upstream.Server{ID: act.Server}
		up.Retired.Store(true)
	}
	a := &upstream.Attempt{Call: c.Call, Number: len(c.Attempts), Server: up, RouteCheck: l.Routing.Check(now, c.Call, act), StartedAt: now, Deadline: cut}
	a.Context, a.Cancel = context.WithCancel(l.Ctx)
	c.Attempts = append(c.Attempts, a)
	c.live++
	l.Workers.Go(func() { l.Post(AttemptDone{a, l.Pool.Send(a)}) })
}

func (l *Loop) probe(now float64, id balance.ServerID) {
	up := l.servers[id]
	if up == nil {
		up = &upstream.Server{ID: id}
		up.Retired.Store(true)
	}
	l.Workers.Go(func() { l.Post(healthCheckDone{up, now, l.Pool.HealthCheck(l.Ctx, up)}) })
}

// answer gives a call up: refused, where a later try does no harm, or failed.
func (l *Loop) answer(now float64, act *balance.Action) {
	c := l.Calls[act.Request]
	if c == nil || !c.Finish() {
		return
	}
	l.cancelUnwritten(c.Call)
	switch {
	case act.Kind == balance.Reject:
		c.Answers <- inflight.Answer{Status: inflight.StatusRejected, RetryAfter: act.At}
	case !c.Deadline.IsZero() && now >= l.Clock.Millis(c.Deadline):
		c.Answers <- inflight.Answer{Status: inflight.StatusTimedOut}
	default:
		c.Answers <- inflight.Answer{Status: inflight.StatusFailed}
	}
	l.release(c.Call)
}
