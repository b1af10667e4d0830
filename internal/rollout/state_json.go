package rollout

// This file is the stored form of the state.

import (
	"encoding/json"
	"fmt"
)

// saved is a state as a snapshot keeps it.
type saved struct {
	Form    int       `json:"form"`
	Rev     int64     `json:"rev"`
	Closed  int64     `json:"closed"`
	Schema  int       `json:"schema"`
	Tenants []*tenant `json:"tenants"` // by name
}

// MarshalJSON writes the whole state down; the same state is the same bytes.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(saved{Form: savedForm, Rev: s.rev, Closed: s.closed, Schema: s.schema, Tenants: s.sorted()})
}

// UnmarshalJSON replaces the state by one that was written down. One of a newer form is refused, and changes nothing.
func (s *State) UnmarshalJSON(data []byte) error {
	var head struct {
		Form int `json:"form"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return fmt.Errorf("rollout: a saved state: %w", err)
	}
	if head.Form != savedForm {
		return fmt.Errorf("rollout: a saved state of form %d, this program reads form %d", head.Form, savedForm)
	}
	var from saved
	if err := json.Unmarshal(data, &from); err != nil {
		return fmt.Errorf("rollout: a saved state: %w", err)
	}
	tenants := make(map[string]*tenant, len(from.Tenants))
	for i, t := range from.Tenants {
		if t == nil {
			return fmt.Errorf("rollout: a saved state: tenants[%d] is null", i)
		}
		for _, r := range t.runs() {
			if r == nil || !r.Phase.Over() && (r.Step < 0 || r.Step >= len(r.Spec.Steps)) {
				return fmt.Errorf("rollout: a saved state: a rollout of tenant %q has no such step", t.Name)
			}
			if r.Ledger == nil {
				r.Ledger = map[string]Account{}
			}
			for _, a := range r.Ledger {
				r.total = r.total.plus(a, 1)
			}
		}
		tenants[t.Name] = t
	}
	s.rev, s.closed, s.schema, s.tenants = from.Rev, from.Closed, from.Schema, tenants
	return nil
}
