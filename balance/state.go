package balance

// This file holds what a balancer remembers, New, Handle and small helpers. It takes no decisions.

import (
	"math"
)

// The tokens of the timers of the list; requests use their ID (below 2^52).
const (
	listTimer = 1<<60 + iota
	checkTimer
	stuckTimer
	suspectTimer
)

// Balancer is one sidecar's decision maker. It is not safe for concurrent use.
type Balancer struct {
	cfg            Config
	rng            uint64
	now            float64
	started        float64
	processes      float64 // processes of this sidecar
	assumedAnswers float64 // answers that it assumes in its budget for cold servers: its part of one for each peer
	fleet          FleetEstimate
	maxObjective   float64 // of all classes
	out            []Action

	servers         []*server // those listed, in this sidecar's own order
	byID            map[ServerID]*server
	candidates      []*server       // in the last pick, in the order of servers: those with a weight
	maxOtherRunning float64         // no running value of the others is above it
	pool            pool            // what the last first pick chose from
	kindSizes       map[int]float64 // learned logarithm of size by kind
	zoneSizes       map[int]float64 // ... and by zone
	zones           []*zone         // in the order in which they were first listed
	tierLatencies   [tiers]tierLatency
	spill           [tiers]float64 // part of first sends that begin beyond each tier
	spilled         [tiers]float64 // ... what of it is due
	spillAt         float64
	learned         float64 // times learn was called
	drift           float64 // mean step of learn
	list            listState
	shutdown        bool // nothing more is sent: this process goes

	offsets []float64 // ms that the wall clock was ahead of this clock, the newest last; nil: no step was noticed
	stepped bool      // a step was noticed, or starts were told that only a step explains

	rev               int64          // of the routes
	routes            []*tenantRoute // by tenant, from -1 on; nil: there are no routes
	canaryLease       float64        // until when canaries may be acted on
	canaryBudgets     []*CanaryBudget
	pickingAlongRoute bool         // a pick along a route is under way
	nextRoute         attemptRoute // what the next attempt acts on

	reqs             map[RequestID]*request
	waitingForChecks []*request // that wait for probes
	classes          []classStats
	busy             float64         // recent part of probed servers that held anything
	tenants          []requestCounts // the last is for requests without a tenant

	admitAt     float64
	lastingShed float64 // part of the load that is rejected lastingly

	// Times of answers are parts of their objective.
	slowness, slowN  float64 // recent mean, and the number of answers that it is taken over
	quickest         float64 // least mean
	estimatedLatency float64 // by what is in flight

	answers   decayingCounter // answers in rateSpanObjectives objectives
	latest    decayingCounter // answers in about the last objective
	abandoned decayingCounter // parts of answers whose clients left
	arrivals  decayingCounter // requests

	inFlightLoad     float64 // attempts in flight, each as one over its objective
	meanInFlightLoad float64
	inFlightLoadAt   float64
}

// server is what this sidecar knows of one server.
type server struct {
	Server
	zone      *zone
	rank      float64 // place in this sidecar's own order
	running   float64 // SWRR running value
	weight    float64 // in the current pick; 0: not in it
	loadKnown bool    // in the current pick: what it holds is known as well as can be
	size      float64 // learned logarithm of size, beyond its kind's and zone's
	inFlight  int     // own attempts

	consecutiveErrors int // consecutive errors
	lastErrorAt       float64
	ejectedUntil      float64 // 0: not rested
	ejections         int
	healthCheckFailed bool    // the last probe got no answer
	processDown       bool    // the last attempt could not connect
	evidenceAt        float64 // when it was last a witness against its zone
	suspectedSince    float64 // since when no list has named it; 0: one does

	ownStart    float64 // its start on the balancer's own clock
	slowStartAt float64 // start of its warm-up
	tokens      float64 // sends left in the cold budget
	tokensAt    float64

	placements   []routePlacement // its places in the routes
	outsideGroup bool             // in the current pick: it is in another group
	savedRunning float64          // ... its running value outside routes

	checkPending bool
	reported     float64 // requests it held at the last report
	reportedAt   float64
	sentSince    float64 // own sends since
}

type attempt struct {
	server          *server
	sent            float64
	live            bool
	neverRan        bool // proved never to have run
	overdue         bool
	endsAtObjective bool          // given up at the aim
	outOfLoad       bool          // not counted in the load, or no longer
	zoneTrial       bool          // its zone was being tried
	started         bool          // its answer has begun
	dialing         bool          // it waits for a new connection
	uncounted       bool          // it counts as no attempt
	missedForCanary bool          // its answer began too late for its canary, or never
	lateIsFailure   bool          // a late answer is a failure of its canary
	budget          *CanaryBudget // that it has a unit of
}

type request struct {
	Request
	class           *Class
	stats           *classStats
	tenant          *requestCounts
	arrived         float64
	deadline        float64
	attempts        []attempt
	liveAttempts    int
	done            bool
	answerStarted   bool      // its answer has begun
	bodyConsumed    bool      // it cannot be sent again
	placeDrawn      bool      // its place is known
	revokedAttempts uint8     // attempts that count as none
	localFailures   uint8     // attempts that this machine could not begin and that count as none
	retryAt         float64   // nothing is sent before it; 0: at any time
	wakeAt          float64   // when its next timer comes
	checked         []*server // asked before the first send
	holdUntil       float64
	routePlace      float64 // in its route's share, from 0 to 1
}

// sends is how many attempts count.
func (r *request) sends() int { return len(r.attempts) - int(r.revokedAttempts) - int(r.localFailures) }

// classStats follows how long answers of a class take, and counts its requests.
type classStats struct {
	requestCounts
	n, mean, dev, priorityWeight float64
}

// requestCounts counts the requests of a class or tenant, and those served within the aim. Both start at 1,
// so that neither is ever 0.
type requestCounts struct{ arrived, served, quota float64 }

// New returns a balancer with the given settings; Start begins its life. It keeps the slices of cfg, which must
// not change afterwards. Settings that cannot be are an error that names the field.
func New(cfg Config) (*Balancer, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: cfg, rng: cfg.Seed, byID: map[ServerID]*server{}, reqs: map[RequestID]*request{},
		classes: make([]classStats, len(cfg.Classes)), tenants: make([]requestCounts, len(cfg.Tenants)+1),
		kindSizes: map[int]float64{}, zoneSizes: map[int]float64{},
		maxObjective: 1, quickest: initialLatency, busy: 1, processes: 1, assumedAnswers: 1,
		list: listState{confirmedAt: math.Inf(-1)},
	}
	for i := range cfg.Classes {
		b.maxObjective = math.Max(b.maxObjective, cfg.Classes[i].LatencyObjective)
		b.classes[i].requestCounts = requestCounts{arrived: 1, served: 1}
		b.classes[i].priorityWeight = cfg.Classes[i].PriorityWeight
	}
	for i := range b.tenants {
		b.tenants[i] = requestCounts{arrived: 1, served: 1}
		if i < len(cfg.Tenants) {
			b.tenants[i].quota = cfg.Tenants[i].Quota
		}
	}
	if cfg.Goal == (Goal{}) {
		b.cfg.Goal.Overall = 1
	}
	return b, nil
}

// Handle takes one event and returns what to do. The actions are valid until the next call.
// An error means that the event cannot be; the balancer is unchanged.
func (b *Balancer) Handle(now float64, ev Event) ([]Action, error) {
	b.now, b.out = now, b.out[:0]
	var err error
	switch ev := ev.(type) {
	case Request:
		err = b.onRequest(ev)
	case Outcome:
		err = b.onOutcome(ev)
	case Timer:
		b.onTimer(ev)
	case ServerList:
		b.onList(ev)
	case HealthCheckResult:
		b.onHealthCheckResult(ev)
	case ClientGone:
		if r := b.reqs[ev.Request]; r != nil {
			b.recordMissed(r)
			b.close(r)
		}
	case AnswerStarted:
		b.onAnswerStarted(ev)
	case BodyComplete:
		b.onBodyComplete(ev)
	case Connecting:
		b.onConnecting(ev)
	case ConnectionReady:
		b.onConnectionReady(ev)
	case ProcessCount:
		b.processes = math.Max(1, float64(ev.Processes))
	case FleetSize:
		b.assumedAnswers = float64(b.cfg.Peers) * b.fleet.Quota(now, ev)
	case ListServices:
		b.setServiceCount(ev.Count)
	case ClockStepped:
		b.onClockStepped(ev)
	case Shutdown:
		b.onShutdown()
	case Routes:
		err = b.onRoutes(ev)
	case CanaryLease:
		err = b.onCanaryLease(ev)
	case BudgetGrant:
		err = b.onBudgetGrant(ev)
	}
	if b.list.removalPending {
		b.list.removalPending = false
		b.dropGone()
	}
	return b.out, err
}

func (b *Balancer) emit(a Action) { b.out = append(b.out, a) }

// random is splitmix64 from the seed.
func (b *Balancer) random() float64 {
	b.rng += 0x9e3779b97f4a7c15
	return unit(mix(b.rng))
}

// unit makes a number from 0 to 1 of a mixed one.
func unit(z uint64) float64 { return float64(z>>11) / (1 << 53) }

// mix is the finalizer of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func bound(v, low, high float64) float64 { return math.Max(low, math.Min(high, v)) }
