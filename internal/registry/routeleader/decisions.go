package routeleader

// This file replicates the controller's decisions and the other changes of routes.

import (
	"errors"
	"sync"
	"time"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
	"marblelane/internal/rollout"
)

// decisionState serialises decisions with their commits. It is taken before the lock of processRecords, which has no access
// to it, and is the only lock that is held during a commit.
type decisionState struct {
	mu              sync.Mutex
	lowersLeaseTerm bool // at decisionsFrom, lower the replicated maximum lease term to this leader's
	ledger          grantLedger
}

// apply replicates a command and waits until it is applied.
func (r *Routing) apply(c *state.Command) error {
	_, err := r.replica.Apply(c, listserver.ApplyTimeout)
	return err
}

// decide runs one controller tick and replicates its decisions.
func (r *Routing) decide(l *leadership) {
	l.decisions.mu.Lock()
	defer l.decisions.mu.Unlock()
	if time.Now().Before(l.decisionsFrom) || r.current() != l {
		return
	}
	if l.decisions.lowersLeaseTerm {
		if err := r.apply(&state.Command{Op: state.OpMaxLeaseTerm, TermMS: l.leaseTermMS, Term: l.term}); err != nil {
			return
		}
		l.decisions.lowersLeaseTerm = false
	}
	for _, c := range r.tick(l) {
		if !r.execute(l, &c) {
			return
		}
	}
}

// tick returns the controller's decisions. Once it has decided to close a revision the controller grants no lease for
// it, so reports need not wait for the commit.
func (r *Routing) tick(l *leadership) []rollout.Command {
	now := time.Now()
	var commands []rollout.Command
	l.processes.withState(r.list, func(s *state.State) {
		var standings []rollout.AccessChange
		commands, standings = l.processes.controller.Tick(l.floor(now), s.Routes, s.CountReady)
		l.processes.queueTransitions(s, l.processes.recordAccessChanges(standings, now))
	})
	return commands
}

// execute replicates a decision of the controller and reports whether this replica still leads.
func (r *Routing) execute(l *leadership, c *rollout.Command) bool {
	c.AtMS = l.wall(time.Now())
	_, err := r.change(l, c)
	switch {
	case errors.Is(err, listserver.ErrNotLeader), errors.Is(err, listserver.ErrNoQuorum):
		return false
	case err != nil:
		r.log.Info("registry: routes: a decision came late", "op", c.Op, "tenant", c.Tenant, "rollout", c.Name, "error", err)
	case c.Op != rollout.OpClose && c.Op != rollout.OpLedger:
		r.log.Info("registry: routes: decided", "op", c.Op, "tenant", c.Tenant, "rollout", c.Name, "step", c.Step, "why", c.Reason)
	}
	return true
}

// change replicates a command of routes. It is on the list of what is proposed from before then.
func (r *Routing) change(l *leadership, c *rollout.Command) (int64, error) {
	defer r.tables.propose(time.Now(), l.term)()
	return r.replica.Apply(&state.Command{Op: state.OpRoutes, Routes: c, Term: l.term}, listserver.ApplyTimeout)
}
