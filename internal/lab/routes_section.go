package lab

// This file builds the route settings in the configuration of sidecars.

// programOf returns the path of the program that a sidecar runs.
func (r *run) programOf(sidecar int) string {
	if r.Scenario.RunsOlderProgram(sidecar) && r.Options.OlderProgram != "" {
		return r.Options.OlderProgram
	}
	return r.program
}

// routesSection returns the section of a sidecar's configuration that turns routes on, or nil if they are off.
func (r *run) routesSection(sidecar int) map[string]any {
	if !r.Scenario.HasRoutes() || r.Scenario.RunsOlderProgram(sidecar) {
		return nil
	}
	schemas := r.Scenario.Routes.Schemas
	if restarted := r.sidecars[sidecar].starts > 0 && r.Scenario.Routes.SwapSchemas; r.Scenario.ReadsOldSchema(sidecar) != restarted {
		schemas = []int{1}
	}
	section := map[string]any{"addrs": r.discoveryAddrs(sidecar), "key_header": "X-Route-Key"}
	if len(schemas) > 0 {
		section["schemas"] = schemas
	}
	return section
}
