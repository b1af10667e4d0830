package registry

import (
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

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	listPath = "/registry/instances"

	// beat is how often an empty line comes on a watch without changes, as the platform's protocol has it.
	watchHeartbeat = 2 * time.Second
	// writeWait is how long a watcher may take for one line.
	lineWriteTimeout  = 5 * time.Second
	maxWriteBodyBytes = 64 << 10 // bytes of a write's body
	applyTimeout      = 5 * time.Second
)

// Replica is the replicated log under a server: raft, or nothing but this process.
type Replica interface {
	// Apply carries out a command once it is on a majority. A copy that is not the leader answers ErrNotLeader.
	Apply(c *Command, wait time.Duration) (rev int64, err error)
	// Confirm asks a majority whether this copy still leads; what it has applied is then the newest.
	Confirm() error
	// Leader tells whether this copy leads, and where the one that does serves; empty: nobody is known to.
	Leader() (me bool, address string)
	// Staleness is how old at most the state is that this copy has: all that was acknowledged before is in it.
	Staleness() time.Duration
	// Term numbers this copy's lead, and no other's; 0: it does not lead, or has not applied yet what was acknowledged
	// before it did.
	Term() uint64
	// DiskTook is how long its last write to the disk took.
	DiskTook() time.Duration
	// DiskWrites counts the writes to it.
	DiskWrites() int64
}

// Errors of a copy that cannot write.
var (
	ErrNotLeader = errors.New("this copy does not lead")
	ErrNoQuorum  = errors.New("no majority of the copies can be reached")
)

// Options are what a server may be told. Zero values stand for the defaults.
type Options struct {
	Batch        time.Duration // for which changes are gathered into one line; 20 ms
	Watches      float64       // watches and whole lists that may begin a second; 500
	Burst        int           // ... at once; 200
	MaxStaleness time.Duration // reads are refused on a copy that has heard nothing for longer; 0: never
	// EachEncodes lets each watcher encode what it is told for itself. It is the baseline that the lab measures the
	// shared lines against, and of no other use.
	EachEncodes        bool
	MaxExpiredFraction float64    // of the leased entries: if more expire together, they are kept; 0.3
	Operators          *Operators // nil: routes are off
	Planted            string     // a defect of routes, for the lab; empty: none
	Log                *slog.Logger
}

func (o *Options) defaults() {
	orDuration(&o.Batch, 20*time.Millisecond)
	if o.Watches == 0 {
		o.Watches = 500
	}
	if o.Burst == 0 {
		o.Burst = 200
	}
	if o.MaxExpiredFraction == 0 {
		o.MaxExpiredFraction = 0.3
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

func orDuration(d *time.Duration, otherwise time.Duration) {
	if *d == 0 {
		*d = otherwise
	}
}

// Server answers readers and writers of one copy.
type Server struct {
	hub     *hub
	replica Replica
	o       atomic.Pointer[Options]
	log     *slog.Logger
	leases  *leases
	admit   bucket
	changed chan struct{}
	metrics *metrics
	watches atomic.Int64
	routes  *routing
	members *members // nil: off
}

// newServer makes a server over a hub whose state the replica changes. Run has to run for news to pass.
func newServer(h *hub, r Replica, o Options) *Server {
	o.defaults()
	s := &Server{hub: h, replica: r, log: o.Log, changed: make(chan struct{}, 1), leases: newLeases()}
	s.o.Store(&o)
	s.admit.level = float64(o.Burst)
	s.routes = newRouting(s, o)
	s.metrics = newMetrics(s)
	return s
}

// Reload takes in other options; the log stays.
func (s *Server) Reload(o Options) {
	o.defaults()
	s.o.Store(&o)
}

// stir says that the state has changed. It never blocks.
func (s *Server) signalChange() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Run passes changes on and expires leases until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.expireLoop(ctx) })
	wg.Go(func() { s.routes.run(ctx) })
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		// The first change after a pause is told at once but for the batch; a burst becomes a few lines.
		t := time.NewTimer(s.o.Load().Batch)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if err := s.hub.publish(); err != nil {
			s.log.Error("registry: news cannot be told", "error", err)
		}
	}
}

// Handler serves the list, writes, health and figures.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+listPath, s.list)
	m.HandleFunc("GET "+listPath+"/{uid}", s.get)
	m.HandleFunc("POST "+listPath+"/{uid}", s.put)
	m.HandleFunc("POST "+listPath+"/{uid}/renew", s.renew)
	m.HandleFunc("POST "+listPath+"/{uid}/drain", func(w http.ResponseWriter, r *http.Request) { s.change(w, r, OpDrain) })
	m.HandleFunc("DELETE "+listPath+"/{uid}", func(w http.ResponseWriter, r *http.Request) { s.change(w, r, OpRemove) })
	m.HandleFunc("GET /registry/status", s.status)
	m.HandleFunc("GET /registry/snapshot", s.snapshot)
	m.HandleFunc("GET "+leaderRevPath, s.leaderRev)
	if c, ok := s.replica.(replicaSet); ok {
		s.handleCopies(m, c)
	}
	if s.members != nil {
		m.Handle(membersPath, s.members)
		m.Handle(membersPath+"/", s.members)
	}
	s.routes.handle(m)
	m.HandleFunc("GET /healthcheck", s.health)
	m.Handle("GET /stats", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	return m
}

// stale tells whether this copy is too far behind to be read.
func (s *Server) stale() (time.Duration, bool) {
	age, limit := s.replica.Staleness(), s.o.Load().MaxStaleness
	return age, limit > 0 && age > limit
}

// note puts what a reader may want to know of this copy into the answer's head; heard is from before the answer was
// made, so that the answer is no older than it says.
func (s *Server) writeReplicaHeaders(w http.ResponseWriter, rev int64, staleness time.Duration) {
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
	if age, stale := s.stale(); stale {
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
		s.writeReplicaHeaders(w, l.rev, staleness)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(l.text)))
		_, _ = w.Write(l.text) // a reader that is gone needs nothing
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

// get reads one entry as of now: only the leader answers, after a majority has said that it leads.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.leading(w, r) {
		return
	}
	if err := s.replica.Confirm(); err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	var e Entry
	var changed int64
	known := false
	s.hub.read(func(st *State) { e, changed, _, known = st.Get(r.PathValue("uid")) })
	if !known {
		http.Error(w, ErrUnknown.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct { // a caller that is gone needs nothing
		Entry
		Changed int64 `json:"changed"`
	}{e, changed})
}

// snapshot gives the whole state as this copy has it, for a backup.
func (s *Server) snapshot(w http.ResponseWriter, _ *http.Request) {
	var out *saved
	var err error
	staleness := s.replica.Staleness()
	s.hub.read(func(st *State) { out, err = st.save() })
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.writeReplicaHeaders(w, out.Rev, staleness)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // a caller that is gone needs nothing
}

// expireEvery is how often leases are looked at.
const leaseCheckInterval = 200 * time.Millisecond

// maxRetryAfter bounds the Retry-After of a reader that is rate limited.
const maxRetryAfter = 10 * time.Second
