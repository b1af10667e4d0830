package listserver

// This file serves the status, health check and metrics of a replica.

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
	HeldEntries int               `json:"held"` // entries that are kept because too many leases expired together
	Watches     int64             `json:"watches"`
	StalenessMS int64             `json:"heard_ms"`
	DiskMS      float64           `json:"disk_ms"` // duration of the last disk write
	Members     map[string]string `json:"members"`

	// The following fields are set only in responses of the status path.
	Name     string          `json:"name,omitempty"`
	Applied  uint64          `json:"applied"` // index of the last applied log entry
	Replicas []ReplicaStatus `json:"copies,omitempty"`
}

// Status returns the current status of this replica, without the fields that only the status path sets.
func (s *Server) Status() Status {
	var status Status
	status.Leads, status.Leader = s.replica.Leader()
	s.hub.Read(func(st *state.State) {
		status.Rev, status.Epoch, status.Entries, status.Members = st.Rev(), state.EpochOf(st.Rev()), st.Len(), st.ReplicaAddresses()
		st.ForEachLease(func(string, int64, time.Duration) { status.Leased++ })
	})
	status.HeldEntries, status.Watches, status.StalenessMS =
		s.leases.HeldCount(), s.watches.Load(), s.replica.Staleness().Milliseconds()
	status.DiskMS = float64(s.replica.LastDiskWriteTime()) / float64(time.Millisecond)
	return status
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	status := s.Status()
	if c, ok := s.replica.(ReplicaSet); ok {
		status.Name, status.Applied, status.Replicas = c.Name(), c.Applied(), c.Replicas()
	}
	_ = encoder.Encode(status) // the error is ignored: the caller may have disconnected
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if age, stale := s.Stale(); stale {
		http.Error(w, fmt.Sprintf("what this copy has may be %v old", age.Round(time.Millisecond)), http.StatusServiceUnavailable)
		return
	}
	if isLeader, leader := s.replica.Leader(); !isLeader && leader == "" {
		http.Error(w, "no leader is known; reads are answered, writes are not", http.StatusServiceUnavailable)
		return
	}
	if n := s.leases.HeldCount(); n > 0 {
		fmt.Fprintf(w, "ok, but %d entries whose leases ended together are kept\n", n)
		return
	}
	fmt.Fprintln(w, "ok")
}

// metrics holds the metrics that /stats serves.
type metrics struct {
	registry                                  *prometheus.Registry
	rejectedReaders, slowWatchers, watchBytes prometheus.Counter
}

// newMetrics returns the metrics of a server in a registry of their own.
func newMetrics(s *Server) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		rejectedReaders: prometheus.NewCounter(prometheus.CounterOpts{Name: "registry_readers_turned_away_total",
			Help: "Readers told to come later."}),
		slowWatchers: prometheus.NewCounter(prometheus.CounterOpts{Name: "registry_watchers_ended_total",
			Help: "Watchers ended for being slow."}),
		watchBytes: prometheus.NewCounter(prometheus.CounterOpts{Name: "registry_watch_bytes_total",
			Help: "Bytes of lines written to watchers."}),
	}
	gauge := func(name, help string, value func(Status) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(s.Status()) })
	}
	m.registry.MustRegister(m.rejectedReaders, m.slowWatchers, m.watchBytes,
		gauge("registry_revision", "Revision of the last change.",
			func(status Status) float64 { return float64(status.Rev) }),
		gauge("registry_entries", "Entries in the list.",
			func(status Status) float64 { return float64(status.Entries) }),
		gauge("registry_entries_held", "Entries kept although their leases have ended.",
			func(status Status) float64 { return float64(status.HeldEntries) }),
		gauge("registry_watches", "Watches that are open.",
			func(status Status) float64 { return float64(status.Watches) }),
		gauge("registry_heard_seconds", "How old at most what this copy tells is.",
			func(status Status) float64 { return float64(status.StalenessMS) / 1000 }),
		gauge("registry_disk_seconds", "Time that the last write to this copy's disk took.",
			func(status Status) float64 { return status.DiskMS / 1000 }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "registry_disk_writes_total", Help: "Writes to this copy's disk since its start."},
			func() float64 { return float64(s.replica.DiskWrites()) }),
		gauge("registry_leads", "1 at the copy that leads.", func(status Status) float64 {
			if status.Leads {
				return 1
			}
			return 0
		}))
	return m
}
