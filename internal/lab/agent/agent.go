// Package agent simulates the platform's discovery agents, the processes from which sidecars get the endpoint list.
// Each sidecar has its own agent, which keeps the entries of the stand-in servers, serves the list and watches of it,
// and can inject faults. In this package, "agent" always means such a discovery agent.
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

// heartbeatInterval is the time between two heartbeats, empty lines that a watch sends while the list does not change.
const heartbeatInterval = 2 * time.Second

// oldPortGrace is the time for which connections to the old port stay open after MigratePort.
const oldPortGrace = 1500 * time.Millisecond

// The states of an entry. A list names a server that has ended as Gone.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// Entry describes one server in the endpoint list.
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

// List is a list response or a list event of a watch: all servers, or the changes since a revision.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"` // true: the list is complete; false: the list has only the changes
	Targets []Entry `json:"targets"`

	omitsDraining bool // the list is complete except for the draining servers
}

// Agents are the discovery agents of all sidecars.
type Agents struct {
	log      *record.Log
	endpoint func(sidecar, server int) string // returns the address at which a sidecar reaches a server
	agents   []*agentState                    // by number of the sidecar

	mu             sync.Mutex
	rev            int64         // revision of the last committed change
	published      int64         // number of the last publication
	uncommitted    []publication // in the order in which they are committed
	committed      map[int]int64 // number of the newest publication that changed an entry, by server number
	ports          []*relay.Port // the last one is the current port
	links          func(sidecar int) *relay.Link
	timers         []*time.Timer
	closed         bool
	lostWatchDelay time.Duration // equal to lostWatchTimeout, except in tests, which shorten it
	wg             sync.WaitGroup
}

// agentState is the state of one sidecar's discovery agent.
type agentState struct {
	sidecar         int
	mu              sync.Mutex
	rev             int64
	entries         map[int]Entry // entries of the list, by server number
	entryRevs       map[int]int64 // revision of each entry's last change, by server number
	pending         []change      // committed changes that are not applied yet, in the order of their revisions
	silent          bool          // the agent sends nothing
	reject          bool          // the agent responds with 503 to all requests
	delay           time.Duration // added to the delay of each change that is published
	defect          string
	defectDelay     time.Duration
	fault           string
	fraction        float64   // share of the servers that a partial list contains, 0 to 1
	revOffset       int64     // added to revisions; increases when a fault starts or ends a history
	watchBreakCount int       // number of faults that broke watches; a watch older than the last fault ends
	silenceCount    int       // number of SilenceWatches calls; a watch older than the last call sends nothing more
	silencedAt      time.Time // time of the last SilenceWatches call; zero: never called
	disconnected    bool      // MarkDisconnected was called
	watchForm       WatchForm
	changedSignal   chan struct{} // closed and replaced at each change of the state
}

// The faults of an agent besides silence and rejection.
const (
	FaultEmptyList     = "empty"  // the list is empty, as after a restart that lost the state
	FaultPartialList   = "half"   // the list contains only a fraction of the servers
	FaultStaleWatch    = "stuck"  // watches stay open but deliver no changes
	FaultTruncatedLine = "frozen" // a watch stops in the middle of a line
	FaultOversizedLine = "big"    // each watch starts with an oversized line
)

// defectNotifyLate is the planted defect that records changes as notified but delivers them late.
const defectNotifyLate = "told-late"

// revsPerHistory is the distance between the revisions of two histories, as in the product's list service.
const revsPerHistory = 1 << 28

// oversizedLineBytes is the length of the line of FaultOversizedLine.
const oversizedLineBytes = 20 << 20

// New starts the agents of all sidecars with the same list. The caller must call Close.
func New(log *record.Log, sidecars int, list []Entry, endpoint func(sidecar, server int) string,
	links func(sidecar int) *relay.Link) (*Agents, error) {
	a := &Agents{log: log, endpoint: endpoint, links: links, rev: 1, committed: map[int]int64{}, lostWatchDelay: lostWatchTimeout}
	for i := range sidecars {
		state := &agentState{sidecar: i, rev: 1, entries: map[int]Entry{}, entryRevs: map[int]int64{},
			changedSignal: make(chan struct{})}
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

// openPort opens a port, which becomes the current port of all agents.
func (a *Agents) openPort() error {
	p, err := relay.Listen(a.links, a.serveConnection)
	if err != nil {
		return fmt.Errorf("discovery: open port: %w", err)
	}
	a.mu.Lock()
	a.ports = append(a.ports, p)
	a.mu.Unlock()
	return nil
}

// Addr returns the current address of a sidecar's agent.
func (a *Agents) Addr(sidecar int) string { return a.Port().Addr(sidecar) }

// Port returns the current port, which all agents share.
func (a *Agents) Port() *relay.Port {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ports[len(a.ports)-1]
}

// MigratePort opens a new port. The old port accepts no more connections and closes after oldPortGrace.
func (a *Agents) MigratePort() error {
	old := a.Port()
	if err := a.openPort(); err != nil {
		return err
	}
	old.StopAccepting()
	a.runAfter(oldPortGrace, old.Close)
	return nil
}

// runAfter calls f after a wait, unless the agents are closed before that.
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

// Close cancels the pending changes and closes all ports.
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

// lostWatchTimeout is the time within which the platform requires a sidecar to detect a silent watch and to get the
// changes that the watch did not deliver.
const lostWatchTimeout = 6 * time.Second

// SilenceWatches makes the open watches of a sidecar permanently silent. New watches and list requests still get
// responses.
func (a *Agents) SilenceWatches(sidecar int) {
	state := a.agents[sidecar]
	state.mu.Lock()
	defer state.mu.Unlock()
	state.silenceCount, state.silencedAt = state.silenceCount+1, time.Now()
	state.wakeWatches()
}

// MarkDisconnected marks a sidecar's connections to its agent as reset. From then on changes are recorded as notified
// after lostWatchTimeout, even if the sidecar does not reconnect.
func (a *Agents) MarkDisconnected(sidecar int) {
	state := a.agents[sidecar]
	state.mu.Lock()
	defer state.mu.Unlock()
	state.disconnected = true
}

// recordMissedChange records a change as notified after lostWatchTimeout if the sidecar's watches were silenced or
// reset, as the sidecar has to get the change in another way by then.
func (a *Agents) recordMissedChange(state *agentState, e Entry, rev int64) {
	state.mu.Lock()
	silenced, disconnected := !state.silencedAt.IsZero(), state.disconnected
	wait := max(time.Until(state.silencedAt.Add(a.lostWatchDelay)), 0)
	state.mu.Unlock()
	switch {
	case silenced:
	case disconnected: // the sidecar can get the change from now on by reconnecting
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

// wakeWatches wakes everything that waits for a change of the state. The caller holds state.mu.
func (state *agentState) wakeWatches() {
	close(state.changedSignal)
	state.changedSignal = make(chan struct{})
}

// SetBehaviour changes the faults and the watch form of one sidecar's agent.
func (a *Agents) SetBehaviour(sidecar int, change func(*Behaviour)) {
	state := a.agents[sidecar]
	state.mu.Lock()
	defer state.mu.Unlock()
	b := Behaviour{state.silent, state.reject, state.delay, state.defect, state.defectDelay, state.fault,
		state.fraction, state.watchForm}
	change(&b)
	if previous, is := state.fault, b.Fault; previous != is {
		for _, fault := range []string{previous, is} {
			switch fault {
			case FaultEmptyList, FaultPartialList: // the start and the end of these faults begin a new history
				state.revOffset += revsPerHistory
			case FaultTruncatedLine, FaultOversizedLine:
				state.watchBreakCount++
			}
		}
	}
	state.silent, state.reject, state.delay, state.defect, state.defectDelay, state.fault, state.fraction =
		b.Silent, b.Reject, b.Delay, b.Defect, b.DefectDelay, b.Fault, b.Fraction
	state.watchForm = b.Form
	state.wakeWatches()
}

// Behaviour is the set of faults and the watch form of an agent.
type Behaviour struct {
	Silent      bool          // sends no responses, list events or heartbeats
	Reject      bool          // responds with 503 to all requests
	Delay       time.Duration // added to the delay of changes published while it is set
	Defect      string        // planted defect: defectNotifyLate or "ignore-drain"; empty: none
	DefectDelay time.Duration // delay of defectNotifyLate
	Fault       string        // FaultEmptyList etc.; empty: none
	Fraction    float64       // share of the servers that FaultPartialList lists, 0 to 1
	Form        WatchForm
}

// ListFor returns the current complete list of a sidecar's agent, for the configuration of a starting sidecar.
func (a *Agents) ListFor(sidecar int) List {
	state := a.agents[sidecar]
	state.mu.Lock()
	defer state.mu.Unlock()
	return a.changesSince(state, -1)
}

// changesSince returns the changes after a revision, or the complete list if the revision is negative or not of the
// current history. The caller holds state.mu.
func (a *Agents) changesSince(state *agentState, after int64) List {
	l := List{Rev: state.rev + state.revOffset,
		All: after < state.revOffset || after > state.rev+state.revOffset || after < 0, Targets: []Entry{}}
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

// errCallerDisconnected ends the processing of a connection.
var errCallerDisconnected = errors.New("discovery agent: connection ended")
