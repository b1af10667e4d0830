package balance

import (
	"math/rand"
	"slices"
	"testing"
)

// simulation sends random but valid events to one balancer and checks each action. No attempt may follow the final
// response, go to an unusable server, exceed the attempt limit, or follow one that may have run where that is not
// allowed. Each request gets one final response in time.
type simulation struct {
	t            *testing.T
	rnd          *rand.Rand
	b            *Balancer
	cfg          Config
	now          float64
	servers      map[ServerID]*Server
	usable       map[ServerID]bool // servers that may get requests
	requests     map[RequestID]*simulatedRequest
	timers       []pendingTimer
	healthChecks []ServerID
}

// simulatedRequest is the state of a request in the simulation.
type simulatedRequest struct {
	class    int
	deadline float64
	done     bool
	attempts []simulatedAttempt
}

// simulatedAttempt is the state of an attempt in the simulation.
type simulatedAttempt struct {
	localFailure bool // ended with LocalFailure
	server       Server
	sent         float64
	live         bool
	neverRan     bool
}

// pendingTimer is a timer that has not fired yet.
type pendingTimer struct {
	at    float64
	token uint64
}

// newSimulation starts a balancer at 5000 ms.
func newSimulation(t *testing.T, rnd *rand.Rand, cfg Config) *simulation {
	sim := &simulation{
		t: t, rnd: rnd, b: mustNew(t, cfg), cfg: cfg, now: 5000, servers: map[ServerID]*Server{},
		usable: map[ServerID]bool{}, requests: map[RequestID]*simulatedRequest{},
	}
	sim.checkActions(sim.b.Start(sim.now))
	return sim
}

// Random sequences of events, for 40 seeds and several settings, satisfy the checks of simulation, and each request gets
// a final response.
func TestEvents_randomSequences(t *testing.T) {
	for seed := range int64(40) {
		rnd := rand.New(rand.NewSource(seed))
		cfg := baseConfig()
		cfg.Seed = uint64(seed)
		cfg.Hedging, cfg.Cancel = seed%2 == 0, seed%3 != 0
		cfg.MaxAttempts = 1 + int(seed%4)
		cfg.Subscribe = seed%5 == 0
		if seed%4 == 1 {
			cfg.HealthChecks, cfg.Reports, cfg.Fields = true, ReportHealthCheck, []Field{FieldInFlight, FieldQueue, FieldUtil}
		}
		sim := newSimulation(t, rnd, cfg)
		sim.sendList(ListCached)
		for id := RequestID(1); id <= 1500; id++ {
			sim.now += rnd.ExpFloat64() * 8
			sim.fireTimers()
			sim.randomEvent(id)
		}
		for sim.now += 10; len(sim.timers) > 0 && sim.hasOpenRequests(); sim.now += 10 {
			sim.fireTimers()
		}
		if sim.hasOpenRequests() {
			t.Fatalf("seed %d: a request got no final response", seed)
		}
	}
}

// randomEvent sends one event: a request with this ID, an outcome, a list, a health check result or a disconnected
// client.
func (sim *simulation) randomEvent(id RequestID) {
	switch n := sim.rnd.Intn(20); {
	case n < 9:
		class := sim.rnd.Intn(len(sim.cfg.Classes))
		remaining := sim.cfg.Classes[class].Deadline * sim.rnd.Float64()
		if sim.rnd.Intn(20) == 0 {
			remaining = 0
		}
		sim.requests[id] = &simulatedRequest{class: class, deadline: sim.now + remaining}
		sim.handle(Request{ID: id, Class: class, Remaining: remaining})
	case n < 17:
		sim.endRandomAttempt(id)
	case n < 18:
		sim.sendList([]ListKind{ListFull, ListDelta, ListCached}[sim.rnd.Intn(3)])
	case n < 19:
		if len(sim.healthChecks) > 0 {
			s := sim.healthChecks[0]
			sim.healthChecks = sim.healthChecks[1:]
			sim.handle(HealthCheckResult{Server: s, Elapsed: 1, Report: []float32{float32(sim.rnd.Intn(6)), 0, 0.5}})
		}
	default:
		target := id - RequestID(sim.rnd.Intn(20)) // an unknown or ended request is ignored
		if r := sim.requests[target]; r != nil {
			r.done = true
		}
		sim.handle(ClientDisconnected{Request: target})
	}
}

// endRandomAttempt ends one attempt in flight of a recent request with a random result.
func (sim *simulation) endRandomAttempt(before RequestID) {
	for id := before; id > 0 && id+60 > before; id-- {
		r := sim.requests[id]
		if r == nil {
			continue
		}
		for i := range r.attempts {
			if a := &r.attempts[i]; a.live && sim.rnd.Intn(3) > 0 {
				result := []Result{
					OK, OK, OK, OK, Failed, Rejected, ConnectFailed, Reset, TimedOut, WriteFailed, LocalFailure, Unreachable,
				}[sim.rnd.Intn(12)]
				a.live, a.neverRan, a.localFailure = false, result.NeverRan(), result == LocalFailure
				r.done = r.done || result == OK
				sim.handle(Outcome{
					Request: id, Attempt: i, Server: a.server.ID, Result: result, Elapsed: sim.now - a.sent, Finished: r.done,
				})
				return
			}
		}
	}
}

// sendList sends a list in which some servers have changed and some are omitted.
func (sim *simulation) sendList(kind ListKind) {
	var entries []Server
	for i := range 10 {
		id := ServerID(i + 1)
		s := sim.servers[id]
		if s == nil || sim.rnd.Intn(4) == 0 {
			s = &Server{ID: id, State: ServerState(sim.rnd.Intn(3) % 2), Rating: 1, Cell: i % 3, Zone: i % 2, Kind: i % 2}
			if sim.rnd.Intn(3) == 0 {
				s.StartedAt = sim.now
			}
			sim.servers[id] = s
		}
		if kind == ListDelta && sim.rnd.Intn(2) == 0 {
			continue
		}
		if kind != ListDelta && sim.rnd.Intn(8) == 0 {
			sim.usable[id] = false
			continue
		}
		sim.usable[id] = s.State == Ready
		entries = append(entries, *s)
	}
	sim.handle(ServerList{Kind: kind, Servers: entries})
}

// handle sends an event to the balancer and checks the actions.
func (sim *simulation) handle(ev Event) {
	actions, err := sim.b.Handle(sim.now, ev)
	if err != nil {
		sim.t.Fatalf("%#v: %v", ev, err)
	}
	sim.checkActions(actions)
}

// checkActions checks each action and records timers, health checks and attempts.
func (sim *simulation) checkActions(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			sim.timers = append(sim.timers, pendingTimer{sim.now + a.At, a.Token})
		case HealthCheck:
			if !sim.cfg.HealthChecks {
				sim.t.Fatal("health check without Config.HealthChecks")
			}
			sim.healthChecks = append(sim.healthChecks, a.Server)
		case Send:
			sim.checkSend(a)
		case Reject, Fail:
			sim.checkFinalResponse(a)
		case Cancel:
			if !sim.cfg.Cancel || a.Attempt >= len(sim.requests[a.Request].attempts) {
				sim.t.Fatalf("invalid cancellation: %+v", a)
			}
		}
	}
}

// checkSend checks that an attempt is allowed.
func (sim *simulation) checkSend(a Action) {
	r, class := sim.requests[a.Request], sim.cfg.Classes[sim.requests[a.Request].class]
	switch {
	case r.done:
		sim.t.Fatalf("request %d was sent after its final response", a.Request)
	case !sim.usable[a.Server]:
		sim.t.Fatalf("request %d was sent to server %d, which is draining or removed", a.Request, a.Server)
	case r.countedAttempts() >= sim.cfg.MaxAttempts:
		sim.t.Fatalf("request %d has more attempts than allowed", a.Request)
	case len(r.attempts) >= sim.cfg.MaxAttempts+maxLocalFailures:
		sim.t.Fatalf("request %d has too many local failures", a.Request)
	}
	to := *sim.servers[a.Server]
	for _, p := range r.attempts {
		if p.live && !sim.cfg.Hedging {
			sim.t.Fatalf("request %d has two attempts in flight without Config.Hedging", a.Request)
		}
		if p.neverRan || class.Idempotency == Idempotent {
			continue
		}
		keyUnknown := class.KeyScope == KeyScopeCell && p.server.Cell != to.Cell || class.KeyScope == KeyScopeZone && p.server.Zone != to.Zone
		if class.Idempotency == NonIdempotent || keyUnknown || sim.now >= p.sent+class.KeyWindow {
			sim.t.Fatalf("request %d may have run and was sent again", a.Request)
		}
	}
	r.attempts = append(r.attempts, simulatedAttempt{server: to, sent: sim.now, live: true})
}

// countedAttempts returns the number of attempts without local failures.
func (r *simulatedRequest) countedAttempts() int {
	n := 0
	for i := range r.attempts {
		if !r.attempts[i].localFailure {
			n++
		}
	}
	return n
}

// checkFinalResponse checks that a final response is the first one and in time, and that it rejects only a request that
// cannot have run or may be repeated.
func (sim *simulation) checkFinalResponse(a Action) {
	r, class := sim.requests[a.Request], sim.cfg.Classes[sim.requests[a.Request].class]
	if r.done || sim.now > r.deadline+sim.cfg.AnswerSlack {
		sim.t.Fatalf("request %d: second or late final response at %v, deadline %v", a.Request, sim.now, r.deadline)
	}
	r.done = true
	if a.Kind == Fail || class.Idempotency == Idempotent || class.Idempotency == IdempotentWithKey && class.KeyScope == KeyScopeAll {
		return
	}
	for _, p := range r.attempts {
		if !p.neverRan {
			sim.t.Fatalf("request %d may have run and was rejected", a.Request)
		}
	}
}

// fireTimers fires the timers that are due, each at its own time.
func (sim *simulation) fireTimers() { fireDueTimers(&sim.timers, &sim.now, sim.handle) }

// fireDueTimers fires the timers that are due, the earliest first, with the clock set to the time of each. It also fires
// due timers that are set meanwhile.
func fireDueTimers(timers *[]pendingTimer, now *float64, handle func(Event)) {
	end := *now
	for {
		next := -1
		for i, p := range *timers {
			if p.at <= end && (next < 0 || p.at < (*timers)[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		p := (*timers)[next]
		*timers = slices.Delete(*timers, next, next+1)
		*now = p.at
		handle(Timer{Token: p.token})
	}
	*now = end
}

// hasOpenRequests reports whether a request has no final response yet.
func (sim *simulation) hasOpenRequests() bool {
	for _, r := range sim.requests {
		if !r.done {
			return true
		}
	}
	return false
}

// respond ends the attempts in flight of a request with OK.
func (sim *simulation) respond(id RequestID) {
	r := sim.requests[id]
	for i := range r.attempts {
		if a := &r.attempts[i]; a.live {
			a.live, r.done = false, true
			sim.handle(Outcome{Request: id, Attempt: i, Server: a.server.ID, Elapsed: sim.now - a.sent, Finished: true})
		}
	}
}
