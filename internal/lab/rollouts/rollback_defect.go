package rollouts

import (
	"encoding/json"
	"sync"
)

// RollbackDefect plays a registry whose new leader has forgotten a rollback: from the first table without the canary of a
// rollout on, sidecars are sent the former canary under the new revision. It rewrites lines in the proxy, as the other
// planted defects do.
type RollbackDefect struct {
	mu         sync.Mutex
	lastCanary map[string]json.RawMessage // the route of each tenant that had a canary
}

// NewRollbackDefect is a defect that has seen no table.
func NewRollbackDefect() *RollbackDefect {
	return &RollbackDefect{lastCanary: map[string]json.RawMessage{}}
}

// Rewrite is the line that the sidecar is sent in place of a line of the registry.
func (d *RollbackDefect) Rewrite(line []byte) []byte {
	var t map[string]json.RawMessage
	var routes []json.RawMessage
	if json.Unmarshal(line, &t) != nil || t["routes"] == nil || json.Unmarshal(t["routes"], &routes) != nil {
		return line
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	present := map[string]bool{}
	for i, text := range routes {
		var one struct {
			Tenant   string  `json:"tenant"`
			Fraction float64 `json:"share"`
		}
		if json.Unmarshal(text, &one) != nil {
			return line
		}
		present[one.Tenant] = true
		if one.Fraction > 0 {
			var withoutBudget map[string]any // of the budget: the true service grants nothing for it any more
			if json.Unmarshal(text, &withoutBudget) != nil {
				return line
			}
			delete(withoutBudget, "budget")
			d.lastCanary[one.Tenant], _ = json.Marshal(withoutBudget) // what was read can be written
		} else if former := d.lastCanary[one.Tenant]; former != nil {
			routes[i] = former
		}
	}
	for tenant, old := range d.lastCanary {
		if !present[tenant] {
			routes = append(routes, old)
		}
	}
	var err error
	if t["routes"], err = json.Marshal(routes); err != nil {
		return line
	}
	text, err := json.Marshal(t)
	if err != nil {
		return line
	}
	return append(text, '\n')
}
