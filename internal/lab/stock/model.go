// Package stock holds stand-ins for stock servers: how long they take, when they turn away, jam and fall over
// (this file, fed with a clock), and their sockets (server.go). They follow the operators' pages: cores, speed by
// kind, a bounded queue, contention inside a pod group, the jam that follows overcrowding, and the cold start.
//
// A server has slots: requests in them share its cores evenly, and the rest wait in order of arrival. With one slot a
// core this is one request a core, first come, first served. It also pauses now and then, as for collecting garbage.
package stock

import (
	"math"
	"math/rand/v2"
	"time"
)

// Spec is what a server is made of. Times are durations, work is in milliseconds of a core of speed 1.
type Spec struct {
	Cores     int
	Speed     float64
	Slots     int // requests in work for each core; 0: one
	Queue     int // requests that may wait
	MaxConns  int // 0: no bound
	Handshake float64
	Idle      time.Duration // a connection without a request is closed after this
	NoCancel  bool          // work goes on although its request is gone

	ColdFrom     float64 // share of its capacity right after a start
	ColdTime     time.Duration
	FallMultiple float64 // 0: it never falls over
	FallTime     time.Duration

	Jam   Jam
	Pause Pause
}

// Pause is when a server does nothing for a moment. The zero value never does.
type Pause struct {
	Every time.Duration // on average from the end of one to the next
	Most  time.Duration // of one, while it has nothing to do
	Grow  float64       // it is longer by this share with all slots in use
	Seed  uint64
}

func (s *Spec) slots() int { return s.Cores * max(s.Slots, 1) }

// Jam slows a server that was crowded for long. The zero value never does.
type Jam struct {
	At     float64 // requests held for each core, from which it is crowded
	Over   time.Duration
	Slower float64
	Below  float64 // requests held for each core, under which it is mostly idle
	Rest   time.Duration
	Most   time.Duration // and no longer than this
}

// DefaultJam is the jam of the operators' servers, as their pages have it.
func DefaultJam() Jam {
	return Jam{At: 5.5, Over: 2 * time.Second, Slower: 2.8, Below: 0.33, Rest: 3500 * time.Millisecond, Most: 25 * time.Second}
}

// job is one request at a server. Its fields are guarded by its group.
type job struct {
	work    float64 // all of it
	left    float64
	arrived time.Duration
	done    func(ran bool) // called without locks, at most once
	onStart func()
	where   place
}

type place uint8

const (
	nowhere place = iota
	queued
	running
)

// model is one server's state; its group's lock guards it.
type model struct {
	spec    Spec
	slow    float64       // 1: as it should be
	boot    time.Duration // when it started; far in the past for a warm one
	running []*job
	queue   []*job
	rate    float64 // work done a millisecond on each request in work, since the last change
	paused  bool    // holds everything it has

	crowdedSince, idleSince, jammedAt time.Duration // -1: is not
	arrivals                          []arrival     // while cold
	worked                            float64       // milliseconds of a core of speed 1 done

	rng                    *rand.Rand // of pauses
	nextPause, pausedUntil time.Duration
}

type arrival struct {
	at   time.Duration
	work float64
}

const (
	never = time.Duration(math.MaxInt64)
	// look is how often what changes by time alone is followed: warming and jams.
	look = 50 * time.Millisecond
	// fallSlack is work that a cold server is forgiven in any window: chance brings a few requests together.
	fallSlack = 400
)

func newModel(spec Spec) *model {
	m := &model{spec: spec, slow: 1, boot: -time.Hour, crowdedSince: -1, idleSince: -1, jammedAt: -1,
		rng: rand.New(rand.NewPCG(spec.Pause.Seed, 0x7061757365))}
	m.planPause(0)
	return m
}

// restart is the model after a new start of its process.
func (m *model) restart(now time.Duration) {
	fresh := newModel(m.spec)
	fresh.boot, fresh.worked, fresh.rng = now, m.worked, m.rng
	fresh.planPause(now)
	*m = *fresh
}

// planPause draws when the next pause begins.
func (m *model) planPause(from time.Duration) {
	if m.nextPause = never; m.spec.Pause.Every > 0 && m.spec.Pause.Most > 0 {
		m.nextPause = from + time.Duration(m.rng.ExpFloat64()*float64(m.spec.Pause.Every))
	}
}

// pauses begins what pauses have come since the last call.
func (m *model) pauses(now time.Duration) {
	for now >= m.nextPause {
		used := float64(len(m.running)) / float64(m.spec.slots())
		long := m.rng.Float64() * float64(m.spec.Pause.Most) * (1 + m.spec.Pause.Grow*used)
		m.pausedUntil = m.nextPause + time.Duration(long)
		m.planPause(m.pausedUntil)
	}
}

// holds tells whether it does nothing now.
func (m *model) holds(now time.Duration) bool { return m.paused || now < m.pausedUntil }

// warmth is the share of its capacity that it has; it rises evenly.
func (m *model) warmth(now time.Duration) float64 {
	age := now - m.boot
	if m.spec.ColdTime <= 0 || age >= m.spec.ColdTime {
		return 1
	}
	return m.spec.ColdFrom + (1-m.spec.ColdFrom)*float64(age)/float64(m.spec.ColdTime)
}

func (m *model) cold(now time.Duration) bool {
	return m.spec.ColdTime > 0 && now-m.boot < m.spec.ColdTime
}

// ownRate is what each request in work gets but for the pod group's limit.
func (m *model) ownRate(now time.Duration) float64 {
	if m.holds(now) {
		return 0
	}
	r := m.spec.Speed * m.warmth(now) / m.slow
	if m.jammedAt >= 0 {
		r /= m.spec.Jam.Slower
	}
	if n := len(m.running); n > m.spec.Cores {
		r *= float64(m.spec.Cores) / float64(n)
	}
	return r
}

// capacity is what it can do when it has all of its pod group's limit, in work a millisecond.
func (m *model) capacity() float64 { return float64(m.spec.Cores) * m.spec.Speed }

// follow moves the jam's state. It depends on how many requests are held and since when.
func (m *model) follow(now time.Duration) {
	j := &m.spec.Jam
	if j.Slower <= 1 {
		return
	}
	held := float64(len(m.running)+len(m.queue)) / float64(m.spec.Cores)
	since := func(at *time.Duration, is bool) bool {
		if !is {
			*at = -1
		} else if *at < 0 {
			*at = now
		}
		return is
	}
	if m.jammedAt < 0 {
		if since(&m.crowdedSince, held > j.At) && now-m.crowdedSince >= j.Over {
			m.jammedAt, m.idleSince = now, -1
		}
		return
	}
	if since(&m.idleSince, held < j.Below) && now-m.idleSince >= j.Rest || now-m.jammedAt >= j.Most {
		m.jammedAt, m.crowdedSince = -1, -1
	}
}

// topples reports whether this work is too much for a cold server: all that came in the window is weighed against
// what it can do now, times the multiple.
func (m *model) topples(now time.Duration, work float64) bool {
	if m.spec.FallMultiple <= 0 || !m.cold(now) {
		m.arrivals = nil
		return false
	}
	m.arrivals = append(m.arrivals, arrival{now, work})
	first := 0
	for first < len(m.arrivals) && m.arrivals[first].at < now-m.spec.FallTime {
		first++
	}
	m.arrivals = m.arrivals[first:]
	sum := 0.0
	for _, a := range m.arrivals {
		sum += a.work
	}
	window := float64(m.spec.FallTime) / float64(time.Millisecond)
	return sum > m.spec.FallMultiple*m.capacity()*m.warmth(now)*window+fallSlack
}

// group is the servers of one pod, which may share a limit. It is fed with a clock.
type group struct {
	limit  float64 // share of its servers' capacity that it has; 1: no limit
	models []*model
	last   time.Duration
}

// advance brings all jobs to now and returns those that are complete and those that begin.
func (g *group) advance(now time.Duration) (complete, begin []*job) {
	ms := float64(now-g.last) / float64(time.Millisecond)
	g.last = max(g.last, now)
	for _, m := range g.models {
		kept := m.running[:0]
		for _, j := range m.running {
			if ms > 0 {
				done := math.Min(j.left, m.rate*ms)
				j.left -= done
				m.worked += done
			}
			if j.left <= 1e-6 {
				j.where = nowhere
				complete = append(complete, j)
			} else {
				kept = append(kept, j)
			}
		}
		clear(m.running[len(kept):])
		m.running = kept
		m.pauses(now)
		for !m.holds(now) && len(m.running) < m.spec.slots() && len(m.queue) > 0 {
			j := m.queue[0]
			m.queue = m.queue[1:]
			j.where = running
			m.running = append(m.running, j)
			begin = append(begin, j)
		}
		m.follow(now)
	}
	g.setRates(now)
	return complete, begin
}

// full tells whether a server takes no more.
func (m *model) full() bool { return len(m.queue) >= m.spec.Queue+m.spec.slots()-len(m.running) }

// setRates shares the pod group's limit: when its servers together want more than it has, all slow down alike.
func (g *group) setRates(now time.Duration) {
	want, all := 0.0, 0.0
	for _, m := range g.models {
		m.rate = m.ownRate(now)
		want += m.rate * float64(len(m.running))
		all += m.capacity()
	}
	if most := g.limit * all; g.limit < 1 && want > most {
		for _, m := range g.models {
			m.rate *= most / want
		}
	}
}

// next is when advance has to be called again if nothing else happens.
func (g *group) next(now time.Duration) time.Duration {
	soonest := never
	for _, m := range g.models {
		if m.rate > 0 {
			for _, j := range m.running {
				soonest = min(soonest, now+time.Duration(math.Ceil(j.left/m.rate*float64(time.Millisecond))))
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
		if busy && m.cold(now) || m.jammedAt >= 0 || m.crowdedSince >= 0 {
			soonest = min(soonest, now+look)
		}
	}
	return soonest
}

// drop takes a job out, wherever it is.
func (m *model) drop(j *job) {
	list := &m.queue
	if j.where == running {
		list = &m.running
	}
	for i, other := range *list {
		if other == j {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			break
		}
	}
	j.where = nowhere
}
