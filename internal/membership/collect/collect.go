// Package collect exports the metrics of a membership.Group to Prometheus. It is separate from package membership so
// that a program that exports these values in another way does not link the Prometheus client library.
package collect

import (
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"marblelane/internal/membership"
)

// New returns a collector of the metrics members, members_known and so on. The caller registers it with a prefix, see
// prometheus.WrapRegistererWithPrefix.
func New(g *membership.Group) prometheus.Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("members"+name, help, labels, nil)
	}
	return &collector{group: g,
		members:           desc("", "Processes of the fleet that are known, by how they stand.", "state"),
		known:             desc("_known", "Processes that count: not proved gone."),
		reachable:         desc("_heard", "Of these, those that are heard of now."),
		estimatedSize:     desc("_believed", "Processes that decisions go by."),
		admitted:          desc("_admitted", "1 if this process counts itself in."),
		changes:           desc("_changes_total", "How often what is seen of the fleet has changed."),
		dropped:           desc("_dropped_total", "Packets, connections, messages and nodes that were refused.", "why"),
		startsRaised:      desc("_begun_again_total", "How often this process was proved gone and took a greater start."),
		failedJoins:       desc("_joins_failed_total", "Exchanges with a seed or a silent process that failed."),
		oldestUnreachable: desc("_oldest_unheard_seconds", "For how long the process that is silent for longest has been."),
	}
}

// collector reads the state of the group at each collection. Dashboards and alerts depend on the names and help texts
// of its metrics, which differ from the field names for that reason.
type collector struct {
	group *membership.Group

	members           *prometheus.Desc
	known             *prometheus.Desc
	reachable         *prometheus.Desc
	estimatedSize     *prometheus.Desc
	admitted          *prometheus.Desc
	changes           *prometheus.Desc
	dropped           *prometheus.Desc
	startsRaised      *prometheus.Desc
	failedJoins       *prometheus.Desc
	oldestUnreachable *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.members, c.known, c.reachable, c.estimatedSize, c.admitted, c.changes,
		c.dropped, c.startsRaised, c.failedJoins, c.oldestUnreachable} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	report, stats := c.group.Report(), c.group.Stats()
	membersIn, oldestUnreachableMS := map[membership.MemberState]int{}, int64(0)
	for _, m := range report.Members {
		membersIn[m.State]++
		if m.State == membership.Unreachable {
			oldestUnreachableMS = max(oldestUnreachableMS, m.SinceMS)
		}
	}
	for _, state := range []membership.MemberState{membership.Alive, membership.Suspected, membership.Unreachable, membership.Gone} {
		gauge(c.members, float64(membersIn[state]), string(state))
	}
	admitted := 0.0
	if report.View.Admitted {
		admitted = 1
	}
	gauge(c.known, float64(report.View.Known))
	gauge(c.reachable, float64(report.View.Reachable))
	gauge(c.estimatedSize, report.EstimatedSize)
	gauge(c.admitted, admitted)
	gauge(c.oldestUnreachable, float64(oldestUnreachableMS)/1000)
	counter(c.changes, report.Changes)
	counter(c.startsRaised, stats.StartsRaised)
	counter(c.failedJoins, stats.FailedJoins)
	for _, reason := range slices.Sorted(maps.Keys(stats.Dropped)) {
		counter(c.dropped, stats.Dropped[reason], reason)
	}
}
