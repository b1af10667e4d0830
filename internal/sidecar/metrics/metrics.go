package metrics

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"marblelane/balance"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/routing"
)

// Metrics holds counters since the start of the process, and gauges. Each request is counted once, by the response that
// was decided for it.
type Metrics struct {
	WrittenAttempts atomic.Int64 // attempts whose last byte was written to a server
	InFlight        atomic.Int64 // requests that were accepted and have not completed
	UnreadBodies    atomic.Int64 // requests whose time was over before their body was received
	Servers         atomic.Pointer[ServerMetrics]
	classes         []classCounters
}

// classCounters counts the responses to requests of one class.
type classCounters struct {
	name                     string // escaped for use as a label value
	served, rejected, failed atomic.Int64
}

// ServerMetrics is the state of servers and endpoint lists that the event loop published last.
type ServerMetrics struct {
	Listed, Avoided, Ready int
	ListReceived           bool // since the start, from a list service
	List                   balance.ListStatus
	Zones                  balance.ZoneStatus
	Routes                 *routing.Stats // nil: the section routes is not configured
}

// sample is one metric of the text format; its name is without the prefix svc_.
type sample struct {
	name, kind string
	value      int64
}

// New returns the metrics for classes of the given names. A class is identified by its index.
func New(classes []string) *Metrics {
	m := &Metrics{classes: make([]classCounters, len(classes))}
	label := strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
	for i, name := range classes {
		m.classes[i].name = label.Replace(name)
	}
	m.Servers.Store(&ServerMetrics{})
	return m
}

// CountResponse counts the final response to a request of a class, by its HTTP status.
func (m *Metrics) CountResponse(class, status int) {
	c := &m.classes[class]
	switch status {
	case http.StatusOK:
		c.served.Add(1)
	case inflight.StatusRejected:
		c.rejected.Add(1)
	default:
		c.failed.Add(1)
	}
}

// BoolValue returns the value of a boolean gauge: 1 for true and 0 for false.
func BoolValue(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	for _, counter := range []struct {
		name  string
		value func(*classCounters) int64
	}{
		{"success", func(c *classCounters) int64 { return c.served.Load() }},
		{"busy", func(c *classCounters) int64 { return c.rejected.Load() }},
		{"failure", func(c *classCounters) int64 { return c.failed.Load() }},
	} {
		fmt.Fprintf(w, "# TYPE svc_%s counter\n", counter.name)
		for i := range m.classes {
			fmt.Fprintf(w, "svc_%s{tier=\"%s\"} %d\n", counter.name, m.classes[i].name, counter.value(&m.classes[i]))
		}
	}
	servers := m.Servers.Load()
	samples := []sample{
		{"backend_calls", "counter", m.WrittenAttempts.Load()},
		{"inflight", "gauge", m.InFlight.Load()},
		{"unread_bodies", "counter", m.UnreadBodies.Load()},
		{"hosts_listed", "gauge", int64(servers.Listed)},
		{"hosts_down", "gauge", int64(servers.Avoided)},
		{"hosts_doubted", "gauge", int64(servers.List.Suspected)},
		{"list_revision", "gauge", servers.List.Rev},
		{"list_age_ms", "gauge", int64(servers.List.Age)},
		{"list_source", "gauge", int64(servers.List.Source)},
		{"list_stale", "gauge", BoolValue(servers.List.Stale)},
		{"list_refused", "gauge", BoolValue(servers.List.Rejected)},
		{"zones_left", "gauge", int64(servers.Zones.Suspended)},
		{"zone_spill_percent", "gauge", int64(100 * servers.Zones.Spill)},
		{"region_spill_percent", "gauge", int64(100 * servers.Zones.FarSpill)},
	}
	if s := servers.Routes; s != nil {
		samples = append(samples,
			sample{"steer_revision", "gauge", s.ActingRev},
			sample{"steer_unread_revision", "gauge", s.UnreadableRev},
			sample{"steer_permitted", "gauge", BoolValue(s.HasLease)},
			sample{"steer_units_free", "gauge", s.FreeUnits},
			sample{"steer_voids", "counter", s.RevokedAttempts},
			sample{"steer_samples_lost", "counter", s.LostSamples},
		)
	}
	for _, s := range samples {
		fmt.Fprintf(w, "# TYPE svc_%s %s\nsvc_%s %d\n", s.name, s.kind, s.name, s.value)
	}
}
