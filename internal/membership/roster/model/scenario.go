// Package model checks rosters against the invariant of docs/membership.md in two ways: Explore visits every
// interleaving of events of a small fleet, and Fleet performs one long random run of a larger fleet. In both, messages
// may be lost, duplicated, delayed and reordered, the fleet may be partitioned, processes crash, restart and join late,
// and the failure detector reports arbitrary verdicts. Proofs that a process is gone are correct unless
// FleetConfig.FalseProofs is set.
package model

import (
	"errors"
	"time"

	"marblelane/internal/membership/roster"
)

// Defect is a fault planted into the model to verify that the checks detect it.
type Defect int

// The planted defects.
const (
	None              Defect = iota // no defect
	TrustDetector                   // a verdict of the failure detector that a process is dead proves it gone
	NoAdmission                     // a joining process takes a quota before it is admitted
	ProofUndone                     // a report that a process is present deletes the proof that it is gone
	IgnoreUnreachable               // the estimated size falls although half or more are unreachable; only for a Fleet
)

const (
	// MaxSlots is the maximum number of processes of a scenario, including those that join later.
	MaxSlots = 5
	// sumTolerance is the allowed rounding error of a sum of quotas.
	sumTolerance = 1e-9
	// admitWithin is Options.AdmitWithin in a scenario. Time stands still there except for an admission by timeout.
	admitWithin = time.Second
)

// Violations of the invariant.
var (
	ErrQuotaExceeded = errors.New("sum of quotas exceeds the bound")
	ErrProofUndone   = errors.New("process became present again after it was proved gone")
)

// Slot describes one process of a scenario.
type Slot struct {
	ID         roster.ID
	JoinsLater bool  // the process does not run in the initial state
	AfterCrash bool  // the process starts only after all other processes of its name have crashed
	Seeds      uint8 // bit set of the slots that the process may contact even if it does not know them
}

// Scenario lists the processes of a fleet and bounds the number of faults. In the initial state the processes without
// JoinsLater know each other and are admitted, unless ColdStart is set.
type Scenario struct {
	Slots            []Slot
	Peers            int
	ColdStart        bool // initially no process knows another one, and none is admitted
	Partitions       int  // number of partitions, each with any two sides; may heal at any time
	Crashes          int  // number of crashes
	DelayedMessages  int  // messages that may arrive later and repeatedly; others arrive at once or are lost
	ForcedAdmissions int  // number of admissions by timeout
	Defect           Defect
	// MaxProofsPerName is roster.Options.MaxProofsPerName of all processes. If it is set, a process whose proof was
	// evicted may become present again.
	MaxProofsPerName int
	// Bound returns the maximum sum of quotas, from the views of the Forced processes and the number of other admitted
	// ones. nil means 1, and that the quotas of Forced processes are not part of the sum.
	Bound func(forced []roster.View, admitted int) float64
}
