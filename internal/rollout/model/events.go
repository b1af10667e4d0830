package model

import (
	"container/heap"
	"math/rand/v2"
)

// event is a function and the time at which it runs. Events with the same time run in the order in which they were
// scheduled.
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

// scheduler holds the clock, the pending events and the random numbers of a simulation.
type scheduler struct {
	now     int64
	lastSeq int64
	events  eventQueue
	rng     *rand.Rand
}

// run executes all events that are due at or before the time until.
func (s *scheduler) run(until int64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// schedule adds an event that calls do at the given time.
func (s *scheduler) schedule(at int64, do func()) {
	s.lastSeq++
	heap.Push(&s.events, event{at, s.lastSeq, do})
}

// scheduleAfter adds an event that calls do once, after the given delay.
func (s *scheduler) scheduleAfter(delay int64, do func()) { s.schedule(s.now+delay, do) }

// scheduleEvery calls do at the end of each interval.
func (s *scheduler) scheduleEvery(interval int64, do func()) {
	s.scheduleAfter(interval, func() {
		do()
		s.scheduleEvery(interval, do)
	})
}

// randomTime returns an exponentially distributed time of at least 1 ms, with a mean close to the given one.
func (s *scheduler) randomTime(mean int64) int64 {
	return 1 + int64(s.rng.ExpFloat64()*float64(mean))
}
