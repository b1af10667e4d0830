package rollout

// This file copies states and controllers for callers that need an independent copy.

import (
	"maps"
	"slices"
)

// Clone returns an independent copy of a state.
func (s *State) Clone() *State {
	out := *s
	out.tenants = maps.Clone(s.tenants)
	for name, t := range out.tenants {
		copied := *t
		copied.Ended = nil
		for _, r := range t.Ended {
			copied.Ended = append(copied.Ended, r.clone())
		}
		if t.Live != nil {
			copied.Live = t.Live.clone()
		}
		out.tenants[name] = &copied
	}
	return &out
}

func (r *rolloutState) clone() *rolloutState {
	out := *r // the spec is shared, as no command changes it
	out.Ledger = maps.Clone(r.Ledger)
	return &out
}

// Clone returns an independent copy of a controller.
func (c *Controller) Clone() *Controller {
	out := *c
	out.processes = maps.Clone(c.processes)
	out.newestStart = maps.Clone(c.newestStart)
	out.rollouts = maps.Clone(c.rollouts)
	out.revisionTimes = slices.Clone(c.revisionTimes)
	out.accessChanges = slices.Clone(c.accessChanges)
	for key, p := range out.processes {
		copied := *p
		copied.counts = maps.Clone(p.counts)
		out.processes[key] = &copied
	}
	for tenant, progress := range out.rollouts {
		out.rollouts[tenant] = progress.clone()
	}
	return &out
}

func (w *rolloutProgress) clone() *rolloutProgress {
	out := *w
	out.queue, out.demands = slices.Clone(w.queue), maps.Clone(w.demands)
	for key, demand := range out.demands {
		copied := *demand
		out.demands[key] = &copied
	}
	return &out
}
