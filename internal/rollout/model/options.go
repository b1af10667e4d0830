package model

import (
	"fmt"

	"marblelane/internal/rollout"
)

// Options configure a simulation. All times are in milliseconds.
type Options struct {
	Seed              uint64
	Sidecars          int
	Duration          int64
	RequestRate       float64 // requests per second and sidecar
	MeanAttemptTime   int64   // mean of the exponentially distributed durations of attempts
	CanaryFailureRate float64 // fraction of attempts that fail on the canary
	BaseFailureRate   float64 // fraction of attempts that fail on the base
	Budget            int64   // number of failed canary attempts that the rollout may cause
	Steps             []rollout.Step
	ReportInterval    int64 // between the load reports of one sidecar
	// BudgetInterval is the time between the budget requests of one sidecar. A sidecar without a free unit sends the
	// next request earlier, but at least BatchTime after the last one.
	BudgetInterval   int64
	WantedUnits      int64   // number of units that a sidecar asks for
	BatchTime        int64   // during which the leader collects budget requests into one command
	CommitTime       int64   // from proposing a command until a majority has stored it
	MeanLatency      int64   // mean one-way latency of a message
	LossRate         float64 // fraction of messages that are lost
	DuplicateRate    float64 // fraction of messages that are delivered a second time, later
	KillTimes        []int64 // at each of them a random sidecar is killed and restarted
	LeaderLossTimes  []int64 // at each of them the leader fails, and its uncommitted commands are lost
	ElectionTime     int64   // from the failure of a leader until the next one is elected
	BaselineInterval int64   // between two evaluations of the failure counters in the baseline
	Controller       rollout.Options
}

// Defaults returns the settings described in docs/routes.md, with a canary that fails 10 % of its attempts.
func Defaults() Options {
	return Options{
		Seed:              1,
		Sidecars:          100,
		Duration:          60_000,
		RequestRate:       10,
		MeanAttemptTime:   30,
		CanaryFailureRate: 0.1,
		BaseFailureRate:   0.001,
		Budget:            50,
		Steps:             []rollout.Step{{CanaryFraction: 0.25, HoldMS: 1 << 30}},
		ReportInterval:    1000,
		BudgetInterval:    1000,
		WantedUnits:       2,
		BatchTime:         20,
		CommitTime:        5,
		MeanLatency:       2,
		ElectionTime:      1500,
		BaselineInterval:  1000,
		Controller:        rollout.Defaults(),
	}
}

// maxSidecars is the largest number of processes that a controller tracks.
const maxSidecars = rollout.MaxProcesses

// validate returns an error if the simulation cannot run with these options.
func (o *Options) validate() error {
	switch {
	case o.Sidecars < 1 || o.Sidecars > maxSidecars:
		return fmt.Errorf("model: the number of sidecars is %d, but must be between 1 and %d", o.Sidecars, maxSidecars)
	case o.Duration < 1 || o.RequestRate <= 0:
		return fmt.Errorf("model: the duration %d ms and the request rate %v must be positive", o.Duration, o.RequestRate)
	case o.ReportInterval < 1 || o.BudgetInterval < 1 || o.BaselineInterval < 1:
		return fmt.Errorf("model: the report, budget and baseline intervals (%d, %d and %d ms) must be positive",
			o.ReportInterval, o.BudgetInterval, o.BaselineInterval)
	}
	return nil
}

// Result is the outcome of a simulation. Times are in milliseconds since its start, and notReached for an event that
// did not happen.
//
// The lab prints a Result as JSON, so the tags keep the names under which the fields are known there.
type Result struct {
	Phase            rollout.Phase
	Reason           string  `json:"Why"` // reason of the last change of phase
	Attempts         int64   // attempts to the canary
	Failures, Budget int64   // failed attempts to the canary, and their limit
	LastUnitSpent    int64   `json:"LastUnit"` // time of the failure that used up the budget
	LastAttempt      int64   // time of the last attempt to the canary
	RolledBack       int64   // time at which the rollback was committed
	CanaryStopped    int64   `json:"AllActing"` // time from which no sidecar may use the canary
	LedgerCommands   int64   `json:"Ledger"`
	LedgerBytes      int64   // total size of the ledger commands as JSON
	LedgerEntries    int64   `json:"Entries"` // total number of entries in the ledger commands
	Commands         int64   // committed commands of all kinds
	LedgerPerSecond  float64 // ledger commands per second
	CanaryFraction   float64 `json:"Share"` // fraction of the requests made with a lease that went to the canary
	BudgetRequests   int64   `json:"Asks"`  // budget requests that reached a leader
	Reports          int64   // load reports that reached a leader

	// The baseline processes the same requests with the same outcomes. Its sidecars use the canary until they are
	// notified, and its leader sums their failure counters.
	BaselineFailures, BaselineOver int64 // all failures, and the failures in excess of the budget
	BaselineLastUnit               int64
	BaselineLastAttempt            int64

	Overclaimed bool // the units granted by the ledger exceeded the budget at some time, which is a defect
}

// notReached is the time of an event that did not happen.
const notReached = -1
