package route

import "encoding/json"

// Paths on the list service. Every copy serves the table; a call that only the leader answers is redirected to it.
const (
	TablePath   = "/routes"         // GET ?schema=S[&watch=1&after=REV]: the table, or a line for each newer one
	ReportPath  = "/routes/reports" // POST Report, answered by the leader with ReportResponse
	BudgetsPath = "/routes/units"   // POST BudgetRequest, answered by the leader with BudgetResponse
)

// Process names one process of a sidecar: the sidecar's name, and the number of this start (Unix ns), which no other
// process of that name has.
type Process struct {
	Name  string `json:"name"`
	Start int64  `json:"start"`
}

// LeaderTime is a time on one leader's clock; another leader cannot read it.
type LeaderTime struct {
	Leader string `json:"leader"` // its name and the number of its start
	MS     int64  `json:"ms"`     // monotonic
}

// Report is what a process says of itself. All its counts are totals since the process started, so that a report may
// arrive twice, late, or not at all. It is made after Echo was received and before it is sent.
type Report struct {
	Process
	Seq             int64      `json:"seq"`              // from 1
	Echo            LeaderTime `json:"echo"`             // stamp of the newest response
	Version         string     `json:"version"`          // of the program
	Config          string     `json:"config"`           // digest of the configuration, in hexadecimal
	Schemas         []int      `json:"schemas"`          // that the process reads
	ListRev         int64      `json:"list_rev"`         // revision of the server list that it acts on
	AcknowledgedRev int64      `json:"have"`             // revision of the routes that it acts on; it never falls
	UnreadableRev   int64      `json:"unread"`           // a newer one that it cannot read; 0: none
	NoLease         bool       `json:"held,omitempty"`   // it has no canary lease at this moment
	Counts          []Count    `json:"counts,omitempty"` // by growing revision
	CountsTruncated bool       `json:"cut,omitempty"`    // too many counts: those of the oldest revisions are left out
	LostSamples     int64      `json:"lost,omitempty"`   // samples of its event loop that were dropped
}

// Count is how many attempts a process has made under one revision for one tenant and side. Attempts without a lease
// are counted under revision 0.
type Count struct {
	Rev     int64  `json:"rev"`
	Tenant  string `json:"tenant"`
	Canary  bool   `json:"canary"`
	Started int64  `json:"begun"`  // counted before the first byte is written
	Ended   int64  `json:"ended"`  // with an outcome that says something of the server
	Failed  int64  `json:"failed"` // of Ended
	// Late is how many of Ended were good, but after the latency objective. Where the route counts late answers as
	// failures, it includes attempts whose client left after the objective.
	Late int64 `json:"late"`
}

// ReportResponse is the leader's answer to a Report.
type ReportResponse struct {
	Stamp     LeaderTime `json:"stamp"`
	NewestRev int64      `json:"rev"`     // of the table
	LeaseMS   int64      `json:"term_ms"` // canary lease, counted from when the report was made; 0: none
	// Resync tells a process that is behind for too long to break its watch. Table is then the whole document, in a
	// schema that the process reads.
	Resync bool            `json:"anew,omitempty"`
	Table  json.RawMessage `json:"table,omitempty"`
	Reason string          `json:"why,omitempty"` // why there is no lease
	// NewestStart is the newest start of this name that has reported, where it is later than the report's; then there is
	// no lease. A process that started after that one, on a wall clock that was stepped back, goes on under a later number.
	NewestStart int64 `json:"start,omitempty"`
}

// BudgetRequest settles what a process has spent and returned of canary budgets, and requests further units.
type BudgetRequest struct {
	Process
	Budgets []BudgetState `json:"purses"`
}

// BudgetState is a process's part of one canary's budget, in totals since the process started.
type BudgetState struct {
	Tenant   string `json:"tenant"`
	Rollout  string `json:"rollout"`
	Granted  int64  `json:"granted"` // by the newest response
	Spent    int64  `json:"spent"`
	Returned int64  `json:"returned"`
	Wanted   int64  `json:"want"` // units that it would like to hold, idle ones included
}

// BudgetResponse is the leader's answer to a BudgetRequest, given once the grants are on a majority of copies.
type BudgetResponse struct {
	Budgets []BudgetGrant `json:"purses"`
}

// BudgetGrant is what a process was granted in all of one canary's budget.
type BudgetGrant struct {
	Tenant  string `json:"tenant"`
	Rollout string `json:"rollout"`
	Granted int64  `json:"granted"`
	MaxIdle int64  `json:"keep"` // idle units beyond this are wanted back
}
