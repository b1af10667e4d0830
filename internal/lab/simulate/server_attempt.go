package simulate

import (
	"math"
	"net/http"

	"marblelane/balance"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// connectTimeout is the settings' limits.connect_timeout_ms, as in Plan.Settings.
const connectTimeout = scenario.ConnectTimeoutMS

// idleMargin is how long before the server's idle timeout a sidecar stops using a connection, in ms.
const idleMargin = 2.0

// serverAttempt is one send of a request from a sidecar to a server.
type serverAttempt struct {
	sim              *simulation
	client           *clientAttempt
	sidecar          *sidecar
	server           *server
	number           int
	connection       int16
	sentAt           float64
	task             *stock.Task
	reusedConnection bool
	reachedServer    bool
	ended            bool // the server has answered it or seen it closed
	reported         bool // the balancer has its outcome
}

// send makes an attempt at a server, over an idle connection or a new one. It times out at dropAt, if that is set.
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
	a.reusedConnection = c.sidecar.takeIdle(s)
	sim.sends = append(sim.sends, Send{At: sim.Now() - runStart, Sidecar: c.sidecar.number, Server: s.number,
		First: a.number == 0, NewConnection: !a.reusedConnection, Work: c.request.arrival.Work})
	if a.reusedConnection {
		sim.After(sim.latency(c.sidecar, s), func() { a.arrive(0) })
		return
	}
	a.connect()
}

// takeIdle takes an idle connection to a server, if one is still open.
func (sc *sidecar) takeIdle(s *server) bool {
	idle := sc.idle[s.number]
	for len(idle) > 0 {
		last := len(idle) - 1
		openUntil := idle[last]
		idle = idle[:last]
		if openUntil > sc.sim.Now() {
			sc.idle[s.number] = idle
			return true
		}
	}
	sc.idle[s.number] = idle
	return false
}

// connect opens a connection, which takes a round trip, and sends the request over it.
func (a *serverAttempt) connect() {
	sim := a.sim
	l, oneWay := sim.link(a.sidecar, a.server), sim.latency(a.sidecar, a.server)
	switch {
	case l.cutTo || l.cutFrom: // the first packet, or the answer to it, is lost
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

// arrive is when the request reaches its server, if it does. Work of the connection is added to that of the request.
func (a *serverAttempt) arrive(connectionWork float64) {
	sim, s := a.sim, a.server
	l := sim.link(a.sidecar, s)
	if a.reported || l.cutTo {
		return
	}
	if s.down {
		a.arriveAtDownServer()
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
		a.end(http.StatusInternalServerError, func() { a.reportFailure(balance.Failed) })
		return
	}
	dropped := s.dropFraction > 0 && sim.rng.Float64() < s.dropFraction || l.answerLoss > 0 && sim.rng.Float64() < l.answerLoss
	sim.advance(s.pod)
	if sim.members != nil && sim.members.overloads(s) {
		a.overload()
		return
	}
	a.startWork(connectionWork, dropped)
}

// arriveAtDownServer fails the attempt. The sidecar cannot tell whether a request over a reused connection was read.
func (a *serverAttempt) arriveAtDownServer() {
	result := balance.ConnectFailed
	if a.reusedConnection {
		result = balance.Reset
	}
	a.deliver(func() { a.reportFailure(result) })
}

// startWork offers the request to the server's pod. The answer to a dropped one is lost.
func (a *serverAttempt) startWork(connectionWork float64, dropped bool) {
	sim, s, arrival := a.sim, a.server, a.client.request.arrival
	work := arrival.Work*sim.scenario.Classes[arrival.Class].AttemptWorkFactor(a.client.id, s.number) + connectionWork
	started := func() { a.record(record.WorkStarted, 0) }
	finished := func() {
		if !a.ended && !dropped {
			a.end(http.StatusOK, a.reportSuccess)
		}
	}
	task, result := s.pod.model.Offer(sim.elapsed(), s.inPod, work, started, finished)
	switch result {
	case stock.Rejected:
		a.reject()
	case stock.Overloaded:
		a.overload()
	default:
		a.task = task
		sim.advance(s.pod)
	}
}

// reject answers that nothing ran.
func (a *serverAttempt) reject() {
	a.record(record.Rejected, http.StatusServiceUnavailable)
	a.end(http.StatusServiceUnavailable, func() { a.reportFailure(balance.Rejected) })
}

// end answers the attempt at its server; report tells the balancer once the answer has arrived.
func (a *serverAttempt) end(status int, report func()) {
	a.ended = true
	a.record(record.ResponseSent, status)
	a.deliver(func() {
		a.keepConnection()
		report()
	})
}

// overload crashes the server that this attempt is too much for.
func (a *serverAttempt) overload() {
	a.sim.record(record.Event{Kind: record.OverloadCrash, Request: a.client.id, Sidecar: int32(a.sidecar.number), Server: int32(a.server.number),
		Class: record.None, Note: "sent more than it can bear while cold"})
	a.sim.crashServer(a.server, true)
}

// deliver brings the server's answer to the sidecar, unless the link is cut.
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

// keepConnection leaves the connection open for a next request.
func (a *serverAttempt) keepConnection() {
	openUntil := a.sim.Now() + a.sim.scenario.Servers.IdleTimeout.Milliseconds() - idleMargin
	a.sidecar.idle[a.server.number] = append(a.sidecar.idle[a.server.number], openUntil)
}

// outcome is the attempt's end as an event for the balancer.
func (a *serverAttempt) outcome(result balance.Result) balance.Outcome {
	return balance.Outcome{Request: balance.RequestID(a.client.id), Attempt: a.number, Server: balance.ServerID(a.server.number + 1),
		Result: result, Elapsed: a.sim.Now() - a.sentAt}
}

// reportSuccess answers the client and tells the balancer.
func (a *serverAttempt) reportSuccess() {
	a.reported = true
	outcome := a.outcome(balance.OK)
	outcome.Finished = true
	a.client.answer(http.StatusOK, 0)
	a.sidecar.handle(outcome)
	a.client.forgetIfFinal()
}

// reportFailure tells the balancer of an attempt that ended without an answer for the client.
func (a *serverAttempt) reportFailure(result balance.Result) {
	if a.reported {
		return
	}
	a.reported = true
	a.closeAtServer()
	a.sidecar.handle(a.outcome(result))
	a.client.forgetIfFinal()
}

// closeAtServer records that the sidecar has closed an attempt that its server has not answered.
func (a *serverAttempt) closeAtServer() {
	if a.reachedServer && !a.ended {
		a.ended = true
		a.record(record.SidecarClosed, 0)
	}
}

// cancel gives the attempt up for the balancer, later: the balancer must not be called from its own call.
func (a *serverAttempt) cancel() {
	a.sim.After(0, func() {
		if !a.reported {
			a.cancelAtServer()
			a.reportFailure(balance.Cancelled)
		}
	})
}

// cancelAtServer lets the server see the close and drop the work, unless the link is cut.
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
