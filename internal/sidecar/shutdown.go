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

// drain ends the service. Where a newer process serves, what comes is its own at once; otherwise new connections
// are taken for as long as clients may not know, and then for as long as a request may come again on a new one,
// because the end of its old one crossed it. Each answer ends its connection; those that stay without a request are
// ended once no more come, as nobody is turned back by that. At the end of service, before SIGKILL may come, nothing
// more is taken: what would outlast this process gets its answer, whoever is in the middle of a request included, and
// answers that have begun are passed on to their end. docs/on-call.md says it by the states that a client's
// connection can be in.
func (s *Sidecar) drain(srv *http.Server) error {
	s.hook.At(checkpoint.DrainSignalled)
	began := time.Now()
	s.clients.StartDraining()
	s.predecessor.AnnounceEnd()
	slog.Info("draining")
	end := began.Add(s.killTime() - finalAnswerMargin)
	// A request that crosses the end of an idle connection has to come again before the listener closes.
	idleEnd := began.Add(min(s.drainAccept, end.Sub(began)-clientserver.CloseWindow))
	crossed := began // when a request was last likely to come again
	for open, told := true, false; open || !s.listener.Empty(); time.Sleep(drainStep) {
		now := time.Now()
		if !now.Before(idleEnd) && s.listener.CloseIdle(began) {
			crossed = now
		}
		tail := now.Sub(end)
		if !told && tail >= 0 {
			told = true
			s.hook.At(checkpoint.ServiceEnding)
			s.loop.Post(balance.Shutdown{})
			s.loop.Members.BeginLeave(finalAnswerMargin) // nothing is sent to servers from here on
			s.hook.At(checkpoint.WaitingEnding)
		}
		if open && (s.successors.Serving.Load() > 0 || told ||
			!now.Before(idleEnd) && now.Sub(crossed) >= clientserver.CloseWindow) {
			open = !s.stopAccepting(tail >= finalAnswerMargin)
		}
		if told {
			s.listener.RejectPartial()
			s.clients.AbortBodies()
		}
		if tail >= finalAnswerMargin && !open && s.clients.OpenRequests() == 0 || tail >= maxAnswerTail {
			break // what is left has never sent a whole request
		}
	}
	err := srv.Close()
	for closed := time.Now(); !s.listener.Empty() && time.Since(closed) < clientserver.CloseWindow; {
		time.Sleep(drainStep) // answers that have just been written are being read
	}
	s.loop.Members.Leave(end.Add(finalAnswerMargin))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("drain: %w", err)
	}
	slog.Info("drained")
	return nil
}

// stopAccepting closes the listener, and reports whether it has. What waits in it to be accepted would be reset: it is
// waited for, unless it has to be now, or a newer process has the socket too and takes it.
func (s *Sidecar) stopAccepting(now bool) bool {
	if !now && !s.successors.ShareListener() && s.unaccepted(s.tcp) > 0 {
		return false
	}
	s.listener.Close()
	return true
}

// killTime is how long after SIGTERM SIGKILL may come.
func (s *Sidecar) killTime() time.Duration {
	longest := 0.0
	for i := range s.cfg.Balance.Classes {
		longest = math.Max(longest, s.cfg.Balance.Classes[i].Deadline)
	}
	return min(clock.Duration(longest), maxDrain) + killAfter
}
