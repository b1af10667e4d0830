package model

import (
	"container/heap"
	"math/rand/v2"
)

// event is something that happens at a time. Events of one time happen in the order in which they were scheduled.
type event struct {
	at, seq int64
	run     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// scheduler is the clock of a simulation, and what happens when.
type scheduler struct {
	now     int64
	lastSeq int64
	events  eventQueue
	rng     *rand.Rand
}

// run lets events happen up to a time, that one included.
func (s *scheduler) run(until int64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

func (s *scheduler) schedule(at int64, do func()) {
	s.lastSeq++
	heap.Push(&s.events, event{at, s.lastSeq, do})
}

func (s *scheduler) scheduleAfter(delay int64, do func()) { s.schedule(s.now+delay, do) }

func (s *scheduler) scheduleEvery(interval int64, do func()) {
	s.scheduleAfter(interval, func() {
		do()
		s.scheduleEvery(interval, do)
	})
}

// randomTime is an exponentially distributed time with about this mean, at least 1.
func (s *scheduler) randomTime(mean int64) int64 {
	return 1 + int64(s.rng.ExpFloat64()*float64(mean))
}
