package listserver

// This file joins the replica to the membership group, see docs/membership.md. Operators read which replicas the group
// considers alive; raft alone decides which replicas vote. Membership is off unless its section of the configuration is
// present.

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
	// MembersPath is the path of the group's reports and watches.
	MembersPath = "/members"
	// MemberRole is the role of replicas of the list service in the group.
	MemberRole = "list"
	// UnknownMember is the state of a replica that the membership group does not report.
	UnknownMember membership.MemberState = "unknown"

	leaveTimeout = 300 * time.Millisecond // maximum time for the leave message to reach the other members
	// MemberWatchers is the maximum number of concurrent watches of /members; each occupies a connection.
	MemberWatchers = 8
	// If the address cannot be bound, binding is retried after minBindRetry; the delay then doubles up to maxBindRetry.
	minBindRetry = 100 * time.Millisecond
	maxBindRetry = 10 * time.Second
)

// Members is the replica's participation in the membership group.
type Members struct {
	cfg      membership.Config
	group    atomic.Pointer[membership.Group] // nil before the address is bound and after the group is closed
	watchers streamlimit.Limiter
}

// NewMembers returns the group membership of a replica, or nil if membership is off.
func NewMembers(cfg *membership.Config, o Options) *Members {
	if cfg == nil {
		return nil
	}
	m := &Members{cfg: *cfg, watchers: streamlimit.Limiter{MaxOpen: MemberWatchers, WriteTimeout: lineWriteTimeout}}
	m.cfg.Log = o.Log
	return m
}

// Run binds the address, with retries, and leaves the group when ctx ends. The replica serves requests even while the
// address is not bound.
func (m *Members) Run(ctx context.Context) {
	delay := minBindRetry
	g, err := membership.Open(m.cfg)
	for ; err != nil; g, err = membership.Open(m.cfg) {
		if delay == minBindRetry {
			m.cfg.Log.Error("members: failed to join the group; retrying in the background", "bind", m.cfg.Bind, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
			delay = min(2*delay, maxBindRetry)
		}
	}
	m.group.Store(g)
	<-ctx.Done()
	m.group.Store(nil)
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := g.Leave(leaveCtx); err != nil {
		m.cfg.Log.Info("members: failed to notify the other members of leaving", "error", err)
	}
	if err := g.Close(); err != nil {
		m.cfg.Log.Info("members: failed to close the group", "error", err)
	}
}

// MemberStates returns the state of each replica by name, as this replica sees it. If several members have one name, an
// alive one takes precedence, then the one that started last. The result is empty if this replica has left the group.
func (m *Members) MemberStates() map[string]membership.MemberState {
	states := map[string]membership.MemberState{}
	if m == nil {
		return states
	}
	g := m.group.Load()
	if g == nil {
		return states
	}
	latest, report := map[string]int64{}, g.Report()
	if selfRemoved(report) {
		return states
	}
	for _, member := range report.Members {
		if member.Role != "" && member.Role != MemberRole {
			continue
		}
		previous, seen := states[member.Name]
		later := previous != membership.Alive && member.Start >= latest[member.Name]
		if !seen || later || member.State == membership.Alive {
			states[member.Name], latest[member.Name] = member.State, member.Start
		}
	}
	return states
}

// selfRemoved reports whether the process that made the report has left the group, and so receives no further updates.
func selfRemoved(r membership.Report) bool {
	for _, member := range r.Members {
		if member.Name == r.Self.Name && member.Start == r.Self.Start {
			return member.State == membership.Gone
		}
	}
	return false
}

// ServeHTTP serves the reports of the group and watches of them.
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

// Describe sends no descriptions, since the group has no metrics while the address is not bound.
func (m *Members) Describe(chan<- *prometheus.Desc) {}

// Collect sends the metrics of the group.
func (m *Members) Collect(metrics chan<- prometheus.Metric) {
	if g := m.group.Load(); g != nil {
		collect.New(g).Collect(metrics)
	}
}

// MountMembers adds the reports and metrics of the group to the server. It must be called before Handler.
func (s *Server) MountMembers(m *Members) {
	s.members = m
	prometheus.WrapRegistererWithPrefix("registry_", s.metrics.registry).MustRegister(m)
}
