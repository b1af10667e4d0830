package stock

import "time"

// SimulatedPod is a pod of servers on its caller's clock, without sockets or timers: the same model, for simulated runs.
// All times are of the caller's clock, which never goes back. It is not safe for concurrent use.
type SimulatedPod struct{ group group }

// Task is one request at a simulated server.
type Task struct {
	job
	server *model
}

// OfferResult is what a server does with a request.
type OfferResult uint8

// Results of an offer.
const (
	Accepted OfferResult = iota
	Rejected
	Overloaded // the server was in slow start and got too much: its process has crashed
)

// NewSimulatedPod makes a pod of servers that together have this fraction of their capacity (1: all of it).
func NewSimulatedPod(limit float64, specs []Spec) *SimulatedPod {
	p := &SimulatedPod{group: group{limit: limit}}
	for _, spec := range specs {
		p.group.models = append(p.group.models, newModel(spec))
	}
	return p
}

// Advance brings all work to now, calls back for what has started and ended, and returns when to call it again; negative:
// nothing will happen by itself.
func (p *SimulatedPod) Advance(now time.Duration) time.Duration {
	completed, started := p.group.advance(now)
	for _, j := range started {
		j.onStart()
	}
	for _, j := range completed {
		j.onDone(true)
	}
	if next := p.group.next(now); next != never {
		return next
	}
	return -1
}

// Offer brings a request with its work, in milliseconds of a core of speed 1. onStart and onDone are called at most
// once, by Advance; onDone never where the request was cancelled or its server ended.
func (p *SimulatedPod) Offer(now time.Duration, server int, work float64, onStart, onDone func()) (*Task, OfferResult) {
	m := p.group.models[server]
	if m.overloads(now, work) {
		return nil, Overloaded
	}
	if m.isFull() {
		return nil, Rejected
	}
	t := &Task{server: m, job: job{work: work, remaining: work, arrived: now, onStart: onStart, onDone: func(bool) { onDone() }, state: queued}}
	m.queue = append(m.queue, &t.job)
	return t, Accepted
}

// Cancel cancels a request, unless its server continues what it has started. It reports whether it was cancelled.
func (t *Task) Cancel() bool {
	if t.state == inactive || t.state == running && t.server.spec.NoCancel {
		return false
	}
	t.server.remove(&t.job)
	return true
}

// SetSlowdown makes a server slower by a factor (1: normal); a paused one does no work.
func (p *SimulatedPod) SetSlowdown(server int, factor float64, paused bool) {
	m := p.group.models[server]
	m.slowdown, m.paused = max(factor, 1), paused
}

// Kill ends a server with all requests that it has.
func (p *SimulatedPod) Kill(server int) {
	m := p.group.models[server]
	for _, j := range append(m.running, m.queue...) {
		j.state = inactive
	}
	m.running, m.queue = nil, nil
}

// Restart starts a server again, in slow start.
func (p *SimulatedPod) Restart(now time.Duration, server int) {
	p.group.models[server].restart(now)
}

// WorkDone is the work that all servers of the pod have done, in milliseconds of a core of speed 1.
func (p *SimulatedPod) WorkDone() float64 {
	sum := 0.0
	for _, m := range p.group.models {
		sum += m.workDone
	}
	return sum
}
