package listserver

// This file serves writes of entries and renewals of leases, and expires leases.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"marblelane/internal/registry/state"
)

// Registration is the body of a registration: an entry in the platform's form, and its lease.
type Registration struct {
	state.Entry
	LeaseMS int64 `json:"lease_ms"`
}

// writeEntry registers an entry or replaces it.
func (s *Server) writeEntry(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxWriteBodyBytes))
	if err != nil {
		http.Error(w, "the body cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	reg := Registration{Entry: state.Entry{UID: r.PathValue("uid"), State: state.Ready, Capacity: 1}}
	if err := json.Unmarshal(body, &reg); err != nil {
		http.Error(w, "the body is no entry: "+err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case reg.UID != r.PathValue("uid"):
		http.Error(w, fmt.Sprintf("the entry is of %q, the path of %q", reg.UID, r.PathValue("uid")), http.StatusBadRequest)
		return
	case reg.LeaseMS < 0 || reg.LeaseMS > 24*3600*1000:
		http.Error(w, "lease_ms is not between 0 and a day", http.StatusBadRequest)
		return
	}
	if err := reg.Check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := &state.Command{Op: state.OpPut, Entry: &reg.Entry, LeaseMS: reg.LeaseMS}
	s.apply(w, r, c)
}

// changeEntry applies an operation that needs no body to an entry.
func (s *Server) changeEntry(w http.ResponseWriter, r *http.Request, op state.Op) {
	s.apply(w, r, &state.Command{Op: op, UID: r.PathValue("uid")})
}

// renew restarts a lease with its full term. The revision does not change.
func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	if !s.RequireLeader(w, r) {
		return
	}
	uid := r.PathValue("uid")
	var term time.Duration
	var entry state.Entry
	found := false
	s.hub.Read(func(st *state.State) { entry, _, term, found = st.Get(uid) })
	if !found {
		http.Error(w, state.ErrUnknown.Error()+": register again", http.StatusNotFound)
		return
	}
	s.leases.Renew(uid, term, time.Now())
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"state\":%q,\"lease_ms\":%d}\n", entry.State, term.Milliseconds())
}

// RequireLeader reports whether this replica is the leader. If not, it redirects the caller to the leader, or responds
// with 503 if the leader is unknown.
func (s *Server) RequireLeader(w http.ResponseWriter, r *http.Request) bool {
	isLeader, address := s.replica.Leader()
	if isLeader {
		return true
	}
	s.WriteReplicaHeaders(w, 0, s.replica.Staleness())
	if address == "" {
		w.Header().Set("Retry-After", "1")
		http.Error(w, ErrNoQuorum.Error(), http.StatusServiceUnavailable)
		return false
	}
	http.Redirect(w, r, "http://"+address+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	return false
}

// apply replicates a write and responds with the revision that includes it.
func (s *Server) apply(w http.ResponseWriter, r *http.Request, c *state.Command) {
	if text := r.URL.Query().Get("if"); text != "" {
		rev, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, "if is no revision: "+strconv.Quote(text), http.StatusBadRequest)
			return
		}
		c.If = &rev
	}
	if !s.RequireLeader(w, r) {
		return
	}
	rev, err := s.replica.Apply(c, ApplyTimeout)
	if err != nil {
		status := http.StatusInternalServerError
		switch {
		case errors.Is(err, state.ErrConflict), errors.Is(err, state.ErrDrained):
			status = http.StatusConflict
		case errors.Is(err, state.ErrUnknown):
			status = http.StatusNotFound
		case errors.Is(err, state.ErrInvalid):
			status = http.StatusBadRequest
		case errors.Is(err, ErrNotLeader), errors.Is(err, ErrNoQuorum):
			status = http.StatusServiceUnavailable
			w.Header().Set("Retry-After", "1")
		}
		http.Error(w, err.Error(), status)
		return
	}
	if c.Op == state.OpPut && c.LeaseMS > 0 {
		s.leases.Renew(c.Entry.UID, time.Duration(c.LeaseMS)*time.Millisecond, time.Now())
	}
	s.WriteReplicaHeaders(w, rev, s.replica.Staleness())
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"rev\":%d}\n", rev)
}

// expireLoop expires leases while this replica is the leader. When it acquires leadership, each lease starts again with
// its full term.
func (s *Server) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(state.LeaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		isLeader, _ := s.replica.Leader()
		if !isLeader {
			s.leases.Forget()
			continue
		}
		now := time.Now() // includes the monotonic clock, so changes of the wall clock do not expire leases
		var leased []state.Lease
		s.hub.Read(func(st *state.State) {
			st.Leased(func(uid string, changed int64, term time.Duration) {
				leased = append(leased, state.Lease{UID: uid, Changed: changed, Term: term})
			})
		})
		expired, held := s.leases.Due(leased, s.options.Load().MaxExpiredFraction, now)
		if held > 0 {
			s.log.Warn("registry: too many leases expired together; their entries are kept", "entries", held, "of", len(leased))
		}
		if len(expired) == 0 {
			continue
		}
		s.log.Info("registry: leases expired", "entries", len(expired))
		if _, err := s.replica.Apply(&state.Command{Op: state.OpExpire, Expired: expired}, ApplyTimeout); err != nil {
			s.log.Warn("registry: failed to remove entries with expired leases", "error", err)
		}
	}
}
