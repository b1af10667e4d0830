// Package simclock is a simulated clock that runs scheduled functions in the order of their times. Functions scheduled
// for the same time run in the order in which they were scheduled, so that a seed determines the whole run.
package simclock

import "container/heap"

// Clock is a simulated clock with its scheduled functions. Times are in milliseconds. The zero value starts at 0.
type Clock struct {
	now       float64
	scheduled int
	queue     events
}

// event is one scheduled function.
type event struct {
	at       float64
	sequence int
	run      func()
}

// Now returns the current simulated time.
func (c *Clock) Now() float64 { return c.now }

// At schedules a function for time t. If t has passed, the function is scheduled for the current time.
func (c *Clock) At(t float64, do func()) {
	c.scheduled++
	heap.Push(&c.queue, event{at: max(t, c.now), sequence: c.scheduled, run: do})
}

// After schedules a function to run ms milliseconds from now.
func (c *Clock) After(ms float64, do func()) { c.At(c.now+ms, do) }

// Step advances the clock to the next scheduled function and runs it. It returns false, and changes nothing, if no
// function is scheduled up to the given time.
func (c *Clock) Step(until float64) bool {
	if len(c.queue) == 0 || c.queue[0].at > until {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = e.at
	e.run()
	return true
}

// events is the queue of a clock, a heap for [container/heap].
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{} // releases the function and what it refers to
	*e = (*e)[:len(*e)-1]
	return last
}
