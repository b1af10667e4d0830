package cluster

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"marblelane/internal/lab/scenario"
)

// routesConfig are the lines of a replica's configuration that turn routes on.
func (c *Cluster) routesConfig() string {
	if !c.Scenario.HasRoutes() {
		return ""
	}
	keys := fmt.Sprintf("routes = %q\n", c.operatorsFile())
	if d := c.Scenario.Routes.Defect; d != "" {
		keys += fmt.Sprintf("lab_route_defect = %q\n", d)
	}
	return keys
}

func (c *Cluster) operatorsFile() string { return filepath.Join(c.Dir, "operators.toml") }

// writeOperatorsFile writes the file that says what tenants may do.
func (c *Cluster) writeOperatorsFile() error {
	if !c.Scenario.HasRoutes() {
		return nil
	}
	o := &c.Scenario.Routes
	file := map[string]any{}
	for key, d := range map[string]scenario.Duration{"term": o.LeaseTerm, "behind_after": o.StragglerAfter, "shut_after": o.ShutOutAfter, "gone_after": o.GoneAfter} {
		if d > 0 {
			file[key] = d.Duration().String()
		}
	}
	if o.MaxStragglerFraction > 0 {
		file["behind_share"] = o.MaxStragglerFraction
	}
	var subsets, tenants []map[string]any
	for _, sub := range o.Subsets {
		one := map[string]any{"name": sub.Name}
		if sub.Servers != "" { // drawn: by their names
			var uids []string
			for _, i := range c.Plan.Subsets[sub.Name] {
				uids = append(uids, c.Plan.Servers[i].UID)
			}
			one["uid"] = uids
		} else {
			one["model"], one["pod_group"], one["az"] = sub.Kinds, sub.Pods, sub.Zones
		}
		subsets = append(subsets, one)
	}
	for _, t := range o.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "subsets": t.Subsets, "max_share": t.MaxFraction, "rollouts": t.MaxRollouts,
			"changes_per_minute": 6000.0, "max_budget": 1_000_000})
	}
	file["subset"], file["tenant"] = subsets, tenants
	text, err := toml.Marshal(file)
	if err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	return os.WriteFile(c.operatorsFile(), text, 0o644)
}
