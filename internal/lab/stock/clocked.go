package stock

import "time"

// Clocked is a pod of servers on its caller's clock, without sockets or timers: the same model, for simulated runs.
// All times are of the caller's clock, which never goes back. It is not safe for concurrent use.
type Clocked struct{ group group }

// Task is one request at a clocked server.
type Task struct {
	job
	server *model
}

// Offered is what a server makes of a request.
type Offered uint8

// What becomes of a request.
const (
	Taken Offered = iota
	Refused
	Toppled // the server was cold, and this was too much: it has fallen over
)

// NewClocked makes a pod of servers that together have so much of their capacity (1: all of it).
func NewClocked(limit float64, specs []Spec) *Clocked {
	p := &Clocked{group: group{limit: limit}}
	for _, spec := range specs {
		p.group.models = append(p.group.models, newModel(spec))
	}
	return p
}

// Advance brings all work to now, tells what has begun and ended, and returns when to come again: the latest time of
// all (a negative one) where nothing will happen by itself.
func (p *Clocked) Advance(now time.Duration) time.Duration {
	complete, begin := p.group.advance(now)
	for _, j := range begin {
		j.onStart()
	}
	for _, j := range complete {
		j.done(true)
	}
	if next := p.group.next(now); next != never {
		return next
	}
	return -1
}

// Offer brings a request with its work, in milliseconds of a core of speed 1. began and done are told at most once, by
// Advance; done never where the request was dropped or its server ended.
func (p *Clocked) Offer(now time.Duration, server int, work float64, began, done func()) (*Task, Offered) {
	m := p.group.models[server]
	if m.topples(now, work) {
		return nil, Toppled
	}
	if m.full() {
		return nil, Refused
	}
	t := &Task{server: m, job: job{work: work, left: work, arrived: now, onStart: began, done: func(bool) { done() }, where: queued}}
	m.queue = append(m.queue, &t.job)
	return t, Taken
}

// Drop takes a request back, unless its server goes on with what it has begun. It tells whether it was taken back.
func (t *Task) Drop() bool {
	if t.where == nowhere || t.where == running && t.server.spec.NoCancel {
		return false
	}
	t.server.drop(&t.job)
	return true
}

// Slow makes a server so many times slower (1: as it should be); a paused one holds all it has.
func (p *Clocked) Slow(server int, times float64, paused bool) {
	m := p.group.models[server]
	m.slow, m.paused = max(times, 1), paused
}

// Kill ends a server with all that it holds.
func (p *Clocked) Kill(server int) {
	m := p.group.models[server]
	for _, j := range append(m.running, m.queue...) {
		j.where = nowhere
	}
	m.running, m.queue = nil, nil
}

// Boot starts a server anew; it is cold.
func (p *Clocked) Boot(now time.Duration, server int) {
	p.group.models[server].restart(now)
}

// Worked is the work that all servers of the pod have done, in milliseconds of a core of speed 1.
func (p *Clocked) Worked() float64 {
	sum := 0.0
	for _, m := range p.group.models {
		sum += m.worked
	}
	return sum
}
