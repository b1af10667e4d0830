package eventloop

import (
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

// publishInterval is how far the figures of servers may lag.
const publishInterval = 100 * time.Millisecond

// inboxSize lets socket goroutines hand over messages while the loop is at work.
const inboxSize = 1024

// attemptDone is the end of an attempt.
type attemptDone struct {
	attempt *upstream.Attempt
	reply   inflight.AttemptOutcome
}

// healthCheckDone is the end of a health check.
type healthCheckDone struct {
	server    *upstream.Server
	startedAt float64 // ms
	reply     inflight.AttemptOutcome
}

// openCall is a call that has not ended.
type openCall struct {
	*inflight.Call
	attempts     []*upstream.Attempt // in order
	liveAttempts int                 // without an outcome
}

// Loop is the one owner of the balancer, its timers and the table of calls. Nothing in it blocks on I/O. What is not set by
// New is set before Run.
type Loop struct {
	Clock     clock.Clock
	Pool      *upstream.Pool
	Discovery *discovery.Client
	Metrics   *metrics.Metrics
	Routing   *routing.Router   // nil: off
	Members   *fleet.Membership // nil: off
	Workers   sync.WaitGroup    // goroutines that Run waits for

	cfg      *config.Config
	balancer *balance.Balancer
	inbox    chan any        // messages of Post; never closed
	stopped  chan struct{}   // closed by Run at its end
	ctx      context.Context // ends all attempts and health checks

	calls         map[balance.RequestID]*openCall
	lastID        balance.RequestID
	servers       map[balance.ServerID]*upstream.Server // those that are ready
	timers        timerHeap
	lastTimerWake float64 // ms; when timers last woke the loop
	listReceived  bool    // from discovery
	clockSteps    *clock.StepDetector
}

// New gives a loop for a balancer that sends by a pool of connections.
func New(cfg *config.Config, balancer *balance.Balancer, pool *upstream.Pool) *Loop {
	c := clock.New(cfg.Faults)
	l := &Loop{
		cfg: cfg, Clock: c, clockSteps: clock.NewStepDetector(c, cfg.Faults), balancer: balancer, Pool: pool,
		Metrics: pool.Metrics(), inbox: make(chan any, inboxSize), stopped: make(chan struct{}),
		calls: map[balance.RequestID]*openCall{}, servers: map[balance.ServerID]*upstream.Server{},
	}
	pool.SetEventLoop(l.Post, l.stopped)
	return l
}

// Post hands the loop a message; take has the types. After the loop's end messages are dropped.
func (l *Loop) Post(message any) {
	select {
	case l.inbox <- message:
	case <-l.stopped:
	}
}

// OpenCalls is how many calls have not ended. It is called after Run has returned.
func (l *Loop) OpenCalls() int { return len(l.calls) }

// Balancer gives the balancer for its status methods. They are called only while no message is being handled.
func (l *Loop) Balancer() *balance.Balancer { return l.balancer }

// Run works until ctx ends, and then waits for the goroutines that the loop has started. All messages that are there make
// one batch with one reading of the clock. Timers wake the loop no more often than the quantum of the settings; messages
// are not delayed by it.
func (l *Loop) Run(ctx context.Context) {
	defer l.Workers.Wait()
	defer close(l.stopped)
	l.ctx = ctx
	now := l.now()
	l.Execute(now, l.balancer.Start(now))
	l.handleListEvent(now, discovery.ListEvent{Kind: balance.ListCached, List: l.cfg.Known})
	l.publishMetrics(now)
	defer l.Routing.Start(func(f func()) { l.Workers.Go(f) })()
	defer l.Members.Start()()
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	var publish <-chan time.Time // nil: the figures are not read
	if l.cfg.Management != "" {
		ticker := time.NewTicker(publishInterval)
		defer ticker.Stop()
		publish = ticker.C
	}
	for {
		l.setAlarm(alarm)
		select {
		case <-ctx.Done():
			return
		case message := <-l.inbox:
			l.handleBatch(message)
		case <-alarm.C:
			l.lastTimerWake = l.now()
			l.fireTimers(l.lastTimerWake)
		case <-l.Routing.Wakeups():
			l.Routing.ApplyUpdate(l.now())
		case <-l.Members.Wakeups():
			l.updateFleetSize(l.now())
		case <-publish:
			l.checkClock(l.now())
			l.publishMetrics(l.now())
		}
	}
}

// now is the balancer's time in ms.
func (l *Loop) now() float64 { return l.Clock.Millis(time.Now()) }

// setAlarm sets the alarm to the next timer.
func (l *Loop) setAlarm(alarm *time.Timer) {
	if len(l.timers) == 0 {
		return
	}
	next := max(l.timers[0].due, l.lastTimerWake+l.cfg.Balance.Quantum)
	alarm.Reset(clock.Duration(next - l.now()))
}

// handleBatch takes a message and those that wait behind it.
func (l *Loop) handleBatch(first any) {
	now := l.now()
	l.fireTimers(now)
	l.handleMessage(now, first)
	for n := len(l.inbox); n > 0; n-- {
		l.handleMessage(now, <-l.inbox)
	}
}

// publishMetrics leaves what the balancer knows of the servers where the management address reads it.
func (l *Loop) publishMetrics(now float64) {
	listed, avoided := l.balancer.CountServers(now)
	l.Metrics.Servers.Store(&metrics.ServerMetrics{
		Listed: listed, Avoided: avoided, Ready: len(l.servers), ListReceived: l.listReceived,
		List: l.balancer.ListStatus(now), Zones: l.balancer.ZoneStatus(), Routes: l.Routing.Stats(),
	})
}

// fireTimers delivers the timers that are due. A timer that is set meanwhile waits for the next batch.
func (l *Loop) fireTimers(now float64) {
	for _, t := range l.timers.popDue(now) {
		l.HandleEvent(now, balance.Timer{Token: t.token})
	}
}

// handleMessage takes one message.
func (l *Loop) handleMessage(now float64, message any) {
	switch m := message.(type) {
	case clientserver.Arrival:
		l.startCall(now, m.Call)
	case clientserver.CallAbandoned:
		l.handleClientGone(now, m.Call)
	case upstream.BodyComplete:
		l.handleBodyComplete(now, m.Call)
	case upstream.ResponseStarted:
		l.handleResponseStarted(now, m.Attempt, m.Response)
	case upstream.Connecting:
		l.HandleEvent(now, balance.Connecting{
			Request: m.Attempt.Call.Request.ID, Attempt: m.Attempt.Number, Established: m.Established,
		})
	case upstream.ConnectionReady:
		if l.servers[m.Server.ID] == m.Server {
			l.HandleEvent(now, balance.ConnectionReady{Server: m.Server.ID})
		}
	case attemptDone:
		l.handleAttemptDone(now, m.attempt, m.reply)
	case healthCheckDone:
		l.HandleEvent(now, balance.HealthCheckResult{
			Server: m.server.ID, Result: m.reply.Result, Elapsed: now - m.startedAt, Report: m.reply.LoadReport,
		})
	case discovery.ListEvent:
		l.handleListEvent(now, m)
	case balance.ProcessCount:
		l.HandleEvent(now, m)
	case balance.ListServices:
		l.HandleEvent(now, m)
	case balance.Shutdown:
		l.HandleEvent(now, m)
	}
}

// HandleEvent hands the balancer an event and carries out its actions.
func (l *Loop) HandleEvent(now float64, event balance.Event) {
	actions, err := l.balancer.Handle(now, event)
	if err != nil {
		slog.Error("eventloop: the balancer rejects an event", "err", err)
		return
	}
	l.Execute(now, actions)
}

// checkClock tells the balancer of a step of the wall clock.
func (l *Loop) checkClock(now float64) {
	if step, stepped := l.clockSteps.Check(); stepped {
		l.HandleEvent(now, step)
	}
}

// updateFleetSize hands the balancer the number of processes in the fleet.
func (l *Loop) updateFleetSize(now float64) {
	if size, known := l.Members.Size(); known {
		l.HandleEvent(now, size)
		l.Members.SetEstimate(l.balancer.FleetSize())
	}
}
