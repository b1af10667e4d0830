package routeleader

// This file exports the metrics of routes and rollouts.

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marblelane/internal/registry/state"
)

// Describe sends no descriptors, because the label values depend on the live rollouts.
func (r *Routing) Describe(chan<- *prometheus.Desc) {}

// Collect sends the metrics of routes and rollouts, or none if the routes API is off.
func (r *Routing) Collect(out chan<- prometheus.Metric) {
	if r.server.Options().Operators == nil {
		return
	}
	gauge := func(name, help string, v float64, labels ...string) {
		var names, values []string
		for i := 0; i < len(labels); i += 2 {
			names, values = append(names, labels[i]), append(values, labels[i+1])
		}
		out <- prometheus.MustNewConstMetric(prometheus.NewDesc(name, help, names, nil), prometheus.GaugeValue, v, values...)
	}
	r.list.Read(func(s *state.State) {
		gauge("routes_revision", "Revision of the routes' last change.", float64(s.Routes.Rev()))
		gauge("routes_closed", "Newest revision of routes under which no attempt begins any more.", float64(s.Routes.ClosedRev()))
		gauge("audit_transitions", "Transitions of processes that are kept.", float64(s.AuditLog.Len()))
		for i, one := range s.Routes.LiveSpecs() {
			if i == maxRolloutMetrics {
				break
			}
			granted, _, returned := s.Routes.BudgetTotals(one.Tenant, one.Name)
			gauge("routes_units_left", "Units of a rollout's budget that nobody holds or has spent; of 100 rollouts at most.",
				float64(one.Budget-(granted-returned)), "tenant", one.Tenant, "rollout", one.Name)
		}
	})
	gauge("routes_watches", "Watches of the table of routes that are open.", float64(r.watches.Load()))
	l := r.current()
	if l == nil {
		return
	}
	counts := map[string]float64{"permitted": 0, "unpermitted": 0, "shut out": 0, "gone": 0}
	now := l.floor(time.Now())
	for _, p := range r.processStatuses(l) {
		switch {
		case p.Gone:
			counts["gone"]++
		case p.ShutOut:
			counts["shut out"]++
		case p.LeaseUntil > now:
			counts["permitted"]++
		default:
			counts["unpermitted"]++
		}
	}
	for standing, n := range counts {
		gauge("routes_processes", "Processes that this leader knows, by what they may do.", n, "standing", standing)
	}
}
