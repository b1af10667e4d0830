// Package listserver is the HTTP API of the list: reads and watches, writes and renewals, admission, status and metrics,
// and changes of the replicas.
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
	ListPath = "/registry/instances"

	// WatchHeartbeat is the interval of empty lines on an idle watch, given by the platform's protocol.
	WatchHeartbeat = 2 * time.Second
	// lineWriteTimeout bounds the write of one line to a watch.
	lineWriteTimeout  = 5 * time.Second
	MaxWriteBodyBytes = 64 << 10 // bytes of a write's body
	ApplyTimeout      = 5 * time.Second
)

// Replica is the replicated log under a server: raft, or a single process.
type Replica interface {
	// Apply replicates a command to a quorum and applies it. It fails with ErrNotLeader on a follower.
	Apply(c *state.Command, wait time.Duration) (rev int64, err error)
	// Confirm verifies with a quorum that this replica still leads, so that its applied state is the newest.
	Confirm() error
	// Leader reports whether this replica leads, and the HTTP address of the leader; empty if unknown.
	Leader() (me bool, address string)
	// Staleness is an upper bound of the age of the applied state: it has every write acknowledged before then.
	Staleness() time.Duration
	// Term is the raft term in which this replica leads; 0 if it does not lead, or has not yet applied all entries
	// committed in earlier terms.
	Term() uint64
	// LastDiskWriteTime is the duration of the last disk write.
	LastDiskWriteTime() time.Duration
	// DiskWrites is the number of disk writes.
	DiskWrites() int64
}

// Errors of a replica that cannot write.
var (
	ErrNotLeader = errors.New("this copy does not lead")
	ErrNoQuorum  = errors.New("no majority of the copies can be reached")
)

// Routes is the API of routes and rollouts that a server offers beside the list.
type Routes interface {
	// Handle registers the HTTP handlers.
	Handle(m *http.ServeMux)
	// Run carries out the periodic duties until ctx ends.
	Run(ctx context.Context)
	prometheus.Collector
}

// Options configure a server. Zero values stand for the defaults.
type Options struct {
	BatchInterval  time.Duration // time for which changes are batched into one line; 20 ms
	AdmissionRate  float64       // admitted watches and full lists per second; 500
	AdmissionBurst int           // burst of admitted watches and full lists; 200
	MaxStaleness   time.Duration // reads are rejected on a replica staler than this; 0: never
	// EncodePerWatch encodes each line for each watch separately; a baseline for the lab only.
	EncodePerWatch     bool
	MaxExpiredFraction float64              // if more of the leased entries expire together, they are held; 0.3
	Operators          *operators.Operators // nil: routes are off
	InjectedDefect     string               // a defect of routes, for the lab; empty: none
	Log                *slog.Logger
}

// SetDefaults replaces zero values by the defaults.
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

// Server answers readers and writers of one replica.
type Server struct {
	hub     *Hub
	replica Replica
	o       atomic.Pointer[Options]
	log     *slog.Logger
	leases  *state.Leases
	admit   *TokenBucket
	changed chan struct{}
	metrics *metrics
	watches atomic.Int64
	routes  Routes   // nil: not mounted
	members *Members // nil: off
}

// New makes a server over a hub whose state the replica changes. Changes are published only while Run runs.
func New(h *Hub, r Replica, o Options) *Server {
	o.SetDefaults()
	s := &Server{hub: h, replica: r, log: o.Log, changed: make(chan struct{}, 1), leases: state.NewLeases(), admit: NewTokenBucket(o.AdmissionBurst)}
	s.o.Store(&o)
	s.metrics = newMetrics(s)
	return s
}

// Mount adds the routes API, before Handler and Run.
func (s *Server) Mount(r Routes) {
	s.routes = r
	s.metrics.registry.MustRegister(r)
}

// Options returns the current options.
func (s *Server) Options() *Options { return s.o.Load() }

// CountRejectedReader counts a reader rejected by the rate limit.
func (s *Server) CountRejectedReader() { s.metrics.turned.Inc() }

// CountSlowWatcher counts a watch closed because its client was slow.
func (s *Server) CountSlowWatcher() { s.metrics.slow.Inc() }

// LeaseEnd is when the lease of an entry ends; zero if this replica tracks none.
func (s *Server) LeaseEnd(uid string) time.Time { return s.leases.End(uid) }

// Reload replaces the options, except the logger.
func (s *Server) Reload(o Options) {
	o.SetDefaults()
	s.o.Store(&o)
}

// SignalChange signals that the state has changed. It never blocks.
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
		// Changes within Batch after the first one are published as one line.
		t := time.NewTimer(s.o.Load().BatchInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if err := s.hub.Publish(); err != nil {
			s.log.Error("registry: news cannot be told", "error", err)
		}
	}
}

// Handler serves the list, writes, health and metrics.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+ListPath, s.list)
	m.HandleFunc("GET "+ListPath+"/{uid}", s.get)
	m.HandleFunc("POST "+ListPath+"/{uid}", s.put)
	m.HandleFunc("POST "+ListPath+"/{uid}/renew", s.renew)
	m.HandleFunc("POST "+ListPath+"/{uid}/drain", func(w http.ResponseWriter, r *http.Request) { s.change(w, r, state.OpDrain) })
	m.HandleFunc("DELETE "+ListPath+"/{uid}", func(w http.ResponseWriter, r *http.Request) { s.change(w, r, state.OpRemove) })
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

// Stale reports whether this replica is too stale to serve reads.
func (s *Server) Stale() (time.Duration, bool) {
	age, limit := s.replica.Staleness(), s.o.Load().MaxStaleness
	return age, limit > 0 && age > limit
}

// WriteReplicaHeaders sets the headers with role, staleness and revision. staleness has to be read before the answer is
// made, so that it is not understated.
func (s *Server) WriteReplicaHeaders(w http.ResponseWriter, rev int64, staleness time.Duration) {
	me, _ := s.replica.Leader()
	role := "follower"
	if me {
		role = "leader"
	}
	h := w.Header()
	h.Set("X-Registry-Role", role)
	h.Set("X-Registry-Heard-Ms", strconv.FormatInt((staleness+time.Millisecond).Milliseconds(), 10))
	if rev > 0 {
		h.Set("X-Registry-Rev", strconv.FormatInt(rev, 10))
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if age, stale := s.Stale(); stale {
		w.Header().Set("Retry-After", "1")
		http.Error(w, fmt.Sprintf("what this copy has may be %v old", age.Round(time.Millisecond)), http.StatusServiceUnavailable)
		return
	}
	if wait := s.retryAfter(); wait > 0 {
		s.metrics.turned.Inc()
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
		_, _ = w.Write(l.text) // the reader may have disconnected
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

// get is a linearizable read of one entry: only the leader answers, once a quorum has confirmed it.
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
	known := false
	s.hub.Read(func(st *state.State) { e, changed, _, known = st.Get(r.PathValue("uid")) })
	if !known {
		http.Error(w, state.ErrUnknown.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct { // the caller may have disconnected
		state.Entry
		Changed int64 `json:"changed"`
	}{e, changed})
}

// snapshot answers with the full state of this replica, for a backup.
func (s *Server) snapshot(w http.ResponseWriter, _ *http.Request) {
	var out *state.Snapshot
	var err error
	staleness := s.replica.Staleness()
	s.hub.Read(func(st *state.State) { out, err = st.Snapshot() })
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.WriteReplicaHeaders(w, out.Rev, staleness)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the caller may have disconnected
}

// maxRetryAfter bounds the Retry-After of a reader that is rate limited.
const maxRetryAfter = 10 * time.Second
