package simulate

import (
	"math"
	"net/http"

	"marblelane/balance"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// connectTimeout is limits.connect_timeout_ms of the settings that Plan.Settings makes, in ms.
const connectTimeout = scenario.ConnectTimeoutMS

// idleMargin is the time in ms before the server's idle timeout at which a sidecar stops reusing a connection.
const idleMargin = 2.0

// serverAttempt is one send of a request from a sidecar to a server.
type serverAttempt struct {
	sim              *simulation
	client           *clientAttempt
	sidecar          *sidecar
	server           *server
	number           int     // index among the attempts of the client attempt
	connection       int16   // number of the connection at the server, from 1
	sentAt           float64 // time of the send, in ms of simulated time
	task             *stock.Task
	reusedConnection bool
	reachedServer    bool
	ended            bool // the server has responded or seen the connection closed
	reported         bool // the outcome has been reported to the balancer, or the sidecar has ended
}

// send makes an attempt at a server, over an idle connection or a new one. The attempt times out at dropAt (simulated
// time in ms) if that is positive, and at the client attempt's deadline at the latest.
func (c *clientAttempt) send(s *server, dropAt float64) {
	sim := c.request.sim
	a := &serverAttempt{sim: sim, client: c, sidecar: c.sidecar, server: s, number: len(c.attempts), sentAt: sim.Now()}
	c.attempts = append(c.attempts, a)
	if dropAt <= 0 {
		dropAt = c.deadline
	}
	sim.At(math.Min(dropAt, c.deadline), func() {
		if !a.reported {
			a.cancelAtServer()
			a.reportFailure(balance.TimedOut)
		}
	})
	a.reusedConnection = c.sidecar.takeIdleConnection(s)
	sim.sends = append(sim.sends, Send{At: sim.Now() - runStart, Sidecar: c.sidecar.number, Server: s.number,
		First: a.number == 0, NewConnection: !a.reusedConnection, Work: c.request.arrival.Work})
	if a.reusedConnection {
		sim.After(sim.latency(c.sidecar, s), func() { a.arrive(0) })
		return
	}
	a.connect()
}

// takeIdleConnection takes an idle connection to a server that is still open. It returns false if there is none.
func (sc *sidecar) takeIdleConnection(s *server) bool {
	idle := sc.idleUntil[s.number]
	for len(idle) > 0 {
		last := len(idle) - 1
		openUntil := idle[last]
		idle = idle[:last]
		if openUntil > sc.sim.Now() {
			sc.idleUntil[s.number] = idle
			return true
		}
	}
	sc.idleUntil[s.number] = idle
	return false
}

// connect opens a connection, which takes a round trip, and sends the request over it.
func (a *serverAttempt) connect() {
	sim := a.sim
	l, oneWay := sim.link(a.sidecar, a.server), sim.latency(a.sidecar, a.server)
	switch {
	case l.cutTo || l.cutFrom: // the first packet of the handshake, or its response, is lost
		sim.After(connectTimeout, func() { a.reportFailure(balance.ConnectFailed) })
	case a.server.down || l.reject:
		sim.After(2*oneWay, func() { a.reportFailure(balance.ConnectFailed) })
	default:
		handshake := sim.scenario.Servers.HandshakeWork.Milliseconds() / sim.scenario.Traffic.Speedup
		sim.After(3*oneWay, func() { a.arrive(handshake) })
	}
}

func (a *serverAttempt) record(k record.Kind, status int) {
	a.sim.record(record.Event{Kind: k, Request: a.client.id, Sidecar: int32(a.sidecar.number), Server: int32(a.server.number),
		Attempt: a.connection, Status: int32(status), Class: record.None})
}

// arrive handles the arrival of the request at its server, unless the link is cut. The work of opening the connection
// is added to the work of the request.
func (a *serverAttempt) arrive(connectionWork float64) {
	sim, s := a.sim, a.server
	l := sim.link(a.sidecar, s)
	if a.reported || l.cutTo {
		return
	}
	if s.down {
		a.failAtDownServer()
		return
	}
	s.connections++
	a.connection, a.reachedServer = s.connections, true
	a.record(record.FirstByte, 0)
	a.record(record.LastByte, 0)
	if s.rejects {
		a.reject()
		return
	}
	if s.failFraction > 0 && sim.rng.Float64() < s.failFraction {
		a.record(record.WorkStarted, 0)
		a.respond(http.StatusInternalServerError, func() { a.reportFailure(balance.Failed) })
		return
	}
	dropped := s.dropFraction > 0 && sim.rng.Float64() < s.dropFraction || l.responseLoss > 0 && sim.rng.Float64() < l.responseLoss
	sim.advance(s.pod)
	if sim.members != nil && sim.members.overloads(s) {
		a.crashOnOverload()
		return
	}
	a.startWork(connectionWork, dropped)
}

// failAtDownServer fails an attempt whose server is down. Over a reused connection the result is a reset, as the
// sidecar cannot determine whether the server read the request.
func (a *serverAttempt) failAtDownServer() {
	result := balance.ConnectFailed
	if a.reusedConnection {
		result = balance.Reset
	}
	a.deliver(func() { a.reportFailure(result) })
}

// startWork offers the request to the server's pod. If dropped is set, the response is never sent.
func (a *serverAttempt) startWork(connectionWork float64, dropped bool) {
	sim, s, arrival := a.sim, a.server, a.client.request.arrival
	work := arrival.Work*sim.scenario.Classes[arrival.Class].AttemptWorkFactor(a.client.id, s.number) + connectionWork
	started := func() { a.record(record.WorkStarted, 0) }
	finished := func() {
		if !a.ended && !dropped {
			a.respond(http.StatusOK, a.reportSuccess)
		}
	}
	task, result := s.pod.model.Offer(sim.elapsed(), s.indexInPod, work, started, finished)
	switch result {
	case stock.Rejected:
		a.reject()
	case stock.Overloaded:
		a.crashOnOverload()
	default:
		a.task = task
		sim.advance(s.pod)
	}
}

// reject responds that the request was not processed.
func (a *serverAttempt) reject() {
	a.record(record.Rejected, http.StatusServiceUnavailable)
	a.respond(http.StatusServiceUnavailable, func() { a.reportFailure(balance.Rejected) })
}

// respond sends the server's response. The function report reports the outcome to the balancer and is called when the
// response arrives.
func (a *serverAttempt) respond(status int, report func()) {
	a.ended = true
	a.record(record.ResponseSent, status)
	a.deliver(func() {
		a.keepConnection()
		report()
	})
}

// crashOnOverload crashes the server that this attempt overloads.
func (a *serverAttempt) crashOnOverload() {
	a.sim.record(record.Event{Kind: record.OverloadCrash, Request: a.client.id, Sidecar: int32(a.sidecar.number), Server: int32(a.server.number),
		Class: record.None, Note: "overloaded during slow start"})
	a.sim.crashServer(a.server, true)
}

// deliver calls then when a packet from the server arrives at the sidecar, unless the link is cut or the attempt's
// outcome has been reported by then.
func (a *serverAttempt) deliver(then func()) {
	sim := a.sim
	if sim.link(a.sidecar, a.server).cutFrom {
		return
	}
	sim.After(sim.latency(a.sidecar, a.server), func() {
		if !a.reported && !sim.link(a.sidecar, a.server).cutFrom {
			then()
		}
	})
}

// keepConnection keeps the connection open for another request.
func (a *serverAttempt) keepConnection() {
	openUntil := a.sim.Now() + a.sim.scenario.Servers.IdleTimeout.Milliseconds() - idleMargin
	a.sidecar.idleUntil[a.server.number] = append(a.sidecar.idleUntil[a.server.number], openUntil)
}

// outcome returns the event that reports the attempt's result to the balancer.
func (a *serverAttempt) outcome(result balance.Result) balance.Outcome {
	return balance.Outcome{Request: balance.RequestID(a.client.id), Attempt: a.number, Server: balance.ServerID(a.server.number + 1),
		Result: result, Elapsed: a.sim.Now() - a.sentAt}
}

// reportSuccess sends the response to the client and reports the success to the balancer.
func (a *serverAttempt) reportSuccess() {
	a.reported = true
	outcome := a.outcome(balance.OK)
	outcome.Finished = true
	a.client.respond(http.StatusOK, 0)
	a.sidecar.handle(outcome)
	a.client.removeIfFinal()
}

// reportFailure reports to the balancer an attempt that ended without a response for the client.
func (a *serverAttempt) reportFailure(result balance.Result) {
	if a.reported {
		return
	}
	a.reported = true
	a.closeAtServer()
	a.sidecar.handle(a.outcome(result))
	a.client.removeIfFinal()
}

// closeAtServer records that the sidecar has closed the connection of an attempt before the server's response.
func (a *serverAttempt) closeAtServer() {
	if a.reachedServer && !a.ended {
		a.ended = true
		a.record(record.SidecarClosed, 0)
	}
}

// cancel cancels the attempt on request of the balancer. It reports the result in a later step of the clock, as the
// balancer must not be called during one of its own calls.
func (a *serverAttempt) cancel() {
	a.sim.After(0, func() {
		if !a.reported {
			a.cancelAtServer()
			a.reportFailure(balance.Cancelled)
		}
	})
}

// cancelAtServer cancels the work when the close of the connection arrives at the server, unless the link is cut.
func (a *serverAttempt) cancelAtServer() {
	sim := a.sim
	if sim.link(a.sidecar, a.server).cutTo {
		return
	}
	sim.After(sim.latency(a.sidecar, a.server), func() {
		if a.task != nil && a.task.Cancel() {
			sim.advance(a.server.pod)
		}
	})
}
