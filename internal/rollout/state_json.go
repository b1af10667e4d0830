package rollout

// This file encodes and decodes the stored form of the state.

import (
	"encoding/json"
	"fmt"
)

// stateForm is the version of the stored form; other versions are rejected.
const stateForm = 1

// storedState is the stored form of a State in a snapshot.
type storedState struct {
	Form    int            `json:"form"`
	Rev     int64          `json:"rev"`
	Closed  int64          `json:"closed"`
	Schema  int            `json:"schema"`
	Tenants []*tenantState `json:"tenants"` // sorted by name
}

// MarshalJSON encodes the whole state. Equal states are encoded as the same bytes.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(storedState{
		Form: stateForm, Rev: s.rev, Closed: s.closed, Schema: s.minSchema, Tenants: s.sortedTenants(),
	})
}

// UnmarshalJSON replaces the state with a stored one. On an error the state is unchanged.
func (s *State) UnmarshalJSON(data []byte) error {
	var head struct {
		Form int `json:"form"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return fmt.Errorf("rollout: decode stored state: %w", err)
	}
	if head.Form != stateForm {
		return fmt.Errorf("rollout: stored state has form %d, this program reads form %d", head.Form, stateForm)
	}
	var stored storedState
	if err := json.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("rollout: decode stored state: %w", err)
	}
	tenants := make(map[string]*tenantState, len(stored.Tenants))
	for i, t := range stored.Tenants {
		if t == nil {
			return fmt.Errorf("rollout: decode stored state: tenants[%d] is null", i)
		}
		for _, r := range t.rollouts() {
			if r == nil || !r.Phase.IsFinal() && (r.Step < 0 || r.Step >= len(r.Spec.Steps)) {
				return fmt.Errorf("rollout: decode stored state: a rollout of tenant %q is null or its step is out of range", t.Name)
			}
			r.restoreLedger()
		}
		tenants[t.Name] = t
	}
	s.rev, s.closed, s.minSchema, s.tenants = stored.Rev, stored.Closed, stored.Schema, tenants
	return nil
}

// restoreLedger sets the fields that are not stored: an empty ledger and the totals.
func (r *rolloutState) restoreLedger() {
	if r.Ledger == nil {
		r.Ledger = map[string]Account{}
	}
	for _, account := range r.Ledger {
		r.totals = r.totals.add(account, 1)
	}
}
