// Package model checks rosters against the invariant of docs/membership.md in two ways: Explore visits all interleavings
// of a small fleet, and Fleet follows one long random run of a larger one. In both, messages may be lost, duplicated,
// delayed and reordered, the fleet may be cut in two, processes crash, restart and join late, and the failure detector
// gives any verdict. Proofs that a process is gone are true, unless FleetConfig.FalseProofs is set.
package model

import (
	"errors"
	"time"

	"marblelane/internal/membership/roster"
)

// Defect is a fault that is planted to see that the checks find it.
type Defect int

// The defects.
const (
	None              Defect = iota
	TrustDetector            // a process that the failure detector takes for dead counts as proved gone
	NoAdmission              // a joining process counts itself in at once
	ProofUndone              // a later report that a process is present undoes the proof that it is gone
	IgnoreUnreachable        // a count falls although half or more are unreachable; of a Fleet only
)

const (
	// MaxSlots is how many processes a scenario may have, those that join later included.
	MaxSlots = 5
	// sumTolerance allows for the rounding of sums of fractions.
	sumTolerance = 1e-9
	// admitWithin is the admission time in a scenario, whose clock stands still otherwise.
	admitWithin = time.Second
)

// Errors that the checks return.
var (
	ErrQuotaExceeded = errors.New("the quotas add up to more than allowed")
	ErrProofUndone   = errors.New("a process that was proved gone is present again")
)

// Slot holds one process of a scenario.
type Slot struct {
	ID         roster.ID
	JoinsLater bool  // it is not present at the beginning
	AfterCrash bool  // it starts only after all others of its name have crashed
	Seeds      uint8 // bit set of the slots that it may contact without knowing them
}

// Scenario says which processes there are and how often each fault may happen. At the beginning those that are not Late
// know each other and are admitted, unless Strangers is set: then nobody knows anybody.
type Scenario struct {
	Slots            []Slot
	Peers            int
	ColdStart        bool
	Partitions       int // each into any two sides, healed at any time
	Crashes          int
	DelayedMessages  int // messages that may arrive at any later time, any number of times; others arrive at once or never
	ForcedAdmissions int // processes that may be admitted by timeout
	Defect           Defect
	// MaxProofsPerName bounds the proofs as in roster.Options. A process whose proof is forgotten may be present again.
	MaxProofsPerName int
	// Bound returns the largest allowed sum of quotas; nil: 1. Forced processes are part of the sum only if it is set.
	Bound func(forced []roster.View, admitted int) float64
}
