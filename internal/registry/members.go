package registry

// This file is a replica's side of membership, see docs/membership.md. It tells operators which replicas are there; raft
// alone decides who votes. Without the section of the configuration nothing of it runs.

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marblelane/internal/membership"
	"marblelane/internal/membership/addrcheck"
	"marblelane/internal/membership/collect"
	"marblelane/internal/streamlimit"
)

const (
	membersPath = "/members"
	roleList    = "list"
	// unknown is the state of a replica without a membership report.
	unknown membership.MemberState = "unknown"

	leaveTimeout = 300 * time.Millisecond // time for the leave message to reach the others
	// memberWatchers of /members may be there at once. They are operators, and each holds a connection.
	memberWatchers = 8
	// An address that cannot be bound is tried again after bindSoon, and then after twice as long each time, bindLate at
	// most.
	bindSoon = 100 * time.Millisecond
	bindLate = 10 * time.Second
)

// membersConfig is what the group of a replica is opened with; nil: off.
func (f *file) membersConfig() (*membership.Config, error) {
	if f.Members == nil {
		return nil, nil
	}
	c, err := f.Members.Config() // its errors name the key
	if err != nil {
		return nil, err
	}
	c.Name, c.Role, c.Observer = f.Name, roleList, true
	if err := addrcheck.Check(c); err != nil {
		return nil, fmt.Errorf("this copy as a member: %w", err)
	}
	return &c, nil
}

// members is a replica's place in the fleet; nil: it has none.
type members struct {
	cfg      membership.Config
	group    atomic.Pointer[membership.Group] // nil: not bound yet, or closed
	watchers streamlimit.Limiter
}

func newMembers(cfg *membership.Config, o Options) *members {
	if cfg == nil {
		return nil
	}
	m := &members{cfg: *cfg, watchers: streamlimit.Limiter{MaxOpen: memberWatchers, WriteTimeout: lineWriteTimeout}}
	m.cfg.Log = o.Log
	return m
}

// run binds, however often that takes, and leaves when ctx ends. The replica serves meanwhile.
func (m *members) run(ctx context.Context) {
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

// standings tells how the replicas stand, by name, as this one sees them: of one name the latest start counts, and one
// that is there before one that is not. What a group that has left saw last tells nothing of now.
func (m *members) standings() map[string]membership.MemberState {
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
		if one.Role != "" && one.Role != roleList {
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

func (m *members) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// Describe says nothing: while the address is not bound there are no figures.
func (m *members) Describe(chan<- *prometheus.Desc) {}

// Collect gives the group's figures.
func (m *members) Collect(out chan<- prometheus.Metric) {
	if g := m.group.Load(); g != nil {
		collect.New(g).Collect(out)
	}
}

// join serves the views of a group, and its metrics.
func (s *Server) join(m *members) {
	s.members = m
	prometheus.WrapRegistererWithPrefix("registry_", s.metrics.registry).MustRegister(m)
}
