package balance

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The idempotency of a class of requests.
const (
	Idempotent        Idempotency = iota // it may be repeated at will
	IdempotentWithKey                    // servers within the key's scope drop repeats within a window
	NonIdempotent                        // it must never run twice
)

// KeyScope says which servers recognise a repeat of a request by its idempotency key.
type KeyScope uint8

// The servers that share their idempotency keys.
const (
	KeyScopeAll  KeyScope = iota
	KeyScopeZone          // those of one zone
	KeyScopeCell          // those of one cell
)

// Class describes one class of requests. Times are in ms.
type Class struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyWindow        float64 // how long servers remember a key, from the first attempt that may have run
	LatencyObjective float64 // an answer within this earns its full priority weight
	ObjectiveStretch float64 // the objective grows by this multiple of the request's own work
	Deadline         float64 // longest time that a client waits, over all its retries
	PriorityWeight   float64 // what an answer earns
	LateWeight       float64 // fraction of PriorityWeight that an answer after the objective still earns
	Stream           bool    // its answers are streamed
}

// Tenant is one customer of the service.
type Tenant struct {
	Allowance float64 // requests a second within its quota, over all sidecars
	Quota     float64 // its fraction of the service
}

// ReportSource says how load reports reach a sidecar.
type ReportSource uint8

// The sources of load reports.
const (
	ReportNone        ReportSource = iota
	ReportPiggyback                // with answers
	ReportHealthCheck              // with health checks
)

// Field is one figure of a load report.
type Field uint8

// The figures that a load report can hold; FieldUnknown is skipped.
const (
	FieldUnknown   Field = iota
	FieldInFlight        // requests being handled
	FieldQueue           // requests waiting
	FieldUtil            // fraction of CPU in use
	FieldLatency         // recent service time in ms
	FieldRate            // requests served a second
	FieldErrorRate       // errors a second
)

// Config holds the settings that one sidecar starts with. Times are in ms.
type Config struct {
	Seed            uint64
	Number, Peers   int // this sidecar's number, and how many there are
	Zone            int
	Regions         []int   // the region of each zone; empty: there is one
	RegionCost      float64 // price of an answer from another region, as a multiple of that from another zone
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // fraction of its priority weight that a request beyond its tenant's quota has
	Quantum         float64 // shortest time between two batches of events

	Subscribe bool         // the balancer requests the server list with Watch
	Reports   ReportSource // how load reports come
	Fields    []Field      // what they hold, in order

	MaxAttempts    int
	Hedging        bool    // two attempts of a request may be in flight together
	Cancel         bool    // attempts may be cancelled
	HealthChecks   bool    // servers may be health-checked
	Messages       bool    // sidecars may send each other messages
	RetryAfter     bool    // a client that is rejected learns how long to wait
	MaxRetryAfter  float64 // longest such wait that a client keeps to
	ConnectTimeout float64

	DrainGrace        float64 // attempts to a draining or gone server must stop within this
	SlowStartCapacity float64 // fraction of its capacity that a server starts with at least
	SlowStartTime     float64 // after which a server has its full capacity
	OverloadMultiple  float64 // a server that warms up and gets more than this multiple of its capacity ...
	OverloadTime      float64 // ... for this time fails
	PollInterval      float64 // without a subscription the list is requested this often
	MaxPollBackoff    float64 // between a failed list call and the next; 0: PollInterval alone bounds it

	// ListServices is how many list services there are, in order of preference. With 0 or 1, every list of the one
	// service is accepted.
	ListServices    int
	SuspectFraction float64 // a full list that leaves out more of the servers in use is suspect; 0: none is
	StaleAfter      float64 // age of the list from which outcomes count more than it; 0: never
	AnswerSlack     float64 // an answer this long after the client's deadline still counts

	Goal   Goal
	Prices Prices
}

// Goal weighs the parts of the result. In overload, load is shed where it costs least of it.
type Goal struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are taken off the result, each per unit of its own.
type Prices struct{ CrossZone, Waste, Handshake, HealthCheck, Peer, LateFail float64 }
