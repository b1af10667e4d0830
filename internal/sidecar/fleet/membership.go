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

// Paths of the management address.
const (
	MembersPath = "/members"
	LeavePath   = MembersPath + "/leave"
)

const (
	// MaxWatchers bounds the watches of MembersPath at a time, as the management address has few connections.
	MaxWatchers = 2
	// leaveTimeout bounds how long the end of the process waits until the others know that it leaves.
	leaveTimeout = 300 * time.Millisecond
	// An address that cannot be bound is tried again after minBindBackoff, and then after twice as long each time, up to
	// maxBindPause, or to maxBindPauseUpgrade while the predecessor may have it.
	minBindBackoff        = 100 * time.Millisecond
	maxBindBackoff        = 10 * time.Second
	maxBindBackoffUpgrade = 250 * time.Millisecond
)

// Membership is this process's part in the membership. Its goroutine is run, which ends with Leave. nil: there is no
// section members.
type Membership struct {
	Config           membership.Config
	predecessorAlive func() bool

	Latest         atomic.Pointer[roster.View] // replaced by each newer view, so that nothing waits for the loop
	wake           chan struct{}               // capacity 1: the loop has not read Latest
	viewChanged    chan struct{}               // capacity 1: run has not seen the change
	estimate       atomic.Uint64               // bits of the fleet size that the balancer goes by
	LeftByOperator atomic.Bool                 // an operator made it leave
	group          atomic.Pointer[membership.Group]
	watchers       streamlimit.Limiter

	leaveOnce    sync.Once
	leaveTimeout time.Duration // for the group to say that it leaves; set before quit is closed
	quit         chan struct{} // closed by BeginLeave
	ended        chan struct{} // closed by run
}

// New gives the part of a process whose predecessor may still be alive.
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

// publishView publishes a new view.
func (m *Membership) publishView(v roster.View) {
	m.Latest.Store(&v)
	signal(m.wake)
	signal(m.viewChanged)
}

// signal sends without waiting: a signal that is there already says the same.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Wakeups says when Size has changed; nil: membership is off.
func (m *Membership) Wakeups() <-chan struct{} {
	if m == nil {
		return nil
	}
	return m.wake
}

// SetEstimate sets the fleet size that the balancer goes by, which the group sends to other members and the figures show.
func (m *Membership) SetEstimate(size float64) { m.estimate.Store(math.Float64bits(size)) }

// Start joins in the background. Its result leaves, unless Leave was called before.
func (m *Membership) Start() (end func()) {
	if m == nil {
		return func() {}
	}
	go m.run()
	return func() { m.Leave(time.Now().Add(leaveTimeout)) }
}

// Size is the fleet size for the balancer; false: nothing is known yet, and the settings count.
func (m *Membership) Size() (balance.FleetSize, bool) {
	view := m.Latest.Load()
	if view == nil {
		return balance.FleetSize{Known: max(m.Config.Peers, 1), Reachable: 1, Admitted: true}, false
	}
	return balance.FleetSize{Known: view.Known, Reachable: view.Reachable, Admitted: view.Admitted && !m.LeftByOperator.Load()}, true
}

// run joins, logs whether this process is admitted, and leaves.
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
			slog.Info("members: close failed", "err", err)
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
				slog.Info("members: others may not know that this process leaves", "err", err)
			}
			return
		}
	}
}

// openGroup binds the address and joins, however often it takes; nil: the process ends first. Until then this process works
// without members, but is not admitted beside its predecessor, whose address it may need.
func (m *Membership) openGroup() *membership.Group {
	wait := minBindBackoff
	for first := true; ; first = false {
		group, err := membership.Open(m.Config)
		if err == nil {
			if !first {
				slog.Info("members: the address is bound", "addr", m.Config.Bind)
			}
			return group
		}
		upgrading := m.predecessorAlive()
		switch {
		case first && upgrading:
			slog.Info("members: the address is not free yet, it is tried again", "addr", m.Config.Bind, "err", err)
		case first:
			slog.Error("members: the address cannot be bound, it is tried again", "addr", m.Config.Bind, "err", err)
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

// BeginLeave starts to leave. Nothing may be sent to servers from here on, as others no longer count this process. The
// group has two thirds of the time to tell them; the rest is for its end.
func (m *Membership) BeginLeave(within time.Duration) {
	if m != nil {
		m.leaveOnce.Do(func() {
			m.leaveTimeout = within * 2 / 3
			close(m.quit)
		})
	}
}

// Leave leaves and waits until it has left, but not beyond a time, nor for longer than leaveTimeout.
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
		slog.Warn("members: leaving took too long, others may not know", "waited", within)
	}
}

// ServeHTTP answers calls of MembersPath.
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

// serveLeave lets an operator make this process leave. It is not admitted any more before others stop counting it.
func (m *Membership) serveLeave(w http.ResponseWriter, r *http.Request, group *membership.Group) {
	m.LeftByOperator.Store(true)
	signal(m.wake)
	ctx, cancel := context.WithTimeout(r.Context(), config.ManagementTimeout/2) // the rest is for the answer
	defer cancel()
	recorder := &statusRecorder{ResponseWriter: w}
	group.Handler().ServeHTTP(recorder, r.WithContext(ctx))
	if recorder.status >= http.StatusMultipleChoices {
		m.LeftByOperator.Store(false)
		signal(m.wake)
	}
}

// statusRecorder records the status of an answer; 0: the default.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the writer.
func (w *statusRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteMetrics writes the figures of members in Prometheus's text form.
func (m *Membership) WriteMetrics(w io.Writer) {
	if m == nil {
		return
	}
	size, _ := m.Size()
	var report membership.Report
	if group := m.group.Load(); group != nil {
		report = group.Report()
	}
	states := []membership.MemberState{membership.Alive, membership.Suspected, membership.Silent, membership.Gone}
	count, oldest := map[membership.MemberState]int{}, int64(0)
	for _, one := range report.Members {
		count[one.State]++
		if one.State == membership.Silent {
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

// IsMembersPath reports whether ServeHTTP answers a path.
func IsMembersPath(path string) bool {
	return path == MembersPath || strings.HasPrefix(path, MembersPath+"/")
}
