// Package state is the replicated state of the registry: the entries with their revisions and leases, the addresses of
// the replicas, and the state of routes. Commands change it deterministically; it uses no clock, socket or disk.
package state

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"marblelane/internal/audit"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// The states of an entry, as the platform names them. Gone stands in changes only.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// Entry is one server in the platform's form.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is the answer to a read or a line of a watch, in the form of the platform's protocol.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// CountBits is the part of a revision that counts within an epoch: 268 million changes.
const CountBits = 28

// MaxEpoch keeps a revision within 2^53, up to which every JSON reader counts exactly.
const MaxEpoch = 1<<(53-CountBits) - 1

// EpochOf is the epoch of a revision.
func EpochOf(rev int64) int64 { return rev >> CountBits }

// EpochZero is the time from which epochs count minutes; 25 bits of them last until 2089.
var EpochZero = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// EpochZeroMS is EpochZero in Unix milliseconds.
const EpochZeroMS = 1_767_225_600_000

// NextEpoch is the epoch of a history that begins now, after one with the epoch old (0: none).
func NextEpoch(now time.Time, old int64) int64 {
	return min(max(old+1, int64(now.Sub(EpochZero)/time.Minute)), MaxEpoch)
}

// Op is what a command does.
type Op string

// The operations.
const (
	OpBeginEpoch     Op = "begin"  // a history begins, or a backup becomes one: Epoch
	OpPut            Op = "put"    // register: Entry, Lease
	OpDrain          Op = "drain"  // UID: Terminating from now on
	OpRemove         Op = "remove" // UID
	OpExpire         Op = "expire" // UIDs: their leases are over; only those unchanged since their If counts
	OpReplicaAddress Op = "member" // UID: a replica's name, Address: where it serves
	OpRoutes         Op = "routes" // Routes: a command of package rollout
	OpAudit          Op = "audit"  // Audit: transitions of processes; Seen: which schemas processes read
	OpMaxLeaseTerm   Op = "term"   // TermMS: the maximum term of routes leases that may still run
)

// Command is one write, as it is replicated.
type Command struct {
	Op      Op               `json:"op"`
	UID     string           `json:"uid,omitempty"`
	Entry   *Entry           `json:"entry,omitempty"`
	LeaseMS int64            `json:"lease_ms,omitempty"`
	If      *int64           `json:"if,omitempty"` // revision of the entry's last change; 0: there is none
	Epoch   int64            `json:"epoch,omitempty"`
	Expired map[string]int64 `json:"expired,omitempty"` // uid to the revision of its last change
	Address string           `json:"address,omitempty"`

	Routes *rollout.Command   `json:"routes,omitempty"`
	Audit  []audit.Transition `json:"audit,omitempty"`
	Seen   []SchemaSupport    `json:"seen,omitempty"`
	TermMS int64              `json:"term_ms,omitempty"`
	Term   uint64             `json:"term,omitempty"` // counts only if it is committed in this one of raft's; 0: in any
}

// Errors of writes.
var (
	ErrConflict = errors.New("the entry has changed meanwhile")
	ErrUnknown  = errors.New("there is no such entry")
	ErrDrained  = errors.New("the entry drains; only a later start makes it ready again")
	ErrInvalid  = errors.New("the entry cannot be")
)

// item is an entry with its internal fields.
type entryRecord struct {
	Entry   Entry `json:"entry"`
	Changed int64 `json:"changed"` // revision of its last change
	LeaseMS int64 `json:"lease_ms"`
}

// change is one entry as it became with a revision.
type change struct {
	rev   int64
	entry Entry
}

// State is the list with its recent history. It is deterministic: the same commands give the same state.
type State struct {
	rev              int64
	items            map[string]*entryRecord
	replicaAddresses map[string]string // replicas by name: where they serve
	history          []change          // oldest first
	historyStart     int64             // changes after this revision are in history
	maxHistory       int

	// What follows moves no revision of the list.
	Routes         *rollout.State
	AuditLog       *audit.Log
	Processes      map[string]SchemaSupport // by the process's name: what schemas it reads
	MaxLeaseTermMS int64                    // the maximum term of routes leases that may still run
}

// NewState makes an empty list that keeps at least so many changes.
func NewState(keep int) *State {
	return &State{items: map[string]*entryRecord{}, replicaAddresses: map[string]string{}, maxHistory: keep,
		Routes: rollout.NewState(), AuditLog: &audit.Log{}, Processes: map[string]SchemaSupport{}}
}

// Rev is the revision of the last change.
func (s *State) Rev() int64 { return s.rev }

// Len is the number of entries.
func (s *State) Len() int { return len(s.items) }

// Get gives an entry with the revision of its last change and its lease.
func (s *State) Get(uid string) (e Entry, changed int64, lease time.Duration, ok bool) {
	it, ok := s.items[uid]
	if !ok {
		return Entry{}, 0, 0, false
	}
	return it.Entry, it.Changed, time.Duration(it.LeaseMS) * time.Millisecond, true
}

// ReplicaAddresses are the replicas by name with the addresses where they serve.
func (s *State) ReplicaAddresses() map[string]string { return maps.Clone(s.replicaAddresses) }

// ReplicaAddress is where a replica serves; empty if it has not said so.
func (s *State) ReplicaAddress(name string) string { return s.replicaAddresses[name] }

// ForgetReplicaAddresses removes all replicas' addresses.
func (s *State) ForgetReplicaAddresses() { s.replicaAddresses = map[string]string{} }

// ForEachLease calls f for each entry that has a lease.
func (s *State) ForEachLease(f func(uid string, changed int64, term time.Duration)) {
	for uid, it := range s.items {
		if it.LeaseMS > 0 {
			f(uid, it.Changed, time.Duration(it.LeaseMS)*time.Millisecond)
		}
	}
}

// Validate finds what an entry lacks.
func (e *Entry) Validate() error {
	switch {
	case e.UID == "" || len(e.UID) > 200:
		return fmt.Errorf("%w: uid is empty or longer than 200 bytes", ErrInvalid)
	case e.Endpoint == "" || len(e.Endpoint) > 200:
		return fmt.Errorf("%w: endpoint is empty or longer than 200 bytes", ErrInvalid)
	case e.State != Ready && e.State != Terminating:
		return fmt.Errorf("%w: state %q is neither Ready nor Terminating", ErrInvalid, e.State)
	case e.BootMS < 0:
		return fmt.Errorf("%w: boot_ms is negative", ErrInvalid)
	case !(e.Capacity >= 0 && e.Capacity <= 1e9):
		return fmt.Errorf("%w: capacity_hint is not between 0 and 1e9", ErrInvalid)
	}
	return nil
}

// Apply carries out a command. It returns the revision after which a reader sees it: of the change, or of the last
// one where nothing had to change, so that a write that is sent twice does no harm.
func (s *State) Apply(c *Command) (int64, error) {
	switch c.Op {
	case OpBeginEpoch:
		if EpochOf(s.rev) >= c.Epoch {
			return s.rev, nil
		}
		s.rev = c.Epoch << CountBits
		s.history, s.historyStart = nil, s.rev // what came before is another history
		s.Routes.BeginEpoch(c.Epoch)
		return s.rev, nil
	case OpReplicaAddress:
		if c.Address == "" {
			delete(s.replicaAddresses, c.UID)
		} else {
			s.replicaAddresses[c.UID] = c.Address
		}
		return s.rev, nil
	case OpPut:
		return s.put(c)
	case OpDrain:
		return s.drain(c)
	case OpRemove:
		it, ok := s.items[c.UID]
		if !ok {
			return s.rev, nil
		}
		if c.If != nil && *c.If != it.Changed {
			return 0, ErrConflict
		}
		s.remove(c.UID)
		return s.rev, nil
	case OpExpire:
		for _, uid := range slices.Sorted(maps.Keys(c.Expired)) { // in an order that all replicas share
			if it, ok := s.items[uid]; ok && it.Changed == c.Expired[uid] {
				s.remove(uid)
			}
		}
		return s.rev, nil
	case OpRoutes:
		if c.Routes == nil {
			return 0, fmt.Errorf("%w: a command of routes without one", ErrInvalid)
		}
		return s.Routes.Apply(c.Routes)
	case OpAudit:
		s.AuditLog.Add(c.Audit)
		s.recordProcesses(c.Seen)
		return s.rev, nil
	case OpMaxLeaseTerm:
		s.MaxLeaseTermMS = c.TermMS
		return s.rev, nil
	}
	return 0, fmt.Errorf("registry: unknown operation %q", c.Op)
}

func (s *State) put(c *Command) (int64, error) {
	if c.Entry == nil {
		return 0, fmt.Errorf("%w: there is none", ErrInvalid)
	}
	if err := c.Entry.Validate(); err != nil {
		return 0, err
	}
	e, old := *c.Entry, s.items[c.Entry.UID]
	if old != nil {
		if old.Entry == e && old.LeaseMS == c.LeaseMS {
			return old.Changed, nil // sent twice, or nothing new
		}
	}
	if c.If != nil {
		at := int64(0)
		if old != nil {
			at = old.Changed
		}
		if at != *c.If {
			return 0, ErrConflict
		}
	}
	if old != nil && old.Entry.State == Terminating && e.State == Ready && e.BootMS <= old.Entry.BootMS {
		return 0, ErrDrained
	}
	it := &entryRecord{Entry: e, LeaseMS: c.LeaseMS}
	if old != nil && old.Entry == e { // only the lease term changes: no new revision
		it.Changed = old.Changed
		s.items[e.UID] = it
		return it.Changed, nil
	}
	s.items[e.UID] = it
	it.Changed = s.record(e)
	return s.rev, nil
}

func (s *State) drain(c *Command) (int64, error) {
	it, ok := s.items[c.UID]
	switch {
	case !ok:
		return 0, ErrUnknown
	case it.Entry.State == Terminating:
		return it.Changed, nil
	case c.If != nil && *c.If != it.Changed:
		return 0, ErrConflict
	}
	it.Entry.State = Terminating
	it.Changed = s.record(it.Entry)
	return s.rev, nil
}

func (s *State) remove(uid string) {
	e := s.items[uid].Entry
	e.State = Gone
	delete(s.items, uid)
	s.record(e)
}

// record assigns a revision to a change and keeps it in the history. A count that overflows continues in the next epoch,
// the next number; the list is the same, so watches need no full list.
func (s *State) record(e Entry) int64 {
	s.rev++
	s.history = append(s.history, change{s.rev, e})
	if len(s.history) > 2*s.maxHistory { // in steps, so that it costs little
		drop := len(s.history) - s.maxHistory
		s.historyStart = s.history[drop-1].rev
		s.history = slices.Clone(s.history[drop:])
	}
	return s.rev
}

// All is the full list, by uid.
func (s *State) All() List {
	l := List{Rev: s.rev, All: true, Targets: make([]Entry, 0, len(s.items))}
	for _, uid := range slices.Sorted(maps.Keys(s.items)) {
		l.Targets = append(l.Targets, s.items[uid].Entry)
	}
	return l
}

// ChangesSince is what changed after a revision, each entry once as it is now; or the full list where that is not known.
func (s *State) ChangesSince(after int64) List {
	if after < s.historyStart || after > s.rev {
		return s.All()
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(c change, rev int64) int { return int(c.rev - rev) })
	last := map[string]int{}
	for i, c := range s.history[first:] {
		last[c.entry.UID] = first + i
	}
	l := List{Rev: s.rev, Targets: make([]Entry, 0, len(last))}
	for _, i := range slices.Sorted(maps.Values(last)) {
		l.Targets = append(l.Targets, s.history[i].entry)
	}
	return l
}

// Snapshot is a state as a snapshot keeps it. The history is not part of it: a watcher that comes back to a replica which
// was restored gets the full list.
type Snapshot struct {
	Form    int               `json:"form"`
	Rev     int64             `json:"rev"`
	Items   []*entryRecord    `json:"items"`
	Members map[string]string `json:"members"`

	// Since form 2.
	Routes json.RawMessage `json:"routes,omitempty"`
	Audit  json.RawMessage `json:"audit,omitempty"`
	Seen   []SchemaSupport `json:"seen,omitempty"`
	TermMS int64           `json:"term_ms,omitempty"`
}

// Versions of the snapshot format; a newer one is rejected. Version 1 has no routes. It is still written while there are
// none, so that a downgrade is possible where routes are not used.
const (
	SnapshotForm              = 2
	SnapshotFormWithoutRoutes = 1
)

// Snapshot copies the state for a snapshot.
func (s *State) Snapshot() (*Snapshot, error) {
	out := &Snapshot{Form: SnapshotFormWithoutRoutes, Rev: s.rev, Members: maps.Clone(s.replicaAddresses)}
	for _, uid := range slices.Sorted(maps.Keys(s.items)) {
		it := *s.items[uid]
		out.Items = append(out.Items, &it)
	}
	if !s.hasRoutes() {
		return out, nil
	}
	out.Form, out.TermMS = SnapshotForm, s.MaxLeaseTermMS
	for _, name := range slices.Sorted(maps.Keys(s.Processes)) {
		out.Seen = append(out.Seen, s.Processes[name])
	}
	var err, err2 error
	out.Routes, err = json.Marshal(s.Routes)
	out.Audit, err2 = json.Marshal(s.AuditLog)
	if err := errors.Join(err, err2); err != nil {
		return nil, fmt.Errorf("registry: snapshot: %w", err)
	}
	return out, nil
}

// hasRoutes tells whether there is anything of routes in the state: a leader with an operators' file says its term first.
func (s *State) hasRoutes() bool {
	return s.MaxLeaseTermMS > 0 || s.Routes.Rev() > EpochOf(s.Routes.Rev())<<CountBits
}

// Restore replaces the state by that of a snapshot.
func (s *State) Restore(from *Snapshot) error {
	if from.Form != SnapshotForm && from.Form != SnapshotFormWithoutRoutes {
		return fmt.Errorf("registry: a snapshot of form %d, this program reads forms %d and %d", from.Form, SnapshotFormWithoutRoutes, SnapshotForm)
	}
	routes, log := rollout.NewState(), &audit.Log{}
	if from.Form == SnapshotFormWithoutRoutes {
		routes.BeginEpoch(EpochOf(from.Rev))
	} else if err := errors.Join(json.Unmarshal(from.Routes, routes), json.Unmarshal(from.Audit, log)); err != nil {
		return fmt.Errorf("registry: the routes of a snapshot: %w", err)
	}
	s.Routes, s.AuditLog, s.MaxLeaseTermMS, s.Processes = routes, log, from.TermMS, map[string]SchemaSupport{}
	for _, p := range from.Seen {
		s.Processes[p.Name] = p
	}
	s.rev, s.historyStart, s.history = from.Rev, from.Rev, nil
	s.items, s.replicaAddresses = map[string]*entryRecord{}, map[string]string{}
	for _, it := range from.Items {
		s.items[it.Entry.UID] = it
	}
	maps.Copy(s.replicaAddresses, from.Members)
	return nil
}

// SchemaSupport is the last report time of a process and the schemas of routes that it reads.
type SchemaSupport struct {
	route.Process
	Schemas []int `json:"schemas"`
	AtMS    int64 `json:"at_ms"` // the leader's wall clock
}

// MaxKnownProcesses bounds the processes in the state; beyond it the one that reported longest ago is dropped.
const MaxKnownProcesses = 10_000

func (s *State) recordProcesses(all []SchemaSupport) {
	for _, p := range all {
		s.Processes[p.Name] = p
	}
	if len(s.Processes) <= MaxKnownProcesses {
		return
	}
	oldest := slices.SortedFunc(maps.Values(s.Processes), func(a, b SchemaSupport) int {
		return cmp.Or(cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Name, b.Name))
	})
	for _, p := range oldest[:len(oldest)-MaxKnownProcesses] {
		delete(s.Processes, p.Name)
	}
}

// CountReady counts the entries that take requests and are in a subset.
func (s *State) CountReady(sub route.Subset) int {
	n := 0
	for _, it := range s.items {
		if e := &it.Entry; e.State == Ready && matchesAny(sub.Model, e.Model) && matchesAny(sub.PodGroup, e.PodGroup) &&
			matchesAny(sub.Zone, e.Zone) && matchesAny(sub.UID, e.UID) {
			n++
		}
	}
	return n
}

func matchesAny[T comparable](list []T, v T) bool { return len(list) == 0 || slices.Contains(list, v) }
