package model

import (
	"bytes"
	"slices"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
	"marblelane/internal/testutil/explore"
)

// The worlds here are small enough to go through all interleavings of what may happen in them (package explore): three
// sidecars, one leader at a time, and what may fail between them. States that differ only in which sidecar is which count
// once.

const (
	fleet  = 3
	tenant = "t"
	name   = "r"
)

// Defect is what may be planted in a world.
type Defect int

// The defects.
const (
	None         Defect = iota
	ToldEarly           // a grant is told before it is in the ledger
	CountedLate         // failures are counted, and nothing is set aside
	GoneReturned        // what a process held that is gone goes back
	NoWait              // a new leader does not wait for the terms of the one before
	TermOfAnswer        // the term is counted from the answer
	GrantsClosed        // a leader grants under what it is about to close
	NoBarrier           // a new leader begins before it has what is replicated
)

// Faults are how many of each may come in one exploration.
type Faults struct{ Crashes, Leaders, Twice, Jump int }

// stage is how far one exchange has come.
type stage int

const (
	idle stage = iota
	sent
	arrived // and decided, not yet replicated
	answered
)

const (
	budget = 3
	want   = 1
)

// firstRev is the revision that a rollout is posted with.
const firstRev = 1<<28 + 1

func controllerOptions() rollout.Options {
	return rollout.Options{Leader: "l", Term: 1, BehindAfter: 1, ShutAfter: 100, GoneAfter: 5, Remember: 1000,
		BehindShare: 1, Alpha: 0, Rho: 3}
}

// posted is a state with a rollout that was just posted.
func posted() *rollout.State {
	s := rollout.NewState()
	s.Begin(1)
	spec := &rollout.Spec{Tenant: tenant, Name: name, To: "new", Canary: route.Subset{Model: []string{"new"}}, Budget: budget,
		Steps: []rollout.Step{{Share: 0.1, HoldMS: rollout.MaxHoldMS}, {Share: 0.5, HoldMS: rollout.MaxHoldMS}},
		AtEnd: rollout.Return}
	if _, err := s.Apply(&rollout.Command{Op: rollout.OpPost, Spec: spec}); err != nil {
		panic(err) // it is the same each time
	}
	return s
}

func sidecar(i int) Sidecar {
	return Sidecar{Process: route.Process{Name: string(rune('a' + i)), Start: 1}, Tenant: tenant, Rollout: name}
}

func readyOnes(route.Subset) int { return 1 }

// joined is a key of what is common and of each sidecar, in no order of these.
func joined(b []byte, each [fleet][]byte) []byte {
	slices.SortFunc(each[:], bytes.Compare)
	for _, e := range each {
		b = append(explore.Ints(b, int64(len(e))), e...)
	}
	return b
}
