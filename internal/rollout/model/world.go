package model

import (
	"bytes"
	"slices"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
	"marblelane/internal/statekey"
)

// BudgetWorld and LeaseWorld are small enough that package explore can visit all interleavings of their events. A world
// has up to three sidecars, one elected leader at a time, and a limited number of faults. States that become equal when
// their sidecars are swapped count as one state.

const (
	fleetSize   = 3
	tenantID    = "t"
	rolloutID   = "r"
	budget      = 3
	wantedUnits = 1
)

// Defect is a fault of the protocol that is planted in a world, to show that the exploration finds it.
type Defect int

// The defects.
const (
	None                Defect = iota
	GrantBeforeCommit          // a budget request is answered before the grant is committed to the ledger
	NoReservation              // failures are summed afterwards, and no unit is reserved before an attempt
	GoneUnitsReturned          // the outstanding units of a process that counts as gone return to the budget
	NoLeaseWait                // a new leader does not wait until earlier leases have expired
	LeaseFromResponse          // a sidecar counts its lease from the response, not from the sending of its report
	LeaseWhileClosing          // a leader grants a lease on a revision while it is closing that revision
	NoBarrierOnElection        // a new leader begins before it has applied all replicated commands
)

// Faults limits the number of faults of each kind in one exploration.
type Faults struct{ Crashes, LeaderChanges, Duplicates, ClockJumps int }

// stage is the progress of one request and its response between a sidecar and the leader.
type stage int

const (
	idle stage = iota
	sent
	received // the leader has processed the request, but its commands are not committed
	answered
)

// String returns the name of the stage.
func (s stage) String() string { return [...]string{"idle", "sent", "received", "answered"}[s] }

// postedRev is the revision of the table right after the rollout was posted.
const postedRev = 1<<28 + 1

func controllerOptions() rollout.Options {
	return rollout.Options{
		Leader: "l", LeaseTerm: 1, StragglerAfter: 1, ShutOutAfter: 100, GoneAfter: 5, DropAfter: 1000,
		MaxStragglerFraction: 1, Alpha: 0, Rho: 3,
	}
}

// newPostedState returns a state with a newly posted rollout.
func newPostedState() *rollout.State {
	s := rollout.NewState()
	s.BeginEpoch(1)
	spec := &rollout.Spec{
		Tenant: tenantID, Name: rolloutID, SubsetName: "new", Canary: route.Subset{Model: []string{"new"}},
		Budget: budget, AtEnd: rollout.AtEndReturn,
		Steps: []rollout.Step{
			{CanaryFraction: 0.1, HoldMS: rollout.MaxHoldMS}, {CanaryFraction: 0.5, HoldMS: rollout.MaxHoldMS},
		},
	}
	if _, err := s.Apply(&rollout.Command{Op: rollout.OpPost, Spec: spec}); err != nil {
		panic(err) // unreachable: this fixed command is valid
	}
	return s
}

func newSidecar(i int) Sidecar {
	return Sidecar{
		Process: route.Process{Name: string(rune('a' + i)), Start: 1}, Tenant: tenantID, Rollout: rolloutID,
	}
}

// oneServerReady reports one ready server for every subset.
func oneServerReady(route.Subset) int { return 1 }

// joinKeys appends the keys of the sidecars to the key of the common state. It sorts them, so that states which differ
// only in the order of their sidecars get the same key.
func joinKeys(common []byte, sidecars [fleetSize][]byte) []byte {
	slices.SortFunc(sidecars[:], bytes.Compare)
	for _, key := range sidecars {
		common = append(statekey.AppendInts(common, int64(len(key))), key...)
	}
	return common
}
