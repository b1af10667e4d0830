package listserver

// This file serves status, health and metrics of a replica.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marblelane/internal/registry/state"
)

// Status is the JSON form of a replica's status.
type Status struct {
	Leads       bool              `json:"leads"`
	Leader      string            `json:"leader"`
	Rev         int64             `json:"rev"`
	Epoch       int64             `json:"epoch"`
	Entries     int               `json:"entries"`
	Leased      int               `json:"leased"`
	Held        int               `json:"held"` // expired together with too many others, and kept
	Watches     int64             `json:"watches"`
	StalenessMS int64             `json:"heard_ms"`
	DiskMS      float64           `json:"disk_ms"` // that the last write to its disk took
	Members     map[string]string `json:"members"`

	// Only in the answer of the status path.
	Name     string          `json:"name,omitempty"`
	Applied  uint64          `json:"applied"` // index of the last log entry that it has applied
	Replicas []ReplicaStatus `json:"copies,omitempty"`
}

// Status reads it.
func (s *Server) Status() Status {
	var out Status
	out.Leads, out.Leader = s.replica.Leader()
	s.hub.Read(func(st *state.State) {
		out.Rev, out.Epoch, out.Entries, out.Members = st.Rev(), state.EpochOf(st.Rev()), st.Len(), st.ReplicaAddresses()
		st.ForEachLease(func(string, int64, time.Duration) { out.Leased++ })
	})
	out.Held, out.Watches, out.StalenessMS = s.leases.HeldCount(), s.watches.Load(), s.replica.Staleness().Milliseconds()
	out.DiskMS = float64(s.replica.DiskTook()) / float64(time.Millisecond)
	return out
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	out := s.Status()
	if c, ok := s.replica.(ReplicaSet); ok {
		out.Name, out.Applied, out.Replicas = c.Name(), c.Applied(), c.Replicas()
	}
	_ = e.Encode(out) // a caller that is gone needs nothing
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if age, stale := s.Stale(); stale {
		http.Error(w, fmt.Sprintf("what this copy has may be %v old", age.Round(time.Millisecond)), http.StatusServiceUnavailable)
		return
	}
	if me, leader := s.replica.Leader(); !me && leader == "" {
		http.Error(w, "no leader is known; reads are answered, writes are not", http.StatusServiceUnavailable)
		return
	}
	if n := s.leases.HeldCount(); n > 0 {
		fmt.Fprintf(w, "ok, but %d entries whose leases ended together are kept\n", n)
		return
	}
	fmt.Fprintln(w, "ok")
}

// metrics are the metrics of /stats.
type metrics struct {
	registry            *prometheus.Registry
	turned, slow, bytes prometheus.Counter
}

func newMetrics(s *Server) *metrics {
	f := &metrics{
		registry: prometheus.NewRegistry(),
		turned:   prometheus.NewCounter(prometheus.CounterOpts{Name: "registry_readers_turned_away_total", Help: "Readers told to come later."}),
		slow:     prometheus.NewCounter(prometheus.CounterOpts{Name: "registry_watchers_ended_total", Help: "Watchers ended for being slow."}),
		bytes:    prometheus.NewCounter(prometheus.CounterOpts{Name: "registry_watch_bytes_total", Help: "Bytes of lines written to watchers."}),
	}
	gauge := func(name, help string, of func(Status) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return of(s.Status()) })
	}
	f.registry.MustRegister(f.turned, f.slow, f.bytes,
		gauge("registry_revision", "Revision of the last change.", func(x Status) float64 { return float64(x.Rev) }),
		gauge("registry_entries", "Entries in the list.", func(x Status) float64 { return float64(x.Entries) }),
		gauge("registry_entries_held", "Entries kept although their leases have ended.", func(x Status) float64 { return float64(x.Held) }),
		gauge("registry_watches", "Watches that are open.", func(x Status) float64 { return float64(x.Watches) }),
		gauge("registry_heard_seconds", "How old at most what this copy tells is.", func(x Status) float64 { return float64(x.StalenessMS) / 1000 }),
		gauge("registry_disk_seconds", "Time that the last write to this copy's disk took.", func(x Status) float64 { return x.DiskMS / 1000 }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "registry_disk_writes_total", Help: "Writes to this copy's disk since its start."},
			func() float64 { return float64(s.replica.DiskWrites()) }),
		gauge("registry_leads", "1 at the copy that leads.", func(x Status) float64 {
			if x.Leads {
				return 1
			}
			return 0
		}))
	return f
}
