// Package state holds the replicated state of the registry: the entries with their revisions and leases, the addresses
// of the replicas, and the state of routes. Commands change it deterministically. It uses no clock, socket or disk.
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

// The states of an entry, named as in the platform's protocol. Gone marks a removed entry and occurs in changes only.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// Entry describes one server in the format of the platform's protocol.
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

// List is the response to a read or one line of a watch, in the format of the platform's protocol. If All is false,
// Targets holds only the changed entries.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// CountBits is the number of low bits of a revision that count the changes within an epoch: up to 268 million.
const CountBits = 28

// MaxEpoch is the highest epoch. It keeps revisions below 2^53, up to which every JSON reader represents integers
// exactly.
const MaxEpoch = 1<<(53-CountBits) - 1

// EpochOf returns the epoch of a revision.
func EpochOf(rev int64) int64 { return rev >> CountBits }

// EpochZero is the time from which epochs count minutes. Their 25 bits last until 2089.
var EpochZero = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// EpochZeroMS is EpochZero in Unix milliseconds.
const EpochZeroMS = 1_767_225_600_000

// NextEpoch returns the epoch of a history that begins now and follows one with the epoch old (0: none).
func NextEpoch(now time.Time, old int64) int64 {
	return min(max(old+1, int64(now.Sub(EpochZero)/time.Minute)), MaxEpoch)
}

// Op is the operation of a command.
type Op string

// The operations, with the fields of Command that each uses.
const (
	OpBeginEpoch     Op = "begin"  // begins a new history, also after a restore from a backup: Epoch
	OpPut            Op = "put"    // registers an entry or changes it: Entry, LeaseMS, If
	OpDrain          Op = "drain"  // sets the state of an entry to Terminating: UID, If
	OpRemove         Op = "remove" // removes an entry: UID, If
	OpExpire         Op = "expire" // removes entries whose leases have expired, unless they have changed since: Expired
	OpReplicaAddress Op = "member" // sets the HTTP address of a replica, empty: removes it: UID (the name), Address
	OpRoutes         Op = "routes" // applies a command of package rollout: Routes
	OpAudit          Op = "audit"  // records transitions of processes and the schemas that processes read: Audit, Seen
	OpMaxLeaseTerm   Op = "term"   // sets the maximum term of routes leases that may still run: TermMS
)

// Command is one replicated write.
type Command struct {
	Op      Op               `json:"op"`
	UID     string           `json:"uid,omitempty"`
	Entry   *Entry           `json:"entry,omitempty"`
	LeaseMS int64            `json:"lease_ms,omitempty"`
	If      *int64           `json:"if,omitempty"` // required revision of the entry's last change; 0: there must be no entry
	Epoch   int64            `json:"epoch,omitempty"`
	Expired map[string]int64 `json:"expired,omitempty"` // revision of the last change of each entry, by uid
	Address string           `json:"address,omitempty"`

	Routes *rollout.Command   `json:"routes,omitempty"`
	Audit  []audit.Transition `json:"audit,omitempty"`
	Seen   []SchemaSupport    `json:"seen,omitempty"`
	TermMS int64              `json:"term_ms,omitempty"`
	Term   uint64             `json:"term,omitempty"` // required raft term of the log entry; 0: any
}

// Errors of writes.
var (
	ErrConflict = errors.New("the entry has changed meanwhile")
	ErrUnknown  = errors.New("there is no such entry")
	ErrDrained  = errors.New("the entry drains; only a later start makes it ready again")
	ErrInvalid  = errors.New("the entry cannot be")
)

// entryRecord is an entry with its internal fields.
type entryRecord struct {
	Entry   Entry `json:"entry"`
	Changed int64 `json:"changed"` // revision of the last change of the entry
	LeaseMS int64 `json:"lease_ms"`
}

// change is the content of an entry as of a revision.
type change struct {
	rev   int64
	entry Entry
}

// State is the list with its recent history and the state of routes. The same commands always result in the same state.
type State struct {
	rev              int64
	items            map[string]*entryRecord
	replicaAddresses map[string]string // HTTP addresses of the replicas by name
	history          []change          // changes kept for watches that resume, oldest first
	historyStart     int64             // history holds all changes after this revision
	maxHistory       int

	// Changes of the following fields do not change the revision of the list.
	Routes         *rollout.State
	AuditLog       *audit.Log
	Processes      map[string]SchemaSupport // schema support by name of the process
	MaxLeaseTermMS int64                    // the maximum term of routes leases that may still run
}

// NewState returns an empty state that keeps at least the newest keep changes.
func NewState(keep int) *State {
	return &State{items: map[string]*entryRecord{}, replicaAddresses: map[string]string{}, maxHistory: keep,
		Routes: rollout.NewState(), AuditLog: &audit.Log{}, Processes: map[string]SchemaSupport{}}
}

// Rev returns the revision of the last change.
func (s *State) Rev() int64 { return s.rev }

// Len returns the number of entries.
func (s *State) Len() int { return len(s.items) }

// Get returns an entry with the revision of its last change and its lease.
func (s *State) Get(uid string) (e Entry, changed int64, lease time.Duration, ok bool) {
	it, ok := s.items[uid]
	if !ok {
		return Entry{}, 0, 0, false
	}
	return it.Entry, it.Changed, time.Duration(it.LeaseMS) * time.Millisecond, true
}

// ReplicaAddresses returns the HTTP addresses of the replicas by name.
func (s *State) ReplicaAddresses() map[string]string { return maps.Clone(s.replicaAddresses) }

// ReplicaAddress returns the HTTP address of a replica; empty if it is unknown.
func (s *State) ReplicaAddress(name string) string { return s.replicaAddresses[name] }

// ForgetReplicaAddresses removes the addresses of all replicas.
func (s *State) ForgetReplicaAddresses() { s.replicaAddresses = map[string]string{} }

// ForEachLease calls f for each entry that has a lease.
func (s *State) ForEachLease(f func(uid string, changed int64, term time.Duration)) {
	for uid, it := range s.items {
		if it.LeaseMS > 0 {
			f(uid, it.Changed, time.Duration(it.LeaseMS)*time.Millisecond)
		}
	}
}

// Validate returns an error wrapping ErrInvalid if a field of the entry is missing or out of range.
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

// Apply applies a command. It returns the revision from which readers see its effect. If nothing had to change, this is
// an earlier revision, so that a write may be sent twice.
func (s *State) Apply(c *Command) (int64, error) {
	switch c.Op {
	case OpBeginEpoch:
		if EpochOf(s.rev) >= c.Epoch {
			return s.rev, nil
		}
		s.rev = c.Epoch << CountBits
		s.history, s.historyStart = nil, s.rev // earlier changes belong to another history
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
		for _, uid := range slices.Sorted(maps.Keys(c.Expired)) { // all replicas must remove entries in one order
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

// put registers an entry or replaces it.
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
			return old.Changed, nil // nothing changed, or the write was sent twice
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

// drain sets the state of an entry to Terminating.
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

// remove removes an entry that exists.
func (s *State) remove(uid string) {
	e := s.items[uid].Entry
	e.State = Gone
	delete(s.items, uid)
	s.record(e)
}

// record assigns the next revision to a change and adds it to the history. If the count within the epoch overflows, the
// next revision belongs to the next epoch. The history continues there, so watches need no full list.
func (s *State) record(e Entry) int64 {
	s.rev++
	s.history = append(s.history, change{s.rev, e})
	if len(s.history) > 2*s.maxHistory { // old changes are dropped in batches, so that the copy is rare
		drop := len(s.history) - s.maxHistory
		s.historyStart = s.history[drop-1].rev
		s.history = slices.Clone(s.history[drop:])
	}
	return s.rev
}

// All returns the full list, sorted by uid.
func (s *State) All() List {
	l := List{Rev: s.rev, All: true, Targets: make([]Entry, 0, len(s.items))}
	for _, uid := range slices.Sorted(maps.Keys(s.items)) {
		l.Targets = append(l.Targets, s.items[uid].Entry)
	}
	return l
}

// ChangesSince returns the entries that changed after a revision, each once with its current content. It returns the
// full list if the history does not reach back to the revision, or the revision is ahead of the state.
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

// Snapshot is the content of a state in the format of a snapshot. It does not contain the history, so a watch that
// resumes at a restored replica receives the full list.
type Snapshot struct {
	Form    int               `json:"form"`
	Rev     int64             `json:"rev"`
	Items   []*entryRecord    `json:"items"`
	Members map[string]string `json:"members"`

	// The following fields exist since version 2 of the format.
	Routes json.RawMessage `json:"routes,omitempty"`
	Audit  json.RawMessage `json:"audit,omitempty"`
	Seen   []SchemaSupport `json:"seen,omitempty"`
	TermMS int64           `json:"term_ms,omitempty"`
}

// Versions of the snapshot format. Restore rejects newer ones. Version 1 has no routes. It is still written while there
// are no routes, so that a downgrade is possible where routes are not used.
const (
	SnapshotForm              = 2
	SnapshotFormWithoutRoutes = 1
)

// Snapshot returns a copy of the state in the format of a snapshot.
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
	var routesErr, auditErr error
	out.Routes, routesErr = json.Marshal(s.Routes)
	out.Audit, auditErr = json.Marshal(s.AuditLog)
	if err := errors.Join(routesErr, auditErr); err != nil {
		return nil, fmt.Errorf("registry: snapshot: %w", err)
	}
	return out, nil
}

// hasRoutes reports whether the state contains any routes. A leader with an operators' file records the maximum lease
// term before anything else, so MaxLeaseTermMS shows it, too.
func (s *State) hasRoutes() bool {
	return s.MaxLeaseTermMS > 0 || s.Routes.Rev() > EpochOf(s.Routes.Rev())<<CountBits
}

// Restore replaces the state with the content of a snapshot.
func (s *State) Restore(from *Snapshot) error {
	if from.Form != SnapshotForm && from.Form != SnapshotFormWithoutRoutes {
		return fmt.Errorf("registry: unsupported snapshot format %d, supported are %d and %d", from.Form, SnapshotFormWithoutRoutes, SnapshotForm)
	}
	routes, log := rollout.NewState(), &audit.Log{}
	if from.Form == SnapshotFormWithoutRoutes {
		routes.BeginEpoch(EpochOf(from.Rev))
	} else if err := errors.Join(json.Unmarshal(from.Routes, routes), json.Unmarshal(from.Audit, log)); err != nil {
		return fmt.Errorf("registry: decode routes of snapshot: %w", err)
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

// SchemaSupport holds the schemas of routes that a process reads, and the time of its last report.
type SchemaSupport struct {
	route.Process
	Schemas []int `json:"schemas"`
	AtMS    int64 `json:"at_ms"` // time of the last report by the leader's wall clock, Unix milliseconds
}

// MaxKnownProcesses is the maximum number of processes in the state. If there are more, those whose last report is
// oldest are dropped.
const MaxKnownProcesses = 10_000

// recordProcesses records the reports of processes.
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

// CountReady returns the number of ready entries that belong to a subset.
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

// matchesAny reports whether a selector contains a value. An empty selector contains all.
func matchesAny[T comparable](list []T, v T) bool { return len(list) == 0 || slices.Contains(list, v) }
