package model

import (
	"bytes"
	"slices"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
	"marblelane/internal/statekey"
)

// BudgetWorld and LeaseWorld are small enough for all interleavings of what may happen in them (package explore): three
// sidecars, one leader at a time, and faults between them. States that differ only in which sidecar is which count once.

const (
	fleetSize   = 3
	tenantID    = "t"
	rolloutID   = "r"
	budget      = 3
	wantedUnits = 1
)

// Defect is what may be planted in a world.
type Defect int

// The defects.
const (
	None                Defect = iota
	GrantBeforeCommit          // a grant is answered before it is in the ledger
	NoReservation              // failures are summed, and nothing is reserved before an attempt
	GoneUnitsReturned          // what a process held that is gone goes back to the budget
	NoLeaseWait                // a new leader does not wait until earlier leases have expired
	LeaseFromResponse          // a sidecar counts the lease from the answer, not from its report
	LeaseWhileClosing          // a leader grants a lease on a revision that it is closing
	NoBarrierOnElection        // a new leader begins before it has all that is replicated
)

// Faults are how many faults of each kind one exploration may have.
type Faults struct{ Crashes, LeaderChanges, Duplicates, ClockJumps int }

// stage is how far an exchange between a sidecar and the leader has come.
type stage int

const (
	idle stage = iota
	sent
	received // by the leader, which has decided; not yet replicated
	answered
)

// String names the stage.
func (s stage) String() string { return [...]string{"idle", "sent", "received", "answered"}[s] }

// postedRev is the revision of the rollout's post.
const postedRev = 1<<28 + 1

func controllerOptions() rollout.Options {
	return rollout.Options{
		Leader: "l", LeaseTerm: 1, StragglerAfter: 1, ShutOutAfter: 100, GoneAfter: 5, ForgetAfter: 1000,
		MaxStragglerFraction: 1, Alpha: 0, Rho: 3,
	}
}

// newPostedState is a state with a rollout that was just posted.
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
		panic(err) // the same command each time
	}
	return s
}

func newSidecar(i int) Sidecar {
	return Sidecar{
		Process: route.Process{Name: string(rune('a' + i)), Start: 1}, Tenant: tenantID, Rollout: rolloutID,
	}
}

func oneServerReady(route.Subset) int { return 1 }

// joinKeys joins the key of what is common with those of the sidecars, whose order does not matter.
func joinKeys(common []byte, sidecars [fleetSize][]byte) []byte {
	slices.SortFunc(sidecars[:], bytes.Compare)
	for _, key := range sidecars {
		common = append(statekey.AppendInts(common, int64(len(key))), key...)
	}
	return common
}
