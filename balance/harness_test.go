package balance

import "testing"

// harness passes events to a balancer and keeps all actions that it returns.
type harness struct {
	t          *testing.T
	b          *Balancer
	now        float64
	actions    []Action
	lastID     RequestID
	unanswered []RequestID // requests with a pending attempt
}

// baseConfig returns settings with one class per kind of idempotency; the constants below name the classes.
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

// newHarness starts a balancer at 1000 ms with the given servers, ranked by their IDs.
func newHarness(t *testing.T, cfg Config, servers ...Server) *harness {
	h := &harness{t: t, b: mustNew(t, cfg), now: 1000}
	h.actions = append(h.actions, h.b.Start(h.now)...)
	h.handle(ServerList{Kind: ListCached, Servers: servers})
	for _, s := range h.b.servers {
		s.currentWeight, s.rank = 0, float64(s.ID) // makes the sequence of servers predictable
	}
	h.b.dropRemovedServers() // sorts the servers by rank
	return h
}

// mustNew returns a balancer with the given settings, or fails the test.
func mustNew(t testing.TB, cfg Config) *Balancer {
	t.Helper()
	b, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// identicalServers returns n servers of equal rating with IDs from 1, two to a cell and four to a zone.
func identicalServers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Rating: 1, Cell: i / 2, Zone: i / 4}
	}
	return list
}

// handle passes an event to the balancer and returns a copy of its actions. An error fails the test.
func (h *harness) handle(event Event) []Action {
	h.t.Helper()
	actions, err := h.b.Handle(h.now, event)
	if err != nil {
		h.t.Fatalf("%#v: %v", event, err)
	}
	actions = append([]Action(nil), actions...)
	h.actions = append(h.actions, actions...)
	return actions
}

// sendRequest passes a request with its full deadline remaining, and returns its ID and the actions.
func (h *harness) sendRequest(class int) (RequestID, []Action) {
	h.t.Helper()
	h.lastID++
	return h.lastID, h.handle(Request{ID: h.lastID, Class: class, Remaining: h.b.cfg.Classes[class].Deadline})
}

// endAttempt ends an attempt with a result.
func (h *harness) endAttempt(id RequestID, attempt int, result Result, elapsed float64) []Action {
	h.t.Helper()
	s := h.b.requests[id].attempts[attempt].server
	done := result == OK || h.b.requests[id].state == requestDone
	return h.handle(Outcome{Request: id, Attempt: attempt, Server: s.ID, Result: result, Elapsed: elapsed, Finished: done})
}

// sentTo returns the server of the first Send action.
func sentTo(actions []Action) (ServerID, bool) {
	for _, a := range actions {
		if a.Kind == Send {
			return a.Server, true
		}
	}
	return 0, false
}

// hasAction reports whether the actions include one of the given kind.
func hasAction(actions []Action, kind ActionKind) bool {
	for _, a := range actions {
		if a.Kind == kind {
			return true
		}
	}
	return false
}

// findAction returns the first action of the given kind, or nil.
func findAction(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

// sendSequence sends n idempotent requests, each answered before the next, and returns their servers.
func sendSequence(h *harness, n int) []ServerID {
	var ids []ServerID
	for range n {
		id, actions := h.sendRequest(idempotentClass)
		s, ok := sentTo(actions)
		if !ok {
			h.t.Fatal("nothing was sent")
		}
		ids = append(ids, s)
		h.b.requests[id].stats.samples = 0 // these responses must not change the learned sizes
		h.endAttempt(id, 0, OK, 10)
	}
	return ids
}
