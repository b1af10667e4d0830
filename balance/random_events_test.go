package balance

import (
	"math/rand"
	"slices"
	"testing"
)

// simulation feeds one balancer random but legal events and checks each action: no attempt after the answer, at
// servers that may not be used, beyond the attempt limit, or where an earlier one may have run; one answer in time.
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

// simulatedRequest is what the simulation knows of a request.
type simulatedRequest struct {
	class    int
	deadline float64
	answered bool
	attempts []simulatedAttempt
}

// simulatedAttempt is what the simulation knows of an attempt.
type simulatedAttempt struct {
	localFailure bool // a failure of this machine
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

// Random sequences of events keep the rules of simulation for 40 seeds and several settings, and each request gets an
// answer.
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
		for sim.now += 10; len(sim.timers) > 0 && sim.hasUnanswered(); sim.now += 10 {
			sim.fireTimers()
		}
		if sim.hasUnanswered() {
			t.Fatalf("seed %d: a request was never answered", seed)
		}
	}
}

// randomEvent brings one event: a request with this ID, an outcome, a list, a health check result or a client that
// leaves.
func (sim *simulation) randomEvent(id RequestID) {
	switch n := sim.rnd.Intn(20); {
	case n < 9:
		class := sim.rnd.Intn(len(sim.cfg.Classes))
		left := sim.cfg.Classes[class].Deadline * sim.rnd.Float64()
		if sim.rnd.Intn(20) == 0 {
			left = 0
		}
		sim.requests[id] = &simulatedRequest{class: class, deadline: sim.now + left}
		sim.handle(Request{ID: id, Class: class, Remaining: left})
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
		left := id - RequestID(sim.rnd.Intn(20)) // an unknown or ended request is ignored
		if r := sim.requests[left]; r != nil {
			r.answered = true
		}
		sim.handle(ClientDisconnected{Request: left})
	}
}

// endRandomAttempt ends one pending attempt of a recent request with a random result.
func (sim *simulation) endRandomAttempt(before RequestID) {
	for id := before; id > 0 && id+60 > before; id-- {
		r := sim.requests[id]
		if r == nil {
			continue
		}
		for i := range r.attempts {
			if a := &r.attempts[i]; a.live && sim.rnd.Intn(3) > 0 {
				res := []Result{
					OK, OK, OK, OK, Failed, Rejected, ConnectFailed, Reset, TimedOut, WriteFailed, LocalFailure, Unreachable,
				}[sim.rnd.Intn(12)]
				a.live, a.neverRan, a.localFailure = false, res.NeverRan(), res == LocalFailure
				r.answered = r.answered || res == OK
				sim.handle(Outcome{
					Request: id, Attempt: i, Server: a.server.ID, Result: res, Elapsed: sim.now - a.sent, Finished: r.answered,
				})
				return
			}
		}
	}
}

// sendList brings a list in which some servers have changed and some are missing.
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

// handle brings an event and checks the actions.
func (sim *simulation) handle(ev Event) {
	acts, err := sim.b.Handle(sim.now, ev)
	if err != nil {
		sim.t.Fatalf("%#v: %v", ev, err)
	}
	sim.checkActions(acts)
}

// checkActions checks each action and notes what has to be answered.
func (sim *simulation) checkActions(acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case SetTimer:
			sim.timers = append(sim.timers, pendingTimer{sim.now + a.At, a.Token})
		case HealthCheck:
			if !sim.cfg.HealthChecks {
				sim.t.Fatal("a health check without Config.HealthChecks")
			}
			sim.healthChecks = append(sim.healthChecks, a.Server)
		case Send:
			sim.checkSend(a)
		case Reject, Fail:
			sim.checkAnswer(a)
		case Cancel:
			if !sim.cfg.Cancel || a.Attempt >= len(sim.requests[a.Request].attempts) {
				sim.t.Fatalf("cancel of %+v", a)
			}
		}
	}
}

// checkSend checks that an attempt is allowed.
func (sim *simulation) checkSend(a Action) {
	r, class := sim.requests[a.Request], sim.cfg.Classes[sim.requests[a.Request].class]
	switch {
	case r.answered:
		sim.t.Fatalf("request %d was sent after its answer", a.Request)
	case !sim.usable[a.Server]:
		sim.t.Fatalf("request %d was sent to server %d, which is draining or gone", a.Request, a.Server)
	case r.countedAttempts() >= sim.cfg.MaxAttempts:
		sim.t.Fatalf("request %d has more attempts than allowed", a.Request)
	case len(r.attempts) >= sim.cfg.MaxAttempts+maxLocalFailures:
		sim.t.Fatalf("request %d has too many local failures", a.Request)
	}
	to := *sim.servers[a.Server]
	for _, p := range r.attempts {
		if p.live && !sim.cfg.Hedging {
			sim.t.Fatalf("request %d has two attempts in flight without hedging", a.Request)
		}
		if p.neverRan || class.Idempotency == Idempotent {
			continue
		}
		apart := class.KeyScope == KeyScopeCell && p.server.Cell != to.Cell || class.KeyScope == KeyScopeZone && p.server.Zone != to.Zone
		if class.Idempotency == NonIdempotent || apart || sim.now >= p.sent+class.KeyWindow {
			sim.t.Fatalf("request %d may have run and was sent again", a.Request)
		}
	}
	r.attempts = append(r.attempts, simulatedAttempt{server: to, sent: sim.now, live: true})
}

// countedAttempts returns the attempts that are no failures of this machine.
func (r *simulatedRequest) countedAttempts() int {
	n := 0
	for i := range r.attempts {
		if !r.attempts[i].localFailure {
			n++
		}
	}
	return n
}

// checkAnswer checks that an answer is the first one, is in time, and rejects only what cannot have run.
func (sim *simulation) checkAnswer(a Action) {
	r, class := sim.requests[a.Request], sim.cfg.Classes[sim.requests[a.Request].class]
	if r.answered || sim.now > r.deadline+sim.cfg.AnswerSlack {
		sim.t.Fatalf("request %d: a second or late answer at %v, deadline %v", a.Request, sim.now, r.deadline)
	}
	r.answered = true
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

// fireDueTimers hands over the timers that are due, the earliest first. The clock stands at each one's time meanwhile;
// timers that are set meanwhile and are due are fired too.
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

// hasUnanswered reports whether a request has no answer yet.
func (sim *simulation) hasUnanswered() bool {
	for _, r := range sim.requests {
		if !r.answered {
			return true
		}
	}
	return false
}

// answer ends a request's pending attempts with OK.
func (sim *simulation) answer(id RequestID) {
	r := sim.requests[id]
	for i := range r.attempts {
		if a := &r.attempts[i]; a.live {
			a.live, r.answered = false, true
			sim.handle(Outcome{Request: id, Attempt: i, Server: a.server.ID, Elapsed: sim.now - a.sent, Finished: true})
		}
	}
}
