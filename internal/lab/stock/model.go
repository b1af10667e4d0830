// Package stock holds stand-ins for stock servers: how long requests take, when servers reject them, slow down and crash
// under overload (model.go, fed with a clock), and their sockets (server.go). They follow the operators' pages: cores,
// speed by kind, a bounded queue, contention inside a pod group, the jam that follows a long overload, and slow start.
//
// A server has slots: requests in them share its cores evenly, and the rest wait in order of arrival. With one slot a
// core this is one request a core, first come, first served. It also pauses now and then, as for collecting garbage.
package stock

import (
	"math"
	"math/rand/v2"
	"time"
)

// Spec describes a server. Times are durations, work is in milliseconds of a core of speed 1.
type Spec struct {
	Cores     int
	Speed     float64
	Slots     int // requests in work for each core; 0: one
	Queue     int // requests that may wait
	MaxConns  int // 0: no bound
	Handshake float64
	Idle      time.Duration // a connection without a request is closed after this
	NoCancel  bool          // work continues although its request is cancelled

	InitialCapacity  float64 // fraction of its capacity right after a start
	SlowStartTime    time.Duration
	OverloadMultiple float64 // 0: it never crashes under overload
	OverloadTime     time.Duration

	Jam   Jam
	Pause Pause
}

// Pause describes short times in which a server does no work. The zero value has none.
type Pause struct {
	MeanInterval  time.Duration // from the end of one to the next
	MaxIdleLength time.Duration // of one, while the server is idle
	LoadFactor    float64       // it is longer by this fraction with all slots in use
	Seed          uint64
}

func (s *Spec) slots() int { return s.Cores * max(s.Slots, 1) }

// Jam slows down a server that was overloaded for long. The zero value never does.
type Jam struct {
	StartLoad    float64 // requests per core above which the server is overloaded
	StartAfter   time.Duration
	Slowdown     float64
	IdleLoad     float64 // requests per core below which it counts as idle
	EndAfterIdle time.Duration
	MaxLength    time.Duration // of a jam
}

// DefaultJam is the jam of the operators' servers, as their pages have it.
func DefaultJam() Jam {
	return Jam{StartLoad: 5.5, StartAfter: 2 * time.Second, Slowdown: 2.8, IdleLoad: 0.33, EndAfterIdle: 3500 * time.Millisecond, MaxLength: 25 * time.Second}
}

// job is one request at a server. Its fields are guarded by its group.
type job struct {
	work      float64 // all of it
	remaining float64
	arrived   time.Duration
	onDone    func(ran bool) // called without locks, at most once
	onStart   func()
	state     jobState
}

type jobState uint8

const (
	inactive jobState = iota
	queued
	running
)

// model is one server's state; its group's lock guards it.
type model struct {
	spec      Spec
	slowdown  float64       // 1: normal
	startedAt time.Duration // far in the past for a server that has finished its slow start
	running   []*job
	queue     []*job
	rate      float64 // work done a millisecond on each request in work, since the last change
	paused    bool    // it does no work

	overloadedSince, idleSince, jammedAt time.Duration // -1: is not
	arrivals                             []arrival     // during slow start
	workDone                             float64       // milliseconds of a core of speed 1 done

	rng                    *rand.Rand // of pauses
	nextPause, pausedUntil time.Duration
}

type arrival struct {
	at   time.Duration
	work float64
}

const (
	never = time.Duration(math.MaxInt64)
	// look is how often state that changes by time alone is updated: slow start and jams.
	stateCheckInterval = 50 * time.Millisecond
	// fallSlack is extra work that a server in slow start tolerates in any window: a few requests arrive together by chance.
	overloadTolerance = 400
)

func newModel(spec Spec) *model {
	m := &model{spec: spec, slowdown: 1, startedAt: -time.Hour, overloadedSince: -1, idleSince: -1, jammedAt: -1,
		rng: rand.New(rand.NewPCG(spec.Pause.Seed, 0x7061757365))}
	m.planPause(0)
	return m
}

// restart resets the model to a new start of its process.
func (m *model) restart(now time.Duration) {
	fresh := newModel(m.spec)
	fresh.startedAt, fresh.workDone, fresh.rng = now, m.workDone, m.rng
	fresh.planPause(now)
	*m = *fresh
}

// planPause draws when the next pause starts.
func (m *model) planPause(from time.Duration) {
	if m.nextPause = never; m.spec.Pause.MeanInterval > 0 && m.spec.Pause.MaxIdleLength > 0 {
		m.nextPause = from + time.Duration(m.rng.ExpFloat64()*float64(m.spec.Pause.MeanInterval))
	}
}

// startPauses starts the pauses that were due since the last call.
func (m *model) startPauses(now time.Duration) {
	for now >= m.nextPause {
		usage := float64(len(m.running)) / float64(m.spec.slots())
		length := m.rng.Float64() * float64(m.spec.Pause.MaxIdleLength) * (1 + m.spec.Pause.LoadFactor*usage)
		m.pausedUntil = m.nextPause + time.Duration(length)
		m.planPause(m.pausedUntil)
	}
}

// isPaused reports whether the server does no work now.
func (m *model) isPaused(now time.Duration) bool { return m.paused || now < m.pausedUntil }

// capacityFraction is the fraction of its capacity that it has; it rises linearly.
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

// ownRate is the work rate of each running request without the pod group's limit.
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

// capacity is the work a millisecond that it does without the pod group's limit.
func (m *model) capacity() float64 { return float64(m.spec.Cores) * m.spec.Speed }

// updateJam updates the state of the jam. It depends on how many requests the server has and since when.
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

// overloads reports whether this work is too much for a server in slow start: all work that arrived in the window is
// compared with its present capacity times the multiple.
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

// group is the servers of one pod, which may share a limit. It is given the time by its caller.
type group struct {
	limit       float64 // fraction of its servers' capacity that it has; 1: no limit
	models      []*model
	lastAdvance time.Duration
}

// advance brings all jobs to now and returns those that are complete and those that start.
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

// isFull reports whether a server accepts no more requests.
func (m *model) isFull() bool { return len(m.queue) >= m.spec.Queue+m.spec.slots()-len(m.running) }

// setRates divides the pod group's limit: when its servers together want more than it has, all slow down by the same factor.
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

// next is when advance has to be called again if nothing else happens.
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

// remove removes a job that is queued or running.
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
