package route

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"marblelane/balance"
)

// The tests of this file verify the verdicts of Compare by the decisions of two balancers, which get one table as
// decoded by readers of two schemas.

// balancerPair feeds the same events to two balancers. One uses the table as decoded by the older reader, the other as
// decoded by the newer one.
type balancerPair struct {
	older, newer *balance.Balancer
	now          float64
	rng          *rand.Rand
	inFlight     []attempt
	timers       map[uint64]float64
	attempts     map[balance.RequestID]int
	next         balance.RequestID
	err          error
}

// attempt is an attempt in flight.
type attempt struct {
	request balance.RequestID
	number  int
	server  balance.ServerID
	sent    float64
}

func newBalancerPair(seed int64, tenants int) *balancerPair {
	cfg := balance.Config{
		Seed: uint64(seed), Peers: 3, MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: 1000, Quantum: 4,
		AnswerSlack: 16, SlowStartCapacity: 0.2, SlowStartTime: 20000, OverloadMultiple: 2.5, OverloadTime: 1000,
		DrainGrace: 2000,
		Tenants:    make([]balance.Tenant, tenants),
		Classes: []balance.Class{
			{Idempotency: balance.Idempotent, LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1},
			{Idempotency: balance.NonIdempotent, LatencyObjective: 300, Deadline: 600, PriorityWeight: 5},
			{Idempotency: balance.Idempotent, LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3},
		},
	}
	p := &balancerPair{
		now: 1000, rng: rand.New(rand.NewSource(seed)), timers: map[uint64]float64{}, attempts: map[balance.RequestID]int{},
	}
	for _, b := range []**balance.Balancer{&p.older, &p.newer} {
		made, err := balance.New(cfg)
		if err != nil {
			p.err = err
			return p
		}
		made.Start(p.now)
		*b = made
	}
	return p
}

// handleEach passes one event to each balancer, and reports whether both respond with the same actions. The two events
// may differ in routes only.
func (p *balancerPair) handleEach(older, newer balance.Event) bool {
	a, errA := p.older.Handle(p.now, older)
	b, errB := p.newer.Handle(p.now, newer)
	if errA != nil || errB != nil {
		p.err = fmt.Errorf("%+v: %v, %v", older, errA, errB)
		return false
	}
	if len(a) != len(b) || len(a) > 0 && !reflect.DeepEqual(a, b) {
		return false
	}
	for _, act := range a {
		switch act.Kind {
		case balance.Send:
			p.inFlight = append(p.inFlight, attempt{act.Request, p.attempts[act.Request], act.Server, p.now})
			p.attempts[act.Request]++
		case balance.SetTimer:
			p.timers[act.Token] = p.now + act.At
		}
	}
	return true
}

func (p *balancerPair) handle(ev balance.Event) bool { return p.handleEach(ev, ev) }

// start passes the servers, the routes, a canary lease and budget grants to both balancers.
func (p *balancerPair) start(servers []balance.Server, older, newer balance.Routes) bool {
	same := p.handle(balance.ServerList{Kind: balance.ListFull, Servers: servers}) && p.handleEach(older, newer) &&
		p.handle(balance.CanaryLease{Until: p.now + 1e9})
	for _, r := range append(slices.Clone(older.List), newer.List...) {
		same = same && (r.ID == 0 || p.handle(balance.BudgetGrant{ID: r.ID, Units: 1e6, MaxIdle: 1e6}))
	}
	return same
}

func (p *balancerPair) request(tenant, class int, key uint64) bool {
	p.next++
	return p.handle(balance.Request{ID: p.next, Tenant: tenant, Class: class, Remaining: 400, RouteKey: key})
}

// endAttempt ends the attempt at an index of those in flight.
func (p *balancerPair) endAttempt(i int, res balance.Result) bool {
	a := p.inFlight[i]
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
	return p.handle(balance.Outcome{
		Request: a.request, Attempt: a.number, Server: a.server, Result: res, Elapsed: p.now - a.sent,
		Finished: res == balance.OK,
	})
}

// randomEvent passes a random event to both balancers, after the timers that are due.
func (p *balancerPair) randomEvent(servers []balance.Server, older, newer balance.Routes) bool {
	p.now += p.rng.ExpFloat64() * 5
	for _, token := range slices.Sorted(maps.Keys(p.timers)) {
		if p.timers[token] <= p.now {
			delete(p.timers, token)
			if !p.handle(balance.Timer{Token: token}) {
				return false
			}
		}
	}
	results := []balance.Result{
		balance.OK, balance.OK, balance.OK, balance.OK, balance.Failed, balance.Rejected, balance.ConnectFailed, balance.TimedOut,
	}
	switch n := p.rng.Intn(100); {
	case n < 50:
		return p.request(p.rng.Intn(4)-1, p.rng.Intn(3), uint64(p.rng.Intn(40))) // key 0: the balancer uses its own sequence
	case n < 92:
		return len(p.inFlight) == 0 || p.endAttempt(p.rng.Intn(len(p.inFlight)), results[p.rng.Intn(len(results))])
	case n < 95:
		s := servers[p.rng.Intn(len(servers))]
		s.State = balance.ServerState(p.rng.Intn(2))
		return p.handle(balance.ServerList{Kind: balance.ListDelta, Servers: []balance.Server{s}})
	case n < 97:
		return p.handle(balance.CanaryLease{Until: p.now + float64(p.rng.Intn(400))})
	case n < 98:
		return p.handle(balance.ClientDisconnected{Request: p.next})
	case n < 99 && len(newer.List) > 0:
		units, id := int64(p.rng.Intn(100)), newer.List[p.rng.Intn(len(newer.List))].ID
		return id == 0 || p.handle(balance.BudgetGrant{ID: id, Units: 1e6 + units, MaxIdle: units})
	}
	return p.handleEach(older, newer)
}

// differOnRandomEvents reports whether decisions differ between the two readings on random events of all kinds.
func differOnRandomEvents(seed int64, names NameIndexes, servers []balance.Server, older, newer balance.Routes) (bool, error) {
	p := newBalancerPair(seed, len(names.Tenants))
	same := p.err == nil && p.start(servers, older, newer)
	for range 400 {
		same = same && p.randomEvent(servers, older, newer)
	}
	return !same, p.err
}

// differOnRequests reports whether decisions differ between the two readings on n requests of one tenant and class, all
// of which succeed.
func differOnRequests(
	n uint64, tenant, class int, names NameIndexes, servers []balance.Server, older, newer balance.Routes,
) (bool, error) {
	p := newBalancerPair(1, len(names.Tenants))
	same := p.err == nil && p.start(servers, older, newer)
	for key := uint64(1); same && key <= n; key++ {
		p.now += 10
		same = p.request(tenant, class, key)
		for same && len(p.inFlight) > 0 {
			p.now++
			same = p.endAttempt(0, balance.OK)
		}
	}
	return !same, p.err
}

// allNames returns settings with all names of drawTable except the class "lost". No table has their class "other".
func allNames() NameIndexes {
	n := testNames()
	n.Tenants["nobody"], n.Zones["mars"], n.Kinds["m9"] = 3, 2, 2
	return n
}

// serversFor returns servers of each zone, model and cell. One of them matches the canary subset.
func serversFor(n NameIndexes, canary Subset) []balance.Server {
	list := []balance.Server{}
	for zone := range len(n.Zones) {
		for kind := range len(n.Kinds) {
			for cell := range 2 {
				uid := fmt.Sprintf("u%d", len(list)+1)
				list = append(list, balance.Server{ID: serverID(uid), Rating: 1, Cell: cell, Zone: zone, Kind: kind})
			}
		}
	}
	if len(canary.UID) > 0 {
		s := &list[slices.IndexFunc(list, func(s balance.Server) bool { return s.ID == serverID(canary.UID[0]) })]
		for _, name := range canary.Zone {
			s.Zone = n.Zones[name]
		}
		for _, name := range canary.Model {
			s.Kind = n.Kinds[name]
		}
		for _, cell := range canary.PodGroup {
			s.Cell = cell
		}
	}
	return list
}

// readings returns a table as decoded by readers of schemas 1 and 2, from a document in the schema that the verdict
// requires. For DifferentReading the document is altered so that the older reader accepts it despite unknown fields.
func readings(t *Table, v Verdict, fields []Field) (older, newer *Table, err error) {
	text, err := write(t, 2, fields)
	if err != nil {
		return nil, nil, err
	}
	if newer, err = Read(2, text); err != nil {
		return nil, nil, err
	}
	switch v {
	case SameWhenDowngraded:
		if text, err = write(t, 1, fields); err != nil {
			return nil, nil, err
		}
	case DifferentReading:
		text = bytes.Replace(text, []byte(`"reads":2`), []byte(`"reads":1`), 1)
	}
	older, err = Read(1, text)
	return older, newer, err
}

// checkVerdict checks the verdict on a table by comparing the decisions with both readings.
func checkVerdict(t *Table, fields []Field, seed int64) error {
	v, found := compare(t, 1, fields)
	a, b, err := readings(t, v, fields)
	if err != nil {
		return fmt.Errorf("%v: %w", v, err)
	}
	if v == DifferentReading {
		return checkDifferentReading(a, b, found)
	}
	for i, names := range []NameIndexes{testNames(), allNames()} {
		older, _ := Bind(a, names)
		newer, _ := Bind(b, names)
		differ, err := differOnRandomEvents(seed, names, serversFor(names, Subset{}), older, newer)
		for j := 0; err == nil && !differ && j < len(b.Routes); j++ { // requests on which different readings would differ
			if tenant, known := names.Tenants[b.Routes[j].Tenant]; known {
				servers := serversFor(allNames(), b.Routes[j].Canary)
				differ, err = differOnRequests(200, tenant, names.Classes["other"], names, servers, older, newer)
			}
		}
		if err != nil || differ {
			return fmt.Errorf("%w: %v with names %d, but decisions differ: %v", errWrongVerdict, v, i, err)
		}
	}
	return nil
}

var errWrongVerdict = errors.New("wrong verdict")

func checkDifferentReading(a, b *Table, found []Finding) error {
	names := allNames()
	older, _ := Bind(a, names)
	newer, _ := Bind(b, names)
	for _, f := range found {
		var i int
		if _, err := fmt.Sscanf(f.Path, "routes[%d]", &i); err != nil {
			return fmt.Errorf("%s: %w", f.Path, err)
		}
		r := b.Routes[i]
		differ, err := differOnRequests(2000, names.Tenants[r.Tenant], names.Classes["other"], names, serversFor(names, r.Canary),
			older, newer)
		if err != nil || !differ {
			return fmt.Errorf("%w: %s: DifferentReading, but decisions are the same: %v", errWrongVerdict, f.Path, err)
		}
	}
	return nil
}

func TestCompare_decisions(t *testing.T) {
	seen := map[Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		table, seed := drawTable(t), rapid.Int64Range(1, 1<<40).Draw(t, "seed")
		v, _ := Compare(table, 1)
		seen[v]++
		if err := checkVerdict(table, DeclaredFields(), seed); err != nil {
			t.Fatalf("%+v: %v", table.Routes, err)
		}
	})
	if seen[SameReading] == 0 || seen[SameWhenDowngraded] == 0 || seen[DifferentReading] == 0 || seen[NoReading] > 0 {
		t.Errorf("tables by verdict: %v", seen)
	}
}

// TestCompare_wrongDeclarations declares a field wrongly as ignorable, one wrongly as affecting decisions, and one
// wrongly as unused. checkVerdict must detect each by the decisions of the balancers.
func TestCompare_wrongDeclarations(t *testing.T) {
	plant := func(path string, change func(f *Field)) []Field {
		fields := DeclaredFields()
		change(&fields[slices.IndexFunc(fields, func(f Field) bool { return f.Path == path })])
		return fields
	}
	canary := Route{Tenant: "a", Canary: Subset{Zone: []string{"east"}}, Share: 0.5, Rollout: "r", Classes: []string{"gold"}}
	noted := Route{Tenant: "a", Canary: Subset{Zone: []string{"east"}}, Share: 0.5, Rollout: "r", Note: "n"}
	for name, c := range map[string]struct {
		route  Route
		fields []Field
	}{
		"classes may be ignored":    {canary, plant("routes[].classes", func(f *Field) { f.Rule = Ignorable })},
		"classes are always unused": {canary, plant("routes[].classes", func(f *Field) { f.unused = func(*Route) bool { return true } })},
		"a note matters":            {noted, plant("routes[].note", func(f *Field) { f.Rule = MustUnderstand })},
	} {
		table := &Table{Rev: 2, Routes: []Route{c.route}}
		if err := checkVerdict(table, DeclaredFields(), 1); err != nil {
			t.Errorf("as declared: %v", err)
		}
		if err := checkVerdict(table, c.fields, 1); !errors.Is(err, errWrongVerdict) {
			t.Errorf("%s: not detected: %v", name, err)
		}
	}
}
