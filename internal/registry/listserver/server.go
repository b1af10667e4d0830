// Package listserver provides the HTTP API of the list service: reads and watches of the list, writes, lease renewals,
// admission of readers, status, metrics, and changes of the replicas.
package listserver

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"marblelane/internal/registry/operators"
	"marblelane/internal/registry/state"
)

const (
	// ListPath is the path of the list and of its entries.
	ListPath = "/registry/instances"

	// WatchHeartbeat is the interval at which a watch sends empty lines. The platform's protocol sets it.
	WatchHeartbeat = 2 * time.Second
	// lineWriteTimeout bounds the write of one line to a watch.
	lineWriteTimeout  = 5 * time.Second
	MaxWriteBodyBytes = 64 << 10        // maximum size of the body of a write
	ApplyTimeout      = 5 * time.Second // maximum time for a write to be replicated and applied
)

// Replica is the replicated log that a server writes to: raft, or a single process.
type Replica interface {
	// Apply replicates a command to a quorum and applies it. It fails with ErrNotLeader on a follower.
	Apply(c *state.Command, wait time.Duration) (rev int64, err error)
	// Confirm verifies with a quorum that this replica is still the leader, so that its applied state is current.
	Confirm() error
	// Leader reports whether this replica is the leader, and the HTTP address of the leader, empty if unknown.
	Leader() (isLeader bool, address string)
	// Staleness is an upper bound of the age of the applied state. The state includes all older acknowledged writes.
	Staleness() time.Duration
	// Term is the raft term in which this replica is the leader; 0 if it is not, or has not yet applied all log
	// entries committed in earlier terms.
	Term() uint64
	// LastDiskWriteTime is the duration of the last disk write.
	LastDiskWriteTime() time.Duration
	// DiskWrites is the number of disk writes.
	DiskWrites() int64
}

// Errors of a replica that cannot apply a write.
var (
	ErrNotLeader = errors.New("this copy does not lead")
	ErrNoQuorum  = errors.New("no majority of the copies can be reached")
)

// Routes is the API of routes and rollouts that a server provides in addition to the list.
type Routes interface {
	// Handle registers the HTTP handlers.
	Handle(m *http.ServeMux)
	// Run runs the periodic tasks until ctx ends.
	Run(ctx context.Context)
	prometheus.Collector
}

// Options configure a server. Zero values stand for the defaults, which the comments give last.
type Options struct {
	BatchInterval  time.Duration // time for which changes are batched into one line; 20 ms
	AdmissionRate  float64       // admitted reads of the list (watches and full lists) per second; 500
	AdmissionBurst int           // reads that may be admitted at once; 200
	MaxStaleness   time.Duration // reads are rejected if the staleness exceeds this; 0: never
	// EncodePerWatch encodes each line separately for each watch. It is a baseline that only the lab uses.
	EncodePerWatch     bool
	MaxExpiredFraction float64              // if a larger fraction of the leases expires together, their entries are kept; 0.3
	Operators          *operators.Operators // nil if routes are off
	InjectedDefect     string               // defect of the routes that the lab injects; empty for none
	Log                *slog.Logger
}

// SetDefaults replaces zero values with the defaults.
func (o *Options) SetDefaults() {
	o.BatchInterval = cmp.Or(o.BatchInterval, 20*time.Millisecond)
	if o.AdmissionRate == 0 {
		o.AdmissionRate = 500
	}
	if o.AdmissionBurst == 0 {
		o.AdmissionBurst = 200
	}
	if o.MaxExpiredFraction == 0 {
		o.MaxExpiredFraction = 0.3
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Server serves the HTTP API of one replica.
type Server struct {
	hub       *Hub
	replica   Replica
	options   atomic.Pointer[Options]
	log       *slog.Logger
	leases    *state.Leases
	admission *TokenBucket
	changed   chan struct{} // signals a change of the state that is not published yet
	metrics   *metrics
	watches   atomic.Int64
	routes    Routes   // nil if not mounted
	members   *Members // nil if membership is off
}

// New returns a server for a hub whose state the replica changes. Changes are published only while Run is running.
func New(h *Hub, r Replica, o Options) *Server {
	o.SetDefaults()
	s := &Server{hub: h, replica: r, log: o.Log, changed: make(chan struct{}, 1),
		leases: state.NewLeases(), admission: NewTokenBucket(o.AdmissionBurst)}
	s.options.Store(&o)
	s.metrics = newMetrics(s)
	return s
}

// Mount adds the routes API. It must be called before Handler and Run.
func (s *Server) Mount(routes Routes) {
	s.routes = routes
	s.metrics.registry.MustRegister(routes)
}

// Options returns the current options.
func (s *Server) Options() *Options { return s.options.Load() }

// CountRejectedReader counts a reader that the rate limit rejected.
func (s *Server) CountRejectedReader() { s.metrics.rejectedReaders.Inc() }

// CountSlowWatcher counts a watch that was closed because its client was too slow.
func (s *Server) CountSlowWatcher() { s.metrics.slowWatchers.Inc() }

// LeaseEnd returns when the lease of an entry ends, or the zero time if this replica tracks no lease for it.
func (s *Server) LeaseEnd(uid string) time.Time { return s.leases.End(uid) }

// Reload replaces the options, except the logger.
func (s *Server) Reload(o Options) {
	o.SetDefaults()
	s.options.Store(&o)
}

// SignalChange makes Run publish the changes of the state. It never blocks.
func (s *Server) SignalChange() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Run publishes changes and expires leases until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.expireLoop(ctx) })
	if s.routes != nil {
		wg.Go(func() { s.routes.Run(ctx) })
	}
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		// Changes within BatchInterval after the first one are published as one line.
		t := time.NewTimer(s.options.Load().BatchInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if err := s.hub.Publish(); err != nil {
			s.log.Error("registry: failed to publish changes of the list", "error", err)
		}
	}
}

// Handler returns the handler of the HTTP API.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+ListPath, s.list)
	m.HandleFunc("GET "+ListPath+"/{uid}", s.get)
	m.HandleFunc("POST "+ListPath+"/{uid}", s.writeEntry)
	m.HandleFunc("POST "+ListPath+"/{uid}/renew", s.renew)
	m.HandleFunc("POST "+ListPath+"/{uid}/drain", func(w http.ResponseWriter, r *http.Request) { s.changeEntry(w, r, state.OpDrain) })
	m.HandleFunc("DELETE "+ListPath+"/{uid}", func(w http.ResponseWriter, r *http.Request) { s.changeEntry(w, r, state.OpRemove) })
	m.HandleFunc("GET /registry/status", s.status)
	m.HandleFunc("GET /registry/snapshot", s.snapshot)
	m.HandleFunc("GET "+LeaderRevPath, s.leaderRev)
	if c, ok := s.replica.(ReplicaSet); ok {
		s.handleReplicas(m, c)
	}
	if s.members != nil {
		m.Handle(MembersPath, s.members)
		m.Handle(MembersPath+"/", s.members)
	}
	if s.routes != nil {
		s.routes.Handle(m)
	}
	m.HandleFunc("GET /healthcheck", s.health)
	m.Handle("GET /stats", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	return m
}

// Stale returns the staleness of this replica, and whether it is too stale to serve reads.
func (s *Server) Stale() (time.Duration, bool) {
	age, limit := s.replica.Staleness(), s.options.Load().MaxStaleness
	return age, limit > 0 && age > limit
}

// WriteReplicaHeaders sets the headers with the role, the staleness and the revision of this replica. The caller must
// read the staleness before the state that it responds with, so that the header does not understate it.
func (s *Server) WriteReplicaHeaders(w http.ResponseWriter, rev int64, staleness time.Duration) {
	isLeader, _ := s.replica.Leader()
	role := "follower"
	if isLeader {
		role = "leader"
	}
	header := w.Header()
	header.Set("X-Registry-Role", role)
	header.Set("X-Registry-Heard-Ms", strconv.FormatInt((staleness+time.Millisecond).Milliseconds(), 10))
	if rev > 0 {
		header.Set("X-Registry-Rev", strconv.FormatInt(rev, 10))
	}
}

// list serves the full list or a watch of it.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if age, stale := s.Stale(); stale {
		w.Header().Set("Retry-After", "1")
		http.Error(w, fmt.Sprintf("what this copy has may be %v old", age.Round(time.Millisecond)), http.StatusServiceUnavailable)
		return
	}
	if wait := s.retryAfter(); wait > 0 {
		s.metrics.rejectedReaders.Inc()
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		http.Error(w, "too many readers come at once", http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	staleness := s.replica.Staleness()
	if q.Get("watch") == "" {
		l, err := s.hub.fullLine()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		s.WriteReplicaHeaders(w, l.rev, staleness)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(l.text)))
		_, _ = w.Write(l.text) // the error is ignored: the reader may have disconnected
		return
	}
	after := int64(-1)
	if text := q.Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseInt(text, 10, 64); err != nil {
			http.Error(w, "after is no revision: "+strconv.Quote(text), http.StatusBadRequest)
			return
		}
	}
	s.watch(w, r, after, staleness)
}

// get serves a linearizable read of one entry. Only the leader responds, once a quorum has confirmed that it leads.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.RequireLeader(w, r) {
		return
	}
	if err := s.replica.Confirm(); err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	var e state.Entry
	var changed int64
	found := false
	s.hub.Read(func(st *state.State) { e, changed, _, found = st.Get(r.PathValue("uid")) })
	if !found {
		http.Error(w, state.ErrUnknown.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct { // the error is ignored: the caller may have disconnected
		state.Entry
		Changed int64 `json:"changed"`
	}{e, changed})
}

// snapshot responds with the full state of this replica, for a backup.
func (s *Server) snapshot(w http.ResponseWriter, _ *http.Request) {
	var snapshot *state.Snapshot
	var err error
	staleness := s.replica.Staleness()
	s.hub.Read(func(st *state.State) { snapshot, err = st.Snapshot() })
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.WriteReplicaHeaders(w, snapshot.Rev, staleness)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(snapshot) // the error is ignored: the caller may have disconnected
}

// maxRetryAfter bounds the Retry-After header of a reader that the rate limit rejects.
const maxRetryAfter = 10 * time.Second
