package eventloop

import (
	"container/heap"
	"context"
	"log/slog"
	"sync"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/fleet"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/metrics"
	"marblelane/internal/sidecar/routing"
	"marblelane/internal/sidecar/upstream"
)

// publishInterval is how far the figures of servers may lag: 0.5 s is allowed.
const publishInterval = 100 * time.Millisecond

// inboxSize lets socket goroutines hand over what they have while the loop is at work.
const inboxSize = 1024

// AttemptDone is the end of an attempt.
type AttemptDone struct {
	attempt *upstream.Attempt
	reply   inflight.Reply
}

// healthCheckDone is the end of a health check.
type healthCheckDone struct {
	server    *upstream.Server
	startedAt float64
	reply     inflight.Reply
}

// openCall is a call that is not ended, with its attempts in order.
type openCall struct {
	*inflight.Call
	Attempts []*upstream.Attempt
	live     int // Attempts without an outcome
}

// Loop is the one owner of the module, its timers and the table of requests. Nothing in it blocks on I/O.
type Loop struct {
	Cfg        *config.Config
	Clock      clock.Clock
	clockSteps *clock.StepDetector
	Balancer   *balance.Balancer
	Pool       *upstream.Pool
	Discovery  *discovery.Client
	Metrics    *metrics.Metrics
	Inbox      chan any
	Stopped    chan struct{}

	Ctx     context.Context // ends all attempts and probes
	Workers sync.WaitGroup

	Calls        map[balance.RequestID]*openCall
	lastID       balance.RequestID
	servers      map[balance.ServerID]*upstream.Server // those that are ready
	timers       timers
	timersRan    float64 // when timers last woke the loop
	listReceived bool    // discovery has sent a list

	Routing *routing.Router   // nil: off
	Members *fleet.Membership // nil: off
}

func New(cfg *config.Config, bal *balance.Balancer, ups *upstream.Pool) *Loop {
	c := clock.New(cfg.Faults)
	l := &Loop{
		Cfg: cfg, Clock: c, clockSteps: clock.NewStepDetector(c, cfg.Faults), Balancer: bal, Pool: ups, Metrics: ups.Metrics(),
		Inbox: make(chan any, inboxSize), Stopped: make(chan struct{}),
		Calls: map[balance.RequestID]*openCall{}, servers: map[balance.ServerID]*upstream.Server{},
	}
	ups.ReportTo(l.Post, l.Stopped)
	return l
}

// Post hands the loop something; after its end it is dropped.
func (l *Loop) Post(ev any) {
	select {
	case l.Inbox <- ev:
	case <-l.Stopped:
	}
}

// Run works until ctx ends. What is waiting makes one batch with one reading of the clock. Timers wake the
// loop no more often than the quantum; what comes from sockets is never made to wait for it.
func (l *Loop) Run(ctx context.Context) {
	defer l.Workers.Wait()
	defer close(l.Stopped)
	l.Ctx = ctx
	now := l.Clock.Millis(time.Now())
	l.Act(now, l.Balancer.Start(now))
	l.TakeListEvent(now, discovery.ListEvent{Kind: balance.ListCached, List: l.Cfg.Known})
	l.publish(now)
	defer l.Routing.Start(func(f func()) { l.Workers.Go(f) })()
	defer l.Members.Start()()
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	var publish <-chan time.Time
	if l.Cfg.Management != "" {
		ticker := time.NewTicker(publishInterval)
		defer ticker.Stop()
		publish = ticker.C
	}
	for {
		if len(l.timers) > 0 {
			next := max(l.timers[0].due, l.timersRan+l.Cfg.Balance.Quantum)
			alarm.Reset(clock.Duration(next - l.Clock.Millis(time.Now())))
		}
		select {
		case <-ctx.Done():
			return
		case ev := <-l.Inbox:
			now := l.Clock.Millis(time.Now())
			l.fireTimers(now)
			l.Take(now, ev)
			for n := len(l.Inbox); n > 0; n-- {
				l.Take(now, <-l.Inbox)
			}
		case <-alarm.C:
			l.timersRan = l.Clock.Millis(time.Now())
			l.fireTimers(l.timersRan)
		case <-l.Routing.Woken():
			l.Routing.Take(l.Clock.Millis(time.Now()))
		case <-l.Members.Woken():
			l.takeMembers(l.Clock.Millis(time.Now()))
		case <-publish:
			l.checkClock(l.Clock.Millis(time.Now()))
			l.publish(l.Clock.Millis(time.Now()))
		}
	}
}

// publish leaves what the module knows of the servers where the management address reads it.
func (l *Loop) publish(now float64) {
	listed, avoided := l.Balancer.CountServers(now)
	l.Metrics.Servers.Store(&metrics.ServerMetrics{Listed: listed, Avoided: avoided, Ready: len(l.servers), ListReceived: l.listReceived, List: l.Balancer.ListStatus(now), Zones: l.Balancer.ZoneStatus(),
		Routes: l.Routing.Figures()})
}

// fireTimers delivers the timers that are due; one that is set meanwhile waits for the next batch.
func (l *Loop) fireTimers(now float64) {
	var due []timer
	for len(l.timers) > 0 && l.timers[0].due <= now {
		due = append(due, heap.Pop(&l.timers).(timer))
	}
	for _, t := range due {
		l.Tell(now, balance.Timer{Token: t.token})
	}
}

func (l *Loop) Take(now float64, ev any) {
	switch ev := ev.(type) {
	case clientserver.Arrival:
		l.lastID++
		ev.Call.Request.ID = l.lastID
		l.Calls[l.lastID] = &openCall{Call: ev.Call}
		request := ev.Call.Request
		if request.BodyStreaming = ev.Call.Outbound.Upload != nil; request.BodyStreaming {
			request.Remaining = float64(ev.Call.Timeout) / float64(time.Millisecond)
		} else {
			request.Remaining = l.Clock.Millis(ev.Call.Deadline) - now
		}
		l.Tell(now, request)
	case upstream.BodyComplete:
		c := ev.Call
		c.Deadline = c.Outbound.Upload.CompletedAt().Add(c.Timeout)
		if open := l.Calls[c.Request.ID]; open != nil {
			for _, a := range open.Attempts {
				a.StartedAt = now
			}
		}
		l.Tell(now, balance.BodyComplete{Request: c.Request.ID, Remaining: l.Clock.Millis(c.Deadline) - now})
	case upstream.AnswerStarted:
		l.takeAnswerStarted(now, ev.Attempt, ev.Answer)
	case upstream.Connecting:
		l.Tell(now, balance.Connecting{Request: ev.Attempt.Call.Request.ID, Attempt: ev.Attempt.Number, Established: ev.Established})
	case upstream.ConnectionReady:
		if l.servers[ev.Server.ID] == ev.Server {
			l.Tell(now, balance.ConnectionReady{Server: ev.Server.ID})
		}
	case clientserver.ClientGone:
		l.takeClientGone(now, ev.Call)
	case AttemptDone:
		l.takeOutcome(now, ev.attempt, ev.reply)
	case healthCheckDone:
		l.Tell(now, balance.HealthCheckResult{
			Server: ev.server.ID, Result: ev.reply.Result, Elapsed: now - ev.startedAt, Report: ev.reply.Report,
		})
	case discovery.ListEvent:
		l.TakeListEvent(now, ev)
	case balance.ProcessCount:
		l.Tell(now, ev)
	case balance.ListServices:
		l.Tell(now, ev)
	case balance.Shutdown:
		l.Tell(now, ev)
	}
}

// takeMembers brings what is known of the fleet to the module.
func (l *Loop) takeMembers(now float64) {
	if size, known := l.Members.Size(); known {
		l.Tell(now, size)
		l.Members.SetEstimate(l.Balancer.FleetSize())
	}
}

// takeClientGone ends a call to which nobody listens any more.
func (l *Loop) takeClientGone(now float64, c *inflight.Call) {
	l.cancelUnwritten(c)
	l.Tell(now, balance.ClientGone{Request: c.Request.ID})
	l.release(c)
}

// takeAnswerStarted makes an answer that has begun the client's.
func (l *Loop) takeAnswerStarted(now float64, a *upstream.Attempt, with inflight.Answer) {
	c := a.Call
	if !c.Finish() {
		with.Stream.Ended <- inflight.ErrBodyUnwanted
		return
	}
	a.FirstByteAfter = now - a.StartedAt
	c.Answers <- with
	l.cancelUnwritten(c)
	l.Tell(now, balance.AnswerStarted{Request: c.Request.ID, Attempt: a.Number, Server: a.Server.ID, Elapsed: a.FirstByteAfter})
}

// takeOutcome passes on the one outcome of an attempt. The first that is served is the client's answer.
func (l *Loop) takeOutcome(now float64, a *upstream.Attempt, r inflight.Reply) {
	a.Cancel()
	c := a.Call
	if open := l.Calls[c.Request.ID]; open != nil {
		open.live--
	}
	if r.Result == balance.OK && c.Finish() {
		c.Answers <- r.Answer
		l.cancelUnwritten(c)
	}
	if c.Left.Load() && c.Finish() { // the attempt saw it: no other is made
		c.Answers <- inflight.Answer{ClientLeft: true}
		l.takeClientGone(now, c)
	}
	took := now - a.StartedAt
	if a.FirstByteAfter > 0 {
		took = a.FirstByteAfter
	}
	if a.RouteCheck != nil {
		l.Routing.CountOutcome(now, a.RouteCheck, c, &r, took, a.FirstByteAfter > 0)
	}
	l.Tell(now, balance.Outcome{
		Request: c.Request.ID, Attempt: a.Number, Server: a.Server.ID, Result: r.Result, Elapsed: took,
		Finished: c.Final.Load(), Report: r.Report, BodyConsumed: r.BodyConsumed, RouteRevoked: r.RouteRevoked,
	})
	l.release(c)
}

// cancelUnwritten stops what has not been sent yet: after the final answer nothing more is.
func (l *Loop) cancelUnwritten(c *inflight.Call) {
	open := l.Calls[c.Request.ID]
	if open == nil {
		return
	}
	for _, a := range open.Attempts {
		if !a.Written.Load() {
			a.Cancel()
		}
	}
}

// release drops a call that is answered and has nothing out.
func (l *Loop) release(c *inflight.Call) {
	if open := l.Calls[c.Request.ID]; open != nil && open.live == 0 && c.Final.Load() {
		delete(l.Calls, c.Request.ID)
	}
}

func (l *Loop) Tell(now float64, ev balance.Event) {
	actions, err := l.Balancer.Handle(now, ev)
	if err != nil {
		slog.Error("the module refuses an event", "error", err)
		return
	}
	l.Act(now, actions)
}

// checkClock tells the module of a step.
func (l *Loop) checkClock(now float64) {
	if step, stepped := l.clockSteps.Check(); stepped {
		l.Tell(now, step)
	}
}
