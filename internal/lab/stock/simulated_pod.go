package stock

import "time"

// SimulatedPod is a pod of servers without sockets or timers, for simulated runs. It uses the same model as Server.
// All times are of the caller's clock, which must not go back. It is not safe for concurrent use.
type SimulatedPod struct{ group group }

// Task is one request at a simulated server.
type Task struct {
	job
	server *model
}

// OfferResult is the outcome of offering a request to a server.
type OfferResult uint8

// Outcomes of an offer.
const (
	Accepted   OfferResult = iota // queued
	Rejected                      // the queue is full
	Overloaded                    // too much work for a server in slow start: its process crashes
)

// NewSimulatedPod returns a pod whose servers together have this fraction of their capacity (1 means no limit).
func NewSimulatedPod(limit float64, specs []Spec) *SimulatedPod {
	p := &SimulatedPod{group: group{limit: limit}}
	for _, spec := range specs {
		p.group.models = append(p.group.models, newModel(spec))
	}
	return p
}

// Advance runs all work up to now, calls onStart and onDone of the requests that started or completed, and returns when
// it has to be called again. A negative result means that nothing happens until the next offer or change.
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

// Offer sends a request to a server. work is in milliseconds of a core of speed 1. Advance calls onStart and onDone,
// each at most once. onDone is not called if the request is cancelled or the server is killed.
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

// Cancel cancels a request, unless it has ended or runs on a server with Spec.NoCancel. It reports whether the request
// was cancelled.
func (t *Task) Cancel() bool {
	if t.state == inactive || t.state == running && t.server.spec.NoCancel {
		return false
	}
	t.server.remove(&t.job)
	return true
}

// SetSlowdown slows a server down by a factor (1 means normal speed). A paused server does no work.
func (p *SimulatedPod) SetSlowdown(server int, factor float64, paused bool) {
	m := p.group.models[server]
	m.slowdown, m.paused = max(factor, 1), paused
}

// Kill ends the process of a server and drops all its requests.
func (p *SimulatedPod) Kill(server int) {
	m := p.group.models[server]
	for _, j := range append(m.running, m.queue...) {
		j.state = inactive
	}
	m.running, m.queue = nil, nil
}

// Restart starts the process of a server again, in slow start.
func (p *SimulatedPod) Restart(now time.Duration, server int) {
	p.group.models[server].restart(now)
}

// WorkDone returns the total work of all servers of the pod, in milliseconds of a core of speed 1.
func (p *SimulatedPod) WorkDone() float64 {
	sum := 0.0
	for _, m := range p.group.models {
		sum += m.workDone
	}
	return sum
}
