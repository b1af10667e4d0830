package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// coldFleet is a fleet of balancers on one clock before servers of which some start cold. All balancers are real; the
// world around them is a simple model: servers of a few cores with one queue, clients that try again.
type coldFleet struct {
	t       *testing.T
	c       coldCase
	rnd     *rand.Rand
	now     float64
	due     coldEvents
	order   int
	servers []*coldServer
	procs   []*coldProcess
	next    RequestID

	processes int
}

// coldCase is one scenario.
type coldCase struct {
	name     string
	servers  int
	cores    int
	work     float64 // mean of a request, ms of a core of speed 1
	load     float64 // of the warm capacity of all servers
	busy     float64 // share of the traffic that one process has; 0: all have the same
	quiet    bool    // no traffic until the burst
	burst    float64 // multiple of the traffic from burstAt on; 0: 1
	restart  float64 // share of the servers that start at coldAt
	join     int     // servers that are new at coldAt
	down     float64 // how long those that restart were down before
	spread   float64 // between the first process that hears of a start and the last
	told     int     // how often each start is told; 0: once
	forget   float64 // share of the processes that restart with empty memory at forgetAt
	forgetAt float64
	known    float64 // processes that are known of, as a multiple of those that are; 0: nothing is told
	upgrade  bool    // each process tells that it shares with another one
	drain    float64 // how long those that start drain from 1 s after it; 0: not
	cut      float64 // how long those that start cannot be reached from 1 s after it
	unlike   bool    // the speeds of servers differ
	unbound  bool    // processes know of no budget
	warm     bool    // processes hold all servers to be warm
}

const (
	coldAt    = 20000.0 // when servers start
	coldUntil = 36000.0 // when a run ends
	coldEnds  = 24000.0 // ms of a warm-up
	burstAt   = coldAt + 2500
)

type coldServer struct {
	entry   Server
	speed   float64
	boot    float64
	up      bool
	running []*coldJob
	queue   []*coldJob
	cold    []coldSend
	lifes   int
}

type coldSend struct {
	at   float64
	told bool
}

type coldJob struct {
	p       *coldProcess
	life    int
	id      RequestID
	attempt int
	s       *coldServer
	sent    float64
	work    float64
	over    bool
}

type coldProcess struct {
	number int
	b      *Balancer
	life   int
	told   map[ServerID]float64 // the newest start that it was told of
	jobs   map[RequestID][]*coldJob
	tries  map[RequestID]int // the client's tries of a request that is out
}

type coldEvent struct {
	at    float64
	order int
	do    func()
}

type coldEvents []coldEvent

func (e coldEvents) Len() int { return len(e) }

func (e coldEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

func (e coldEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *coldEvents) Push(x any) { *e = append(*e, x.(coldEvent)) }

func (e *coldEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (f *coldFleet) at(when float64, do func()) {
	f.order++
	heap.Push(&f.due, coldEvent{when, f.order, do})
}

func (c *coldCase) config(number, procs int, seed uint64) Config {
	cfg := baseConfig()
	cfg.Seed, cfg.Number, cfg.Peers = seed*1000+uint64(number), number, procs
	cfg.MaxAttempts, cfg.Hedging, cfg.MaxRetryAfter = 3, false, 3000
	cfg.SlowStartCapacity, cfg.SlowStartTime, cfg.OverloadMultiple, cfg.OverloadTime = 0.17, coldEnds, 4, 3000
	if c.unbound {
		cfg.OverloadMultiple = 1e6
	}
	if c.warm {
		cfg.SlowStartTime = 1
	}
	cfg.Classes = []Class{
		{Idempotency: Idempotent, LatencyObjective: 600, Deadline: 1500, PriorityWeight: 2},
		{Idempotency: NonIdempotent, LatencyObjective: 1000, Deadline: 5000, PriorityWeight: 3},
	}
	return cfg
}

func newColdFleet(t *testing.T, c coldCase, procs int, seed uint64) *coldFleet {
	f := &coldFleet{t: t, c: c, rnd: rand.New(rand.NewPCG(seed, 0x636f6c64)), now: 1000, processes: procs}
	for i := range c.servers + c.join {
		s := &coldServer{speed: 0.6, up: i < c.servers, boot: math.Inf(-1),
			entry: Server{ID: ServerID(i + 1), Rating: 1, Cell: i / 4}}
		if c.unlike {
			s.speed = 0.51 + 0.59*f.rnd.Float64()
		}
		f.servers = append(f.servers, s)
	}
	for i := range procs {
		p := &coldProcess{number: i}
		f.procs = append(f.procs, p)
		f.begin(p, seed)
	}
	f.planStarts()
	if c.forget > 0 {
		f.at(c.forgetAt, func() {
			for _, p := range f.procs[:int(math.Ceil(c.forget*float64(procs)))] {
				p.life++
				f.begin(p, seed+uint64(p.life)*7919)
			}
		})
	}
	f.at(f.now, f.arrive)
	return f
}

// begin starts a process with empty memory and the list as it is.
func (f *coldFleet) begin(p *coldProcess, seed uint64) {
	p.b = mustNew(f.t, f.c.config(p.number, f.processes, seed))
	p.told, p.jobs, p.tries = map[ServerID]float64{}, map[RequestID][]*coldJob{}, map[RequestID]int{}
	f.act(p, p.b.Start(f.now))
	var list []Server
	for _, s := range f.servers {
		if s.up || s.entry.StartedAt > 0 {
			list = append(list, s.entry)
			p.told[s.entry.ID] = s.entry.StartedAt
		}
	}
	f.tell(p, ServerList{Kind: ListFull, Servers: list})
	if f.c.known > 0 {
		n := max(1, int(f.c.known*float64(f.processes)))
		f.tell(p, FleetSize{Known: n, Reachable: n, Admitted: true})
	}
	if f.c.upgrade {
		f.tell(p, ProcessCount{Processes: 2})
	}
}

// planStarts plans which servers start cold, and who hears of it when.
func (f *coldFleet) planStarts() {
	restarts := int(math.Ceil(f.c.restart * float64(f.c.servers)))
	for i, s := range f.servers {
		again := i < restarts
		if !again && i < f.c.servers {
			continue
		}
		if again {
			f.at(coldAt-f.c.down, func() { f.kill(s) })
		}
		f.at(coldAt, func() { f.boot(s) })
		f.planFlap(s)
	}
}

// planFlap plans that a server that has just started drains or cannot be reached for a while.
func (f *coldFleet) planFlap(s *coldServer) {
	if f.c.drain > 0 {
		f.at(coldAt+3000, func() { s.entry.State = Draining; f.list(s, 1) })
		f.at(coldAt+3000+f.c.drain, func() { s.entry.State = Ready; f.list(s, 1) })
	}
	if f.c.cut > 0 {
		f.at(coldAt+1000, func() { f.kill(s) })
		f.at(coldAt+1000+f.c.cut, func() { s.up = true })
	}
}

func (f *coldFleet) kill(s *coldServer) {
	s.up = false
	s.lifes++
	lost := append(s.running, s.queue...)
	s.running, s.queue = nil, nil
	for _, j := range lost {
		f.end(j, Reset)
	}
}

func (f *coldFleet) boot(s *coldServer) {
	s.up, s.boot = true, f.now
	s.entry.StartedAt = f.now
	f.list(s, max(1, f.c.told))
}

// list tells all processes of a server, so many times.
func (f *coldFleet) list(s *coldServer, times int) {
	for range times {
		for _, p := range f.procs {
			entry := s.entry
			f.at(f.now+f.rnd.Float64()*f.c.spread, func() {
				p.told[entry.ID] = entry.StartedAt
				f.tell(p, ServerList{Kind: ListDelta, Servers: []Server{entry}})
			})
		}
	}
}

func (f *coldFleet) rate() float64 {
	capacity := 0.0
	for _, s := range f.servers[:f.c.servers] {
		capacity += f.capacity(s)
	}
	rate := f.c.load * capacity
	if f.now >= burstAt && f.c.burst > 0 {
		rate *= f.c.burst
	}
	return rate
}

// capacity of a warm server, in requests a millisecond.
func (f *coldFleet) capacity(s *coldServer) float64 { return float64(f.c.cores) * s.speed / f.c.work }

func (f *coldFleet) arrive() {
	f.at(f.now+f.rnd.ExpFloat64()/f.rate(), f.arrive)
	if f.c.quiet && f.now < burstAt {
		return
	}
	p := f.procs[f.rnd.IntN(len(f.procs))]
	if f.rnd.Float64() < f.c.busy {
		p = f.procs[0]
	}
	f.ask(p, 0)
}

func (f *coldFleet) ask(p *coldProcess, tried int) {
	f.next++
	class := 0
	if f.rnd.IntN(4) == 0 {
		class = 1
	}
	p.tries[f.next] = tried
	f.tell(p, Request{ID: f.next, Class: class, Remaining: p.b.cfg.Classes[class].Deadline})
}

func (f *coldFleet) tell(p *coldProcess, ev Event) {
	acts, err := p.b.Handle(f.now, ev)
	if err != nil {
		f.t.Fatalf("process %d, %#v: %v", p.number, ev, err)
	}
	f.act(p, acts)
}

func (f *coldFleet) act(p *coldProcess, acts []Action) {
	for _, a := range slices.Clone(acts) {
		life := p.life
		switch a.Kind {
		case Send:
			f.send(p, a)
		case Reject, Fail:
			if tried := p.tries[a.Request]; tried < 2 {
				f.at(f.now+100+a.At, func() { f.ask(p, tried+1) })
			}
			delete(p.tries, a.Request)
		case Cancel:
			j := p.jobs[a.Request][a.Attempt]
			f.at(f.now, func() { f.drop(j, Cancelled) })
		case SetTimer:
			f.at(f.now+a.At, func() {
				if p.life == life {
					f.tell(p, Timer{Token: a.Token})
				}
			})
		}
	}
}

func (f *coldFleet) send(p *coldProcess, a Action) {
	s := f.servers[a.Server-1]
	j := &coldJob{p: p, life: p.life, id: a.Request, attempt: len(p.jobs[a.Request]), s: s, sent: f.now,
		work: f.c.work * (0.3 + 0.7*f.rnd.ExpFloat64())}
	p.jobs[a.Request] = append(p.jobs[a.Request], j)
	if f.now < s.boot+coldEnds && f.now >= s.boot {
		s.cold = append(s.cold, coldSend{f.now, p.told[s.entry.ID] == s.entry.StartedAt})
	}
	f.at(f.now+0.3, func() { f.reach(j) })
	if a.At > 0 {
		f.at(math.Max(a.At, f.now), func() { f.drop(j, TimedOut) })
	}
}

func (f *coldFleet) reach(j *coldJob) {
	switch s := j.s; {
	case j.over:
	case !s.up:
		f.end(j, ConnectFailed)
	default:
		s.queue = append(s.queue, j)
		f.work(s)
	}
}

// work starts what a server has free cores for.
func (f *coldFleet) work(s *coldServer) {
	for len(s.running) < f.c.cores && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, j)
		f.at(f.now+j.work/s.speed/f.warmth(s, f.now), func() {
			if slices.Contains(s.running, j) {
				f.leave(j)
				f.end(j, OK)
			}
		})
	}
}

func (f *coldFleet) warmth(s *coldServer, at float64) float64 {
	return 0.17 + 0.83*bound((at-s.boot)/coldEnds, 0, 1)
}

// leave takes a job from its server.
func (f *coldFleet) leave(j *coldJob) {
	is := func(other *coldJob) bool { return other == j }
	j.s.running, j.s.queue = slices.DeleteFunc(j.s.running, is), slices.DeleteFunc(j.s.queue, is)
	f.work(j.s)
}

func (f *coldFleet) drop(j *coldJob, res Result) {
	if !j.over {
		f.leave(j)
		f.end(j, res)
	}
}

func (f *coldFleet) end(j *coldJob, res Result) {
	if j.over {
		return
	}
	j.over = true
	if j.p.life != j.life {
		return
	}
	f.tell(j.p, Outcome{Request: j.id, Attempt: j.attempt, Server: j.s.entry.ID, Result: res, Elapsed: f.now - j.sent,
		Finished: res == OK || j.p.b.reqs[j.id].done})
}

func (f *coldFleet) play() {
	for len(f.due) > 0 {
		e := heap.Pop(&f.due).(coldEvent)
		if f.now = math.Max(f.now, e.at); f.now > coldUntil {
			return
		}
		e.do()
	}
}

// coldPeak is the largest share of what a cold server bears that any was sent.
type coldPeak struct {
	share, age   float64
	sends, bears float64
	told         float64 // of the sends
	total        int
}

// peak looks at each window that begins with a send to a cold server: all sends where over two thirds came from
// processes that had been told of the start, else those of these processes.
func (f *coldFleet) peak() coldPeak {
	var out coldPeak
	for _, s := range f.servers {
		out.total += len(s.cold)
		for i, first := range s.cold {
			all, told := 0.0, 0.0
			for _, later := range s.cold[i:] {
				if later.at >= first.at+3000 {
					break
				}
				all++
				if later.told {
					told++
				}
			}
			if 3*told <= 2*all {
				all = told
			}
			n := 4 * f.capacity(s) * f.warmth(s, first.at) * 3000
			if share := all / coldBears(n); share > out.share {
				out.share, out.age, out.sends, out.bears, out.told = share, first.at-s.boot, all, coldBears(n), told
			}
		}
	}
	return out
}

// coldBears is what a server in slow start may be sent when n is its budget: chance brings a few more together.
func coldBears(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

func (p coldPeak) String() string {
	return fmt.Sprintf("%.2f, %.0f sends (%.0f of processes that had been told) of %.0f that it bears, %.1f s after its start",
		p.share, p.sends, p.told, p.bears, p.age/1000)
}
