package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleetSimulation runs the balancers of a fleet on a simulated clock against servers, some of which are in slow
// start. The balancers are real. Each server is modelled as a few cores with one queue, and clients retry.
type fleetSimulation struct {
	t         *testing.T
	scenario  fleetScenario
	rnd       *rand.Rand
	now       float64
	events    eventQueue
	scheduled int
	servers   []*simulatedServer
	sidecars  []*simulatedProcess
	lastID    RequestID

	processCount int
}

// fleetScenario is the set of parameters of one simulation. Times are in ms.
type fleetScenario struct {
	name            string
	servers         int
	cores           int
	meanWork        float64 // mean work of a request, in ms of a core at speed 1
	load            float64 // traffic as a fraction of the warm capacity of all servers
	busyFraction    float64 // fraction of the traffic that goes to one process; 0: all get the same
	idleBeforeBurst bool    // no traffic until the burst
	burstFactor     float64 // multiple of the traffic from burstAt on; 0: no burst
	restartFraction float64 // fraction of the servers that restart at serverStartAt
	newServers      int     // number of servers that join at serverStartAt
	downtime        float64 // time for which restarting servers are down before they start
	notifySpread    float64 // time between the notification of the first process and of the last
	notifications   int     // number of notifications of each start; 0: one
	resetFraction   float64 // fraction of the processes that restart without state at resetAt
	resetAt         float64
	fleetSizeFactor float64 // ratio of the reported number of processes to the true one; 0: no report
	upgrade         bool    // each process runs beside a second one of its sidecar
	drainTime       float64 // how long started servers drain, 3 s after the start; 0: not at all
	unreachableTime float64 // how long started servers cannot be reached, 1 s after the start
	mixedSpeeds     bool    // servers differ in speed
	noBudget        bool    // processes apply no slow-start budget
	noSlowStart     bool    // processes apply no slow start
}

const (
	serverStartAt = 20000.0
	simulationEnd = 36000.0
	warmUpTime    = 24000.0
	burstAt       = serverStartAt + 2500
)

// simulatedServer is a server with a queue in front of its cores.
type simulatedServer struct {
	entry          Server
	speed          float64
	startedAt      float64
	up             bool
	running        []*serverJob
	queue          []*serverJob
	slowStartSends []slowStartSend
}

// slowStartSend is an attempt to a server in slow start. notified is set if the sender had been notified of the
// start.
type slowStartSend struct {
	at       float64
	notified bool
}

// serverJob is an attempt at a server.
type serverJob struct {
	process     *simulatedProcess
	incarnation int
	request     RequestID
	attempt     int
	server      *simulatedServer
	sentAt      float64
	work        float64
	done        bool
}

// simulatedProcess is a sidecar process with its balancer.
type simulatedProcess struct {
	number        int
	balancer      *Balancer
	incarnation   int
	notifiedStart map[ServerID]float64 // the latest start of each server that it was notified of
	jobs          map[RequestID][]*serverJob
	clientRetries map[RequestID]int // of each request in flight
}

// scheduledEvent is a step of the simulation. Of steps at the same time, the one with the lower order runs first.
type scheduledEvent struct {
	at    float64
	order int
	do    func()
}

// eventQueue is a heap of events by time.
type eventQueue []scheduledEvent

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(scheduledEvent)) }

func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// schedule adds a step of the simulation.
func (f *fleetSimulation) schedule(when float64, do func()) {
	f.scheduled++
	heap.Push(&f.events, scheduledEvent{when, f.scheduled, do})
}

// config returns the settings of one process.
func (c *fleetScenario) config(number, procs int, seed uint64) Config {
	cfg := baseConfig()
	cfg.Seed, cfg.Number, cfg.Peers = seed*1000+uint64(number), number, procs
	cfg.MaxAttempts, cfg.Hedging, cfg.MaxRetryAfter = 3, false, 3000
	cfg.SlowStartCapacity, cfg.SlowStartTime, cfg.OverloadMultiple, cfg.OverloadTime = 0.17, warmUpTime, 4, 3000
	if c.noBudget {
		cfg.OverloadMultiple = 1e6
	}
	if c.noSlowStart {
		cfg.SlowStartTime = 1
	}
	cfg.Classes = []Class{
		{Idempotency: Idempotent, LatencyObjective: 600, Deadline: 1500, PriorityWeight: 2},
		{Idempotency: NonIdempotent, LatencyObjective: 1000, Deadline: 5000, PriorityWeight: 3},
	}
	return cfg
}

// newFleetSimulation prepares a scenario with the given number of processes.
func newFleetSimulation(t *testing.T, c fleetScenario, procs int, seed uint64) *fleetSimulation {
	f := &fleetSimulation{t: t, scenario: c, rnd: rand.New(rand.NewPCG(seed, 0x636f6c64)), now: 1000, processCount: procs}
	for i := range c.servers + c.newServers {
		s := &simulatedServer{speed: 0.6, up: i < c.servers, startedAt: math.Inf(-1),
			entry: Server{ID: ServerID(i + 1), Rating: 1, Cell: i / 4}}
		if c.mixedSpeeds {
			s.speed = 0.51 + 0.59*f.rnd.Float64()
		}
		f.servers = append(f.servers, s)
	}
	for i := range procs {
		p := &simulatedProcess{number: i}
		f.sidecars = append(f.sidecars, p)
		f.startProcess(p, seed)
	}
	f.scheduleStarts()
	if c.resetFraction > 0 {
		f.schedule(c.resetAt, func() {
			for _, p := range f.sidecars[:int(math.Ceil(c.resetFraction*float64(procs)))] {
				p.incarnation++
				f.startProcess(p, seed+uint64(p.incarnation)*7919)
			}
		})
	}
	f.schedule(f.now, f.arrive)
	return f
}

// startProcess starts a process without state and passes it the current list.
func (f *fleetSimulation) startProcess(p *simulatedProcess, seed uint64) {
	p.balancer = mustNew(f.t, f.scenario.config(p.number, f.processCount, seed))
	p.notifiedStart, p.jobs, p.clientRetries = map[ServerID]float64{}, map[RequestID][]*serverJob{}, map[RequestID]int{}
	f.executeActions(p, p.balancer.Start(f.now))
	var list []Server
	for _, s := range f.servers {
		if s.up || s.entry.StartedAt > 0 {
			list = append(list, s.entry)
			p.notifiedStart[s.entry.ID] = s.entry.StartedAt
		}
	}
	f.handle(p, ServerList{Kind: ListFull, Servers: list})
	if f.scenario.fleetSizeFactor > 0 {
		n := max(1, int(f.scenario.fleetSizeFactor*float64(f.processCount)))
		f.handle(p, FleetSize{Known: n, Reachable: n, Admitted: true})
	}
	if f.scenario.upgrade {
		f.handle(p, ProcessCount{Processes: 2})
	}
}

// scheduleStarts schedules the stops and starts of servers.
func (f *fleetSimulation) scheduleStarts() {
	restarts := int(math.Ceil(f.scenario.restartFraction * float64(f.scenario.servers)))
	for i, s := range f.servers {
		again := i < restarts
		if !again && i < f.scenario.servers {
			continue
		}
		if again {
			f.schedule(serverStartAt-f.scenario.downtime, func() { f.stopServer(s) })
		}
		f.schedule(serverStartAt, func() { f.startServer(s) })
		f.scheduleOutage(s)
	}
}

// scheduleOutage plans that a server drains or cannot be reached for a while after its start.
func (f *fleetSimulation) scheduleOutage(s *simulatedServer) {
	if f.scenario.drainTime > 0 {
		f.schedule(serverStartAt+3000, func() { s.entry.State = Draining; f.notifyAll(s, 1) })
		f.schedule(serverStartAt+3000+f.scenario.drainTime, func() { s.entry.State = Ready; f.notifyAll(s, 1) })
	}
	if f.scenario.unreachableTime > 0 {
		f.schedule(serverStartAt+1000, func() { f.stopServer(s) })
		f.schedule(serverStartAt+1000+f.scenario.unreachableTime, func() { s.up = true })
	}
}

// stopServer ends a server's process and resets all its requests.
func (f *fleetSimulation) stopServer(s *simulatedServer) {
	s.up = false
	lost := append(s.running, s.queue...)
	s.running, s.queue = nil, nil
	for _, j := range lost {
		f.finish(j, Reset)
	}
}

// startServer starts a server's process and notifies the fleet.
func (f *fleetSimulation) startServer(s *simulatedServer) {
	s.up, s.startedAt = true, f.now
	s.entry.StartedAt = f.now
	f.notifyAll(s, max(1, f.scenario.notifications))
}

// notifyAll sends a server's entry to each process, at a random time within notifySpread.
func (f *fleetSimulation) notifyAll(s *simulatedServer, times int) {
	for range times {
		for _, p := range f.sidecars {
			entry := s.entry
			f.schedule(f.now+f.rnd.Float64()*f.scenario.notifySpread, func() {
				p.notifiedStart[entry.ID] = entry.StartedAt
				f.handle(p, ServerList{Kind: ListDelta, Servers: []Server{entry}})
			})
		}
	}
}

// arrivalRate returns the rate of requests from all clients, per ms.
func (f *fleetSimulation) arrivalRate() float64 {
	capacity := 0.0
	for _, s := range f.servers[:f.scenario.servers] {
		capacity += f.capacity(s)
	}
	rate := f.scenario.load * capacity
	if f.now >= burstAt && f.scenario.burstFactor > 0 {
		rate *= f.scenario.burstFactor
	}
	return rate
}

// capacity returns the rate of requests that a warm server can answer, per ms.
func (f *fleetSimulation) capacity(s *simulatedServer) float64 {
	return float64(f.scenario.cores) * s.speed / f.scenario.meanWork
}

// arrive passes a client's request to a random process and schedules the next request.
func (f *fleetSimulation) arrive() {
	f.schedule(f.now+f.rnd.ExpFloat64()/f.arrivalRate(), f.arrive)
	if f.scenario.idleBeforeBurst && f.now < burstAt {
		return
	}
	p := f.sidecars[f.rnd.IntN(len(f.sidecars))]
	if f.rnd.Float64() < f.scenario.busyFraction {
		p = f.sidecars[0]
	}
	f.sendRequest(p, 0)
}

// sendRequest passes a request to a process; retries is the number of earlier attempts of the client.
func (f *fleetSimulation) sendRequest(p *simulatedProcess, retries int) {
	f.lastID++
	class := 0
	if f.rnd.IntN(4) == 0 {
		class = 1
	}
	p.clientRetries[f.lastID] = retries
	f.handle(p, Request{ID: f.lastID, Class: class, Remaining: p.balancer.cfg.Classes[class].Deadline})
}

// handle passes an event to a process and executes its actions.
func (f *fleetSimulation) handle(p *simulatedProcess, ev Event) {
	actions, err := p.balancer.Handle(f.now, ev)
	if err != nil {
		f.t.Fatalf("process %d, %#v: %v", p.number, ev, err)
	}
	f.executeActions(p, actions)
}

// executeActions executes the actions of a balancer as a sidecar does.
func (f *fleetSimulation) executeActions(p *simulatedProcess, actions []Action) {
	for _, a := range slices.Clone(actions) {
		incarnation := p.incarnation
		switch a.Kind {
		case Send:
			f.startAttempt(p, a)
		case Reject, Fail:
			if retries := p.clientRetries[a.Request]; retries < 2 {
				f.schedule(f.now+100+a.At, func() { f.sendRequest(p, retries+1) })
			}
			delete(p.clientRetries, a.Request)
		case Cancel:
			j := p.jobs[a.Request][a.Attempt]
			f.schedule(f.now, func() { f.abort(j, Cancelled) })
		case SetTimer:
			f.schedule(f.now+a.At, func() {
				if p.incarnation == incarnation {
					f.handle(p, Timer{Token: a.Token})
				}
			})
		}
	}
}

// startAttempt sends an attempt to its server and schedules its timeout.
func (f *fleetSimulation) startAttempt(p *simulatedProcess, a Action) {
	s := f.servers[a.Server-1]
	j := &serverJob{
		process: p, incarnation: p.incarnation, request: a.Request, attempt: len(p.jobs[a.Request]), server: s,
		sentAt: f.now, work: f.scenario.meanWork * (0.3 + 0.7*f.rnd.ExpFloat64()),
	}
	p.jobs[a.Request] = append(p.jobs[a.Request], j)
	if f.now < s.startedAt+warmUpTime && f.now >= s.startedAt {
		s.slowStartSends = append(s.slowStartSends, slowStartSend{f.now, p.notifiedStart[s.entry.ID] == s.entry.StartedAt})
	}
	f.schedule(f.now+0.3, func() { f.deliver(j) })
	if a.At > 0 {
		f.schedule(math.Max(a.At, f.now), func() { f.abort(j, TimedOut) })
	}
}

// deliver puts an attempt into its server's queue.
func (f *fleetSimulation) deliver(j *serverJob) {
	switch s := j.server; {
	case j.done:
	case !s.up:
		f.finish(j, ConnectFailed)
	default:
		s.queue = append(s.queue, j)
		f.startJobs(s)
	}
}

// startJobs starts queued jobs on free cores.
func (f *fleetSimulation) startJobs(s *simulatedServer) {
	for len(s.running) < f.scenario.cores && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, j)
		f.schedule(f.now+j.work/s.speed/f.capacityFraction(s, f.now), func() {
			if slices.Contains(s.running, j) {
				f.remove(j)
				f.finish(j, OK)
			}
		})
	}
}

// capacityFraction returns the fraction of its warm capacity that a server has: a linear ramp from its start on.
func (f *fleetSimulation) capacityFraction(s *simulatedServer, at float64) float64 {
	return 0.17 + 0.83*bound((at-s.startedAt)/warmUpTime, 0, 1)
}

// remove removes a job from its server.
func (f *fleetSimulation) remove(j *serverJob) {
	is := func(other *serverJob) bool { return other == j }
	j.server.running, j.server.queue = slices.DeleteFunc(j.server.running, is), slices.DeleteFunc(j.server.queue, is)
	f.startJobs(j.server)
}

// abort ends a job early with a result.
func (f *fleetSimulation) abort(j *serverJob, res Result) {
	if !j.done {
		f.remove(j)
		f.finish(j, res)
	}
}

// finish reports the result of an attempt to its process, unless the process has restarted since.
func (f *fleetSimulation) finish(j *serverJob, res Result) {
	if j.done {
		return
	}
	j.done = true
	if j.process.incarnation != j.incarnation {
		return
	}
	f.handle(j.process, Outcome{
		Request: j.request, Attempt: j.attempt, Server: j.server.entry.ID, Result: res, Elapsed: f.now - j.sentAt,
		Finished: res == OK || j.process.balancer.requests[j.request].state == requestDone,
	})
}

// run executes the scenario until simulationEnd.
func (f *fleetSimulation) run() {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(scheduledEvent)
		if f.now = math.Max(f.now, e.at); f.now > simulationEnd {
			return
		}
		e.do()
	}
}

// budgetPeak is the largest use of a slow-start budget in any window.
type budgetPeak struct {
	fraction, age  float64
	sends, allowed float64
	notifiedSends  float64 // sends of processes that had been notified of the start
	total          int
}

// maxBudgetUse evaluates each window of OverloadTime that begins with a send to a server in slow start. If more
// than two thirds of the sends came from notified processes, all sends count; otherwise only those from notified
// processes do.
func (f *fleetSimulation) maxBudgetUse() budgetPeak {
	var peak budgetPeak
	for _, s := range f.servers {
		peak.total += len(s.slowStartSends)
		for i, first := range s.slowStartSends {
			all, notified := 0.0, 0.0
			for _, later := range s.slowStartSends[i:] {
				if later.at >= first.at+3000 {
					break
				}
				all++
				if later.notified {
					notified++
				}
			}
			if 3*notified <= 2*all {
				all = notified
			}
			n := 4 * f.capacity(s) * f.capacityFraction(s, first.at) * 3000
			if fraction := all / allowedSends(n); fraction > peak.fraction {
				peak.fraction, peak.age = fraction, first.at-s.startedAt
				peak.sends, peak.allowed, peak.notifiedSends = all, allowedSends(n), notified
			}
		}
	}
	return peak
}

// allowedSends returns the number of sends that a window may have under a budget. Independent senders exceed the
// budget by a few standard deviations.
func allowedSends(budget float64) float64 {
	if budget < 30 {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

func (p budgetPeak) String() string {
	return fmt.Sprintf("%.2f: %.0f sends (%.0f of notified processes) of %.0f allowed, %.1f s after the start",
		p.fraction, p.sends, p.notifiedSends, p.allowed, p.age/1000)
}
