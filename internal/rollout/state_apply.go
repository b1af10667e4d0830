package rollout

// This file applies commands to the state.

import (
	"fmt"
	"slices"
	"strings"
)

// Apply applies a command and returns the first revision that contains the change. A command may be sent twice: for one
// that was already applied, Apply returns the revision of the first time. A command that fails changes nothing.
func (s *State) Apply(c *Command) (rev int64, err error) {
	switch c.Op {
	case OpBase:
		return s.setBase(c)
	case OpPost:
		return s.postRollout(c)
	case OpForward, OpPause, OpResume, OpRollBack, OpStop:
		return s.changePhase(c)
	case OpClose: // the newest revision stays open, as attempts may always begin under it
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

// tenantOrNew returns a tenant, or creates one without adding it to the state.
func (s *State) tenantOrNew(name string) (*tenantState, error) {
	if t := s.tenants[name]; t != nil {
		return t, nil
	}
	if len(s.tenants) >= MaxTenants {
		return nil, fmt.Errorf("%w: tenant %q would be one more than %d", ErrInvalid, name, MaxTenants)
	}
	return &tenantState{Name: name}, nil
}

// nextRev returns a new revision and records it as the tenant's last change. The count of an epoch overflows into the
// next epoch.
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
	case equalJSON(t.Base, c.Base): // already applied, or no change
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
	case old != nil && equalJSON(old.Spec, *c.Spec): // already applied
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
	// A manual pause replaces a pause by the controller, so that the controller does not resume the rollout.
	takesOverPause := c.Op == OpPause && r.Phase == Paused && pausedByController(r.Reason) && !pausedByController(c.Reason)
	target := c.Op.targetPhase()
	switch {
	case c.Op == OpForward:
		return s.advanceStep(t, r, c), nil
	case takesOverPause:
		return s.setPhase(t, r, Paused, c.Reason, c.AtMS), nil
	case r.Phase == target: // already applied
		return r.Rev, nil
	case r.Phase.IsFinal():
		return 0, ErrEnded
	case c.Op == OpStop && c.conflicts(t):
		return 0, ErrConflict
	case target.IsFinal():
		return s.endRollout(t, r, target, c.Reason, c.AtMS), nil
	}
	return s.setPhase(t, r, target, c.Reason, c.AtMS), nil
}

// advanceStep moves the rollout to its next step, or ends it after the last step. It does nothing if the rollout is not
// running or is not at the command's step.
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
	return s.endRollout(t, r, Done, "", c.AtMS)
}

// setPhase sets the phase of a posted rollout under a new revision. Only endRollout sets a final phase.
func (s *State) setPhase(t *tenantState, r *rolloutState, phase Phase, reason string, atMS int64) int64 {
	r.Phase = phase
	r.Reason = strings.ToValidUTF8(reason[:min(len(reason), MaxNoteBytes)], "")
	r.ChangedAtMS = atMS
	r.Rev = s.nextRev(t)
	return r.Rev
}

// endRollout sets a final phase and moves the rollout to the ended ones. Every end of a rollout passes here, and an ended
// rollout never becomes live again. docs/routes.md, "Budget", explains why the end is final under failures.
func (s *State) endRollout(t *tenantState, r *rolloutState, final Phase, reason string, atMS int64) int64 {
	rev := s.setPhase(t, r, final, reason, atMS)
	t.Live, t.Ended = nil, append(t.Ended, r)
	if extra := len(t.Ended) - MaxEndedRollouts; extra > 0 {
		t.Ended = slices.Clone(t.Ended[extra:])
	}
	r.foldAccounts(Account.isSettled)
	return rev
}
