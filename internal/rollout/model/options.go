package model

import (
	"fmt"

	"marblelane/internal/rollout"
)

// Options describe a simulation. Times are in milliseconds.
type Options struct {
	Seed              uint64
	Sidecars          int
	Duration          int64
	RequestRate       float64 // a second and sidecar
	AttemptTime       int64   // mean
	CanaryFailureRate float64 // part of the attempts to the canary that fail
	BaseFailureRate   float64 // likewise, to the base
	Budget            int64
	Steps             []rollout.Step
	ReportInterval    int64
	BudgetInterval    int64 // between budget requests; a sidecar that lacks units sends one earlier, after GatherTime
	WantedUnits       int64 // that a sidecar would like to hold
	GatherTime        int64 // in which budget requests become one command
	CommitTime        int64 // until a command is on a majority
	Latency           int64 // mean, of a message one way
	LossRate          float64
	DuplicateRate     float64 // of messages that arrive a second time, later
	KillTimes         []int64 // at each a sidecar is killed and restarted
	LeaderLossTimes   []int64 // at each the leader is lost, with the commands that are not committed
	ElectionTime      int64   // until there is a new leader
	BaselineInterval  int64   // between two sums of the baseline's counters
	Controller        rollout.Options
}

// Defaults are the settings of docs/routes.md, with a canary of whose attempts a tenth fail.
func Defaults() Options {
	return Options{
		Seed:              1,
		Sidecars:          100,
		Duration:          60_000,
		RequestRate:       10,
		AttemptTime:       30,
		CanaryFailureRate: 0.1,
		BaseFailureRate:   0.001,
		Budget:            50,
		Steps:             []rollout.Step{{CanaryFraction: 0.25, HoldMS: 1 << 30}},
		ReportInterval:    1000,
		BudgetInterval:    1000,
		WantedUnits:       2,
		GatherTime:        20,
		CommitTime:        5,
		Latency:           2,
		ElectionTime:      1500,
		BaselineInterval:  1000,
		Controller:        rollout.Defaults(),
	}
}

// maxSidecars is what a controller remembers.
const maxSidecars = rollout.MaxProcesses

func (o *Options) check() error {
	switch {
	case o.Sidecars < 1 || o.Sidecars > maxSidecars:
		return fmt.Errorf("model: sidecars is %d, must be between 1 and %d", o.Sidecars, maxSidecars)
	case o.Duration < 1 || o.RequestRate <= 0:
		return fmt.Errorf("model: duration is %d and request rate is %v, both must be above 0", o.Duration, o.RequestRate)
	case o.ReportInterval < 1 || o.BudgetInterval < 1 || o.BaselineInterval < 1:
		return fmt.Errorf("model: intervals of reports, budget requests and baseline are %d, %d and %d, must be above 0",
			o.ReportInterval, o.BudgetInterval, o.BaselineInterval)
	}
	return nil
}

// Result is what came of a simulation. Times are milliseconds from its beginning, notYet where it did not come to that.
//
// The lab prints it as JSON with the names of its fields or their tags, which therefore stay as they are.
type Result struct {
	Phase            rollout.Phase
	Why              string // reason of the last change of phase
	Attempts         int64  // to the canary
	Failures, Budget int64
	LastUnit         int64 // time of the failure that spent the budget's last unit
	LastAttempt      int64 // time of the last attempt to the canary
	RolledBack       int64 // time of the commit of the rollback
	AllActing        int64 // from then on no sidecar may use the canary
	Ledger           int64 // ledger commands
	LedgerBytes      int64 // of the JSON of ledger commands
	Entries          int64 // of ledger commands
	Commands         int64 // of all kinds
	LedgerPerSecond  float64
	CanaryFraction   float64 `json:"Share"` // of the requests made with a lease that went to the canary
	BudgetRequests   int64   `json:"Asks"`  // that a leader received
	Reports          int64   // that a leader received

	// The baseline sees the same requests and outcomes. Its sidecars use the canary until they are notified, and its
	// leader sums their counters.
	BaselineFailures, BaselineOver int64 // failures, and those beyond the budget
	BaselineLastUnit               int64
	BaselineLastAttempt            int64

	Overclaimed bool // the ledger granted more than the budget at some time, which is a defect
}

const notYet = -1
