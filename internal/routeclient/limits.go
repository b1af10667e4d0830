package routeclient

import "time"

const (
	sampleRingSize   = 8
	minRetainedRevs  = 16      // revisions whose counts are kept in any case
	maxRevs          = 256     // revisions whose counts are kept; then no newer table is taken
	maxCounts        = 2000    // of one report, about 200 kB
	maxBudgets       = 256     // of one sample, and of the grants that the loop has not taken
	maxDocumentBytes = 1 << 20 // of a document, and of a line of a watch
	maxResponseBytes = maxDocumentBytes + 64<<10
	maxReasonBytes   = 200       // of a response that is no success, for the log
	maxLeaseTerm     = time.Hour // a longer one is cut to this
	maxRedirects     = 3
	dialTimeout      = time.Second
	idleConnTimeout  = 30 * time.Second
	maxIdleConns     = 4
	reportsPerTerm   = 5
)

// timings are the times of the duties. Tests set shorter ones.
type timings struct {
	watchTimeout          time.Duration // after which a watch is broken; the service sends an empty line each 2 s
	minBackoff            time.Duration // between failed calls, growing
	maxBackoff            time.Duration
	noLeaseReportInterval time.Duration // while no lease is granted
	minReportInterval     time.Duration
	maxReportInterval     time.Duration
	callTimeout           time.Duration // of one report or budget request
	budgetInterval        time.Duration // between budget requests, where no units are needed
	minBudgetInterval     time.Duration
	finalCallTimeout      time.Duration // of the final report and budget request
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
