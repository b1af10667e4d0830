package sidecar

// This file is a sidecar's side of membership, see docs/membership.md. Without the section of the configuration nothing
// of it runs.

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
	"marblelane/internal/streamlimit"
)

const (
	membersPath = "/members"
	leavePath   = membersPath + "/leave"
	// mostWatchers of /members may be there at once: the management address has few places.
	mostWatchers = 2

	// leaveWait is how long the end of the process waits at most until it is told that it leaves.
	leaveWait = 300 * time.Millisecond
	// An address that cannot be bound is tried again after bindSoon, and then after twice as long each time, bindLate at
	// most; after bindBeside while the process before this one may have it.
	bindSoon   = 100 * time.Millisecond
	bindLate   = 10 * time.Second
	bindBeside = 250 * time.Millisecond
)

// members is the loop's part; nil where there is none.
type members struct {
	cfg    membership.Config
	beside func() bool // the process before this one is still there

	latest   atomic.Pointer[roster.View] // the newest wins: the loop is never waited for
	wake     chan struct{}               // of 1: the loop has not looked at latest
	news     chan struct{}               // of 1: nor has the duty
	believed atomic.Uint64               // bits of what the module goes by
	left     atomic.Bool                 // told to leave by an operator: it takes no part any more
	group    atomic.Pointer[membership.Group]
	watchers streamlimit.Limiter

	departs sync.Once
	within  time.Duration // for the group to say so; set before quit is closed
	quit    chan struct{}
	ended   chan struct{}
}

func newMembers(cfg *membersConfig, beside func() bool) *members {
	m := &members{
		cfg: cfg.group, beside: beside, wake: make(chan struct{}, 1), news: make(chan struct{}, 1),
		quit: make(chan struct{}), ended: make(chan struct{}), watchers: streamlimit.Limiter{MaxOpen: mostWatchers, WriteTimeout: manageWait},
	}
	m.cfg.Believed = func() float64 { return math.Float64frombits(m.believed.Load()) }
	m.cfg.Changed = m.changed
	m.cfg.Log = slog.Default()
	return m
}

func (m *members) changed(v roster.View) {
	m.latest.Store(&v)
	signal(m.wake)
	signal(m.news)
}

// signal never waits: one that is there already says the same.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// woken is the channel that tells of news; nil: membership is off.
func (m *members) woken() <-chan struct{} {
	if m == nil {
		return nil
	}
	return m.wake
}

// setBelieved notes the number of processes that the module goes by.
func (m *members) setBelieved(size float64) { m.believed.Store(math.Float64bits(size)) }

// start begins the duty. It ends with the loop, if it has not before.
func (m *members) start() (end func()) {
	if m == nil {
		return func() {}
	}
	go m.run()
	return func() { m.leave(time.Now().Add(leaveWait)) }
}

// told is what the module is to go by; false: nothing yet, it goes by the settings.
func (m *members) told() (balance.FleetSize, bool) {
	v := m.latest.Load()
	if v == nil {
		return balance.FleetSize{Known: max(m.cfg.Peers, 1), Reachable: 1, Admitted: true}, false
	}
	return balance.FleetSize{Known: v.Known, Reachable: v.Heard, Admitted: v.Admitted && !m.left.Load()}, true
}

// run is the duty: it joins, says in the log whether this process takes its part, and leaves.
func (m *members) run() {
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
		case <-m.news:
			if v := g.View(); v.Admitted != admitted { // all else the group says itself
				admitted = v.Admitted
				slog.Info("members: takes its part", "admitted", admitted, "known", v.Known, "heard", v.Heard, "forced", v.Forced)
			}
		case <-m.quit:
			ctx, cancel := context.WithTimeout(context.Background(), m.within)
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
func (m *members) open() *membership.Group {
	wait := bindSoon
	for first := true; ; first = false {
		g, err := membership.Open(m.cfg)
		if err == nil {
			if !first {
				slog.Info("members: the address is bound after all", "bind", m.cfg.Bind)
			}
			return g
		}
		beside := m.beside()
		switch {
		case first && beside:
			slog.Info("members: the address is not free yet, tried again", "bind", m.cfg.Bind, "error", err)
		case first:
			slog.Error("members: this process goes on without, and tries again", "bind", m.cfg.Bind, "error", err)
		}
		m.changed(roster.View{Known: max(m.cfg.Peers, 1), Heard: 1, Admitted: !beside})
		if beside {
			wait = min(wait, bindBeside)
		}
		select {
		case <-time.After(wait):
			wait = min(2*wait, bindLate)
		case <-m.quit:
			return nil
		}
	}
}

// depart begins to leave. Nothing may be sent to servers any more: who has left counts for nobody. The group has two
// thirds of the time to say so; the rest is for its end, so that who waits for all of it is not told falsely that it
// took too long.
func (m *members) depart(within time.Duration) {
	if m != nil {
		m.departs.Do(func() {
			m.within = within * 2 / 3
			close(m.quit)
		})
	}
}

// leave departs and waits for it, to a time and no longer than leaveWait.
func (m *members) leave(by time.Time) {
	if m == nil {
		return
	}
	within := min(max(time.Until(by), 0), leaveWait)
	m.depart(within)
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

// serve passes a call of the management address on to the group.
func (m *members) serve(w http.ResponseWriter, r *http.Request) {
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
	if r.Method != http.MethodPost || r.URL.Path != leavePath {
		g.Handler().ServeHTTP(w, r)
		return
	}
	// It takes no part any more before others count it out.
	m.left.Store(true)
	signal(m.wake)
	ctx, cancel := context.WithTimeout(r.Context(), manageWait/2) // the answer has to come in its time
	defer cancel()
	told := &answered{ResponseWriter: w}
	if g.Handler().ServeHTTP(told, r.WithContext(ctx)); told.status >= http.StatusMultipleChoices {
		m.left.Store(false)
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

// write gives the figures of members.
func (m *members) write(w io.Writer) {
	if m == nil {
		return
	}
	told, _ := m.told()
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
		{"believed", "gauge", math.Float64frombits(m.believed.Load())},
		{"admitted", "gauge", float64(flag(told.Admitted))},
		{"changes_total", "counter", float64(r.Changes)},
		{"dropped_total", "counter", float64(r.Dropped)},
		{"oldest_unheard_seconds", "gauge", float64(oldest) / 1e3},
	} {
		fmt.Fprintf(w, "# TYPE svc_members_%s %s\nsvc_members_%s %g\n", one.name, one.kind, one.name, one.value)
	}
}

// isMembers tells whether a path is the group's.
func isMembers(path string) bool {
	return path == membersPath || strings.HasPrefix(path, membersPath+"/")
}
