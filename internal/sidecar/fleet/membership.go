package fleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/balance"
	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/metrics"
	"marblelane/internal/streamlimit"
)

// Paths that the management address serves for membership.
const (
	MembersPath = "/members"
	LeavePath   = MembersPath + "/leave"
)

const (
	// MaxWatchers is the limit of concurrent watches of MembersPath, as the management address accepts few connections.
	MaxWatchers = 2
	// leaveTimeout bounds how long a process that ends waits until the other members know that it leaves.
	leaveTimeout = 300 * time.Millisecond
	// If the address cannot be bound, the next attempt follows after minBindBackoff. The wait doubles with each
	// attempt, up to maxBindBackoff, or up to maxBindBackoffUpgrade while the predecessor may still use the address.
	minBindBackoff        = 100 * time.Millisecond
	maxBindBackoff        = 10 * time.Second
	maxBindBackoffUpgrade = 250 * time.Millisecond
)

// Membership makes this process a member of the fleet. Its goroutine runs run, which returns after Leave. It is nil if
// there is no section members.
type Membership struct {
	Config           membership.Config
	predecessorAlive func() bool

	Latest         atomic.Pointer[roster.View] // replaced by each new view, so that the group need not wait for the loop
	wake           chan struct{}               // capacity 1; signals to the event loop that Latest has changed
	viewChanged    chan struct{}               // capacity 1; signals to run that the view has changed
	estimate       atomic.Uint64               // float64 bits of the fleet size that the balancer uses
	LeftByOperator atomic.Bool                 // an operator has made this process leave
	group          atomic.Pointer[membership.Group]
	watchers       streamlimit.Limiter

	leaveOnce    sync.Once
	leaveTimeout time.Duration // for the group to notify other members; set before quit is closed
	quit         chan struct{} // closed by BeginLeave
	ended        chan struct{} // closed when run returns
}

// New returns the membership of a process. The function predecessorAlive reports whether the predecessor still runs.
func New(cfg *config.Membership, predecessorAlive func() bool) *Membership {
	m := &Membership{
		Config: cfg.Group, predecessorAlive: predecessorAlive,
		wake: make(chan struct{}, 1), viewChanged: make(chan struct{}, 1),
		quit: make(chan struct{}), ended: make(chan struct{}),
		watchers: streamlimit.Limiter{MaxOpen: MaxWatchers, WriteTimeout: config.ManagementTimeout},
	}
	m.Config.EstimatedSize = func() float64 { return math.Float64frombits(m.estimate.Load()) }
	m.Config.ViewChanged = m.publishView
	m.Config.Log = slog.Default()
	return m
}

// publishView stores a new view and notifies the event loop and run.
func (m *Membership) publishView(v roster.View) {
	m.Latest.Store(&v)
	signal(m.wake)
	signal(m.viewChanged)
}

// signal sends without blocking. If a signal is already pending, another one is not needed.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Wakeups returns the channel that signals a change of Size. It is nil if membership is off.
func (m *Membership) Wakeups() <-chan struct{} {
	if m == nil {
		return nil
	}
	return m.wake
}

// SetEstimate sets the fleet size that the balancer uses. The group sends it to other members, and a metric exports it.
func (m *Membership) SetEstimate(size float64) { m.estimate.Store(math.Float64bits(size)) }

// Start joins the fleet in the background. The function that it returns leaves the fleet and has no effect if Leave was
// called before.
func (m *Membership) Start() (end func()) {
	if m == nil {
		return func() {}
	}
	go m.run()
	return func() { m.Leave(time.Now().Add(leaveTimeout)) }
}

// Size returns the fleet size for the balancer. It returns false, and the size from the settings, before the first
// view.
func (m *Membership) Size() (balance.FleetSize, bool) {
	view := m.Latest.Load()
	if view == nil {
		return balance.FleetSize{Known: max(m.Config.Peers, 1), Reachable: 1, Admitted: true}, false
	}
	return balance.FleetSize{Known: view.Known, Reachable: view.Reachable, Admitted: view.Admitted && !m.LeftByOperator.Load()}, true
}

// run joins the fleet, logs changes of this process's admission, and leaves after BeginLeave.
func (m *Membership) run() {
	defer close(m.ended)
	group := m.openGroup()
	if group == nil {
		return
	}
	m.group.Store(group)
	defer func() {
		m.group.Store(nil)
		if err := group.Close(); err != nil {
			slog.Info("members: failed to close the membership", "err", err)
		}
	}()
	admitted := false
	for {
		select {
		case <-m.viewChanged:
			if view := group.View(); view.Admitted != admitted { // the group logs all other changes
				admitted = view.Admitted
				slog.Info("members: admission changed", "admitted", admitted, "known", view.Known,
					"reachable", view.Reachable, "forced", view.Forced)
			}
		case <-m.quit:
			ctx, cancel := context.WithTimeout(context.Background(), m.leaveTimeout)
			defer cancel()
			if err := group.Leave(ctx); err != nil {
				slog.Info("members: failed to leave the membership, other members may not be notified", "err", err)
			}
			return
		}
	}
}

// openGroup binds the address and joins, with as many attempts as needed. It returns nil if BeginLeave is called
// before. Until then this process works without other members. It is not admitted while its predecessor runs, as that
// may have the address.
func (m *Membership) openGroup() *membership.Group {
	wait := minBindBackoff
	for first := true; ; first = false {
		group, err := membership.Open(m.Config)
		if err == nil {
			if !first {
				slog.Info("members: address bound", "addr", m.Config.Bind)
			}
			return group
		}
		upgrading := m.predecessorAlive()
		switch {
		case first && upgrading:
			slog.Info("members: failed to bind the address while the predecessor runs, retrying",
				"addr", m.Config.Bind, "err", err)
		case first:
			slog.Error("members: failed to bind the address, retrying", "addr", m.Config.Bind, "err", err)
		}
		m.publishView(roster.View{Known: max(m.Config.Peers, 1), Reachable: 1, Admitted: !upgrading})
		if upgrading {
			wait = min(wait, maxBindBackoffUpgrade)
		}
		select {
		case <-time.After(wait):
			wait = min(2*wait, maxBindBackoff)
		case <-m.quit:
			return nil
		}
	}
}

// BeginLeave starts to leave the fleet. After it nothing may be sent to servers, as other members no longer count this
// process. The group has two thirds of the time to notify other members; the rest is for closing the group.
func (m *Membership) BeginLeave(within time.Duration) {
	if m != nil {
		m.leaveOnce.Do(func() {
			m.leaveTimeout = within * 2 / 3
			close(m.quit)
		})
	}
}

// Leave leaves the fleet and waits until this is done, but not after the given time and not longer than leaveTimeout.
func (m *Membership) Leave(by time.Time) {
	if m == nil {
		return
	}
	within := min(max(time.Until(by), 0), leaveTimeout)
	m.BeginLeave(within)
	select {
	case <-m.ended:
		return
	default:
	}
	select {
	case <-m.ended:
	case <-time.After(within):
		slog.Warn("members: failed to leave the membership in time, other members may not be notified", "waited", within)
	}
}

// ServeHTTP serves MembersPath and the paths below it.
func (m *Membership) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m == nil {
		http.NotFound(w, r)
		return
	}
	group := m.group.Load()
	if group == nil {
		http.Error(w, "members: the address is not bound", http.StatusServiceUnavailable)
		return
	}
	if r.Method != http.MethodPost && r.URL.Query().Get("watch") != "" {
		m.watchers.Serve(w, r, group.Handler())
		return
	}
	if r.Method != http.MethodPost || r.URL.Path != LeavePath {
		group.Handler().ServeHTTP(w, r)
		return
	}
	m.serveLeave(w, r, group)
}

// serveLeave makes this process leave at an operator's request. The process stops being admitted before other members
// stop counting it. If the group does not accept the request, the process stays a member.
func (m *Membership) serveLeave(w http.ResponseWriter, r *http.Request, group *membership.Group) {
	m.LeftByOperator.Store(true)
	signal(m.wake)
	ctx, cancel := context.WithTimeout(r.Context(), config.ManagementTimeout/2) // the rest is for the response
	defer cancel()
	recorder := &statusRecorder{ResponseWriter: w}
	group.Handler().ServeHTTP(recorder, r.WithContext(ctx))
	if recorder.status >= http.StatusMultipleChoices {
		m.LeftByOperator.Store(false)
		signal(m.wake)
	}
}

// statusRecorder records the status code of a response; 0 if the handler has not set it.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *statusRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteMetrics writes the metrics of membership in the Prometheus text format.
func (m *Membership) WriteMetrics(w io.Writer) {
	if m == nil {
		return
	}
	size, _ := m.Size()
	var report membership.Report
	if group := m.group.Load(); group != nil {
		report = group.Report()
	}
	states := []membership.MemberState{membership.Alive, membership.Suspected, membership.Unreachable, membership.Gone}
	count, oldest := map[membership.MemberState]int{}, int64(0)
	for _, one := range report.Members {
		count[one.State]++
		if one.State == membership.Unreachable {
			oldest = max(oldest, one.SinceMS)
		}
	}
	fmt.Fprintln(w, "# TYPE svc_members gauge")
	for _, state := range states {
		fmt.Fprintf(w, "svc_members{state=\"%s\"} %d\n", state, count[state])
	}
	for _, one := range []struct {
		name, kind string
		value      float64
	}{
		{"known", "gauge", float64(size.Known)},
		{"believed", "gauge", math.Float64frombits(m.estimate.Load())},
		{"admitted", "gauge", float64(metrics.BoolValue(size.Admitted))},
		{"changes_total", "counter", float64(report.Changes)},
		{"dropped_total", "counter", float64(report.Dropped)},
		{"oldest_unheard_seconds", "gauge", float64(oldest) / 1e3},
	} {
		fmt.Fprintf(w, "# TYPE svc_members_%s %s\nsvc_members_%s %g\n", one.name, one.kind, one.name, one.value)
	}
}

// IsMembersPath reports whether ServeHTTP serves a path.
func IsMembersPath(path string) bool {
	return path == MembersPath || strings.HasPrefix(path, MembersPath+"/")
}
