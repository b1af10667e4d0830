package balance

import (
	"math/rand"
	"testing"
)

// world feeds one balancer random but legal events and checks rules 1 to 3 at every action.
type simulation struct {
	t            *testing.T
	rnd          *rand.Rand
	b            *Balancer
	cfg          Config
	now          float64
	servers      map[ServerID]*Server
	usable       map[ServerID]bool // may be sent to
	requests     map[RequestID]*simulatedRequest
	timers       []pendingTimer
	healthChecks []ServerID
}

type simulatedRequest struct {
	class    int
	deadline float64
	answered bool
	attempts []simulatedAttempt
}

type simulatedAttempt struct {
	localFailure bool // this machine could not send it
	server       Server
	sent         float64
	live         bool
	neverRan     bool
}

type pendingTimer struct {
	at    float64
	token uint64
}

func newSimulation(t *testing.T, rnd *rand.Rand, cfg Config) *simulation {
	w := &simulation{
		t: t, rnd: rnd, b: mustNew(t, cfg), cfg: cfg, now: 5000, servers: map[ServerID]*Server{},
		usable: map[ServerID]bool{}, requests: map[RequestID]*simulatedRequest{},
	}
	w.checkActions(w.b.Start(w.now))
	return w
}

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
		w := newSimulation(t, rnd, cfg)
		w.sendList(ListCached)
		for id := RequestID(1); id <= 1500; id++ {
			w.now += rnd.ExpFloat64() * 8
			w.fireTimers()
			w.randomEvent(id)
		}
		for w.now += 10; len(w.timers) > 0 && w.hasUnanswered(); w.now += 10 {
			w.fireTimers()
		}
		if w.hasUnanswered() {
			t.Fatalf("seed %d: a request was never answered", seed)
		}
	}
}

func (w *simulation) randomEvent(id RequestID) {
	switch n := w.rnd.Intn(20); {
	case n < 9:
		class := w.rnd.Intn(len(w.cfg.Classes))
		left := w.cfg.Classes[class].Deadline * w.rnd.Float64()
		if w.rnd.Intn(20) == 0 {
			left = 0
		}
		w.requests[id] = &simulatedRequest{class: class, deadline: w.now + left}
		w.handle(Request{ID: id, Class: class, Remaining: left})
	case n < 17:
		w.endRandomAttempt(id)
	case n < 18:
		w.sendList([]ListKind{ListFull, ListDelta, ListCached}[w.rnd.Intn(3)])
	case n < 19:
		if len(w.healthChecks) > 0 {
			s := w.healthChecks[0]
			w.healthChecks = w.healthChecks[1:]
			w.handle(HealthCheckResult{Server: s, Elapsed: 1, Report: []float32{float32(w.rnd.Intn(6)), 0, 0.5}})
		}
	default:
		gone := id - RequestID(w.rnd.Intn(20)) // may never have been or have ended: ignored then
		if o := w.requests[gone]; o != nil {
			o.answered = true
		}
		w.handle(ClientGone{Request: gone})
	}
}

// endOne ends one live attempt of some request at random.
func (w *simulation) endRandomAttempt(before RequestID) {
	for id := before; id > 0 && id+60 > before; id-- {
		o := w.requests[id]
		if o == nil {
			continue
		}
		for i := range o.attempts {
			if a := &o.attempts[i]; a.live && w.rnd.Intn(3) > 0 {
				res := []Result{
					OK, OK, OK, OK, Failed, Rejected, ConnectFailed, Reset, TimedOut, WriteFailed, LocalFailure, Unreachable,
				}[w.rnd.Intn(12)]
				a.live, a.neverRan, a.localFailure = false, res.NeverRan(), res == LocalFailure
				o.answered = o.answered || res == OK
				w.handle(Outcome{
					Request: id, Attempt: i, Server: a.server.ID, Result: res, Elapsed: w.now - a.sent, Finished: o.answered,
				})
				return
			}
		}
	}
}

func (w *simulation) sendList(kind ListKind) {
	var entries []Server
	for i := range 10 {
		id := ServerID(i + 1)
		s := w.servers[id]
		if s == nil || w.rnd.Intn(4) == 0 {
			s = &Server{ID: id, State: ServerState(w.rnd.Intn(3) % 2), Rating: 1, Cell: i % 3, Zone: i % 2, Kind: i % 2}
			if w.rnd.Intn(3) == 0 {
				s.StartedAt = w.now
			}
			w.servers[id] = s
		}
		if kind == ListDelta && w.rnd.Intn(2) == 0 {
			continue
		}
		if kind != ListDelta && w.rnd.Intn(8) == 0 {
			w.usable[id] = false
			continue
		}
		w.usable[id] = s.State == Ready
		entries = append(entries, *s)
	}
	w.handle(ServerList{Kind: kind, Servers: entries})
}

func (w *simulation) handle(ev Event) {
	acts, err := w.b.Handle(w.now, ev)
	if err != nil {
		w.t.Fatalf("%#v: %v", ev, err)
	}
	w.checkActions(acts)
}

func (w *simulation) checkActions(acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case SetTimer:
			w.timers = append(w.timers, pendingTimer{w.now + a.At, a.Token})
		case HealthCheck:
			if !w.cfg.HealthChecks {
				w.t.Fatal("probed where probes are not allowed")
			}
			w.healthChecks = append(w.healthChecks, a.Server)
		case Send:
			w.checkSend(a)
		case Reject, Fail:
			w.checkAnswer(a)
		case Cancel:
			if !w.cfg.Cancel || a.Attempt >= len(w.requests[a.Request].attempts) {
				w.t.Fatalf("cancel of %+v", a)
			}
		}
	}
}

func (w *simulation) checkSend(a Action) {
	o, c := w.requests[a.Request], w.cfg.Classes[w.requests[a.Request].class]
	switch {
	case o.answered:
		w.t.Fatalf("request %d was sent after its answer", a.Request)
	case !w.usable[a.Server]:
		w.t.Fatalf("request %d was sent to server %d, which drains or is gone", a.Request, a.Server)
	case o.countedAttempts() >= w.cfg.MaxAttempts:
		w.t.Fatalf("request %d was sent too often", a.Request)
	case len(o.attempts) >= w.cfg.MaxAttempts+maxLocalFailures:
		w.t.Fatalf("request %d was tried without end", a.Request)
	}
	to := *w.servers[a.Server]
	for _, p := range o.attempts {
		if p.live && !w.cfg.Hedging {
			w.t.Fatalf("request %d is out twice", a.Request)
		}
		if p.neverRan || c.Idempotency == Idempotent {
			continue
		}
		apart := c.KeyScope == KeyScopeCell && p.server.Cell != to.Cell || c.KeyScope == KeyScopeZone && p.server.Zone != to.Zone
		if c.Idempotency == NonIdempotent || apart || w.now >= p.sent+c.KeyWindow {
			w.t.Fatalf("request %d may have run and was sent again", a.Request)
		}
	}
	o.attempts = append(o.attempts, simulatedAttempt{server: to, sent: w.now, live: true})
}

// counted is how many attempts of a request are no failures of this machine.
func (o *simulatedRequest) countedAttempts() int {
	n := 0
	for i := range o.attempts {
		if !o.attempts[i].localFailure {
			n++
		}
	}
	return n
}

func (w *simulation) checkAnswer(a Action) {
	o, c := w.requests[a.Request], w.cfg.Classes[w.requests[a.Request].class]
	if o.answered || w.now > o.deadline+w.cfg.AnswerSlack {
		w.t.Fatalf("request %d: a second or late answer at %v, deadline %v", a.Request, w.now, o.deadline)
	}
	o.answered = true
	if a.Kind == Fail || c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.KeyScope == KeyScopeAll {
		return
	}
	for _, p := range o.attempts {
		if !p.neverRan {
			w.t.Fatalf("request %d may have run and was refused", a.Request)
		}
	}
}

// fireTimers brings the alarms that are due, each at its own time.
func (w *simulation) fireTimers() {
	end := w.now
	for {
		next := -1
		for i, p := range w.timers {
			if p.at <= end && (next < 0 || p.at < w.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		p := w.timers[next]
		w.timers = append(w.timers[:next], w.timers[next+1:]...)
		w.now = p.at
		w.handle(Timer{Token: p.token})
	}
	w.now = end
}

func (w *simulation) hasUnanswered() bool {
	for _, o := range w.requests {
		if !o.answered {
			return true
		}
	}
	return false
}

// serve answers what is out for a request, if anything is.
func (w *simulation) answer(id RequestID) {
	o := w.requests[id]
	for i := range o.attempts {
		if a := &o.attempts[i]; a.live {
			a.live, o.answered = false, true
			w.handle(Outcome{Request: id, Attempt: i, Server: a.server.ID, Elapsed: w.now - a.sent, Finished: true})
		}
	}
}
