package route

import "encoding/json"

// HTTP paths of the list service. Every replica serves the table, and redirects the other calls to the leader.
const (
	TablePath   = "/routes"         // GET ?schema=S[&watch=1&after=REV]: the table, or a line for each table after REV
	ReportPath  = "/routes/reports" // POST Report; the leader responds with ReportResponse
	BudgetsPath = "/routes/units"   // POST BudgetRequest; the leader responds with BudgetResponse
)

// Process identifies one process of a sidecar. Start (Unix ns) is unique among the processes of the same name.
type Process struct {
	Name  string `json:"name"`
	Start int64  `json:"start"`
}

// LeaderTime is a time on the clock of one leader. It has no meaning for another leader.
type LeaderTime struct {
	Leader string `json:"leader"` // name and start number of the leader
	MS     int64  `json:"ms"`     // monotonic time in milliseconds
}

// Report is the state of a process. All counts are totals since the process started, so a report may arrive twice,
// late, or not at all. The state is that of a time after Echo was received and before the report is sent.
type Report struct {
	Process
	Seq             int64      `json:"seq"`              // from 1
	Echo            LeaderTime `json:"echo"`             // stamp of the newest response received
	Version         string     `json:"version"`          // version of the program
	Config          string     `json:"config"`           // digest of the configuration, in hexadecimal
	Schemas         []int      `json:"schemas"`          // schemas that the process reads
	ListRev         int64      `json:"list_rev"`         // revision of the server list in use
	AcknowledgedRev int64      `json:"have"`             // revision of the routes in use; never decreases
	UnreadableRev   int64      `json:"unread"`           // a newer revision that the process cannot read; 0: none
	NoLease         bool       `json:"held,omitempty"`   // the process has no canary lease at this time
	Counts          []Count    `json:"counts,omitempty"` // in ascending order of revisions
	CountsTruncated bool       `json:"cut,omitempty"`    // counts of the oldest revisions were omitted, as there were too many
	LostSamples     int64      `json:"lost,omitempty"`   // samples of the event loop that were dropped
}

// Count holds the numbers of attempts that a process has made under one revision for one tenant, to either the canary
// or the base. Attempts without a lease are counted under revision 0.
type Count struct {
	Rev     int64  `json:"rev"`
	Tenant  string `json:"tenant"`
	Canary  bool   `json:"canary"`
	Started int64  `json:"begun"`  // counted before the first byte is written
	Ended   int64  `json:"ended"`  // ended with an outcome that counts for or against the server
	Failed  int64  `json:"failed"` // attempts of Ended that failed
	// Late is the number of attempts of Ended that succeeded after the latency objective. If the route counts late
	// responses as failures, it includes attempts whose client disconnected after the objective.
	Late int64 `json:"late"`
}

// ReportResponse is the leader's response to a Report.
type ReportResponse struct {
	Stamp     LeaderTime `json:"stamp"`
	NewestRev int64      `json:"rev"`     // revision of the newest table
	LeaseMS   int64      `json:"term_ms"` // term of the canary lease, which starts when the report is made; 0: no lease
	// Resync instructs a process that has been behind for too long to start a new watch. Table is then the whole
	// document, in a schema that the process reads.
	Resync bool            `json:"anew,omitempty"`
	Table  json.RawMessage `json:"table,omitempty"`
	Reason string          `json:"why,omitempty"` // reason for granting no lease
	// NewestStart is the newest start among the reports of this name, if it is later than that of this report. No lease
	// is granted then. If the process is really the newer one, as the wall clock was stepped back between the two
	// starts, it raises its start number above NewestStart.
	NewestStart int64 `json:"start,omitempty"`
}

// BudgetRequest reports the units of canary budgets that a process has spent and returned, and requests further units.
type BudgetRequest struct {
	Process
	Budgets []BudgetState `json:"purses"`
}

// BudgetState is a process's share of one canary's budget, in total units since the process started.
type BudgetState struct {
	Tenant   string `json:"tenant"`
	Rollout  string `json:"rollout"`
	Granted  int64  `json:"granted"` // as of the newest response
	Spent    int64  `json:"spent"`
	Returned int64  `json:"returned"`
	Wanted   int64  `json:"want"` // units that the process would like to hold, including idle ones
}

// BudgetResponse is the leader's response to a BudgetRequest, sent once a majority of replicas has stored the grants.
type BudgetResponse struct {
	Budgets []BudgetGrant `json:"purses"`
}

// BudgetGrant is the total of units of one canary's budget that a process was granted.
type BudgetGrant struct {
	Tenant  string `json:"tenant"`
	Rollout string `json:"rollout"`
	Granted int64  `json:"granted"`
	MaxIdle int64  `json:"keep"` // the process returns idle units above this number
}
