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
func (u *RollbackDefect) Rewrite(line []byte) []byte {
	var t map[string]json.RawMessage
	var routes []json.RawMessage
	if json.Unmarshal(line, &t) != nil || t["routes"] == nil || json.Unmarshal(t["routes"], &routes) != nil {
		return line
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	there := map[string]bool{}
	for i, text := range routes {
		var one struct {
			Tenant   string  `json:"tenant"`
			Fraction float64 `json:"share"`
		}
		if json.Unmarshal(text, &one) != nil {
			return line
		}
		there[one.Tenant] = true
		if one.Fraction > 0 {
			var free map[string]any // of the budget: the true service grants nothing for it any more
			if json.Unmarshal(text, &free) != nil {
				return line
			}
			delete(free, "budget")
			u.lastCanary[one.Tenant], _ = json.Marshal(free) // what was read can be written
		} else if old := u.lastCanary[one.Tenant]; old != nil {
			routes[i] = old
		}
	}
	for tenant, old := range u.lastCanary {
		if !there[tenant] {
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
