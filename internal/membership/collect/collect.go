// Package collect gives the figures of a membership.Group to a Prometheus registry. It stands apart so that a program
// that shows them otherwise does not carry that library.
package collect

import (
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"marblelane/internal/membership"
)

// New gives the figures: members, members_known and so on. Who registers it puts a prefix of its own before them
// (prometheus.WrapRegistererWithPrefix).
func New(g *membership.Group) prometheus.Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("members"+name, help, labels, nil)
	}
	return &collector{g: g,
		members:  desc("", "Processes of the fleet that are known, by how they stand.", "state"),
		known:    desc("_known", "Processes that count: not proved gone."),
		heard:    desc("_heard", "Of these, those that are heard of now."),
		believed: desc("_believed", "Processes that decisions go by."),
		admitted: desc("_admitted", "1 if this process counts itself in."),
		changes:  desc("_changes_total", "How often what is seen of the fleet has changed."),
		dropped:  desc("_dropped_total", "Packets, connections, messages and nodes that were refused.", "why"),
		risen:    desc("_begun_again_total", "How often this process was proved gone and took a greater start."),
		joins:    desc("_joins_failed_total", "Exchanges with a seed or a silent process that failed."),
		unheard:  desc("_oldest_unheard_seconds", "For how long the process that is silent for longest has been."),
	}
}

type collector struct {
	g *membership.Group

	members, known, heard, believed, admitted, changes, dropped, risen, joins, unheard *prometheus.Desc
}

// Describe names the figures.
func (c *collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.members, c.known, c.heard, c.believed, c.admitted, c.changes, c.dropped,
		c.risen, c.joins, c.unheard} {
		to <- d
	}
}

// Collect gives the figures.
func (c *collector) Collect(to chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	count := func(d *prometheus.Desc, v uint64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	r, f := c.g.Report(), c.g.Stats()
	by, oldest := map[membership.MemberState]int{}, int64(0)
	for _, m := range r.Members {
		by[m.State]++
		if m.State == membership.Silent {
			oldest = max(oldest, m.SinceMS)
		}
	}
	for _, s := range []membership.MemberState{membership.Alive, membership.Suspected, membership.Silent, membership.Gone} {
		gauge(c.members, float64(by[s]), string(s))
	}
	admitted := 0.
	if r.View.Admitted {
		admitted = 1
	}
	gauge(c.known, float64(r.View.Known))
	gauge(c.heard, float64(r.View.Reachable))
	gauge(c.believed, r.EstimatedSize)
	gauge(c.admitted, admitted)
	gauge(c.unheard, float64(oldest)/1000)
	count(c.changes, r.Changes)
	count(c.risen, f.StartsRaised)
	count(c.joins, f.FailedJoins)
	for _, why := range slices.Sorted(maps.Keys(f.Dropped)) {
		count(c.dropped, f.Dropped[why], why)
	}
}
