// Package agent simulates the platform's discovery agents. Each sidecar has its own agent, which answers list calls
// with its current state, serves watches, and can be given faults.
package agent

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
)

// heartbeatInterval is how often a watch sends an empty line while nothing changes.
const heartbeatInterval = 2 * time.Second

// oldPortGrace is how long the connections to the old port stay open after MigratePort.
const oldPortGrace = 1500 * time.Millisecond

// The states of an entry.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// Entry is one server of the endpoint list.
type Entry struct {
	Number   int     `json:"-"`
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Pod      int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is an answer of discovery: all servers, or the changes since a revision.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`

	omitsDraining bool // a complete list without the draining servers
}

// Agents are the agents of all sidecars.
type Agents struct {
	log      *record.Log
	endpoint func(sidecar, server int) string
	agents   []*agentState

	mu             sync.Mutex
	rev            int64
	ports          []*relay.Port
	links          func(sidecar int) *relay.Link
	timers         []*time.Timer
	closed         bool
	lostWatchDelay time.Duration // toldAnyway
	wg             sync.WaitGroup
}

// agentState is the state of one sidecar's agent.
type agentState struct {
	sidecar         int
	mu              sync.Mutex
	rev             int64
	entries         map[int]Entry // by number
	entryRevs       map[int]int64 // the revision of each one's last change
	silent          bool
	reject          bool
	delay           time.Duration // added to the delay of each change
	defect          string
	defectDelay     time.Duration
	fault           string
	fraction        float64   // of the servers in a partial list
	revOffset       int64     // added to revisions; grows with each history that a fault starts or ends
	watchBreakCount int       // number of faults that broke watches; a watch started before the last one ends
	silenceCount    int       // number of SilenceWatches calls; a watch started before the last one sends nothing more
	silencedAt      time.Time // time of the last SilenceWatches
	disconnected    bool      // MarkDisconnected was called
	watchForm       WatchForm
	changedSignal   chan struct{} // closed at each change
}

// The faults of an agent besides silence.
const (
	FaultEmptyList     = "empty"  // the list is empty, as after a restart without state
	FaultPartialList   = "half"   // the list has only a fraction of the servers
	FaultStaleWatch    = "stuck"  // watches stay open but deliver no changes
	FaultTruncatedLine = "frozen" // the watch stops in the middle of a line
	FaultOversizedLine = "big"    // each watch starts with an oversized line
)

// defectNotifyLate is the planted defect that delivers changes late, after they are recorded as notified.
const defectNotifyLate = "told-late"

// revsPerHistory is the distance between the revisions of two histories, as in the product's list service.
const revsPerHistory = 1 << 28

// oversizedLineBytes is the length of the line of FaultOversizedLine.
const oversizedLineBytes = 20 << 20

// New starts the agents of all sidecars with the same list.
func New(log *record.Log, sidecars int, list []Entry, endpoint func(sidecar, server int) string,
	links func(sidecar int) *relay.Link) (*Agents, error) {
	a := &Agents{log: log, endpoint: endpoint, links: links, rev: 1, lostWatchDelay: lostWatchTimeout}
	for i := range sidecars {
		state := &agentState{sidecar: i, rev: 1, entries: map[int]Entry{}, entryRevs: map[int]int64{}, changedSignal: make(chan struct{})}
		for _, e := range list {
			state.entries[e.Number], state.entryRevs[e.Number] = e, 1
		}
		a.agents = append(a.agents, state)
	}
	if err := a.openPort(); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Agents) openPort() error {
	p, err := relay.Listen(a.links, a.serveConnection)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	a.mu.Lock()
	a.ports = append(a.ports, p)
	a.mu.Unlock()
	return nil
}

// Addr is the current address of a sidecar's agent.
func (a *Agents) Addr(sidecar int) string { return a.Port().Addr(sidecar) }

// Port is the current port of all agents.
func (a *Agents) Port() *relay.Port {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ports[len(a.ports)-1]
}

// MigratePort opens a new port; the old one accepts nothing more and closes after oldPortGrace.
func (a *Agents) MigratePort() error {
	old := a.Port()
	if err := a.openPort(); err != nil {
		return err
	}
	old.StopAccepting()
	a.runAfter(oldPortGrace, old.Close)
	return nil
}

// runAfter calls f after a wait, unless the agents are closed first.
func (a *Agents) runAfter(wait time.Duration, f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.wg.Add(1)
	a.timers = append(a.timers, time.AfterFunc(wait, func() {
		defer a.wg.Done()
		f()
	}))
}

// Close ends all agents.
func (a *Agents) Close() {
	a.mu.Lock()
	a.closed = true
	for _, t := range a.timers {
		if t.Stop() {
			a.wg.Done()
		}
	}
	ports := a.ports
	a.mu.Unlock()
	a.wg.Wait()
	for _, p := range ports {
		p.Close()
	}
}

// Publish sends a change to all agents: to the first after notice, to the last a spread later.
func (a *Agents) Publish(e Entry, notice, spread time.Duration) {
	a.PublishAll([]Entry{e}, notice, spread)
}

// PublishAll is Publish for several changes at once, in their order.
func (a *Agents) PublishAll(entries []Entry, notice, spread time.Duration) {
	a.mu.Lock()
	first := a.rev + 1
	a.rev += int64(len(entries))
	a.mu.Unlock()
	for i, state := range a.agents {
		wait := notice
		if len(a.agents) > 1 {
			wait += spread * time.Duration(i) / time.Duration(len(a.agents)-1)
		}
		state.mu.Lock()
		wait += state.delay
		state.mu.Unlock()
		a.runAfter(wait, func() {
			for offset, e := range entries {
				state.setEntry(e, first+int64(offset))
				a.recordMissedChange(state, e, first+int64(offset))
			}
		})
	}
}

// lostWatchTimeout is the time after which the platform requires a sidecar to know the changes that a silent watch did
// not deliver.
const lostWatchTimeout = 6 * time.Second

// SilenceWatches makes the open watches of a sidecar permanently silent; its other calls are answered.
func (a *Agents) SilenceWatches(sidecar int) {
	state := a.agents[sidecar]
	state.mu.Lock()
	defer state.mu.Unlock()
	state.silenceCount, state.silencedAt = state.silenceCount+1, time.Now()
	state.wakeWatches()
}

// MarkDisconnected notes that a sidecar's connections to its agent were reset: later changes are recorded as notified
// after lostWatchTimeout, even if the sidecar does not reconnect.
func (a *Agents) MarkDisconnected(sidecar int) {
	state := a.agents[sidecar]
	state.mu.Lock()
	defer state.mu.Unlock()
	state.disconnected = true
}

// recordMissedChange records a change as notified after lostWatchTimeout, if the sidecar's watches are silent or reset.
func (a *Agents) recordMissedChange(state *agentState, e Entry, rev int64) {
	state.mu.Lock()
	silenced, disconnected := !state.silencedAt.IsZero(), state.disconnected
	wait := max(time.Until(state.silencedAt.Add(a.lostWatchDelay)), 0)
	state.mu.Unlock()
	switch {
	case silenced:
	case disconnected: // discovery is reachable and has the change from now on
		wait = a.lostWatchDelay
	default:
		return
	}
	a.runAfter(wait, func() {
		state.mu.Lock()
		latest := state.entryRevs[e.Number] == rev
		delivered := silenced || !state.silent && !state.reject
		state.mu.Unlock()
		if latest && delivered {
			a.recordNotified(state, List{Targets: []Entry{e}})
		}
	})
}

func (state *agentState) setEntry(e Entry, rev int64) {
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.entryRevs[e.Number] > rev {
		return // a later change arrived first
	}
	state.entries[e.Number], state.entryRevs[e.Number] = e, rev
	state.rev = max(state.rev, rev)
	state.wakeWatches()
}

func (state *agentState) wakeWatches() {
	close(state.changedSignal)
	state.changedSignal = make(chan struct{})
}

// SetBehaviour changes the faults of one sidecar's agent.
func (a *Agents) SetBehaviour(sidecar int, change func(*Behaviour)) {
	state := a.agents[sidecar]
	state.mu.Lock()
	defer state.mu.Unlock()
	b := Behaviour{state.silent, state.reject, state.delay, state.defect, state.defectDelay, state.fault, state.fraction, state.watchForm}
	change(&b)
	if previous, is := state.fault, b.Fault; previous != is {
		for _, fault := range []string{previous, is} {
			switch fault {
			case FaultEmptyList, FaultPartialList: // a new history starts
				state.revOffset += revsPerHistory
			case FaultTruncatedLine, FaultOversizedLine:
				state.watchBreakCount++
			}
		}
	}
	state.silent, state.reject, state.delay, state.defect, state.defectDelay, state.fault, state.fraction = b.Silent, b.Reject, b.Delay, b.Defect, b.DefectDelay, b.Fault, b.Fraction
	state.watchForm = b.Form
	state.wakeWatches()
}

// Behaviour is the set of faults and the watch form of an agent.
type Behaviour struct {
	Silent      bool          // sends nothing at all
	Reject      bool          // answers 503
	Delay       time.Duration // of changes published while it is set
	Defect      string        // planted: defectNotifyLate or "ignore-drain"
	DefectDelay time.Duration // of defectNotifyLate
	Fault       string        // FaultEmptyList etc.; empty: none
	Fraction    float64       // of FaultPartialList, 0 to 1
	Form        WatchForm
}

// ListFor returns the current list of a sidecar's agent, for the configuration of a starting sidecar.
func (a *Agents) ListFor(sidecar int) List {
	state := a.agents[sidecar]
	state.mu.Lock()
	defer state.mu.Unlock()
	return a.changesSince(state, -1)
}

// changesSince returns the changes after a revision, or the complete list. v.mu is held.
func (a *Agents) changesSince(state *agentState, after int64) List {
	l := List{Rev: state.rev + state.revOffset, All: after < state.revOffset || after > state.rev+state.revOffset || after < 0, Targets: []Entry{}}
	fractionSum := 0.0
	for _, n := range slices.Sorted(maps.Keys(state.entries)) {
		e := state.entries[n]
		if l.All && e.State == Gone || !l.All && state.entryRevs[n]+state.revOffset <= after {
			continue
		}
		if fractionSum += state.fraction; l.All && (state.fault == FaultEmptyList || state.fault == FaultPartialList && fractionSum < 1) {
			continue
		}
		fractionSum -= math.Floor(fractionSum)
		e.Endpoint = a.endpoint(state.sidecar, n)
		l.Targets = append(l.Targets, e)
	}
	return l
}

var errCallerDisconnected = errors.New("agent: the caller is gone")
