// Package roster records which processes have joined a fleet and which of them are proved gone. From that it derives how
// many members share the fleet's budgets. It does no I/O and reads no clock: package membership feeds it with messages,
// with the verdicts of the failure detector and with the time.
//
// A process that cannot be reached is not gone: it may be cut off or frozen. A process is gone if it said that it left,
// if its address refuses connections, if another process has its address, or if an operator says so. Until then it
// counts. Knowledge only grows (see Entry), so messages may be lost, duplicated and reordered. docs/membership.md states
// the invariant that follows, and its limits.
//
// A name counts once, for its latest process that is not proved gone. An earlier process of the name takes no part once
// it knows of the later one, and the later one takes no part before the earlier one knows of it or is proved gone. A
// proof that the later process is gone says nothing about the earlier one, which then counts again. Each incarnation is
// therefore proved gone by itself.
package roster

import "time"

// ID identifies a process: the name of the member and the number of the incarnation.
type ID struct {
	Name string `json:"name"`
	// Start is the incarnation: the time of the start in Unix milliseconds, raised where the fleet knows a later one.
	Start int64 `json:"start"`
}

// Proof is the reason for which a process is known to be gone. The numbers are part of the wire form.
type Proof uint8

// The proofs, in ascending order: of two for the same process the greater one is kept.
const (
	ProofNone          Proof = iota
	ProofRefused             // its address refuses connections
	ProofAddressReused       // another process has its address
	ProofOperator            // an operator said so
	ProofLeft                // it said that it left
)

// Entry is all that is known of a process: that it is present, or that it is proved gone. Two entries of one process
// merge by the maximum of each field. A process that is proved gone stays so.
type Entry struct {
	Name  string
	Start int64
	// GoneStart is an incarnation of this name that is proved gone, or 0. The entry's own process is gone if GoneStart is at least
	// Start.
	GoneStart int64
	Proof     Proof  // of Gone
	Addr      string // HOST:PORT; empty if not known
	// Observer marks a process that is present and takes no part in the fleet's budgets. Once set it stays set.
	Observer bool
}

// Present reports whether this process is not proved gone. It may be unreachable.
func (e Entry) Present() bool { return e.Start > e.GoneStart }

func (e Entry) valid() bool {
	return len(e.Name) > 0 && len(e.Name) <= maxNameBytes && len(e.Addr) <= maxAddrBytes &&
		e.Start > 0 && e.Start <= maxStart && e.GoneStart >= 0 && e.GoneStart <= maxStart
}

// Options configure a roster.
type Options struct {
	Self ID
	Addr string // where other processes reach this one
	// Observer means that this process counts in no budget and is never admitted.
	Observer bool
	// Peers is the number of names that count as known before any of them was observed; at least 1.
	Peers int
	// AdmitWithin is the time after which a joining process is admitted without all acknowledgements.
	AdmitWithin time.Duration
	// MaxEntries bounds the entries. Beyond it those that were proved gone first are forgotten; present processes are
	// never forgotten. 0: defaultMaxEntries.
	MaxEntries int
	// MaxProofsPerName bounds the proofs of one name, so that a process that crashes again and again displaces only its
	// own. Those that were proved first are forgotten first. 0: defaultMaxProofsPerName.
	MaxProofsPerName int
}

// View is what a process derives from its roster.
type View struct {
	// Known counts the names with a process that is not proved gone, this process and the names not yet observed (see
	// Options.Peers) included, observers excluded.
	Known int `json:"known"`
	// Reachable counts those of Known that are reachable now, this process included.
	Reachable int `json:"heard"`
	// Admitted is true once all known processes have acknowledged this one or AdmitWithin is over, and while no later
	// process of its name is present.
	Admitted bool `json:"admitted"`
	// Forced means that the process was admitted only because AdmitWithin was over, here or at the process that
	// acknowledged it. It ends when all have acknowledged this process and one of them is not Forced, or Peers names
	// are present. Where Peers is 1, one admitted process is enough; a cut that lasts from the start then makes two
	// fleets that do not know it.
	Forced bool `json:"forced"`
}
