// Package agent stands in for discovery in the platform's form: each sidecar's own agent, which replies at once
// with what it has been sent, keeps watches, and is silent while discovery is down.
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

// beat is how often an empty line comes while nothing changes.
const beat = 2 * time.Second

// oldStays is how long an address that discovery has left keeps its open connections.
const oldStays = 1500 * time.Millisecond

// The states of an entry.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// Entry is one server as the list has it.
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

// List is an answer of discovery.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`

	leavesOut bool // it is whole but for the servers that drain
}

// Agents are the agents of all sidecars.
type Agents struct {
	log      *record.Log
	endpoint func(sidecar, server int) string
	views    []*view

	mu     sync.Mutex
	rev    int64
	ports  []*relay.Port
	links  func(sidecar int) *relay.Link
	late   []*time.Timer
	ended  bool
	anyway time.Duration // toldAnyway
	wg     sync.WaitGroup
}

// view is what one sidecar's agent holds.
type view struct {
	sidecar int
	mu      sync.Mutex
	rev     int64
	entries map[int]Entry // by number
	changed map[int]int64 // the revision of each one's last change
	silent  bool
	refuse  bool
	delay   time.Duration // beside the news' own
	defect  string
	size    time.Duration
	lie     string
	share   float64   // that a half list names
	shift   int64     // of revisions: the histories that a lie began and ended
	broken  int       // lies that broke watches off; those begun before one end with it
	hushed  int       // times that the open watches fell silent; those begun before the last say nothing more
	hushAt  time.Time // when they did so last
	lost    bool      // its connections were broken off once
	form    Form
	wake    chan struct{} // closed at each change
}

// The lies of an agent, beside silence.
const (
	LieEmpty  = "empty"  // the list names nobody, as of a service that has restarted without its state
	LieHalf   = "half"   // it names a share of the servers
	LieStuck  = "stuck"  // its watches live and tell nothing new
	LieFrozen = "frozen" // it stops in the middle of a line
	LieBig    = "big"    // it begins each answer with a line far too long
)

// epoch is how far apart the revisions of two histories are, as the product's list service numbers them.
const epoch = 1 << 28

// bigLine is the size of a line that is too long, in bytes.
const bigLine = 20 << 20

// New starts the agents with a list that all hold.
func New(log *record.Log, sidecars int, list []Entry, endpoint func(sidecar, server int) string,
	links func(sidecar int) *relay.Link) (*Agents, error) {
	a := &Agents{log: log, endpoint: endpoint, links: links, rev: 1, anyway: toldAnyway}
	for i := range sidecars {
		v := &view{sidecar: i, rev: 1, entries: map[int]Entry{}, changed: map[int]int64{}, wake: make(chan struct{})}
		for _, e := range list {
			v.entries[e.Number], v.changed[e.Number] = e, 1
		}
		a.views = append(a.views, v)
	}
	if err := a.open(); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Agents) open() error {
	p, err := relay.Listen(a.links, a.serve)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	a.mu.Lock()
	a.ports = append(a.ports, p)
	a.mu.Unlock()
	return nil
}

// Addr is where a sidecar finds its agent now.
func (a *Agents) Addr(sidecar int) string { return a.Port().Addr(sidecar) }

// Port is where all agents are called now.
func (a *Agents) Port() *relay.Port {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ports[len(a.ports)-1]
}

// Move makes the agents listen at another port; the old one takes nothing new and closes a little later.
func (a *Agents) Move() error {
	old := a.Port()
	if err := a.open(); err != nil {
		return err
	}
	old.StopAccepting()
	a.after(oldStays, old.Close)
	return nil
}

// after calls f later, unless the agents are closed first.
func (a *Agents) after(wait time.Duration, f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.wg.Add(1)
	a.late = append(a.late, time.AfterFunc(wait, func() {
		defer a.wg.Done()
		f()
	}))
}

// Close ends all agents.
func (a *Agents) Close() {
	a.mu.Lock()
	a.ended = true
	for _, t := range a.late {
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

// Publish tells all agents of a change after its notice, the last one a spread later than the first.
func (a *Agents) Publish(e Entry, notice, spread time.Duration) {
	a.PublishAll([]Entry{e}, notice, spread)
}

// PublishAll tells all agents of changes that come together, in their order.
func (a *Agents) PublishAll(entries []Entry, notice, spread time.Duration) {
	a.mu.Lock()
	first := a.rev + 1
	a.rev += int64(len(entries))
	a.mu.Unlock()
	for i, v := range a.views {
		wait := notice
		if len(a.views) > 1 {
			wait += spread * time.Duration(i) / time.Duration(len(a.views)-1)
		}
		v.mu.Lock()
		wait += v.delay
		v.mu.Unlock()
		a.after(wait, func() {
			for k, e := range entries {
				v.set(e, first+int64(k))
				a.countAsTold(v, e, first+int64(k))
			}
		})
	}
}

// toldAnyway is when what a watch that has fallen silent does not tell counts as told, by the platform's pages.
const toldAnyway = 6 * time.Second

// Hush lets the watches of a sidecar that are open now fall silent for good; its other calls are answered.
func (a *Agents) Hush(sidecar int) {
	v := a.views[sidecar]
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hushed, v.hushAt = v.hushed+1, time.Now()
	v.stir()
}

// Lose notes that a sidecar's connections to its agent were broken off: what comes later counts as told after a while, also
// if the sidecar opens no new ones.
func (a *Agents) Lose(sidecar int) {
	v := a.views[sidecar]
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lost = true
}

// countAsTold writes down that news which have just come are told, once the time is over that a silent watch gives.
func (a *Agents) countAsTold(v *view, e Entry, rev int64) {
	v.mu.Lock()
	hushed, lost := !v.hushAt.IsZero(), v.lost
	wait := max(time.Until(v.hushAt.Add(a.anyway)), 0)
	v.mu.Unlock()
	switch {
	case hushed:
	case lost: // discovery can be reached, and has it from now on
		wait = a.anyway
	default:
		return
	}
	a.after(wait, func() {
		v.mu.Lock()
		latest := v.changed[e.Number] == rev
		reached := hushed || !v.silent && !v.refuse
		v.mu.Unlock()
		if latest && reached {
			a.told(v, List{Targets: []Entry{e}})
		}
	})
}

func (v *view) set(e Entry, rev int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changed[e.Number] > rev {
		return // a later one has overtaken it
	}
	v.entries[e.Number], v.changed[e.Number] = e, rev
	v.rev = max(v.rev, rev)
	v.stir()
}

func (v *view) stir() {
	close(v.wake)
	v.wake = make(chan struct{})
}

// Behave changes what is wrong with one sidecar's agent.
func (a *Agents) Behave(sidecar int, change func(*Behaviour)) {
	v := a.views[sidecar]
	v.mu.Lock()
	defer v.mu.Unlock()
	b := Behaviour{v.silent, v.refuse, v.delay, v.defect, v.size, v.lie, v.share, v.form}
	change(&b)
	if was, is := v.lie, b.Lie; was != is {
		for _, lie := range []string{was, is} {
			switch lie {
			case LieEmpty, LieHalf: // another history begins
				v.shift += epoch
			case LieFrozen, LieBig:
				v.broken++
			}
		}
	}
	v.silent, v.refuse, v.delay, v.defect, v.size, v.lie, v.share = b.Silent, b.Refuse, b.Delay, b.Defect, b.Size, b.Lie, b.Share
	v.form = b.Form
	v.stir()
}

// Behaviour is what is wrong with an agent.
type Behaviour struct {
	Silent bool          // says nothing at all
	Refuse bool          // answers 503
	Delay  time.Duration // of news that come while it is set
	Defect string        // planted: "told-late", "ignore-drain"
	Size   time.Duration // of the defect
	Lie    string        // LieEmpty ...; empty: none
	Share  float64       // of LieHalf
	Form   Form
}

// Known is the list as a sidecar's agent holds it, for the configuration of a sidecar that starts.
func (a *Agents) Known(sidecar int) List {
	v := a.views[sidecar]
	v.mu.Lock()
	defer v.mu.Unlock()
	return a.since(v, -1)
}

// since gives what changed after a revision, or all. v.mu is held.
func (a *Agents) since(v *view, after int64) List {
	l := List{Rev: v.rev + v.shift, All: after < v.shift || after > v.rev+v.shift || after < 0, Targets: []Entry{}}
	kept := 0.0
	for _, n := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[n]
		if l.All && e.State == Gone || !l.All && v.changed[n]+v.shift <= after {
			continue
		}
		if kept += v.share; l.All && (v.lie == LieEmpty || v.lie == LieHalf && kept < 1) {
			continue
		}
		kept -= math.Floor(kept)
		e.Endpoint = a.endpoint(v.sidecar, n)
		l.Targets = append(l.Targets, e)
	}
	return l
}

var errGone = errors.New("agent: the caller is gone")
