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

// Metrics count from the start of the process. Each request counts once, by the answer that was decided for it.
type Metrics struct {
	classes     []classFigures
	ServerCalls atomic.Int64 // attempts written whole
	InFlight    atomic.Int64 // requests taken and not ended
	Servers     atomic.Pointer[ServerMetrics]
}

type classFigures struct {
	name                  string // escaped for a label
	served, busy, failure atomic.Int64
}

// ServerMetrics is what the loop last published.
type ServerMetrics struct {
	Listed, Avoided, Ready int
	ListReceived           bool // by discovery, since the start
	List                   balance.ListStatus
	Zones                  balance.ZoneStatus
	Routes                 *routing.Figures // nil: off
}

type figure struct {
	name, kind string
	value      int64
}

func New(classes []string) *Metrics {
	f := &Metrics{classes: make([]classFigures, len(classes))}
	label := strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
	for i, name := range classes {
		f.classes[i].name = label.Replace(name)
	}
	f.Servers.Store(&ServerMetrics{})
	return f
}

// CountAnswer takes in the final answer of a request.
func (f *Metrics) CountAnswer(class, status int) {
	c := &f.classes[class]
	switch status {
	case http.StatusOK:
		c.served.Add(1)
	case inflight.StatusRejected:
		c.busy.Add(1)
	default:
		c.failure.Add(1)
	}
}

func Bool(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

// Write gives all figures in Prometheus's text form.
func (f *Metrics) Write(w io.Writer) {
	for _, by := range []struct {
		name string
		of   func(*classFigures) int64
	}{
		{"success", func(c *classFigures) int64 { return c.served.Load() }},
		{"busy", func(c *classFigures) int64 { return c.busy.Load() }},
		{"failure", func(c *classFigures) int64 { return c.failure.Load() }},
	} {
		fmt.Fprintf(w, "# TYPE svc_%s counter\n", by.name)
		for i := range f.classes {
			fmt.Fprintf(w, "svc_%s{tier=\"%s\"} %d\n", by.name, f.classes[i].name, by.of(&f.classes[i]))
		}
	}
	servers := f.Servers.Load()
	list := []figure{
		{"backend_calls", "counter", f.ServerCalls.Load()},
		{"inflight", "gauge", f.InFlight.Load()},
		{"hosts_listed", "gauge", int64(servers.Listed)},
		{"hosts_down", "gauge", int64(servers.Avoided)},
		{"hosts_doubted", "gauge", int64(servers.List.Suspected)},
		{"list_revision", "gauge", servers.List.Rev},
		{"list_age_ms", "gauge", int64(servers.List.Age)},
		{"list_source", "gauge", int64(servers.List.Source)},
		{"list_stale", "gauge", Bool(servers.List.Stale)},
		{"list_refused", "gauge", Bool(servers.List.Rejected)},
		{"zones_left", "gauge", int64(servers.Zones.Left)},
		{"zone_spill_percent", "gauge", int64(100 * servers.Zones.Spill)},
		{"region_spill_percent", "gauge", int64(100 * servers.Zones.FarSpill)},
	}
	if s := servers.Routes; s != nil {
		list = append(list,
			figure{"steer_revision", "gauge", s.Acts},
			figure{"steer_unread_revision", "gauge", s.Unread},
			figure{"steer_permitted", "gauge", Bool(s.Permitted)},
			figure{"steer_units_free", "gauge", s.FreeUnits},
			figure{"steer_voids", "counter", s.RevokedAttempts},
			figure{"steer_samples_lost", "counter", s.Lost},
		)
	}
	for _, one := range list {
		fmt.Fprintf(w, "# TYPE svc_%s %s\nsvc_%s %d\n", one.name, one.kind, one.name, one.value)
	}
}
