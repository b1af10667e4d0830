// Package stock implements stand-in servers for lab runs. A model with an explicit clock (model.go) decides how long
// requests take and when a server rejects them, slows down or crashes under overload. Server (server.go) puts the model
// behind a socket, SimulatedPod runs it without sockets. The model covers cores, speed by kind, a bounded queue,
// contention inside a pod, the jam (a lasting slowdown) that follows a long overload, and slow start.
//
// Requests in a server's slots share its cores evenly, and the others wait in order of arrival. With one slot per core,
// each core runs one request at a time, first come, first served. A server also pauses at random, as a garbage
// collector makes it do.
package stock

import (
	"math"
	"math/rand/v2"
	"time"
)

// Spec describes a server. Work is in milliseconds of a core of speed 1.
type Spec struct {
	Cores     int
	Speed     float64       // work per millisecond of one core
	Slots     int           // requests that run at the same time, per core; 0 means 1
	Queue     int           // maximum number of waiting requests
	MaxConns  int           // open connections above which requests are rejected; 0 means no limit
	Handshake float64       // extra work of the first request on a connection
	Idle      time.Duration // time after which a connection without a request is closed; 0 means never
	NoCancel  bool          // running work continues after its request is cancelled

	InitialCapacity  float64       // fraction of the full capacity right after a start, 0 to 1
	SlowStartTime    time.Duration // time from a start to full capacity; 0 means no slow start
	OverloadMultiple float64       // crashes in slow start above this multiple of the present capacity; 0 means never
	OverloadTime     time.Duration // window over which arriving work is compared with the capacity

	Jam   Jam
	Pause Pause
}

// Pause describes short, random pauses in which a server does no work. The zero value means no pauses.
type Pause struct {
	MeanInterval  time.Duration // mean time from the end of a pause to the start of the next
	MaxIdleLength time.Duration // longest pause of an idle server
	LoadFactor    float64       // fraction by which a pause is longer when all slots are in use
	Seed          uint64
}

func (s *Spec) slots() int { return s.Cores * max(s.Slots, 1) }

// Jam describes the lasting slowdown of a server that was overloaded for a long time. The zero value means no jams.
type Jam struct {
	StartLoad    float64       // requests per core above which the server is overloaded
	StartAfter   time.Duration // how long the server is overloaded before a jam starts
	Slowdown     float64       // factor by which a jam slows the server down; up to 1 means no jams
	IdleLoad     float64       // requests per core below which the server is idle
	EndAfterIdle time.Duration // how long the server is idle before a jam ends
	MaxLength    time.Duration // time after which a jam ends at the latest
}

// DefaultJam returns the jam of the operators' servers, as documented by the operators.
func DefaultJam() Jam {
	return Jam{StartLoad: 5.5, StartAfter: 2 * time.Second, Slowdown: 2.8, IdleLoad: 0.33, EndAfterIdle: 3500 * time.Millisecond, MaxLength: 25 * time.Second}
}

// job is one request at a server. The lock of the server's group guards its fields.
type job struct {
	work      float64        // total work of the request, in milliseconds of a core of speed 1
	remaining float64        // part of work that is not done
	arrived   time.Duration  // time of arrival at the server
	onDone    func(ran bool) // called at most once, without locks; ran is false if the server ended first
	onStart   func()         // called when the job leaves the queue, without locks
	state     jobState
}

// jobState is where a job is at its server.
type jobState uint8

const (
	inactive jobState = iota // not at a server: not yet offered, completed, cancelled or lost
	queued
	running
)

// model is the state of one server. The lock of its group guards it.
type model struct {
	spec      Spec
	slowdown  float64       // factor by which a fault slows the server down; 1 means normal speed
	startedAt time.Duration // start of the process; far in the past if slow start is over
	running   []*job
	queue     []*job
	rate      float64 // work per millisecond on each running request
	paused    bool    // a fault stops all work

	overloadedSince, idleSince, jammedAt time.Duration // start of each state; -1 if the server is not in it
	arrivals                             []arrival     // requests of the last OverloadTime in slow start
	workDone                             float64       // total work done, in milliseconds of a core of speed 1

	rng                    *rand.Rand // draws the pauses
	nextPause, pausedUntil time.Duration
}

// arrival is a request that arrived during slow start, with its work.
type arrival struct {
	at   time.Duration
	work float64
}

const (
	never = time.Duration(math.MaxInt64)
	// stateCheckInterval is how often slow start and jams, which change with time alone, are updated.
	stateCheckInterval = 50 * time.Millisecond
	// overloadTolerance is the extra work, in milliseconds of a core, that a server in slow start tolerates in any
	// window, since a few requests may arrive together by chance.
	overloadTolerance = 400
)

func newModel(spec Spec) *model {
	m := &model{spec: spec, slowdown: 1, startedAt: -time.Hour, overloadedSince: -1, idleSince: -1, jammedAt: -1,
		rng: rand.New(rand.NewPCG(spec.Pause.Seed, 0x7061757365))}
	m.planPause(0)
	return m
}

// restart resets the model to a process that starts now. The work done so far is kept.
func (m *model) restart(now time.Duration) {
	fresh := newModel(m.spec)
	fresh.startedAt, fresh.workDone, fresh.rng = now, m.workDone, m.rng
	fresh.planPause(now)
	*m = *fresh
}

// planPause draws the start of the next pause.
func (m *model) planPause(from time.Duration) {
	if m.nextPause = never; m.spec.Pause.MeanInterval > 0 && m.spec.Pause.MaxIdleLength > 0 {
		m.nextPause = from + time.Duration(m.rng.ExpFloat64()*float64(m.spec.Pause.MeanInterval))
	}
}

// startPauses starts the pauses that have become due since the last call.
func (m *model) startPauses(now time.Duration) {
	for now >= m.nextPause {
		usage := float64(len(m.running)) / float64(m.spec.slots())
		length := m.rng.Float64() * float64(m.spec.Pause.MaxIdleLength) * (1 + m.spec.Pause.LoadFactor*usage)
		m.pausedUntil = m.nextPause + time.Duration(length)
		m.planPause(m.pausedUntil)
	}
}

// isPaused reports whether the server does no work at present.
func (m *model) isPaused(now time.Duration) bool { return m.paused || now < m.pausedUntil }

// capacityFraction returns the fraction of the full capacity that is available. It rises linearly during slow start.
func (m *model) capacityFraction(now time.Duration) float64 {
	age := now - m.startedAt
	if m.spec.SlowStartTime <= 0 || age >= m.spec.SlowStartTime {
		return 1
	}
	return m.spec.InitialCapacity + (1-m.spec.InitialCapacity)*float64(age)/float64(m.spec.SlowStartTime)
}

func (m *model) inSlowStart(now time.Duration) bool {
	return m.spec.SlowStartTime > 0 && now-m.startedAt < m.spec.SlowStartTime
}

// ownRate returns the work per millisecond on each running request, before the limit of the pod is applied.
func (m *model) ownRate(now time.Duration) float64 {
	if m.isPaused(now) {
		return 0
	}
	r := m.spec.Speed * m.capacityFraction(now) / m.slowdown
	if m.jammedAt >= 0 {
		r /= m.spec.Jam.Slowdown
	}
	if n := len(m.running); n > m.spec.Cores {
		r *= float64(m.spec.Cores) / float64(n)
	}
	return r
}

// capacity returns the work per millisecond of the warm server, before the limit of the pod is applied.
func (m *model) capacity() float64 { return float64(m.spec.Cores) * m.spec.Speed }

// updateJam starts or ends a jam, depending on how many requests the server has had and for how long.
func (m *model) updateJam(now time.Duration) {
	j := &m.spec.Jam
	if j.Slowdown <= 1 {
		return
	}
	load := float64(len(m.running)+len(m.queue)) / float64(m.spec.Cores)
	since := func(at *time.Duration, is bool) bool {
		if !is {
			*at = -1
		} else if *at < 0 {
			*at = now
		}
		return is
	}
	if m.jammedAt < 0 {
		if since(&m.overloadedSince, load > j.StartLoad) && now-m.overloadedSince >= j.StartAfter {
			m.jammedAt, m.idleSince = now, -1
		}
		return
	}
	if since(&m.idleSince, load < j.IdleLoad) && now-m.idleSince >= j.EndAfterIdle || now-m.jammedAt >= j.MaxLength {
		m.jammedAt, m.overloadedSince = -1, -1
	}
}

// overloads records the arrival of work and reports whether the server crashes under it. A server in slow start crashes
// when the work that arrived within OverloadTime exceeds OverloadMultiple times its present capacity.
func (m *model) overloads(now time.Duration, work float64) bool {
	if m.spec.OverloadMultiple <= 0 || !m.inSlowStart(now) {
		m.arrivals = nil
		return false
	}
	m.arrivals = append(m.arrivals, arrival{now, work})
	first := 0
	for first < len(m.arrivals) && m.arrivals[first].at < now-m.spec.OverloadTime {
		first++
	}
	m.arrivals = m.arrivals[first:]
	sum := 0.0
	for _, a := range m.arrivals {
		sum += a.work
	}
	window := float64(m.spec.OverloadTime) / float64(time.Millisecond)
	return sum > m.spec.OverloadMultiple*m.capacity()*m.capacityFraction(now)*window+overloadTolerance
}

// group is the servers of one pod, which may share a capacity limit. The caller supplies the time.
type group struct {
	limit       float64 // fraction of the servers' total capacity that is available; 1 means no limit
	models      []*model
	lastAdvance time.Duration
}

// advance runs all jobs up to now and returns those that were completed and those that started.
func (g *group) advance(now time.Duration) (completed, started []*job) {
	ms := float64(now-g.lastAdvance) / float64(time.Millisecond)
	g.lastAdvance = max(g.lastAdvance, now)
	for _, m := range g.models {
		unfinished := m.running[:0]
		for _, j := range m.running {
			if ms > 0 {
				done := math.Min(j.remaining, m.rate*ms)
				j.remaining -= done
				m.workDone += done
			}
			if j.remaining <= 1e-6 {
				j.state = inactive
				completed = append(completed, j)
			} else {
				unfinished = append(unfinished, j)
			}
		}
		clear(m.running[len(unfinished):])
		m.running = unfinished
		m.startPauses(now)
		for !m.isPaused(now) && len(m.running) < m.spec.slots() && len(m.queue) > 0 {
			j := m.queue[0]
			m.queue = m.queue[1:]
			j.state = running
			m.running = append(m.running, j)
			started = append(started, j)
		}
		m.updateJam(now)
	}
	g.setRates(now)
	return completed, started
}

// isFull reports whether the server rejects new requests: its slots and its queue are in use.
func (m *model) isFull() bool { return len(m.queue) >= m.spec.Queue+m.spec.slots()-len(m.running) }

// setRates updates the work rates. If the servers of the pod together exceed its limit, all slow down by the same
// factor.
func (g *group) setRates(now time.Duration) {
	wanted, total := 0.0, 0.0
	for _, m := range g.models {
		m.rate = m.ownRate(now)
		wanted += m.rate * float64(len(m.running))
		total += m.capacity()
	}
	if allowed := g.limit * total; g.limit < 1 && wanted > allowed {
		for _, m := range g.models {
			m.rate *= allowed / wanted
		}
	}
}

// next returns when advance has to be called again if no request arrives and no setting changes.
func (g *group) next(now time.Duration) time.Duration {
	soonest := never
	for _, m := range g.models {
		if m.rate > 0 {
			for _, j := range m.running {
				soonest = min(soonest, now+time.Duration(math.Ceil(j.remaining/m.rate*float64(time.Millisecond))))
			}
		}
		if len(m.running)+len(m.queue) > 0 && m.nextPause != never {
			if now < m.pausedUntil {
				soonest = min(soonest, m.pausedUntil)
			} else {
				soonest = min(soonest, m.nextPause)
			}
		}
		busy := len(m.running) > 0
		if busy && m.inSlowStart(now) || m.jammedAt >= 0 || m.overloadedSince >= 0 {
			soonest = min(soonest, now+stateCheckInterval)
		}
	}
	return soonest
}

// remove removes a job from the queue or from the running jobs.
func (m *model) remove(j *job) {
	list := &m.queue
	if j.state == running {
		list = &m.running
	}
	for i, other := range *list {
		if other == j {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			break
		}
	}
	j.state = inactive
}
