package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"marblelane/balance"
)

// figures count from the start of the process. Each request counts once, by the answer that was decided for it.
type figures struct {
	classes  []classFigures
	calls    atomic.Int64 // attempts written whole
	inFlight atomic.Int64 // requests taken and not ended
	servers  atomic.Pointer[serverFigures]
}

type classFigures struct {
	name                  string // escaped for a label
	served, busy, failure atomic.Int64
}

// serverFigures is what the loop last published.
type serverFigures struct {
	listed, avoided, ready int
	told                   bool // by discovery, since the start
	list                   balance.ListStatus
	zones                  balance.ZoneStatus
	steer                  *steerFigures // nil: off
}

type figure struct {
	name, kind string
	value      int64
}

func newFigures(classes []string) *figures {
	f := &figures{classes: make([]classFigures, len(classes))}
	label := strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
	for i, name := range classes {
		f.classes[i].name = label.Replace(name)
	}
	f.servers.Store(&serverFigures{})
	return f
}

// count takes in the final answer of a request.
func (f *figures) count(class, status int) {
	c := &f.classes[class]
	switch status {
	case http.StatusOK:
		c.served.Add(1)
	case statusRefused:
		c.busy.Add(1)
	default:
		c.failure.Add(1)
	}
}

func flag(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

// write gives all figures in Prometheus's text form.
func (f *figures) write(w io.Writer) {
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
	servers := f.servers.Load()
	list := []figure{
		{"backend_calls", "counter", f.calls.Load()},
		{"inflight", "gauge", f.inFlight.Load()},
		{"hosts_listed", "gauge", int64(servers.listed)},
		{"hosts_down", "gauge", int64(servers.avoided)},
		{"hosts_doubted", "gauge", int64(servers.list.Suspected)},
		{"list_revision", "gauge", servers.list.Rev},
		{"list_age_ms", "gauge", int64(servers.list.Age)},
		{"list_source", "gauge", int64(servers.list.Source)},
		{"list_stale", "gauge", flag(servers.list.Stale)},
		{"list_refused", "gauge", flag(servers.list.Rejected)},
		{"zones_left", "gauge", int64(servers.zones.Left)},
		{"zone_spill_percent", "gauge", int64(100 * servers.zones.Spill)},
		{"region_spill_percent", "gauge", int64(100 * servers.zones.FarSpill)},
	}
	if s := servers.steer; s != nil {
		list = append(list,
			figure{"steer_revision", "gauge", s.Acts},
			figure{"steer_unread_revision", "gauge", s.Unread},
			figure{"steer_permitted", "gauge", flag(s.Permitted)},
			figure{"steer_units_free", "gauge", s.free},
			figure{"steer_voids", "counter", s.voids},
			figure{"steer_samples_lost", "counter", s.Lost},
		)
	}
	for _, one := range list {
		fmt.Fprintf(w, "# TYPE svc_%s %s\nsvc_%s %d\n", one.name, one.kind, one.name, one.value)
	}
}
