package rollout

// This file applies commands to the state.

import (
	"fmt"
	"slices"
	"strings"
)

// Apply carries out a command. It returns the revision from which on a reader sees the change; of a command that was
// applied before, the revision of that time, so that one may be sent twice. A command that fails changes nothing.
func (s *State) Apply(c *Command) (rev int64, err error) {
	switch c.Op {
	case OpBase:
		return s.setBase(c)
	case OpPost:
		return s.postRollout(c)
	case OpForward, OpPause, OpResume, OpRollBack, OpStop:
		return s.changePhase(c)
	case OpClose: // the newest revision stays open: attempts may always begin under it
		s.closed = max(s.closed, min(c.Rev, s.rev-1))
		return s.rev, nil
	case OpSchema:
		s.minSchema = max(s.minSchema, c.Schema)
		return s.rev, nil
	case OpLedger:
		for i := range c.Entries {
			s.applyEntry(&c.Entries[i], c.AtMS)
		}
		return s.rev, nil
	}
	return 0, fmt.Errorf("rollout: unknown operation %q", c.Op)
}

// tenantOrNew finds a tenant, or makes one that is not yet part of the state.
func (s *State) tenantOrNew(name string) (*tenantState, error) {
	if t := s.tenants[name]; t != nil {
		return t, nil
	}
	if len(s.tenants) >= MaxTenants {
		return nil, fmt.Errorf("%w: tenant %q would be one more than %d", ErrInvalid, name, MaxTenants)
	}
	return &tenantState{Name: name}, nil
}

// nextRev gives a tenant's change its revision. After the last count of an epoch comes the first of the next one.
func (s *State) nextRev(t *tenantState) int64 {
	s.rev++
	t.Rev = s.rev
	return s.rev
}

func (s *State) setBase(c *Command) (int64, error) {
	if err := checkName("tenant", c.Tenant); err != nil {
		return 0, err
	}
	if err := checkSubset("base", c.Base); err != nil {
		return 0, err
	}
	t, err := s.tenantOrNew(c.Tenant)
	switch {
	case err != nil:
		return 0, err
	case sameJSON(t.Base, c.Base): // sent twice, or no change
		return t.Rev, nil
	case t.Live != nil:
		return 0, ErrBusy
	case c.conflicts(t):
		return 0, ErrConflict
	}
	t.Base = cloneSubset(c.Base)
	s.tenants[t.Name] = t
	return s.nextRev(t), nil
}

func (s *State) postRollout(c *Command) (int64, error) {
	if c.Spec == nil {
		return 0, fmt.Errorf("%w: spec is missing", ErrInvalid)
	}
	if err := c.Spec.Validate(); err != nil {
		return 0, err
	}
	t, err := s.tenantOrNew(c.Spec.Tenant)
	if err != nil {
		return 0, err
	}
	old := s.findRollout(c.Spec.Tenant, c.Spec.Name)
	switch {
	case old != nil && sameJSON(old.Spec, *c.Spec): // sent twice
		return old.PostedRev, nil
	case old != nil:
		return 0, ErrExists
	case t.Live != nil:
		return 0, ErrBusy
	case c.conflicts(t):
		return 0, ErrConflict
	}
	for _, ended := range t.Ended {
		ended.foldAccounts(func(Account) bool { return true })
	}
	s.tenants[t.Name] = t
	t.Live = &rolloutState{
		Rollout: Rollout{Spec: c.Spec.clone(), Phase: Running, ChangedAtMS: c.AtMS, Ledger: map[string]Account{}},
	}
	t.Live.PostedRev = s.nextRev(t)
	t.Live.Rev = t.Live.PostedRev
	return t.Live.Rev, nil
}

// changePhase changes the phase or the step of a rollout.
func (s *State) changePhase(c *Command) (int64, error) {
	r := s.findRollout(c.Tenant, c.Name)
	if r == nil {
		return 0, ErrNotFound
	}
	t := s.tenants[c.Tenant]
	// A pause by command replaces the controller's own; otherwise the controller would end it.
	takesOverPause := c.Op == OpPause && r.Phase == Paused && pausedByController(r.Reason) && !pausedByController(c.Reason)
	target := c.Op.targetPhase()
	switch {
	case c.Op == OpForward:
		return s.advanceStep(t, r, c), nil
	case takesOverPause:
		return s.setPhase(t, r, Paused, c.Reason, c.AtMS), nil
	case r.Phase == target: // sent twice
		return r.Rev, nil
	case r.Phase.IsFinal():
		return 0, ErrEnded
	case c.Op == OpStop && c.conflicts(t):
		return 0, ErrConflict
	case target.IsFinal():
		return s.stop(t, r, target, c.Reason, c.AtMS), nil
	}
	return s.setPhase(t, r, target, c.Reason, c.AtMS), nil
}

// advanceStep goes on to the next step, or ends the rollout after its last one. It does nothing where the rollout is
// not running, or not at the command's step.
func (s *State) advanceStep(t *tenantState, r *rolloutState, c *Command) int64 {
	if r.Phase != Running || r.Step != c.Step {
		return r.Rev
	}
	if r.Step+1 < len(r.Spec.Steps) {
		r.Step++
		return s.setPhase(t, r, Running, "", c.AtMS)
	}
	if r.Spec.AtEnd == AtEndKeep {
		t.Base = cloneSubset(r.Spec.Canary)
	}
	return s.stop(t, r, Done, "", c.AtMS)
}

// setPhase records a change of a rollout after its post, with a new revision. Only stop sets a final phase.
func (s *State) setPhase(t *tenantState, r *rolloutState, phase Phase, reason string, atMS int64) int64 {
	r.Phase = phase
	r.Reason = strings.ToValidUTF8(reason[:min(len(reason), MaxNoteBytes)], "")
	r.ChangedAtMS = atMS
	r.Rev = s.nextRev(t)
	return r.Rev
}

// stop ends a rollout for good: done, rolled back or stopped. Every end passes here, and nothing leads back, as a
// remembered rollout is never live again. Why the end is final when parts fail: docs/routes.md, "Budget".
func (s *State) stop(t *tenantState, r *rolloutState, final Phase, reason string, atMS int64) int64 {
	rev := s.setPhase(t, r, final, reason, atMS)
	t.Live, t.Ended = nil, append(t.Ended, r)
	if extra := len(t.Ended) - MaxEndedRollouts; extra > 0 {
		t.Ended = slices.Clone(t.Ended[extra:])
	}
	r.foldAccounts(Account.isSettled)
	return rev
}
