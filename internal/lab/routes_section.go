package lab

// This file writes the configuration of routes for sidecars and copies of the list service.

// programOf is the program that a sidecar runs.
func (r *run) programOf(sidecar int) string {
	if r.Scenario.RunsOlderProgram(sidecar) && r.Options.OlderProgram != "" {
		return r.Options.OlderProgram
	}
	return r.program
}

// routesSection is the section of a sidecar's configuration that turns routes on; nil: they are off.
func (r *run) routesSection(sidecar int) map[string]any {
	if !r.Scenario.HasRoutes() || r.Scenario.RunsOlderProgram(sidecar) {
		return nil
	}
	schemas := r.Scenario.Routes.Schemas
	if again := r.sidecars[sidecar].starts > 0 && r.Scenario.Routes.SwapSchemas; r.Scenario.ReadsOldSchema(sidecar) != again {
		schemas = []int{1}
	}
	section := map[string]any{"addrs": r.discoveryAddrs(sidecar), "key_header": "X-Route-Key"}
	if len(schemas) > 0 {
		section["schemas"] = schemas
	}
	return section
}
