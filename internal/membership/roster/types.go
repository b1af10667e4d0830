// Package roster records which processes have joined a fleet and which of them are proved gone, and derives from this
// how many members share the fleet's budgets. It does no I/O and reads no clock: package membership passes in the
// messages of other processes, the verdicts of the failure detector and the current time.
//
// A process is proved gone by one of the following: it announced that it left, its address refuses connections, another
// process has its address, or an operator confirmed it. An unreachable process without such a proof may be partitioned
// off or frozen, and therefore counts as present. Knowledge only grows (see Entry), so messages may be lost, duplicated
// and reordered. docs/membership.md states the resulting invariant and its limits.
//
// A name counts once, for its latest process that is not proved gone. An earlier process of the name has no quota once
// it knows of the later one. The later one has no quota until the earlier one has acknowledged it or is proved gone. If
// the later process is proved gone, the earlier one counts again, so each incarnation needs a proof of its own.
package roster

import "time"

// ID identifies a process by the name of its member and the incarnation.
type ID struct {
	Name string `json:"name"`
	// Start is the incarnation: the time of the start in Unix milliseconds, or more if the fleet knows a later start.
	Start int64 `json:"start"`
}

// Proof is the evidence that a process is gone. The numbers are part of the wire form.
type Proof uint8

// The proofs in ascending order. If there are two for the same process, the greater one is kept.
const (
	ProofNone          Proof = iota // the process is present
	ProofRefused                    // the address of the process refuses connections
	ProofAddressReused              // another process has the address of this one
	ProofOperator                   // an operator confirmed that the process has ended
	ProofLeft                       // the process announced that it left
)

// Entry states that a process is present or proved gone. Two entries of one process merge by the maximum of each field,
// so a process that is proved gone remains so.
type Entry struct {
	Name  string
	Start int64
	// GoneStart is an incarnation of this name that is proved gone, or 0 for none. If it is Start or greater, the
	// process of this entry is gone.
	GoneStart int64
	Proof     Proof  // the evidence for GoneStart; ProofNone if GoneStart is 0
	Addr      string // HOST:PORT of the process Start; empty if unknown
	// Observer marks a process without a share of the fleet's budgets. Once set it stays set.
	Observer bool
}

// Present reports whether the process of this entry is not proved gone. A present process may be unreachable.
func (e Entry) Present() bool { return e.Start > e.GoneStart }

func (e Entry) valid() bool {
	return len(e.Name) > 0 && len(e.Name) <= maxNameBytes && len(e.Addr) <= maxAddrBytes &&
		e.Start > 0 && e.Start <= maxStart && e.GoneStart >= 0 && e.GoneStart <= maxStart
}

// Options configure a roster.
type Options struct {
	Self ID
	Addr string // HOST:PORT at which other processes reach this one
	// Observer excludes this process from all budgets. It is never admitted.
	Observer bool
	// Peers is the expected number of names. That many count as known even if fewer were observed. The minimum is 1.
	Peers int
	// AdmitWithin is the time after which a joining process is admitted even if acknowledgements are missing.
	AdmitWithin time.Duration
	// MaxEntries bounds the number of entries. When it is exceeded, the oldest proofs are evicted. Present processes
	// are never evicted. 0 means defaultMaxEntries.
	MaxEntries int
	// MaxProofsPerName bounds the number of proofs of one name, so that a process that crashes repeatedly evicts only
	// proofs of its own name. The oldest proofs are evicted first. 0 means defaultMaxProofsPerName.
	MaxProofsPerName int
}

// View holds the counts and the admission that a process derives from its roster.
type View struct {
	// Known counts the names with a present process. It includes this process and the expected names that were not yet
	// observed (see Options.Peers), and excludes observers.
	Known int `json:"known"`
	// Reachable counts the names in Known that are reachable now, including this process.
	Reachable int `json:"heard"`
	// Admitted is true once all known processes have acknowledged this one or AdmitWithin has passed. It is false while
	// a later process of the same name is present.
	Admitted bool `json:"admitted"`
	// Forced means that this process, or the one that acknowledged it, was admitted only because AdmitWithin had
	// passed. It is reset once all other processes have acknowledged this one and either one of them is not Forced or
	// Peers names are present. If Peers is 1, one admitted process among them is enough. A partition that exists from
	// the start can then form two fleets, neither of which detects the other.
	Forced bool `json:"forced"`
}
