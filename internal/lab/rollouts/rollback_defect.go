package rollouts

import (
	"encoding/json"
	"sync"
)

// RollbackDefect simulates a registry whose new leader has lost a rollback. From the first table without the canary of
// a rollout on, sidecars are sent the former canary under the new revision. Like the other planted defects, it rewrites
// lines in the proxy.
type RollbackDefect struct {
	mu         sync.Mutex
	lastCanary map[string]json.RawMessage // last route with a canary, by tenant
}

// NewRollbackDefect returns a defect that has seen no table.
func NewRollbackDefect() *RollbackDefect {
	return &RollbackDefect{lastCanary: map[string]json.RawMessage{}}
}

// Rewrite returns the line to send to the sidecar in place of a line of the registry. A line that is not a route table
// is returned unchanged.
func (d *RollbackDefect) Rewrite(line []byte) []byte {
	var table map[string]json.RawMessage
	var routes []json.RawMessage
	if json.Unmarshal(line, &table) != nil || table["routes"] == nil || json.Unmarshal(table["routes"], &routes) != nil {
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
			var withoutBudget map[string]any // the real service no longer grants budget for the rollout
			if json.Unmarshal(text, &withoutBudget) != nil {
				return line
			}
			delete(withoutBudget, "budget")
			d.lastCanary[one.Tenant], _ = json.Marshal(withoutBudget) // cannot fail: the value was decoded from JSON
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
	if table["routes"], err = json.Marshal(routes); err != nil {
		return line
	}
	text, err := json.Marshal(table)
	if err != nil {
		return line
	}
	return append(text, '\n')
}
