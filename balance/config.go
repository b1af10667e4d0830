package balance

// Idempotency states whether a request may run more than once.
type Idempotency uint8

// The idempotency of a class of requests.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // servers within the key's scope drop repeats within a time window
	NonIdempotent                        // must never run twice
)

// KeyScope states which servers recognise a repeated request by its idempotency key.
type KeyScope uint8

// The scopes of idempotency keys.
const (
	KeyScopeAll  KeyScope = iota // all servers
	KeyScopeZone                 // the servers of one zone
	KeyScopeCell                 // the servers of one cell
)

// Class describes a class of requests. Times are in ms.
type Class struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyWindow        float64 // time for which servers remember a key, from the first attempt that may have run
	LatencyObjective float64 // a response within this time earns the full priority weight
	ObjectiveStretch float64 // multiple of the request's own work by which the objective grows
	Deadline         float64 // longest time that a client waits, over all its retries
	PriorityWeight   float64 // value of a response within the objective
	LateWeight       float64 // fraction of PriorityWeight that a response after the objective still earns
	Stream           bool    // responses are streamed
}

// Tenant is one customer of the service.
type Tenant struct {
	Allowance float64 // requests per second within the quota, over all sidecars
	Quota     float64 // fraction of the service that the tenant is entitled to
}

// ReportSource states how load reports reach a sidecar.
type ReportSource uint8

// The sources of load reports.
const (
	ReportNone        ReportSource = iota // there are no load reports
	ReportPiggyback                       // reports come with responses
	ReportHealthCheck                     // reports come with health checks
)

// Field is one figure of a load report.
type Field uint8

// The figures that a load report can hold. FieldUnknown is ignored.
const (
	FieldUnknown   Field = iota
	FieldInFlight        // requests being handled
	FieldQueue           // requests waiting
	FieldUtil            // fraction of CPU in use
	FieldLatency         // recent service time in ms
	FieldRate            // requests served per second
	FieldErrorRate       // errors per second
)

// Config holds the settings with which one sidecar starts. Times are in ms.
type Config struct {
	Seed          uint64
	Number, Peers int     // number of this sidecar, and number of all sidecars
	Zone          int     // zone of this sidecar
	Regions       []int   // region of each zone; empty: there is one region
	RegionCost    float64 // price of a response from another region, as a multiple of that from another zone
	Classes       []Class
	Tenants       []Tenant
	// Fraction of its priority weight that a request beyond its tenant's quota has.
	OverQuotaWeight float64
	Quantum         float64 // shortest time between two batches of events

	Subscribe bool         // subscribe to the server list with Watch instead of polling it
	Reports   ReportSource // how load reports arrive
	Fields    []Field      // figures of a load report, in order

	MaxAttempts    int     // attempts of one request
	Hedging        bool    // two attempts of a request may be in flight at the same time
	Cancel         bool    // attempts may be cancelled
	HealthChecks   bool    // servers may be health-checked
	Messages       bool    // sidecars may exchange messages
	RetryAfter     bool    // rejected clients are told how long to wait
	MaxRetryAfter  float64 // longest wait that clients accept
	ConnectTimeout float64 // limit for opening a connection

	DrainGrace        float64 // time within which attempts to a draining or removed server must end
	SlowStartCapacity float64 // least fraction of its capacity that a server has when it starts
	SlowStartTime     float64 // time after its start until a server has its full capacity
	// A server that warms up fails if it gets more than this multiple of its capacity for OverloadTime.
	OverloadMultiple float64
	OverloadTime     float64
	PollInterval     float64 // interval between requests for the list without a subscription
	MaxPollBackoff   float64 // longest wait after a failed list call; 0: PollInterval alone limits it

	// ListServices is the number of list services, in order of preference. With 0 or 1, every list of the only
	// service is accepted.
	ListServices int
	// A full list that omits a larger fraction of the servers in use is suspect; 0: no list is.
	SuspectFraction float64
	// Age of the list from which outcomes of attempts take precedence over it; 0: they never do.
	StaleAfter  float64
	AnswerSlack float64 // a response this long after the client's deadline still counts

	Goal   Goal
	Prices Prices
}

// Goal holds the weights of the terms of the result. In overload, load is shed where this reduces the result least.
type Goal struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are the costs that are subtracted from the result, each per unit of its own kind.
type Prices struct{ CrossZone, Waste, Handshake, HealthCheck, Peer, LateFail float64 }
