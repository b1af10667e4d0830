package cluster

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"marblelane/internal/lab/scenario"
)

// routesConfig returns the lines of a replica's configuration that turn routes on, or an empty string if the scenario
// has no routes.
func (c *Cluster) routesConfig() string {
	if !c.Scenario.HasRoutes() {
		return ""
	}
	lines := fmt.Sprintf("routes = %q\n", c.operatorsFile())
	if d := c.Scenario.Routes.Defect; d != "" {
		lines += fmt.Sprintf("lab_route_defect = %q\n", d)
	}
	return lines
}

// operatorsFile returns the path of the operators' file.
func (c *Cluster) operatorsFile() string { return filepath.Join(c.Dir, "operators.toml") }

// writeOperatorsFile writes the file with the subsets of servers and the limits of tenants, if the scenario has routes.
func (c *Cluster) writeOperatorsFile() error {
	if !c.Scenario.HasRoutes() {
		return nil
	}
	routes := &c.Scenario.Routes
	file := map[string]any{}
	for key, d := range map[string]scenario.Duration{"term": routes.LeaseTerm, "behind_after": routes.StragglerAfter, "shut_after": routes.ShutOutAfter, "gone_after": routes.GoneAfter} {
		if d > 0 {
			file[key] = d.Duration().String()
		}
	}
	if routes.MaxStragglerFraction > 0 {
		file["behind_share"] = routes.MaxStragglerFraction
	}
	var subsets, tenants []map[string]any
	for _, subset := range routes.Subsets {
		fields := map[string]any{"name": subset.Name}
		if subset.Servers != "" { // the plan has drawn the servers: list their UIDs
			var uids []string
			for _, i := range c.Plan.Subsets[subset.Name] {
				uids = append(uids, c.Plan.Servers[i].UID)
			}
			fields["uid"] = uids
		} else {
			fields["model"], fields["pod_group"], fields["az"] = subset.Kinds, subset.Pods, subset.Zones
		}
		subsets = append(subsets, fields)
	}
	for _, t := range routes.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "subsets": t.Subsets, "max_share": t.MaxFraction, "rollouts": t.MaxRollouts,
			"changes_per_minute": 6000.0, "max_budget": 1_000_000})
	}
	file["subset"], file["tenant"] = subsets, tenants
	text, err := toml.Marshal(file)
	if err != nil {
		return fmt.Errorf("encode operators' file: %w", err)
	}
	return os.WriteFile(c.operatorsFile(), text, 0o644)
}
