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

// publishInterval is the interval at which the metrics of servers are updated.
const publishInterval = 100 * time.Millisecond

// inboxSize is the number of messages that goroutines can post without blocking while the loop is busy.
const inboxSize = 1024

// attemptDone is the message that an attempt has ended.
type attemptDone struct {
	attempt *upstream.Attempt
	outcome inflight.AttemptOutcome
}

// healthCheckDone is the message that a health check has ended.
type healthCheckDone struct {
	server    *upstream.Server
	startedAt float64 // ms
	outcome   inflight.AttemptOutcome
}

// openCall is a call that has no response yet, or has attempts in flight.
type openCall struct {
	*inflight.Call
	attempts     []*upstream.Attempt // by attempt number
	liveAttempts int                 // number of attempts without an outcome
}

// Loop owns the balancer, its timers and the table of calls. It never blocks on I/O. The exported fields that New leaves
// unset are set before Run.
type Loop struct {
	Clock     clock.Clock
	Pool      *upstream.Pool
	Discovery *discovery.Client
	Metrics   *metrics.Metrics
	Routing   *routing.Router   // nil: the section routes is not configured
	Members   *fleet.Membership // nil: the section members is not configured
	Workers   sync.WaitGroup    // goroutines that Run waits for

	cfg      *config.Config
	balancer *balance.Balancer
	inbox    chan any        // messages from Post; never closed
	stopped  chan struct{}   // closed when Run returns
	ctx      context.Context // cancelled to end all attempts and health checks

	calls         map[balance.RequestID]*openCall
	lastID        balance.RequestID
	servers       map[balance.ServerID]*upstream.Server // servers that the balancer uses
	timers        timerHeap
	lastTimerWake float64 // ms; the last time that a timer woke the loop
	listReceived  bool    // since the start, from a list service
	clockSteps    *clock.StepDetector
}

// New returns an event loop for a balancer, whose requests are sent over the connections of a pool.
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

// Post queues a message for the loop; handleMessage lists the types. Once the loop has stopped, messages are dropped.
func (l *Loop) Post(message any) {
	select {
	case l.inbox <- message:
	case <-l.stopped:
	}
}

// OpenCalls returns the number of calls in the table. It may be called only after Run has returned.
func (l *Loop) OpenCalls() int { return len(l.calls) }

// Balancer returns the balancer, for its status methods. They may be called only while the loop handles no message.
func (l *Loop) Balancer() *balance.Balancer { return l.balancer }

// Run handles messages and timers until ctx is cancelled, and then waits for the goroutines that the loop has started.
// All queued messages form one batch with one reading of the clock. Timers wake the loop at most once per quantum of
// the settings; messages are not delayed by it.
func (l *Loop) Run(ctx context.Context) {
	defer l.Workers.Wait()
	defer close(l.stopped)
	l.ctx = ctx
	now := l.now()
	l.Execute(now, l.balancer.Start(now))
	l.handleListEvent(now, discovery.ListEvent{Kind: balance.ListCached, List: l.cfg.KnownList})
	l.publishMetrics(now)
	defer l.Routing.Start(func(f func()) { l.Workers.Go(f) })()
	defer l.Members.Start()()
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	var publish <-chan time.Time // nil: no management address, so the metrics are not read
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

// now returns the time for the balancer, in ms of the clock.
func (l *Loop) now() float64 { return l.Clock.Millis(time.Now()) }

// setAlarm sets the alarm to the next time at which timers may wake the loop.
func (l *Loop) setAlarm(alarm *time.Timer) {
	if len(l.timers) == 0 {
		return
	}
	next := max(l.timers[0].due, l.lastTimerWake+l.cfg.Balance.Quantum)
	alarm.Reset(clock.Duration(next - l.now()))
}

// handleBatch handles a message and those that are queued behind it.
func (l *Loop) handleBatch(first any) {
	now := l.now()
	l.fireTimers(now)
	l.handleMessage(now, first)
	for n := len(l.inbox); n > 0; n-- {
		l.handleMessage(now, <-l.inbox)
	}
}

// publishMetrics publishes the balancer's state of servers and lists for the management address.
func (l *Loop) publishMetrics(now float64) {
	listed, avoided := l.balancer.CountServers(now)
	l.Metrics.Servers.Store(&metrics.ServerMetrics{
		Listed: listed, Avoided: avoided, Ready: len(l.servers), ListReceived: l.listReceived,
		List: l.balancer.ListStatus(now), Zones: l.balancer.ZoneStatus(), Routes: l.Routing.Stats(),
	})
}

// fireTimers delivers the timers that are due. A timer that is set in the meantime waits for the next batch.
func (l *Loop) fireTimers(now float64) {
	for _, t := range l.timers.popDue(now) {
		l.HandleEvent(now, balance.Timer{Token: t.token})
	}
}

// handleMessage handles one message.
func (l *Loop) handleMessage(now float64, message any) {
	switch m := message.(type) {
	case clientserver.Arrival:
		l.startCall(now, m.Call)
	case clientserver.CallAbandoned:
		l.handleCallAbandoned(now, m.Call)
	case clientserver.TimeStarted:
		l.startTime(now, m.Call, m.At)
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
		l.handleAttemptDone(now, m.attempt, m.outcome)
	case healthCheckDone:
		l.HandleEvent(now, balance.HealthCheckResult{
			Server: m.server.ID, Result: m.outcome.Result, Elapsed: now - m.startedAt, Report: m.outcome.LoadReport,
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

// HandleEvent passes an event to the balancer and executes the resulting actions.
func (l *Loop) HandleEvent(now float64, event balance.Event) {
	actions, err := l.balancer.Handle(now, event)
	if err != nil {
		slog.Error("eventloop: the balancer rejected the event", "err", err)
		return
	}
	l.Execute(now, actions)
}

// checkClock notifies the balancer if the wall clock was stepped.
func (l *Loop) checkClock(now float64) {
	if step, stepped := l.clockSteps.Check(); stepped {
		l.HandleEvent(now, step)
	}
}

// updateFleetSize passes the number of processes in the fleet to the balancer, if it is known.
func (l *Loop) updateFleetSize(now float64) {
	if size, known := l.Members.Size(); known {
		l.HandleEvent(now, size)
		l.Members.SetEstimate(l.balancer.FleetSize())
	}
}
