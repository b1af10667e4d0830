package sidecar

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/clock"
)

const (
	// drainAccept is the time after SIGTERM during which connections are accepted.
	drainAccept = 500 * time.Millisecond
	// drainStep is the interval between two steps of a shutdown.
	drainStep = 5 * time.Millisecond
	// After SIGTERM, SIGKILL comes no earlier than the longest deadline of a class, or maxDrain if that is shorter, plus
	// killAfter.
	maxDrain  = 3 * time.Second
	killAfter = 700 * time.Millisecond
	// finalResponseMargin is the time before the earliest SIGKILL at which service ends and all open requests get their
	// response. Without a response a client cannot tell whether the request ran or may be sent again. The margin allows
	// for a process that is held up for 0.15 s, between SIGTERM and reading its clock or before it writes the responses.
	finalResponseMargin = 250 * time.Millisecond
	// maxResponseTail limits the time for which responses that have started are forwarded after the end of service, in
	// case no SIGKILL comes.
	maxResponseTail = 30 * time.Second
)

// drainPhase is the phase of a graceful shutdown.
type drainPhase uint8

const (
	drainServing      drainPhase = iota // new requests are still served
	drainServiceEnded                   // all open requests have their response, or it is being forwarded
)

func (p drainPhase) String() string {
	return [...]string{"serving", "answered"}[p]
}

// drainState is the state of a graceful shutdown. docs/on-call.md describes it by the states of a client's connection.
//
// If a successor serves, this process stops accepting connections at once. Otherwise it accepts connections for
// drainAccept, and then for as long as a client may send a request again on a new connection, because its old one was
// closed while the request was on its way. Each response closes its connection. Connections without a request are
// closed after drainAccept. At the end of service, finalResponseMargin before the earliest SIGKILL, all open requests
// get their response, including requests that have arrived only in part, and responses that have started are forwarded
// to their end.
type drainState struct {
	s             *Sidecar
	startedAt     time.Time
	serviceEnd    time.Time // time at which service ends
	idleEnd       time.Time // time from which on connections without a request are closed
	lastCrossedAt time.Time // last time at which a close may have crossed a request, which the client then sends again
	accepting     bool
	phase         drainPhase
}

// drain shuts the service down gracefully.
func (s *Sidecar) drain(srv *http.Server) error {
	s.checkpoints.At(checkpoint.DrainSignalled)
	startedAt := time.Now()
	s.clients.StartDraining()
	s.predecessor.AnnounceEnd()
	slog.Info("draining")
	serviceTime := s.killTime() - finalResponseMargin
	d := &drainState{
		s: s, startedAt: startedAt, serviceEnd: startedAt.Add(serviceTime), lastCrossedAt: startedAt, accepting: true,
		// A request that crosses the close of its idle connection has to be sent again before the listener closes.
		idleEnd: startedAt.Add(min(s.drainAccept, serviceTime-clientserver.CloseWindow)),
	}
	for d.accepting || !s.listener.Empty() {
		if done := d.step(time.Now()); done {
			break
		}
		time.Sleep(drainStep)
	}
	err := srv.Close()
	s.awaitConnsClosed()
	s.loop.Members.Leave(d.serviceEnd.Add(finalResponseMargin))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("drain: %w", err)
	}
	slog.Info("drained")
	return nil
}

// step performs the actions that are due and reports whether the shutdown is done.
func (d *drainState) step(now time.Time) (done bool) {
	if !now.Before(d.idleEnd) && d.s.listener.CloseIdle(d.startedAt) {
		d.lastCrossedAt = now
	}
	sinceEnd := now.Sub(d.serviceEnd)
	if d.phase == drainServing && sinceEnd >= 0 {
		d.endService()
	}
	if d.accepting && d.mayStopAccepting(now) {
		d.accepting = !d.s.stopAccepting(sinceEnd >= finalResponseMargin)
	}
	if d.phase == drainServiceEnded {
		d.s.listener.RejectPartial()
		d.s.clients.AbortBodies()
	}
	// Connections that are still open now have never sent a complete request.
	allResponded := sinceEnd >= finalResponseMargin && !d.accepting && d.s.clients.OpenRequests() == 0
	return allResponded || sinceEnd >= maxResponseTail
}

// endService makes the balancer end all open requests with a response. Nothing is sent to servers from now on.
func (d *drainState) endService() {
	d.phase = drainServiceEnded
	d.s.checkpoints.At(checkpoint.ServiceEndDue)
	d.s.loop.Post(balance.Shutdown{})
	d.s.loop.Members.BeginLeave(finalResponseMargin)
	d.s.checkpoints.At(checkpoint.ServiceEnded)
}

// mayStopAccepting reports whether no further request depends on the listener of this process.
func (d *drainState) mayStopAccepting(now time.Time) bool {
	successorServes := d.s.successors.Serving.Load() > 0
	noneInTransit := !now.Before(d.idleEnd) && now.Sub(d.lastCrossedAt) >= clientserver.CloseWindow
	return successorServes || d.phase == drainServiceEnded || noneInTransit
}

// awaitConnsClosed waits until all client connections are closed, at most for CloseWindow, so that clients can read the
// responses that were written last.
func (s *Sidecar) awaitConnsClosed() {
	for startedAt := time.Now(); !s.listener.Empty() && time.Since(startedAt) < clientserver.CloseWindow; {
		time.Sleep(drainStep)
	}
}

// stopAccepting closes the listener and reports whether it did. Closing resets connections that wait to be accepted. As
// long as there are any the listener stays open, unless now is set or a successor shares the socket and accepts them.
func (s *Sidecar) stopAccepting(now bool) bool {
	if !now && !s.successors.ListenerShared() && s.countUnaccepted(s.tcpListener) > 0 {
		return false
	}
	s.listener.Close()
	return true
}

// killTime returns the time from SIGTERM to the earliest SIGKILL.
func (s *Sidecar) killTime() time.Duration {
	maxDeadline := 0.0
	for i := range s.cfg.Balance.Classes {
		maxDeadline = math.Max(maxDeadline, s.cfg.Balance.Classes[i].Deadline)
	}
	return min(clock.Duration(maxDeadline), maxDrain) + killAfter
}
