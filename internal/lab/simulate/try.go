package simulate

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"

	"marblelane/balance"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// connectTimeout is the settings' limits.connect_timeout_ms, as Plan.Settings has it.
const connectTimeout = scenario.ConnectTimeoutMS

// ask is one request of a client with its retries, as the lab's clients make them.
type clientRequest struct {
	sim        *simulation
	number   int
	arrival        *scenario.Arrival
	rng      *rand.Rand
	deadline float64
	obeysRetryAfter  bool
	attempts    int
}

func (sim *simulation) startRequest(number int, a *scenario.Arrival) {
	request := &clientRequest{sim: sim, number: number, arrival: a, rng: rand.New(rand.NewPCG(a.Seed, uint64(number)))}
	request.deadline = sim.Now() + ms(sim.scenario.Scaled(sim.scenario.Classes[a.Class].Deadline))
	request.obeysRetryAfter = request.rng.Float64() < sim.scenario.Traffic.ObeysRetryAfter
	request.attempt()
}

// next makes the next try, if there is one.
func (request *clientRequest) attempt() {
	sim, s := request.sim, request.sim.scenario
	if request.attempts > s.Traffic.Retries {
		return
	}
	request.attempts++
	noise := 0.9 + 0.2*request.rng.Float64()
	left := request.deadline - sim.Now()
	patience := math.Min(ms(s.Scaled(s.Classes[request.arrival.Class].Deadline))*math.Min(s.Traffic.AttemptTimeoutFraction*noise, 1), left)
	if s.Traffic.Retries == 0 {
		patience = left
	}
	early := 0.0
	if request.rng.Float64() < s.Traffic.EarlyLeaveFraction {
		early = patience * request.rng.Float64()
	}
	if patience < 1 {
		return
	}
	sidecar := sim.sidecars[request.arrival.Sidecar]
	if sidecar.down {
		if sidecar = sim.members.anyRunning(request.rng); sidecar == nil {
			request.scheduleRetry(0)
			return
		}
	}
	t := &clientAttempt{request: request, sidecar: sidecar, id: request.rng.Uint64()>>12 | 1, deadline: sim.Now() + patience}
	sidecar.attempts[balance.RequestID(t.id)] = t
	t.record(record.Sent, record.Event{Attempt: int16(request.attempts), Sum: 1})
	if early > 0 {
		sim.After(early, func() {
			if t.clientDone {
				return
			}
			t.clientDone = true
			t.record(record.ClientLeft, record.Event{})
			t.forget()
			t.sidecar.handle(balance.ClientGone{Request: balance.RequestID(t.id)})
			request.scheduleRetry(0)
		})
	}
	sim.After(patience, func() {
		if !t.clientDone {
			t.clientDone, t.overdue = true, true
			t.record(record.Overdue, record.Event{})
			request.scheduleRetry(0)
		}
	})
	sim.After(patience+lateAnswerWait, func() {
		if t.overdue && !t.final {
			t.record(record.NoAnswer, record.Event{Note: "nothing"})
			t.forget()
		}
	})
	sidecar.handle(balance.Request{ID: balance.RequestID(t.id), Class: request.arrival.Class, Tenant: request.arrival.Tenant, Remaining: patience, ClientRetry: request.attempts > 1})
}

// again lets the client come back after its pause.
func (request *clientRequest) scheduleRetry(after float64) {
	wait := ms(request.sim.scenario.Scaled(request.sim.scenario.Traffic.Backoff))
	if request.obeysRetryAfter && after > 0 {
		wait = after
	}
	request.sim.After(wait, request.attempt)
}

// try is one try of a request at a sidecar: one id.
type clientAttempt struct {
	request      *clientRequest
	sidecar        *sidecar
	id       uint64
	deadline float64
	clientDone   bool // its client does not wait for it any more, or has its answer
	overdue     bool // its client's time is over, and it listens on
	final     bool // it has its final answer, or nobody listens
	attempts []*serverAttempt
}

func (attempt *clientAttempt) record(k record.Kind, e record.Event) {
	e.Kind, e.Request, e.Sidecar, e.Server = k, attempt.id, int32(attempt.sidecar.number), record.None
	e.Class, e.N = int16(attempt.request.arrival.Class), int64(attempt.request.number)
	attempt.request.sim.record(e)
}

// answered is the sidecar's final answer.
func (attempt *clientAttempt) answer(status int, after float64) {
	if attempt == nil { // of a client that is gone
		return
	}
	e := record.Event{Status: int32(status)}
	if status == http.StatusOK {
		e.Sum, e.Want = 1, 1
	}
	again := !attempt.clientDone && status != http.StatusOK
	if !attempt.final {
		attempt.record(record.Answered, e)
	}
	attempt.clientDone = true
	attempt.forget()
	if again {
		attempt.request.scheduleRetry(after)
	}
}

// end forgets a try once nothing of it is out.
func (attempt *clientAttempt) forget() {
	attempt.final = true
	if !slices.ContainsFunc(attempt.attempts, func(a *serverAttempt) bool { return !a.reported }) {
		delete(attempt.sidecar.attempts, balance.RequestID(attempt.id))
	}
}

// attempt is one send.
type serverAttempt struct {
	client       *clientAttempt
	server       *server
	number  int
	connection    int16
	sentAt    float64
	task    *stock.Task
	reusedConnection    bool // over a connection that was open
	reachedServer bool // its server has it
	ended    bool // the server has answered it or seen it closed
	reported    bool // the balancer knows its end
}

func (attempt *serverAttempt) record(k record.Kind, status int) {
	attempt.client.request.sim.record(record.Event{Kind: k, Request: attempt.client.id, Sidecar: int32(attempt.client.sidecar.number), Server: int32(attempt.server.number), Attempt: attempt.connection,
		Status: int32(status), Class: record.None, Sum: 0})
}

// send makes an attempt: over a kept connection, or a new one, which costs a round trip and may never come up.
func (t *clientAttempt) send(s *server, dropAt float64) {
	c, sim := t.sidecar, t.sidecar.sim
	a := &serverAttempt{client: t, server: s, number: len(t.attempts), sentAt: sim.Now()}
	t.attempts = append(t.attempts, a)
	sim.sends = append(sim.sends, Send{At: sim.Now() - runStart, Sidecar: c.number, Server: s.number, First: a.number == 0, Work: t.request.arrival.Work})
	if dropAt <= 0 {
		dropAt = t.deadline
	}
	sim.At(math.Min(dropAt, t.deadline), func() {
		if !a.reported {
			a.cancelAtServer()
			a.reportFailure(balance.TimedOut)
		}
	})
	idle := c.idle[s.number]
	for len(idle) > 0 {
		until := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if until > sim.Now() {
			c.idle[s.number] = idle
			a.reusedConnection = true
			sim.After(sim.latency(c, s), func() { a.arrive(0) })
			return
		}
	}
	c.idle[s.number] = idle
	sim.sends[len(sim.sends)-1].NewConnection = true
	l, once := sim.link(c, s), sim.latency(c, s)
	switch {
	case l.cutTo || l.cutFrom: // the first packet, or the answer to it, is lost
		sim.After(connectTimeout, func() { a.reportFailure(balance.ConnectFailed) })
	case s.down || l.reject:
		sim.After(2*once, func() { a.reportFailure(balance.ConnectFailed) })
	default:
		sim.After(3*once, func() { a.arrive(sim.scenario.Servers.HandshakeWork.Milliseconds() / sim.scenario.Traffic.Speedup) })
	}
}

// arrive is when the request reaches its server, if it does.
func (a *serverAttempt) arrive(extra float64) {
	sim, s := a.client.request.sim, a.server
	l := sim.link(a.client.sidecar, s)
	if a.reported || l.cutTo {
		return
	}
	if s.down {
		result := balance.ConnectFailed
		if a.reusedConnection { // it was written, for all that the sidecar knows
			result = balance.Reset
		}
		a.deliver(func() { a.reportFailure(result) })
		return
	}
	s.connections++
	a.connection, a.reachedServer = s.connections, true
	a.record(record.FirstByte, 0)
	a.record(record.LastByte, 0)
	reject := func() {
		a.record(record.Rejected, 503)
		a.record(record.Replied, 503)
		a.ended = true
		a.deliver(func() { a.keepConnection(); a.reportFailure(balance.Rejected) })
	}
	if s.rejects {
		reject()
		return
	}
	if s.failFraction > 0 && sim.rng.Float64() < s.failFraction {
		a.record(record.WorkStarted, 0)
		a.record(record.Replied, 500)
		a.ended = true
		a.deliver(func() { a.keepConnection(); a.reportFailure(balance.Failed) })
		return
	}
	dropped := s.dropFraction > 0 && sim.rng.Float64() < s.dropFraction || l.answerLoss > 0 && sim.rng.Float64() < l.answerLoss
	sim.advance(s.pod)
	work := a.client.request.arrival.Work*sim.scenario.Classes[a.client.request.arrival.Class].AttemptWorkFactor(a.client.id, s.number) + extra
	if sim.members != nil && sim.members.overloads(s) {
		a.overload()
		return
	}
	task, what := s.pod.model.Offer(sim.elapsed(), s.inPod, work, func() { a.record(record.WorkStarted, 0) }, func() {
		if a.ended || dropped {
			return
		}
		a.ended = true
		a.record(record.Replied, 200)
		a.deliver(func() { a.keepConnection(); a.reportSuccess() })
	})
	switch what {
	case stock.Rejected:
		reject()
	case stock.Overloaded:
		a.overload()
	default:
		a.task = task
		sim.advance(s.pod)
	}
}

// topple ends the server that this attempt is too much for.
func (a *serverAttempt) overload() {
	sim := a.client.request.sim
	sim.record(record.Event{Kind: record.OverloadCrash, Request: a.client.id, Sidecar: int32(a.client.sidecar.number), Server: int32(a.server.number),
		Class: record.None, Note: "sent more than it can bear while cold"})
	sim.crashServer(a.server, true)
}

// answer brings the server's word to the sidecar, unless the way is cut.
func (a *serverAttempt) deliver(then func()) {
	sim := a.client.request.sim
	if sim.link(a.client.sidecar, a.server).cutFrom {
		return
	}
	sim.After(sim.latency(a.client.sidecar, a.server), func() {
		if !a.reported && !sim.link(a.client.sidecar, a.server).cutFrom {
			then()
		}
	})
}

// keep leaves the connection open for the next request.
func (a *serverAttempt) keepConnection() {
	sim := a.client.request.sim
	a.client.sidecar.idle[a.server.number] = append(a.client.sidecar.idle[a.server.number], sim.Now()+sim.scenario.Servers.IdleTimeout.Milliseconds()-2)
}

// served is a good answer.
func (a *serverAttempt) reportSuccess() {
	a.reported = true
	took := a.client.request.sim.Now() - a.sentAt
	a.client.answer(http.StatusOK, 0)
	a.client.sidecar.handle(balance.Outcome{Request: balance.RequestID(a.client.id), Attempt: a.number, Server: balance.ServerID(a.server.number + 1),
		Result: balance.OK, Elapsed: took, Finished: true})
	a.client.forgetIfFinal()
}

// lost tells the balancer of an attempt that ended without an answer for the client.
func (a *serverAttempt) reportFailure(result balance.Result) {
	if a.reported {
		return
	}
	a.reported = true
	if a.reachedServer && !a.ended {
		a.ended = true
		a.record(record.SidecarClosed, 0)
	}
	a.client.sidecar.handle(balance.Outcome{Request: balance.RequestID(a.client.id), Attempt: a.number, Server: balance.ServerID(a.server.number + 1),
		Result: result, Elapsed: a.client.request.sim.Now() - a.sentAt})
	a.client.forgetIfFinal()
}

func (attempt *clientAttempt) forgetIfFinal() {
	if attempt.final {
		attempt.forget()
	}
}

// cancel gives an attempt up, as the balancer wants.
func (a *serverAttempt) cancel() {
	sim := a.client.request.sim
	sim.After(0, func() { // never from inside the balancer's own call
		if !a.reported {
			a.cancelAtServer()
			a.reportFailure(balance.Cancelled)
		}
	})
}

// cancelAtServer lets the server see the close, unless the way is cut; then it works on in vain.
func (a *serverAttempt) cancelAtServer() {
	sim := a.client.request.sim
	if sim.link(a.client.sidecar, a.server).cutTo {
		return
	}
	sim.After(sim.latency(a.client.sidecar, a.server), func() {
		if a.task != nil && a.task.Cancel() {
			sim.advance(a.server.pod)
		}
	})
}
