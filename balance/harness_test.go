package balance

import "testing"

// rig drives one balancer by a script of events and keeps what it asked for.
type harness struct {
	t          *testing.T
	b          *Balancer
	now        float64
	actions    []Action
	lastID     RequestID
	unanswered []RequestID // whose attempts are out
}

func baseConfig() Config {
	return Config{
		Seed: 1, Peers: 3, MaxAttempts: 4, Hedging: true, Cancel: true, RetryAfter: true, MaxRetryAfter: 1000,
		Quantum: 4, AnswerSlack: 16, SlowStartCapacity: 0.2, SlowStartTime: 20000, OverloadMultiple: 2.5, OverloadTime: 1000,
		PollInterval: 10000, DrainGrace: 2000,
		Classes: []Class{
			{Idempotency: Idempotent, LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1},
			{Idempotency: NonIdempotent, LatencyObjective: 300, Deadline: 600, PriorityWeight: 5},
			{Idempotency: IdempotentWithKey, KeyScope: KeyScopeCell, KeyWindow: 1200, LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3},
			{Idempotency: IdempotentWithKey, KeyScope: KeyScopeAll, KeyWindow: 1200, LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3},
			{Idempotency: IdempotentWithKey, KeyScope: KeyScopeZone, KeyWindow: 1200, LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3},
		},
	}
}

const (
	idempotentClass = iota
	nonIdempotentClass
	cellKeyClass
	globalKeyClass
	zoneKeyClass
)

func newHarness(t *testing.T, cfg Config, servers ...Server) *harness {
	g := &harness{t: t, b: mustNew(t, cfg), now: 1000}
	g.actions = append(g.actions, g.b.Start(g.now)...)
	g.handle(ServerList{Kind: ListCached, Servers: servers})
	for _, s := range g.b.servers {
		s.running, s.rank = 0, float64(s.ID) // the random start and order would hide the sequence
	}
	g.b.dropGone() // sorts
	return g
}

func mustNew(t testing.TB, cfg Config) *Balancer {
	t.Helper()
	b, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// fleet is n like servers with IDs from 1, two to a cell, four to a zone.
func identicalServers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Rating: 1, Cell: i / 2, Zone: i / 4}
	}
	return list
}

func (g *harness) handle(event Event) []Action {
	g.t.Helper()
	actions, err := g.b.Handle(g.now, event)
	if err != nil {
		g.t.Fatalf("%#v: %v", event, err)
	}
	actions = append([]Action(nil), actions...)
	g.actions = append(g.actions, actions...)
	return actions
}

// ask brings a request and returns its ID with what was done at once.
func (g *harness) sendRequest(class int) (RequestID, []Action) {
	g.t.Helper()
	g.lastID++
	return g.lastID, g.handle(Request{ID: g.lastID, Class: class, Remaining: g.b.cfg.Classes[class].Deadline})
}

// answer ends an attempt with a result.
func (g *harness) endAttempt(id RequestID, attempt int, result Result, elapsed float64) []Action {
	g.t.Helper()
	s := g.b.requests[id].attempts[attempt].server
	done := result == OK || g.b.requests[id].state == requestAnswered
	return g.handle(Outcome{Request: id, Attempt: attempt, Server: s.ID, Result: result, Elapsed: elapsed, Finished: done})
}

func sentTo(acts []Action) (ServerID, bool) {
	for _, a := range acts {
		if a.Kind == Send {
			return a.Server, true
		}
	}
	return 0, false
}

func hasAction(acts []Action, kind ActionKind) bool {
	for _, a := range acts {
		if a.Kind == kind {
			return true
		}
	}
	return false
}

func findAction(acts []Action, kind ActionKind) *Action {
	for i := range acts {
		if acts[i].Kind == kind {
			return &acts[i]
		}
	}
	return nil
}

// sequence sends n safe requests one after the other, each answered before the next.
func sendSequence(g *harness, n int) []ServerID {
	var ids []ServerID
	for range n {
		id, acts := g.sendRequest(idempotentClass)
		s, ok := sentTo(acts)
		if !ok {
			g.t.Fatal("nothing was sent")
		}
		ids = append(ids, s)
		g.b.requests[id].stats.samples = 0 // no learning from these answers
		g.endAttempt(id, 0, OK, 10)
	}
	return ids
}
