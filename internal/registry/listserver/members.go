package listserver

// This file joins the replica to the membership group, see docs/membership.md. Operators read the group's view of the
// replicas; raft alone decides who votes. It is off without its section of the configuration.

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marblelane/internal/membership"
	"marblelane/internal/membership/collect"
	"marblelane/internal/streamlimit"
)

const (
	MembersPath = "/members"
	MemberRole  = "list"
	// UnknownMember is the state of a replica without a membership report.
	UnknownMember membership.MemberState = "unknown"

	leaveTimeout = 300 * time.Millisecond // time for the leave message to reach the others
	// MemberWatchers is the maximum of concurrent watches of /members; each holds a connection.
	MemberWatchers = 8
	// An address that cannot be bound is retried after bindSoon, then after twice the time, up to bindLate.
	bindSoon = 100 * time.Millisecond
	bindLate = 10 * time.Second
)

// Members is the replica as a member of the group.
type Members struct {
	cfg      membership.Config
	group    atomic.Pointer[membership.Group] // nil: not bound yet, or closed
	watchers streamlimit.Limiter
}

// NewMembers makes the member of a replica; nil where membership is off.
func NewMembers(cfg *membership.Config, o Options) *Members {
	if cfg == nil {
		return nil
	}
	m := &Members{cfg: *cfg, watchers: streamlimit.Limiter{MaxOpen: MemberWatchers, WriteTimeout: lineWriteTimeout}}
	m.cfg.Log = o.Log
	return m
}

// Run binds the address, with retries, and leaves the group when ctx ends. The replica serves meanwhile.
func (m *Members) Run(ctx context.Context) {
	wait := bindSoon
	g, err := membership.Open(m.cfg)
	for ; err != nil; g, err = membership.Open(m.cfg) {
		if wait == bindSoon {
			m.cfg.Log.Error("members: this copy goes on without, and tries again", "bind", m.cfg.Bind, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			wait = min(2*wait, bindLate)
		}
	}
	m.group.Store(g)
	<-ctx.Done()
	m.group.Store(nil)
	end, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := g.Leave(end); err != nil {
		m.cfg.Log.Info("members: others may not know that this copy leaves", "error", err)
	}
	if err := g.Close(); err != nil {
		m.cfg.Log.Info("members: close", "error", err)
	}
}

// MemberStates returns the state of each replica by name, as this one sees it. Of several members with one name an alive one
// counts, then the one that started last. A group that this replica has left is not consulted.
func (m *Members) MemberStates() map[string]membership.MemberState {
	out := map[string]membership.MemberState{}
	if m == nil {
		return out
	}
	g := m.group.Load()
	if g == nil {
		return out
	}
	latest, report := map[string]int64{}, g.Report()
	if left(report) {
		return out
	}
	for _, one := range report.Members {
		if one.Role != "" && one.Role != MemberRole {
			continue
		}
		was, seen := out[one.Name]
		later := was != membership.Alive && one.Start >= latest[one.Name]
		if !seen || later || one.State == membership.Alive {
			out[one.Name], latest[one.Name] = one.State, one.Start
		}
	}
	return out
}

// left reports whether the process of a report has left the group and so receives no further updates.
func left(r membership.Report) bool {
	for _, one := range r.Members {
		if one.Name == r.Self.Name && one.Start == r.Self.Start {
			return one.State == membership.Gone
		}
	}
	return false
}

// ServeHTTP serves the view of the group, and its watches.
func (m *Members) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g := m.group.Load()
	if g == nil {
		http.Error(w, fmt.Sprintf("members: %s is not bound", m.cfg.Bind), http.StatusServiceUnavailable)
		return
	}
	if r.Method != http.MethodPost && r.URL.Query().Get("watch") != "" {
		m.watchers.Serve(w, r, g.Handler())
		return
	}
	g.Handler().ServeHTTP(w, r)
}

// Describe sends nothing: there are no metrics while the address is not bound.
func (m *Members) Describe(chan<- *prometheus.Desc) {}

// Collect sends the metrics of the group.
func (m *Members) Collect(out chan<- prometheus.Metric) {
	if g := m.group.Load(); g != nil {
		collect.New(g).Collect(out)
	}
}

// MountMembers serves the views of the group, and its metrics.
func (s *Server) MountMembers(m *Members) {
	s.members = m
	prometheus.WrapRegistererWithPrefix("registry_", s.metrics.registry).MustRegister(m)
}
