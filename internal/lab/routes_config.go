package lab

// This file writes the configuration of routes for sidecars and copies of the list service.

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"marblelane/internal/lab/scenario"
)

// routesKeys are the lines of a copy's configuration that turn routes on.
func (rr *registryRun) routesKeys() string {
	if !rr.s.HasRoutes() {
		return ""
	}
	keys := fmt.Sprintf("routes = %q\n", rr.operatorsFile())
	if d := rr.s.Routes.Defect; d != "" {
		keys += fmt.Sprintf("lab_route_defect = %q\n", d)
	}
	return keys
}

func (rr *registryRun) operatorsFile() string { return filepath.Join(rr.dir, "operators.toml") }

// writeOperators writes the file that says what tenants may do.
func (rr *registryRun) writeOperators() error {
	if !rr.s.HasRoutes() {
		return nil
	}
	o := &rr.s.Routes
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
			for _, i := range rr.plan.Subsets[sub.Name] {
				uids = append(uids, rr.plan.Servers[i].UID)
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
	return os.WriteFile(rr.operatorsFile(), text, 0o644)
}

// programOf is the program that a sidecar runs.
func (r *run) programOf(sidecar int) string {
	if r.s.RunsOlderProgram(sidecar) && r.o.Older != "" {
		return r.o.Older
	}
	return r.program
}

// routesOf is the section of a sidecar's configuration that turns routes on; nil: they are off.
func (r *run) routesOf(sidecar int) map[string]any {
	if !r.s.HasRoutes() || r.s.RunsOlderProgram(sidecar) {
		return nil
	}
	schemas := r.s.Routes.Schemas
	if again := r.sidecars[sidecar].manages > 0 && r.s.Routes.SwapSchemas; r.s.ReadsOldSchema(sidecar) != again {
		schemas = []int{1}
	}
	section := map[string]any{"addrs": r.listAddrs(sidecar), "key_header": "X-Route-Key"}
	if len(schemas) > 0 {
		section["schemas"] = schemas
	}
	return section
}
