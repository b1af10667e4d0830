package rollout

// This file is the stored form of the state.

import (
	"encoding/json"
	"fmt"
)

// stateForm is the number of the stored form; any other is rejected.
const stateForm = 1

// savedState is a state as a snapshot stores it.
type savedState struct {
	Form    int            `json:"form"`
	Rev     int64          `json:"rev"`
	Closed  int64          `json:"closed"`
	Schema  int            `json:"schema"`
	Tenants []*tenantState `json:"tenants"` // by name
}

// MarshalJSON encodes the whole state; the same state gives the same bytes.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(savedState{
		Form: stateForm, Rev: s.rev, Closed: s.closed, Schema: s.minSchema, Tenants: s.sortedTenants(),
	})
}

// UnmarshalJSON replaces the state by a stored one. After an error the state is as it was.
func (s *State) UnmarshalJSON(data []byte) error {
	var head struct {
		Form int `json:"form"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return fmt.Errorf("rollout: saved state: %w", err)
	}
	if head.Form != stateForm {
		return fmt.Errorf("rollout: saved state: form %d, this program reads form %d", head.Form, stateForm)
	}
	var stored savedState
	if err := json.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("rollout: saved state: %w", err)
	}
	tenants := make(map[string]*tenantState, len(stored.Tenants))
	for i, t := range stored.Tenants {
		if t == nil {
			return fmt.Errorf("rollout: saved state: tenants[%d] is null", i)
		}
		for _, r := range t.rollouts() {
			if r == nil || !r.Phase.Over() && (r.Step < 0 || r.Step >= len(r.Spec.Steps)) {
				return fmt.Errorf("rollout: saved state: tenant %q: a rollout is missing or its step is out of range", t.Name)
			}
			r.restoreLedger()
		}
		tenants[t.Name] = t
	}
	s.rev, s.closed, s.minSchema, s.tenants = stored.Rev, stored.Closed, stored.Schema, tenants
	return nil
}

// restoreLedger makes up what is not stored: an empty ledger, and the sums.
func (r *rolloutState) restoreLedger() {
	if r.Ledger == nil {
		r.Ledger = map[string]Account{}
	}
	for _, account := range r.Ledger {
		r.totals = r.totals.add(account, 1)
	}
}
