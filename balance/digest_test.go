package balance

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
	"math/rand"
	"runtime"
	"testing"
)

// wantDigest is the SHA-256 of all actions of TestActionDigest. It changes if and only if a decision changes, so a pure
// refactoring keeps it.
const wantDigest = "11be903de6e33704fcd380a0c12e45e67196b45b5921888b2bce5e44490d0362"

// The digest covers digestRuns seeded runs of digestSteps events each.
const (
	digestRuns  = 24
	digestSteps = 4000
)

// digestDriver sends random events of every type to one balancer and hashes the returned actions.
type digestDriver struct {
	t            *testing.T
	rnd          *rand.Rand
	sum          hash.Hash
	b            *Balancer
	cfg          Config
	now          float64
	rev          int64
	live         []digestAttempt
	streaming    []RequestID // requests whose body is still arriving
	timers       []pendingTimer
	healthChecks []ServerID
	sends        map[RequestID]int
}

// digestAttempt is an attempt in flight.
type digestAttempt struct {
	request RequestID
	number  int
	server  ServerID
	sent    float64
}

// TestActionDigest sends random events from fixed seeds to balancers with different settings and compares the hash of all
// their actions and status values.
func TestActionDigest(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("other architectures may fuse floating-point operations, which changes last digits")
	}
	sum := sha256.New()
	for seed := range int64(digestRuns) {
		d := &digestDriver{
			t: t, rnd: rand.New(rand.NewSource(seed)), sum: sum, cfg: digestConfig(seed), now: 5000,
			sends: map[RequestID]int{},
		}
		d.b = mustNew(t, d.cfg)
		d.record(d.b.Start(d.now))
		d.sendList()
		for id := RequestID(1); id <= digestSteps; id++ {
			d.now += d.rnd.ExpFloat64() * 6
			if d.rnd.Intn(digestSteps/2) == 0 {
				d.now += 2 * idleTime
			}
			d.fireTimers()
			d.step(id)
			if id%100 == 0 {
				d.status()
			}
		}
		d.now += 2 * maxSuspectTime
		d.fireTimers()
		d.handle(Shutdown{})
		d.status()
	}
	got := hex.EncodeToString(sum.Sum(nil))
	t.Logf("digest of all actions: %s", got)
	if got != wantDigest {
		t.Errorf("digest %s, want %s: a decision of the balancer has changed", got, wantDigest)
	}
}

// digestConfig varies the settings by seed, so that each kind of decision occurs in some run.
func digestConfig(seed int64) Config {
	cfg := baseConfig()
	cfg.Seed, cfg.Number = uint64(seed), int(seed%3)
	cfg.Cancel, cfg.MaxAttempts, cfg.Subscribe = seed%3 != 0, 1+int(seed%4), seed%5 != 0
	cfg.ConnectTimeout = 100
	cfg.Tenants = []Tenant{{Allowance: 50, Quota: 0.5}, {Allowance: 50, Quota: 0.2}}
	cfg.Goal = Goal{Overall: 0.5, WorstWindow: 0.2, WorstClass: 0.2, WorstTenant: 0.1}
	cfg.OverQuotaWeight = 0.3
	switch seed % 4 {
	case 1:
		cfg.HealthChecks, cfg.Reports, cfg.Fields = true, ReportHealthCheck, []Field{FieldInFlight, FieldQueue, FieldLatency}
	case 2:
		cfg.Reports, cfg.Fields = ReportPiggyback, []Field{FieldInFlight, FieldQueue, FieldLatency}
	}
	if seed%2 == 0 {
		cfg.Prices.CrossZone, cfg.Regions, cfg.RegionCost = 0.05, []int{0, 0, 1, 1}, 2
	}
	if seed%3 == 1 {
		cfg.ListServices, cfg.SuspectFraction, cfg.StaleAfter, cfg.MaxPollBackoff = 3, 0.2, 40, 4500
	}
	return cfg
}

// step sends one event: a request with this ID, an outcome, a list, a health check result, a disconnected client, or a
// rarer event.
func (d *digestDriver) step(id RequestID) {
	switch n := d.rnd.Intn(40); {
	case n < 16:
		d.sendRequest(id)
	case n < 30:
		d.endAttempt()
	case n < 32:
		d.sendList()
	case n < 34:
		if len(d.healthChecks) > 0 {
			s := d.healthChecks[0]
			d.healthChecks = d.healthChecks[1:]
			d.handle(HealthCheckResult{Server: s, Result: []Result{OK, OK, OK, TimedOut}[d.rnd.Intn(4)], Elapsed: 1, Report: d.report()})
		}
	case n < 35:
		d.handle(ClientDisconnected{Request: id - RequestID(d.rnd.Intn(20))})
	default:
		d.rareEvent()
	}
}

// sendRequest sends a request of a random class and tenant.
func (d *digestDriver) sendRequest(id RequestID) {
	class := d.rnd.Intn(len(d.cfg.Classes))
	r := Request{
		ID: id, Class: class, Tenant: d.rnd.Intn(3) - 1, Remaining: d.cfg.Classes[class].Deadline * d.rnd.Float64(),
		IdempotencyKey: uint64(d.rnd.Intn(50)), BodyStreaming: d.rnd.Intn(12) == 0, RouteKey: uint64(d.rnd.Intn(20)),
	}
	if r.BodyStreaming {
		d.streaming = append(d.streaming, id)
	}
	d.handle(r)
}

// report returns a random load report.
func (d *digestDriver) report() []float32 {
	return []float32{float32(d.rnd.Intn(6)), float32(d.rnd.Intn(4)), float32(d.rnd.Intn(200))}
}

// endAttempt ends one of the oldest attempts in flight with a random result.
func (d *digestDriver) endAttempt() {
	if len(d.live) == 0 {
		return
	}
	i := d.rnd.Intn(min(len(d.live), 6))
	a := d.live[i]
	d.live = append(d.live[:i:i], d.live[i+1:]...)
	result := []Result{
		OK, OK, OK, OK, OK, OK, OK, OK, Failed, Rejected, ConnectFailed, Reset, TimedOut, WriteFailed, LocalFailure,
		Unreachable, Cancelled, NotSent,
	}[d.rnd.Intn(18)]
	d.handle(Outcome{
		Request: a.request, Attempt: a.number, Server: a.server, Result: result, Elapsed: d.now - a.sent,
		Finished: result == OK, Report: d.report(), BodyConsumed: d.rnd.Intn(30) == 0, RouteRevoked: d.rnd.Intn(40) == 0,
	})
}

// sendList sends a random list event.
func (d *digestDriver) sendList() {
	kind := []ListKind{ListFull, ListFull, ListCached, ListDelta, ListDelta, ListDelta, ListFailed, ListUnchanged}[d.rnd.Intn(8)]
	ev := ServerList{Kind: kind, Busy: d.rnd.Intn(3) == 0, FromFetch: d.rnd.Intn(4) == 0}
	if d.cfg.ListServices > 1 {
		d.rev += int64(d.rnd.Intn(4)) - 1
		ev.Rev, ev.Source = d.rev+1<<epochBits, d.rnd.Intn(d.cfg.ListServices)
	}
	for i := range 14 {
		if d.rnd.Intn(8) == 0 || kind == ListDelta && d.rnd.Intn(3) > 0 {
			continue
		}
		s := Server{
			ID: ServerID(i + 1), Rating: 1 + float64(i%3)/2, Cell: i % 5, Zone: i % 4, Kind: i % 2,
			AddressKey: uint64(1 + d.rnd.Intn(30)), State: []ServerState{Ready, Ready, Ready, Ready, Draining, Removed}[d.rnd.Intn(6)],
		}
		if d.rnd.Intn(3) == 0 {
			s.StartedAt = d.now - 100 + float64(d.rnd.Intn(200))
		}
		ev.Servers = append(ev.Servers, s)
	}
	d.handle(ev)
}

// rareEvent sends one of the rarer events.
func (d *digestDriver) rareEvent() {
	switch d.rnd.Intn(13) {
	case 0:
		d.handle(FleetSize{Known: 1 + d.rnd.Intn(40), Reachable: 1 + d.rnd.Intn(40), Admitted: d.rnd.Intn(5) > 0})
	case 1:
		d.handle(ProcessCount{Processes: 1 + d.rnd.Intn(2)})
	case 2:
		if d.cfg.ListServices > 1 {
			d.cfg.ListServices = 2 + d.rnd.Intn(3)
			d.handle(ListServices{Count: d.cfg.ListServices})
		}
	case 3:
		if d.rnd.Intn(10) == 0 {
			d.handle(ClockStepped{Offset: float64(d.rnd.Intn(20000) - 10000)})
		}
	case 4, 5:
		if len(d.live) > 0 {
			a := d.live[d.rnd.Intn(len(d.live))]
			d.handle(Connecting{Request: a.request, Attempt: a.number, Established: d.rnd.Intn(2) == 0})
		}
	case 6:
		d.handle(ConnectionReady{Server: ServerID(1 + d.rnd.Intn(14))})
	case 7:
		if len(d.live) > 0 {
			a := d.live[d.rnd.Intn(len(d.live))]
			d.handle(ResponseStarted{Request: a.request, Attempt: a.number, Server: a.server, Elapsed: d.now - a.sent})
		}
	case 8, 9:
		if len(d.streaming) > 0 {
			id := d.streaming[0]
			d.streaming = d.streaming[1:]
			d.handle(BodyComplete{Request: id, Remaining: 200 + 800*d.rnd.Float64()})
		}
	case 10:
		d.sendRoutes()
	case 11:
		d.handle(CanaryLease{Until: d.now + 2000*d.rnd.Float64()})
	case 12:
		id := uint64(7 + d.rnd.Intn(3))
		d.handle(BudgetGrant{ID: id, Units: int64(d.rnd.Intn(60)), MaxIdle: int64(1 + d.rnd.Intn(8))})
	}
}

// sendRoutes sends random routes.
func (d *digestDriver) sendRoutes() {
	ev := Routes{Rev: 1 + int64(d.rnd.Intn(100))}
	for tenant := -1; tenant < len(d.cfg.Tenants); tenant++ {
		if d.rnd.Intn(2) == 0 {
			continue
		}
		ev.List = append(ev.List, Route{
			Tenant: tenant, Base: Subset{Kinds: []int{d.rnd.Intn(2)}}, Canary: Subset{Cells: []int{d.rnd.Intn(5)}},
			CanaryFraction: d.rnd.Float64(), ID: uint64(8 + tenant), Budgeted: d.rnd.Intn(2) == 0, LateIsFailure: d.rnd.Intn(2) == 0,
		})
	}
	d.handle(ev)
}

// handle sends an event to the balancer and records the actions.
func (d *digestDriver) handle(ev Event) {
	actions, err := d.b.Handle(d.now, ev)
	if err != nil {
		d.t.Fatalf("%#v: %v", ev, err)
	}
	d.record(actions)
}

// record hashes actions, without the texts of log lines, and keeps the attempts, timers and health checks among them.
func (d *digestDriver) record(actions []Action) {
	for _, a := range actions {
		d.hash(a)
		switch a.Kind {
		case Send:
			d.live = append(d.live, digestAttempt{a.Request, d.sends[a.Request], a.Server, d.now})
			d.sends[a.Request]++
		case SetTimer:
			d.timers = append(d.timers, pendingTimer{d.now + a.At, a.Token})
		case HealthCheck:
			d.healthChecks = append(d.healthChecks, a.Server)
		}
	}
}

// hash adds an action to the digest.
func (d *digestDriver) hash(a Action) {
	flag := uint64(0)
	if a.ToCanary {
		flag = 1
	}
	d.words(
		uint64(a.Kind), uint64(a.Request), uint64(a.Attempt), uint64(a.Server), math.Float64bits(a.At), a.Token,
		uint64(a.Source), uint64(a.After), uint64(a.RoutesRev), a.CanaryID, flag,
	)
}

// status adds the balancer's status values to the digest.
func (d *digestDriver) status() {
	l, z := d.b.ListStatus(d.now), d.b.ZoneStatus()
	listed, avoided := d.b.CountServers(d.now)
	flags := uint64(0)
	for i, set := range []bool{l.Stale, l.Rejected} {
		if set {
			flags |= 1 << i
		}
	}
	d.words(
		uint64(l.Rev), math.Float64bits(l.Age), uint64(l.Source), uint64(l.Suspected), flags, uint64(z.Suspended),
		math.Float64bits(z.Spill), math.Float64bits(z.FarSpill), math.Float64bits(z.Evidence), uint64(listed),
		uint64(avoided), math.Float64bits(d.b.FleetSize()),
	)
	for _, p := range d.b.CanaryBudgets() {
		d.words(p.ID, uint64(p.Granted), uint64(p.Spent), uint64(p.Returned), uint64(p.Reserved), uint64(p.Denied))
	}
}

// words adds numbers to the digest.
func (d *digestDriver) words(values ...uint64) {
	for _, v := range values {
		var word [8]byte
		binary.LittleEndian.PutUint64(word[:], v)
		d.sum.Write(word[:])
	}
}

// fireTimers fires the timers that are due, each at its own time.
func (d *digestDriver) fireTimers() { fireDueTimers(&d.timers, &d.now, d.handle) }
