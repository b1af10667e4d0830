package routeclient

import "time"

const (
	sampleRingSize   = 8                         // samples
	minRetainedRevs  = 16                        // newest revisions whose counts are always kept
	maxRevs          = 256                       // with counts of this many revisions, newer tables are rejected
	maxCounts        = 2000                      // counts of one report, about 200 kB
	maxBudgets       = 256                       // budgets of one sample, and of the pending grants
	maxDocumentBytes = 1 << 20                   // maximum size of a document, and of a line of a watch
	maxResponseBytes = maxDocumentBytes + 64<<10 // a response may contain a document
	maxReasonBytes   = 200                       // logged part of the body of an error response
	maxLeaseTerm     = time.Hour                 // a longer term of a lease is reduced to this
	maxRedirects     = 3
	dialTimeout      = time.Second
	idleConnTimeout  = 30 * time.Second
	maxIdleConns     = 4
	reportsPerTerm   = 5 // reports during the term of a lease
)

// timings holds the timeouts and intervals of the tasks. Tests set shorter ones.
type timings struct {
	watchTimeout          time.Duration // a watch without a line for this time is ended; the service sends an empty line every 2 s
	minBackoff            time.Duration // first delay after a failed call
	maxBackoff            time.Duration // maximum delay after a failed watch
	noLeaseReportInterval time.Duration // while the leader grants no lease
	minReportInterval     time.Duration
	maxReportInterval     time.Duration
	callTimeout           time.Duration // timeout of one report or budget request
	budgetInterval        time.Duration // time between budget requests while no units are needed
	minBudgetInterval     time.Duration // minimum time between budget requests
	finalCallTimeout      time.Duration // timeout of the final report and budget request
}

var defaultTimings = timings{
	watchTimeout:          5 * time.Second,
	minBackoff:            100 * time.Millisecond,
	maxBackoff:            5 * time.Second,
	noLeaseReportInterval: time.Second,
	minReportInterval:     100 * time.Millisecond,
	maxReportInterval:     10 * time.Second,
	callTimeout:           time.Second,
	budgetInterval:        time.Second,
	minBudgetInterval:     50 * time.Millisecond,
	finalCallTimeout:      200 * time.Millisecond,
}
