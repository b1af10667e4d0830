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
	deadline        float64 // deadline of the request, in ms of simulated time
	obeysRetryAfter bool    // the client waits for the time of a Retry-After
	attempts        int     // number of attempts made
}

// startRequest starts the request of an arrival. The number is the index of the arrival in the plan.
func (sim *simulation) startRequest(number int, a *scenario.Arrival) {
	r := &clientRequest{sim: sim, number: number, arrival: a, rng: rand.New(rand.NewPCG(a.Seed, uint64(number)))}
	r.deadline = sim.Now() + r.deadlineAfterArrival()
	r.obeysRetryAfter = r.rng.Float64() < sim.scenario.Traffic.RetryAfterFraction
	r.attempt()
}

// deadlineAfterArrival returns the time in ms from the arrival to the deadline.
func (r *clientRequest) deadlineAfterArrival() float64 {
	s := r.sim.scenario
	return ms(s.Scaled(s.Classes[r.arrival.Class].Deadline))
}

// attempt sends the request to a sidecar, unless the retries are used up or less than 1 ms is left.
func (r *clientRequest) attempt() {
	if r.attempts > r.sim.scenario.Traffic.Retries {
		return
	}
	r.attempts++
	timeout := r.drawTimeout()
	disconnectAfter := r.drawDisconnectDelay(timeout)
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
	if disconnectAfter > 0 {
		r.sim.After(disconnectAfter, a.disconnect)
	}
	r.sim.After(timeout, a.timeOut)
	r.sim.After(timeout+lateResponseWait, a.stopReading)
	sidecar.handle(balance.Request{ID: balance.RequestID(a.id), Class: r.arrival.Class, Tenant: r.arrival.Tenant,
		Remaining: timeout, ClientRetry: r.attempts > 1})
}

// drawTimeout draws the timeout of the next attempt in ms.
func (r *clientRequest) drawTimeout() float64 {
	traffic := &r.sim.scenario.Traffic
	noise := 0.9 + 0.2*r.rng.Float64()
	left := r.deadline - r.sim.Now()
	if traffic.Retries == 0 {
		return left
	}
	return math.Min(r.deadlineAfterArrival()*math.Min(traffic.AttemptTimeoutFraction*noise, 1), left)
}

// drawDisconnectDelay draws the time in ms after which the client disconnects before its timeout. It returns 0 if the
// client does not.
func (r *clientRequest) drawDisconnectDelay(timeout float64) float64 {
	if r.rng.Float64() < r.sim.scenario.Traffic.EarlyLeaveFraction {
		return timeout * r.rng.Float64()
	}
	return 0
}

// runningSidecar returns the client's sidecar, or a random running one while that is down. It returns nil if none runs.
func (r *clientRequest) runningSidecar() *sidecar {
	sidecar := r.sim.sidecars[r.arrival.Sidecar]
	if sidecar.down {
		return r.sim.members.anyRunning(r.rng)
	}
	return sidecar
}

// scheduleRetry schedules the client's next attempt after its backoff. If the client obeys Retry-After and retryAfter
// (in ms) is positive, the attempt follows after that time instead.
func (r *clientRequest) scheduleRetry(retryAfter float64) {
	wait := ms(r.sim.scenario.Scaled(r.sim.scenario.Traffic.Backoff))
	if r.obeysRetryAfter && retryAfter > 0 {
		wait = retryAfter
	}
	r.sim.After(wait, r.attempt)
}

// clientAttempt is one attempt of a client request at a sidecar. Each attempt has its own ID.
type clientAttempt struct {
	request    *clientRequest
	sidecar    *sidecar
	id         uint64
	deadline   float64          // deadline of the attempt, in ms of simulated time
	clientDone bool             // the client has disconnected, timed out or received its response
	overdue    bool             // the client has timed out and still reads
	final      bool             // the final response is sent, or the client no longer reads
	attempts   []*serverAttempt // server attempts in the order of their sends
}

func (c *clientAttempt) record(k record.Kind, e record.Event) {
	e.Kind, e.Request, e.Sidecar, e.Server = k, c.id, int32(c.sidecar.number), record.None
	e.Class, e.N = int16(c.request.arrival.Class), int64(c.request.number)
	c.request.sim.record(e)
}

// disconnect closes the client's connection before the attempt's timeout.
func (c *clientAttempt) disconnect() {
	if c.clientDone {
		return
	}
	c.clientDone = true
	c.record(record.ClientDisconnected, record.Event{})
	c.finish()
	c.sidecar.handle(balance.ClientDisconnected{Request: balance.RequestID(c.id)})
	c.request.scheduleRetry(0)
}

// timeOut ends the client's wait for a response. The client still reads for lateResponseWait, and may retry.
func (c *clientAttempt) timeOut() {
	if c.clientDone {
		return
	}
	c.clientDone, c.overdue = true, true
	c.record(record.Overdue, record.Event{})
	c.request.scheduleRetry(0)
}

// stopReading ends the time in which a client still reads after its timeout.
func (c *clientAttempt) stopReading() {
	if c.overdue && !c.final {
		c.record(record.NoResponse, record.Event{Note: "nothing"})
		c.finish()
	}
}

// respond sends the sidecar's final response to the client. The attempt is nil if it has been removed from its sidecar,
// for example because the client has disconnected.
func (c *clientAttempt) respond(status int, retryAfter float64) {
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
	c.finish()
	if retry {
		c.request.scheduleRetry(retryAfter)
	}
}

// finish marks the attempt as final and removes it from its sidecar if none of its server attempts is in flight.
func (c *clientAttempt) finish() {
	c.final = true
	if !slices.ContainsFunc(c.attempts, func(a *serverAttempt) bool { return !a.reported }) {
		delete(c.sidecar.attempts, balance.RequestID(c.id))
	}
}

// removeIfFinal removes the attempt from its sidecar if it is final and none of its server attempts is in flight.
func (c *clientAttempt) removeIfFinal() {
	if c.final {
		c.finish()
	}
}
