package sidecar

import (
	"container/heap"
	"context"
	"log/slog"
	"sync"
	"time"

	"marblelane/balance"
)

// publishEvery is how far the figures of servers may lag: 0.5 s is allowed.
const publishEvery = 100 * time.Millisecond

// inboxSize lets socket goroutines hand over what they have while the loop is at work.
const inboxSize = 1024

// outcome is the end of an attempt.
type outcome struct {
	attempt *attempt
	reply   reply
}

// probed is the end of a health check.
type probed struct {
	up    *upstream
	from  float64
	reply reply
}

// openCall is a call that is not ended, with its attempts in order.
type openCall struct {
	*call
	attempts []*attempt
	live     int // attempts without an outcome
}

// loop is the one owner of the module, its timers and the table of requests. Nothing in it blocks on I/O.
type loop struct {
	cfg     *Config
	clock   clock
	steps   *stepWatch
	bal     *balance.Balancer
	pool    *upstreams
	disc    *discovery
	figures *figures
	inbox   chan any
	stopped chan struct{}

	ctx     context.Context // ends all attempts and probes
	workers sync.WaitGroup

	calls     map[balance.RequestID]*openCall
	lastID    balance.RequestID
	servers   map[balance.ServerID]*upstream // those that are ready
	timers    timers
	timersRan float64 // when timers last woke the loop
	told      bool    // discovery has sent a list

	routing *routing // nil: off
	members *members // nil: off
}

func newLoop(cfg *Config, bal *balance.Balancer, ups *upstreams) *loop {
	c := newClock(cfg.faults)
	l := &loop{
		cfg: cfg, clock: c, steps: newStepWatch(c, cfg.faults), bal: bal, pool: ups, figures: ups.figures,
		inbox: make(chan any, inboxSize), stopped: make(chan struct{}),
		calls: map[balance.RequestID]*openCall{}, servers: map[balance.ServerID]*upstream{},
	}
	ups.offer, ups.stopped = l.post, l.stopped
	return l
}

// post hands the loop something; after its end it is dropped.
func (l *loop) post(ev any) {
	select {
	case l.inbox <- ev:
	case <-l.stopped:
	}
}

// run works until ctx ends. What is waiting makes one batch with one reading of the clock. Timers wake the
// loop no more often than the quantum; what comes from sockets is never made to wait for it.
func (l *loop) run(ctx context.Context) {
	defer l.workers.Wait()
	defer close(l.stopped)
	l.ctx = ctx
	now := l.clock.ms(time.Now())
	l.act(now, l.bal.Start(now))
	l.takeListEvent(now, listEvent{kind: balance.ListCached, list: l.cfg.known})
	l.publish(now)
	defer l.routing.start(func(f func()) { l.workers.Go(f) })()
	defer l.members.start()()
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	var publish <-chan time.Time
	if l.cfg.Management != "" {
		ticker := time.NewTicker(publishEvery)
		defer ticker.Stop()
		publish = ticker.C
	}
	for {
		if len(l.timers) > 0 {
			next := max(l.timers[0].due, l.timersRan+l.cfg.balance.Quantum)
			alarm.Reset(millis(next - l.clock.ms(time.Now())))
		}
		select {
		case <-ctx.Done():
			return
		case ev := <-l.inbox:
			now := l.clock.ms(time.Now())
			l.fire(now)
			l.take(now, ev)
			for n := len(l.inbox); n > 0; n-- {
				l.take(now, <-l.inbox)
			}
		case <-alarm.C:
			l.timersRan = l.clock.ms(time.Now())
			l.fire(l.timersRan)
		case <-l.routing.woken():
			l.routing.take(l.clock.ms(time.Now()))
		case <-l.members.woken():
			l.takeMembers(l.clock.ms(time.Now()))
		case <-publish:
			l.lookAtClock(l.clock.ms(time.Now()))
			l.publish(l.clock.ms(time.Now()))
		}
	}
}

// publish leaves what the module knows of the servers where the management address reads it.
func (l *loop) publish(now float64) {
	listed, avoided := l.bal.CountServers(now)
	l.figures.servers.Store(&serverFigures{listed: listed, avoided: avoided, ready: len(l.servers), told: l.told, list: l.bal.ListStatus(now), zones: l.bal.ZoneStatus(),
		steer: l.routing.figures()})
}

// fire delivers the timers that are due; one that is set meanwhile waits for the next batch.
func (l *loop) fire(now float64) {
	var due []timer
	for len(l.timers) > 0 && l.timers[0].due <= now {
		due = append(due, heap.Pop(&l.timers).(timer))
	}
	for _, t := range due {
		l.tell(now, balance.Timer{Token: t.token})
	}
}

func (l *loop) take(now float64, ev any) {
	switch ev := ev.(type) {
	case arrival:
		l.lastID++
		ev.call.ev.ID = l.lastID
		l.calls[l.lastID] = &openCall{call: ev.call}
		request := ev.call.ev
		if request.BodyStreaming = ev.call.out.upload != nil; request.BodyStreaming {
			request.Remaining = float64(ev.call.wait) / float64(time.Millisecond)
		} else {
			request.Remaining = l.clock.ms(ev.call.deadline) - now
		}
		l.tell(now, request)
	case bodyComplete:
		c := ev.call
		c.deadline = c.out.upload.whole().Add(c.wait)
		if open := l.calls[c.ev.ID]; open != nil {
			for _, a := range open.attempts {
				a.from = now
			}
		}
		l.tell(now, balance.BodyComplete{Request: c.ev.ID, Remaining: l.clock.ms(c.deadline) - now})
	case answerStarted:
		l.takeAnswerStarted(now, ev.attempt, ev.answer)
	case connecting:
		l.tell(now, balance.Connecting{Request: ev.attempt.call.ev.ID, Attempt: ev.attempt.number, Established: ev.up})
	case connectionReady:
		if l.servers[ev.up.id] == ev.up {
			l.tell(now, balance.ConnectionReady{Server: ev.up.id})
		}
	case clientGoneEvent:
		l.takeClientGone(now, ev.call)
	case outcome:
		l.takeOutcome(now, ev.attempt, ev.reply)
	case probed:
		l.tell(now, balance.HealthCheckResult{
			Server: ev.up.id, Result: ev.reply.result, Elapsed: now - ev.from, Report: ev.reply.report,
		})
	case listEvent:
		l.takeListEvent(now, ev)
	case balance.ProcessCount:
		l.tell(now, ev)
	case balance.ListServices:
		l.tell(now, ev)
	case balance.Shutdown:
		l.tell(now, ev)
	}
}

// takeMembers brings what is known of the fleet to the module.
func (l *loop) takeMembers(now float64) {
	if size, known := l.members.told(); known {
		l.tell(now, size)
		l.members.setBelieved(l.bal.FleetSize())
	}
}

// takeClientGone ends a call to which nobody listens any more.
func (l *loop) takeClientGone(now float64, c *call) {
	l.concluded(c)
	l.tell(now, balance.ClientGone{Request: c.ev.ID})
	l.forget(c)
}

// takeAnswerStarted makes an answer that has begun the client's.
func (l *loop) takeAnswerStarted(now float64, a *attempt, with answer) {
	c := a.call
	if !c.finish() {
		with.stream.ended <- errUnwanted
		return
	}
	a.took = now - a.from
	c.answers <- with
	l.concluded(c)
	l.tell(now, balance.AnswerStarted{Request: c.ev.ID, Attempt: a.number, Server: a.up.id, Elapsed: a.took})
}

// takeOutcome passes on the one outcome of an attempt. The first that is served is the client's answer.
func (l *loop) takeOutcome(now float64, a *attempt, r reply) {
	a.cancel()
	c := a.call
	if open := l.calls[c.ev.ID]; open != nil {
		open.live--
	}
	if r.result == balance.OK && c.finish() {
		c.answers <- r.answer
		l.concluded(c)
	}
	if c.left.Load() && c.finish() { // the attempt saw it: no other is made
		c.answers <- answer{clientLeft: true}
		l.takeClientGone(now, c)
	}
	took := now - a.from
	if a.took > 0 {
		took = a.took
	}
	if a.look != nil {
		l.routing.countOutcome(now, a.look, c, &r, took, a.took > 0)
	}
	l.tell(now, balance.Outcome{
		Request: c.ev.ID, Attempt: a.number, Server: a.up.id, Result: r.result, Elapsed: took,
		Finished: c.final.Load(), Report: r.report, BodyConsumed: r.spent, RouteRevoked: r.void,
	})
	l.forget(c)
}

// concluded stops what has not been sent yet: after the final answer nothing more is.
func (l *loop) concluded(c *call) {
	open := l.calls[c.ev.ID]
	if open == nil {
		return
	}
	for _, a := range open.attempts {
		if !a.sent.Load() {
			a.cancel()
		}
	}
}

// forget drops a call that is answered and has nothing out.
func (l *loop) forget(c *call) {
	if open := l.calls[c.ev.ID]; open != nil && open.live == 0 && c.final.Load() {
		delete(l.calls, c.ev.ID)
	}
}

func (l *loop) tell(now float64, ev balance.Event) {
	actions, err := l.bal.Handle(now, ev)
	if err != nil {
		slog.Error("the module refuses an event", "error", err)
		return
	}
	l.act(now, actions)
}
