package simulate

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"

	"marblelane/balance"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
)

// clientRequest is one request of a client with its retries, as the lab's clients make them.
type clientRequest struct {
	sim             *simulation
	number          int
	arrival         *scenario.Arrival
	rng             *rand.Rand
	deadline        float64
	obeysRetryAfter bool
	attempts        int
}

func (sim *simulation) startRequest(number int, a *scenario.Arrival) {
	r := &clientRequest{sim: sim, number: number, arrival: a, rng: rand.New(rand.NewPCG(a.Seed, uint64(number)))}
	r.deadline = sim.Now() + r.relativeDeadline()
	r.obeysRetryAfter = r.rng.Float64() < sim.scenario.Traffic.ObeysRetryAfter
	r.attempt()
}

// relativeDeadline is the time in ms from the arrival to the deadline.
func (r *clientRequest) relativeDeadline() float64 {
	s := r.sim.scenario
	return ms(s.Scaled(s.Classes[r.arrival.Class].Deadline))
}

// attempt sends the request to a sidecar, if a retry and time are left.
func (r *clientRequest) attempt() {
	if r.attempts > r.sim.scenario.Traffic.Retries {
		return
	}
	r.attempts++
	timeout := r.drawTimeout()
	leaveAfter := r.drawEarlyLeave(timeout)
	if timeout < 1 {
		return
	}
	sidecar := r.runningSidecar()
	if sidecar == nil {
		r.scheduleRetry(0)
		return
	}
	a := &clientAttempt{request: r, sidecar: sidecar, id: r.rng.Uint64()>>12 | 1, deadline: r.sim.Now() + timeout}
	sidecar.attempts[balance.RequestID(a.id)] = a
	a.record(record.Sent, record.Event{Attempt: int16(r.attempts), Sum: 1})
	if leaveAfter > 0 {
		r.sim.After(leaveAfter, a.leave)
	}
	r.sim.After(timeout, a.timeOut)
	r.sim.After(timeout+lateAnswerWait, a.stopListening)
	sidecar.handle(balance.Request{ID: balance.RequestID(a.id), Class: r.arrival.Class, Tenant: r.arrival.Tenant,
		Remaining: timeout, ClientRetry: r.attempts > 1})
}

// drawTimeout draws the time in ms that the next attempt may take.
func (r *clientRequest) drawTimeout() float64 {
	traffic := &r.sim.scenario.Traffic
	noise := 0.9 + 0.2*r.rng.Float64()
	left := r.deadline - r.sim.Now()
	if traffic.Retries == 0 {
		return left
	}
	return math.Min(r.relativeDeadline()*math.Min(traffic.AttemptTimeoutFraction*noise, 1), left)
}

// drawEarlyLeave draws the time in ms after which the client leaves before its timeout; 0: it does not.
func (r *clientRequest) drawEarlyLeave(timeout float64) float64 {
	if r.rng.Float64() < r.sim.scenario.Traffic.EarlyLeaveFraction {
		return timeout * r.rng.Float64()
	}
	return 0
}

// runningSidecar is the client's sidecar, or another one while that is down; nil: none runs.
func (r *clientRequest) runningSidecar() *sidecar {
	sidecar := r.sim.sidecars[r.arrival.Sidecar]
	if sidecar.down {
		return r.sim.members.anyRunning(r.rng)
	}
	return sidecar
}

// scheduleRetry lets the client send again after its backoff, or the time of a Retry-After that it waits for.
func (r *clientRequest) scheduleRetry(retryAfter float64) {
	wait := ms(r.sim.scenario.Scaled(r.sim.scenario.Traffic.Backoff))
	if r.obeysRetryAfter && retryAfter > 0 {
		wait = retryAfter
	}
	r.sim.After(wait, r.attempt)
}

// clientAttempt is one attempt of a request at a sidecar, under an ID of its own.
type clientAttempt struct {
	request    *clientRequest
	sidecar    *sidecar
	id         uint64
	deadline   float64
	clientDone bool // its client has left, has timed out, or has its answer
	overdue    bool // its client has timed out and still reads
	final      bool // it has its final answer, or no client reads
	attempts   []*serverAttempt
}

func (c *clientAttempt) record(k record.Kind, e record.Event) {
	e.Kind, e.Request, e.Sidecar, e.Server = k, c.id, int32(c.sidecar.number), record.None
	e.Class, e.N = int16(c.request.arrival.Class), int64(c.request.number)
	c.request.sim.record(e)
}

// leave ends the attempt before its timeout: the client closes its connection.
func (c *clientAttempt) leave() {
	if c.clientDone {
		return
	}
	c.clientDone = true
	c.record(record.ClientDisconnected, record.Event{})
	c.forget()
	c.sidecar.handle(balance.ClientDisconnected{Request: balance.RequestID(c.id)})
	c.request.scheduleRetry(0)
}

func (c *clientAttempt) timeOut() {
	if c.clientDone {
		return
	}
	c.clientDone, c.overdue = true, true
	c.record(record.Overdue, record.Event{})
	c.request.scheduleRetry(0)
}

// stopListening ends the time in which a client that has timed out still reads.
func (c *clientAttempt) stopListening() {
	if c.overdue && !c.final {
		c.record(record.NoResponse, record.Event{Note: "nothing"})
		c.forget()
	}
}

// answer is the sidecar's final answer. The attempt is nil if its client has left.
func (c *clientAttempt) answer(status int, retryAfter float64) {
	if c == nil {
		return
	}
	e := record.Event{Status: int32(status)}
	if status == http.StatusOK {
		e.Sum, e.Want = 1, 1
	}
	retry := !c.clientDone && status != http.StatusOK
	if !c.final {
		c.record(record.ResponseReceived, e)
	}
	c.clientDone = true
	c.forget()
	if retry {
		c.request.scheduleRetry(retryAfter)
	}
}

// forget drops the attempt from its sidecar once none of its server attempts is in flight.
func (c *clientAttempt) forget() {
	c.final = true
	if !slices.ContainsFunc(c.attempts, func(a *serverAttempt) bool { return !a.reported }) {
		delete(c.sidecar.attempts, balance.RequestID(c.id))
	}
}

func (c *clientAttempt) forgetIfFinal() {
	if c.final {
		c.forget()
	}
}
