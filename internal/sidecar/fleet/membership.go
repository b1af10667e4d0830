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

const (
	MembersPath = "/members"
	LeavePath   = MembersPath + "/leave"
	// MaxWatchers of /members may be there at once: the management address has few places.
	MaxWatchers = 2

	// leaveTimeout is how long the end of the process waits at most until it is told that it leaves.
	leaveTimeout = 300 * time.Millisecond
	// An address that cannot be bound is tried again after bindSoon, and then after twice as long each time, bindLate at
	// most; after bindBeside while the process before this one may have it.
	minBindPause        = 100 * time.Millisecond
	maxBindPause        = 10 * time.Second
	maxBindPauseUpgrade = 250 * time.Millisecond
)

// Membership is the loop's part; nil where there is none.
type Membership struct {
	Config           membership.Config
	predecessorAlive func() bool // the process before this one is still there

	Latest      atomic.Pointer[roster.View] // the newest wins: the loop is never waited for
	wake        chan struct{}               // of 1: the loop has not looked at latest
	viewChanged chan struct{}               // of 1: nor has the duty
	estimate    atomic.Uint64               // bits of what the module goes by
	Left        atomic.Bool                 // told to leave by an operator: it takes no part any more
	group       atomic.Pointer[membership.Group]
	watchers    streamlimit.Limiter

	leaveOnce    sync.Once
	leaveTimeout time.Duration // for the group to say so; set before quit is closed
	quit         chan struct{}
	ended        chan struct{}
}

func New(cfg *config.Membership, beside func() bool) *Membership {
	m := &Membership{
		Config: cfg.Group, predecessorAlive: beside, wake: make(chan struct{}, 1), viewChanged: make(chan struct{}, 1),
		quit: make(chan struct{}), ended: make(chan struct{}), watchers: streamlimit.Limiter{MaxOpen: MaxWatchers, WriteTimeout: config.ManagementTimeout},
	}
	m.Config.Believed = func() float64 { return math.Float64frombits(m.estimate.Load()) }
	m.Config.Changed = m.changed
	m.Config.Log = slog.Default()
	return m
}

func (m *Membership) changed(v roster.View) {
	m.Latest.Store(&v)
	signal(m.wake)
	signal(m.viewChanged)
}

// signal never waits: one that is there already says the same.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Woken is the channel that tells of news; nil: membership is off.
func (m *Membership) Woken() <-chan struct{} {
	if m == nil {
		return nil
	}
	return m.wake
}

// SetEstimate notes the number of processes that the module goes by.
func (m *Membership) SetEstimate(size float64) { m.estimate.Store(math.Float64bits(size)) }

// Start begins the duty. It ends with the loop, if it has not before.
func (m *Membership) Start() (end func()) {
	if m == nil {
		return func() {}
	}
	go m.run()
	return func() { m.Leave(time.Now().Add(leaveTimeout)) }
}

// Size is what the module is to go by; false: nothing yet, it goes by the settings.
func (m *Membership) Size() (balance.FleetSize, bool) {
	v := m.Latest.Load()
	if v == nil {
		return balance.FleetSize{Known: max(m.Config.Peers, 1), Reachable: 1, Admitted: true}, false
	}
	return balance.FleetSize{Known: v.Known, Reachable: v.Heard, Admitted: v.Admitted && !m.Left.Load()}, true
}

// run is the duty: it joins, says in the log whether this process takes its part, and leaves.
func (m *Membership) run() {
	defer close(m.ended)
	g := m.open()
	if g == nil {
		return
	}
	m.group.Store(g)
	defer func() {
		m.group.Store(nil)
		if err := g.Close(); err != nil {
			slog.Info("members: close", "error", err)
		}
	}()
	admitted := false
	for {
		select {
		case <-m.viewChanged:
			if v := g.View(); v.Admitted != admitted { // all else the group says itself
				admitted = v.Admitted
				slog.Info("members: takes its part", "admitted", admitted, "known", v.Known, "heard", v.Heard, "forced", v.Forced)
			}
		case <-m.quit:
			ctx, cancel := context.WithTimeout(context.Background(), m.leaveTimeout)
			defer cancel()
			if err := g.Leave(ctx); err != nil {
				slog.Info("members: others may not know that this process leaves", "error", err)
			}
			return
		}
	}
}

// open binds, however often it takes; nil: the end came first. Until then this process works as one without members,
// but takes no part beside the process before it, whose address it may need.
func (m *Membership) open() *membership.Group {
	wait := minBindPause
	for first := true; ; first = false {
		g, err := membership.Open(m.Config)
		if err == nil {
			if !first {
				slog.Info("members: the address is bound after all", "bind", m.Config.Bind)
			}
			return g
		}
		beside := m.predecessorAlive()
		switch {
		case first && beside:
			slog.Info("members: the address is not free yet, tried again", "bind", m.Config.Bind, "error", err)
		case first:
			slog.Error("members: this process goes on without, and tries again", "bind", m.Config.Bind, "error", err)
		}
		m.changed(roster.View{Known: max(m.Config.Peers, 1), Heard: 1, Admitted: !beside})
		if beside {
			wait = min(wait, maxBindPauseUpgrade)
		}
		select {
		case <-time.After(wait):
			wait = min(2*wait, maxBindPause)
		case <-m.quit:
			return nil
		}
	}
}

// BeginLeave begins to leave. Nothing may be sent to servers any more: who has left counts for nobody. The group has two
// thirds of the time to say so; the rest is for its end, so that who waits for all of it is not told falsely that it
// took too long.
func (m *Membership) BeginLeave(within time.Duration) {
	if m != nil {
		m.leaveOnce.Do(func() {
			m.leaveTimeout = within * 2 / 3
			close(m.quit)
		})
	}
}

// Leave departs and waits for it, to a time and no longer than leaveWait.
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

// ServeHTTP passes a call of the management address on to the group.
func (m *Membership) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m == nil {
		http.NotFound(w, r)
		return
	}
	g := m.group.Load()
	if g == nil {
		http.Error(w, "members: the address is not bound", http.StatusServiceUnavailable)
		return
	}
	if r.Method != http.MethodPost && r.URL.Query().Get("watch") != "" {
		m.watchers.Serve(w, r, g.Handler())
		return
	}
	if r.Method != http.MethodPost || r.URL.Path != LeavePath {
		g.Handler().ServeHTTP(w, r)
		return
	}
	// It takes no part any more before others count it out.
	m.Left.Store(true)
	signal(m.wake)
	ctx, cancel := context.WithTimeout(r.Context(), config.ManagementTimeout/2) // the answer has to come in its time
	defer cancel()
	told := &answered{ResponseWriter: w}
	if g.Handler().ServeHTTP(told, r.WithContext(ctx)); told.status >= http.StatusMultipleChoices {
		m.Left.Store(false)
		signal(m.wake)
	}
}

// answered keeps the status of an answer; 0: the default.
type answered struct {
	http.ResponseWriter
	status int
}

func (w *answered) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets the group flush.
func (w *answered) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteMetrics gives the figures of members.
func (m *Membership) WriteMetrics(w io.Writer) {
	if m == nil {
		return
	}
	told, _ := m.Size()
	var r membership.Report
	if g := m.group.Load(); g != nil {
		r = g.Report()
	}
	states := []membership.MemberState{membership.Alive, membership.Suspected, membership.Silent, membership.Gone}
	count, oldest := map[membership.MemberState]int{}, int64(0)
	for _, one := range r.Members {
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
		{"known", "gauge", float64(told.Known)},
		{"believed", "gauge", math.Float64frombits(m.estimate.Load())},
		{"admitted", "gauge", float64(metrics.Bool(told.Admitted))},
		{"changes_total", "counter", float64(r.Changes)},
		{"dropped_total", "counter", float64(r.Dropped)},
		{"oldest_unheard_seconds", "gauge", float64(oldest) / 1e3},
	} {
		fmt.Fprintf(w, "# TYPE svc_members_%s %s\nsvc_members_%s %g\n", one.name, one.kind, one.name, one.value)
	}
}

// IsMembersPath tells whether a path is the group's.
func IsMembersPath(path string) bool {
	return path == MembersPath || strings.HasPrefix(path, MembersPath+"/")
}
