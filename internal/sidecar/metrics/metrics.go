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

// Metrics counts from the start of the process. Each request counts once, by the answer that was decided for it.
type Metrics struct {
	WrittenAttempts atomic.Int64 // attempts of which the last byte was written
	InFlight        atomic.Int64 // requests that were accepted and have not ended
	Servers         atomic.Pointer[ServerMetrics]
	classes         []classCounters
}

// classCounters counts the answers of a class.
type classCounters struct {
	name                     string // escaped for a label
	served, rejected, failed atomic.Int64
}

// ServerMetrics is what the event loop last published of servers and lists.
type ServerMetrics struct {
	Listed, Avoided, Ready int
	ListReceived           bool // from discovery, since the start
	List                   balance.ListStatus
	Zones                  balance.ZoneStatus
	Routes                 *routing.Stats // nil: off
}

// figure is one line of the text form, without the prefix svc_.
type figure struct {
	name, kind string
	value      int64
}

// New gives metrics of classes by name.
func New(classes []string) *Metrics {
	m := &Metrics{classes: make([]classCounters, len(classes))}
	label := strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
	for i, name := range classes {
		m.classes[i].name = label.Replace(name)
	}
	m.Servers.Store(&ServerMetrics{})
	return m
}

// CountResponse counts the final answer of a request, by its HTTP status.
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

// BoolValue is 1 for true and 0 for false.
func BoolValue(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

// Write writes all figures in Prometheus's text form.
func (m *Metrics) Write(w io.Writer) {
	for _, by := range []struct {
		name string
		of   func(*classCounters) int64
	}{
		{"success", func(c *classCounters) int64 { return c.served.Load() }},
		{"busy", func(c *classCounters) int64 { return c.rejected.Load() }},
		{"failure", func(c *classCounters) int64 { return c.failed.Load() }},
	} {
		fmt.Fprintf(w, "# TYPE svc_%s counter\n", by.name)
		for i := range m.classes {
			fmt.Fprintf(w, "svc_%s{tier=\"%s\"} %d\n", by.name, m.classes[i].name, by.of(&m.classes[i]))
		}
	}
	servers := m.Servers.Load()
	figures := []figure{
		{"backend_calls", "counter", m.WrittenAttempts.Load()},
		{"inflight", "gauge", m.InFlight.Load()},
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
		figures = append(figures,
			figure{"steer_revision", "gauge", s.ActingRev},
			figure{"steer_unread_revision", "gauge", s.UnreadableRev},
			figure{"steer_permitted", "gauge", BoolValue(s.HasLease)},
			figure{"steer_units_free", "gauge", s.FreeUnits},
			figure{"steer_voids", "counter", s.RevokedAttempts},
			figure{"steer_samples_lost", "counter", s.LostSamples},
		)
	}
	for _, one := range figures {
		fmt.Fprintf(w, "# TYPE svc_%s %s\nsvc_%s %d\n", one.name, one.kind, one.name, one.value)
	}
}
