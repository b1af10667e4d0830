package balance

import "math"

// Timer tokens of the endpoint list. The timer of a request has the request's ID as its token, which is below 2^52.
const (
	listRetryTimer = 1<<60 + iota
	serviceCheckTimer
	stalledWatchTimer
	suspectTimer
)

// Balancer balances the requests of one sidecar. It holds one component per kind of decision, dispatches events to the
// components and returns their actions. It is not safe for concurrent use.
type Balancer struct {
	*shared
	demand    *demand
	admission *admission
	slowStart *slowStart
	capacity  *capacityModel
	locality  *locality
	clock     *wallClock
	list      *endpointList
	outliers  *outlierDetector
	health    *healthChecker
	picker    *picker
	canary    *canaryRouter
	retry     *retryPolicy

	requests     map[RequestID]*request // without a final response, or with attempts in flight
	shuttingDown bool                   // this process ends: no request is sent any more
}

// New returns a balancer with the given settings. Call Start before Handle. The balancer retains the slices of cfg,
// which must not change afterwards. The error for invalid settings is a *ConfigError.
func New(cfg Config) (*Balancer, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := newShared(cfg)
	demand := newDemand(s)
	admission := newAdmission(s, demand)
	slowStart := newSlowStart(s, admission)
	capacity := newCapacityModel(s, slowStart)
	locality := &locality{shared: s, admission: admission, demand: demand}
	clock := &wallClock{shared: s}
	list := &endpointList{
		shared: s, locality: locality, slowStart: slowStart, clock: clock, confirmedAt: math.Inf(-1),
	}
	outliers := &outlierDetector{shared: s, locality: locality, capacity: capacity, list: list}
	health := &healthChecker{shared: s, outliers: outliers, busyFraction: 1}
	picker := &picker{
		shared: s, demand: demand, slowStart: slowStart, capacity: capacity, locality: locality, outliers: outliers,
		reports: health,
	}
	return &Balancer{
		shared: s, demand: demand, admission: admission, slowStart: slowStart, capacity: capacity, locality: locality,
		clock: clock, list: list, outliers: outliers, health: health, picker: picker,
		canary:   &canaryRouter{shared: s, picker: picker},
		retry:    &retryPolicy{shared: s, admission: admission, health: health},
		requests: map[RequestID]*request{},
	}, nil
}

// Start returns the initial actions. They are valid until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.startEvent(now)
	b.started = now
	b.list.start()
	return b.actions
}

// Handle processes one event and returns the resulting actions, which are valid until the next call. For an invalid
// event it returns an *EventError and leaves the balancer unchanged.
func (b *Balancer) Handle(now float64, ev Event) ([]Action, error) {
	b.startEvent(now)
	err := b.dispatch(ev)
	if b.list.hasRemovedServers {
		b.list.hasRemovedServers = false
		b.dropRemovedServers()
	}
	return b.actions, err
}

func (b *Balancer) dispatch(ev Event) error {
	switch ev := ev.(type) {
	case Request:
		return b.onRequest(ev)
	case BodyComplete:
		b.onBodyComplete(ev)
	case Connecting:
		b.onConnecting(ev)
	case ResponseStarted:
		b.onResponseStarted(ev)
	case Outcome:
		return b.onOutcome(ev)
	case ClientDisconnected:
		b.onClientDisconnected(ev)
	case Timer:
		b.onTimer(ev)
	case HealthCheckResult:
		if b.health.onResult(ev) {
			b.health.advanceWaiting(b.advance)
		}
	case ConnectionReady:
		b.outliers.onConnectionReady(ev)
	case ServerList:
		b.onList(ev)
	case ListServices:
		b.list.onListServices(ev)
	case ClockStepped:
		b.clock.onClockStepped(ev)
	case ProcessCount:
		b.slowStart.onProcessCount(ev)
	case FleetSize:
		b.slowStart.onFleetSize(ev)
	case Routes:
		return b.canary.onRoutes(ev)
	case CanaryLease:
		return b.canary.onCanaryLease(ev)
	case BudgetGrant:
		return b.canary.onBudgetGrant(ev)
	case Shutdown:
		b.onShutdown()
	}
	return nil
}

func (b *Balancer) onTimer(ev Timer) {
	switch ev.Token {
	case listRetryTimer:
		b.list.updateStaleness()
		b.list.watch()
		return
	case serviceCheckTimer:
		b.list.updateStaleness()
		b.list.checkService()
		return
	case stalledWatchTimer:
		b.list.onStalledWatchTimer()
		return
	case suspectTimer:
		b.list.onSuspectTimer()
		return
	}
	if r := b.requests[RequestID(ev.Token)]; r != nil {
		r.wakeAt = math.Inf(1) // not compared with the clock, as a timer may fire a rounding error too early
		b.advance(r)
	}
}

func (b *Balancer) onList(ev ServerList) {
	if b.list.onServerList(ev) {
		b.picker.allowForNewServers()
		b.canary.onServersChanged()
	}
}

// dropRemovedServers deletes the state of removed servers.
func (b *Balancer) dropRemovedServers() {
	b.list.dropRemoved()
	b.canary.onServersChanged()
}
