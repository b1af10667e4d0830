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

// decisionState serialises decisions together with their commits. Its lock is acquired before the lock of
// processRecords, which has no access to it, and is the only lock that is held during a commit.
type decisionState struct {
	mu              sync.Mutex
	lowersLeaseTerm bool // whether the replicated maximum lease term is to be lowered to this leader's at decisionsFrom
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

// tick returns the controller's decisions. Once the controller has decided to close a revision, it grants no
// lease for that revision, so reports need not wait for the commit.
func (r *Routing) tick(l *leadership) []rollout.Command {
	now := time.Now()
	var commands []rollout.Command
	l.processes.withState(r.list, func(s *state.State) {
		var accessChanges []rollout.AccessChange
		commands, accessChanges = l.processes.controller.Tick(l.floor(now), s.Routes, s.CountReady)
		l.processes.queueTransitions(s, l.processes.recordAccessChanges(accessChanges, now))
	})
	return commands
}

// execute replicates a decision of the controller. It returns false if the leadership or the quorum was lost, so that
// no further decisions are replicated.
func (r *Routing) execute(l *leadership, c *rollout.Command) bool {
	c.AtMS = l.wall(time.Now())
	_, err := r.change(l, c)
	switch {
	case errors.Is(err, listserver.ErrNotLeader), errors.Is(err, listserver.ErrNoQuorum):
		return false
	case err != nil:
		r.log.Info("registry: routes: decision was not applied", "op", c.Op, "tenant", c.Tenant, "rollout", c.Name, "error", err)
	case c.Op != rollout.OpClose && c.Op != rollout.OpLedger:
		r.log.Info("registry: routes: decision replicated", "op", c.Op, "tenant", c.Tenant, "rollout", c.Name, "step", c.Step, "why", c.Reason)
	}
	return true
}

// change replicates a routes command and returns the revision. The command is registered as in flight before it is
// proposed, until Apply returns.
func (r *Routing) change(l *leadership, c *rollout.Command) (int64, error) {
	defer r.tables.propose(time.Now(), l.term)()
	return r.replica.Apply(&state.Command{Op: state.OpRoutes, Routes: c, Term: l.term}, listserver.ApplyTimeout)
}
