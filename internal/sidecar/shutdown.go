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
	// drainAccept is how long connections are accepted after SIGTERM.
	drainAccept = 500 * time.Millisecond
	drainStep   = 5 * time.Millisecond
	// SIGKILL comes no earlier than killAfter beyond the longest deadline, of which maxDrain counts at most.
	maxDrain  = 3 * time.Second
	killAfter = 700 * time.Millisecond
	// finalAnswerMargin is how long before SIGKILL service ends and all open requests are answered: a client without an
	// answer cannot tell a request that may be sent again from one that ran. It covers a process that is held up for
	// 0.15 s, after SIGTERM before it reads its clock, or after that before it writes the answers.
	finalAnswerMargin = 250 * time.Millisecond
	// maxAnswerTail is how long answers that have started are forwarded where no SIGKILL comes.
	maxAnswerTail = 30 * time.Second
)

// drainPhase is how far a graceful shutdown has come.
type drainPhase uint8

const (
	drainServing      drainPhase = iota // requests that come are still served
	drainServiceEnded                   // service has ended: all that is open is answered, or its answer is being forwarded
)

func (p drainPhase) String() string {
	return [...]string{"serving", "answered"}[p]
}

// drainState is a graceful shutdown under way; docs/on-call.md has it by the states of a client's connection.
//
// Where a newer process serves, what comes is that one's at once. Otherwise connections are accepted for drainAccept, and
// then while a request may come again on a new connection because the end of its old one crossed it. Each answer ends its
// connection; connections without a request are ended after drainAccept. At the end of service, finalAnswerMargin before
// SIGKILL may come, all open requests get their answers, those included of which only a part has come, and answers that
// have started are forwarded to their end.
type drainState struct {
	s             *Sidecar
	startedAt     time.Time
	serviceEnd    time.Time // when service ends
	idleEnd       time.Time // when connections without a request are ended
	lastCrossedAt time.Time // when a request was last likely to come again
	accepting     bool
	phase         drainPhase
}

// drain ends the service gracefully.
func (s *Sidecar) drain(srv *http.Server) error {
	s.checkpoints.At(checkpoint.DrainSignalled)
	startedAt := time.Now()
	s.clients.StartDraining()
	s.predecessor.AnnounceEnd()
	slog.Info("draining")
	untilEnd := s.killTime() - finalAnswerMargin
	d := &drainState{
		s: s, startedAt: startedAt, serviceEnd: startedAt.Add(untilEnd), lastCrossedAt: startedAt, accepting: true,
		// A request that crosses the end of an idle connection has to come again before the listener closes.
		idleEnd: startedAt.Add(min(s.drainAccept, untilEnd-clientserver.CloseWindow)),
	}
	for d.accepting || !s.listener.Empty() {
		if done := d.step(time.Now()); done {
			break
		}
		time.Sleep(drainStep)
	}
	err := srv.Close()
	s.awaitConnsClosed()
	s.loop.Members.Leave(d.serviceEnd.Add(finalAnswerMargin))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("drain: %w", err)
	}
	slog.Info("drained")
	return nil
}

// step does what is due, and reports whether nothing is left to wait for.
func (d *drainState) step(now time.Time) (done bool) {
	if !now.Before(d.idleEnd) && d.s.listener.CloseIdle(d.startedAt) {
		d.lastCrossedAt = now
	}
	sinceEnd := now.Sub(d.serviceEnd)
	if d.phase == drainServing && sinceEnd >= 0 {
		d.endService()
	}
	if d.accepting && d.mayStopAccepting(now) {
		d.accepting = !d.s.stopAccepting(sinceEnd >= finalAnswerMargin)
	}
	if d.phase == drainServiceEnded {
		d.s.listener.RejectPartial()
		d.s.clients.AbortBodies()
	}
	// The connections that are left then have never sent a complete request.
	answered := sinceEnd >= finalAnswerMargin && !d.accepting && d.s.clients.OpenRequests() == 0
	return answered || sinceEnd >= maxAnswerTail
}

// endService lets the balancer answer all open requests. Nothing is sent to servers from here on.
func (d *drainState) endService() {
	d.phase = drainServiceEnded
	d.s.checkpoints.At(checkpoint.ServiceEndDue)
	d.s.loop.Post(balance.Shutdown{})
	d.s.loop.Members.BeginLeave(finalAnswerMargin)
	d.s.checkpoints.At(checkpoint.ServiceEnded)
}

// mayStopAccepting reports whether no request needs this process's listener any more.
func (d *drainState) mayStopAccepting(now time.Time) bool {
	newerServes := d.s.successors.Serving.Load() > 0
	noneCrosses := !now.Before(d.idleEnd) && now.Sub(d.lastCrossedAt) >= clientserver.CloseWindow
	return newerServes || d.phase == drainServiceEnded || noneCrosses
}

// awaitConnsClosed waits a moment for clients to read answers that have just been written.
func (s *Sidecar) awaitConnsClosed() {
	for startedAt := time.Now(); !s.listener.Empty() && time.Since(startedAt) < clientserver.CloseWindow; {
		time.Sleep(drainStep)
	}
}

// stopAccepting closes the listener, and reports whether it has. Connections that wait to be accepted would be reset: it
// waits for them, unless it has to close now, or a newer process has the socket too and accepts them.
func (s *Sidecar) stopAccepting(now bool) bool {
	if !now && !s.successors.ListenerShared() && s.countUnaccepted(s.tcpListener) > 0 {
		return false
	}
	s.listener.Close()
	return true
}

// killTime is the time from SIGTERM to the earliest SIGKILL.
func (s *Sidecar) killTime() time.Duration {
	latest := 0.0
	for i := range s.cfg.Balance.Classes {
		latest = math.Max(latest, s.cfg.Balance.Classes[i].Deadline)
	}
	return min(clock.Duration(latest), maxDrain) + killAfter
}
