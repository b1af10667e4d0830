package balance

// This file is the interface of the module: settings and events in, actions out.
// It takes no decisions; those are in balance.go, list.go, zones.go and routes.go. Times are milliseconds.

// ServerID names a server; it carries no meaning beyond identity.
type ServerID uint64

// RequestID names a request; a client's later try has another.
type RequestID uint64

// Effect says whether a request may run more than once.
type Idempotency uint8

// The three effects a class of requests can have.
const (
	Idempotent        Idempotency = iota // may be repeated at will
	IdempotentWithKey                    // servers of one group drop repeats within a window
	NonIdempotent                        // must never run twice
)

// Group says which servers recognise a repeat of a keyed request.
type KeyScope uint8

// The reach of a key.
const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Class describes one class of requests.
type Class struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyWindow        float64 // how long a group remembers a key, from the first send that may have run
	LatencyObjective float64 // an answer within this earns full worth
	ObjectiveStretch float64 // the aim grows by this multiple of the request's own work
	Deadline         float64 // the client's longest wait over all its tries
	PriorityWeight   float64
	LateWeight       float64 // fraction of Worth that an answer after the aim still earns
	Stream           bool
}

// Tenant is one customer of the service.
type Tenant struct {
	Allowance float64 // requests a second within its share, over all sidecars
	Quota     float64 // its fraction of the service
}

// ReportVia says how load reports reach a sidecar.
type ReportSource uint8

// The ways of load reports.
const (
	ReportNone ReportSource = iota
	ReportPiggyback
	ReportHealthCheck
)

// Field is one figure of a load report.
type Field uint8

// The figures a load report can hold; FieldUnknown is skipped.
const (
	FieldUnknown   Field = iota
	FieldInFlight        // requests being handled
	FieldQueue           // requests waiting
	FieldUtil            // fraction of CPU in use
	FieldLatency         // recent service time
	FieldRate            // requests served a second
	FieldErrorRate       // errors a second
)

// Config holds the settings that one sidecar starts with.
type Config struct {
	Seed            uint64
	Number, Peers   int // this sidecar's number, and how many there are
	Zone            int
	Regions         []int   // the region of each zone; empty: there is one
	RegionCost      float64 // of an answer from another region, as a multiple of one from another zone
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // worth of a request beyond its tenant's share, as a fraction
	Quantum         float64 // least time between two batches of events

	Subscribe bool         // the server list must be asked for
	Reports   ReportSource // how load reports come
	Fields    []Field      // what they hold, in order

	MaxAttempts    int
	Hedging        bool    // two attempts of a request may be in flight together
	Cancel         bool    // attempts may be cancelled
	HealthChecks   bool    // servers may be probed
	Messages       bool    // sidecars may message each other
	RetryAfter     bool    // clients are told how long to hold off
	MaxRetryAfter  float64 // the longest hold-off a client obeys
	ConnectTimeout float64

	DrainGrace        float64 // sends to a draining or gone server must stop within this
	SlowStartCapacity float64 // a server starts at this fraction of its capacity or more
	SlowStartTime     float64 // and is warm after this
	OverloadMultiple  float64 // a cold server sent more than this multiple of its capacity ...
	OverloadTime      float64 // ... for this long falls over
	PollInterval      float64 // without a subscription the list must be asked for this often
	MaxPollBackoff    float64 // ms at most between a failed list call and the next; 0: AskWithin alone bounds it

	// Lists is how many list services can be asked, in order of preference; 0 and 1: one, which is taken at its word.
	ListServices    int
	SuspectFraction float64 // a complete list that leaves out more of the servers in use is suspect; 0: none
	StaleAfter      float64 // from this age of the list on outcomes count more than it; 0: never
	AnswerSlack     float64 // an answer this long after the client's deadline still counts

	Goal   Goal
	Prices Prices
}

// Goal weighs the parts of the result; what is refused in overload goes by it.
type Goal struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are taken off the result, each per unit of its own.
type Prices struct{ CrossZone, Waste, Handshake, HealthCheck, Peer, LateFail float64 }

// State is what discovery knows of a server.
type ServerState uint8

// A server's states.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Server is one entry of the server list.
type Server struct {
	ID               ServerID
	State            ServerState
	StartedAt        float64 // 0: long ago
	Rating           float64 // relative size; 1 where nothing is known
	Cell, Zone, Kind int
	// Place tells one address from another; 0: they are not told apart, Nowhere: it cannot be called.
	AddressKey uint64
}

// Nowhere is the place of a server whose address cannot be read.
const NoAddress = ^uint64(0)

// Event is anything that a sidecar is told: one of the types below.
type Event interface{ event() }

// ListKind says how a server list is to be read.
type ListKind uint8

// The kinds of news from discovery.
const (
	ListFull   ListKind = iota // everything there is
	ListCached                 // everything there was when last seen
	ListDelta                  // changed entries only
	ListFailed                 // a call failed, or the subscription ended; nothing else changed
	ListAlive                  // nothing has changed
)

// ServerList is news from discovery. Servers is not kept.
type ServerList struct {
	Kind      ListKind
	Servers   []Server
	Rev       int64 // of the list; 0 where there are none
	Source    int   // the service, by preference
	FromFetch bool  // it answers a Fetch, not the watch
	// Of a call that failed: the service is there, and turned it away or let it wait in vain; and in how many ms it
	// wants the next one, 0 where it does not say.
	Busy       bool
	RetryAfter float64
}

// End says that this process is about to go, before its requests' time is over: each needs its answer now.
type Shutdown struct{}

// ClockStepped says that the wall clock was stepped, on which lists tell the starts of servers. Before the first of
// them it shows the time that events are handled at.
type ClockStepped struct {
	Offset float64 // ms by which the wall clock is ahead of the time of events from now on; negative: behind it
}

// FleetSize says how many processes of the fleet share what it allows together (docs/membership.md). Until the first of
// them comes, as many as Config.Peers names do.
type FleetSize struct {
	Known, Reachable int  // not proved gone, and of these heard of now; this one is among both
	Admitted         bool // all that are known know of this one
}

// Sources says how many list services there are from now on.
type ListServices struct{ Count int }

// Request is a client's request; it is owed one final answer.
type Request struct {
	ID             RequestID
	Class, Tenant  int
	WorkHint       float64 // expected work, 0 if unknown
	IdempotencyKey uint64
	Remaining      float64 // time until the client gives this try up
	ClientRetry    bool    // the client says that it tried before
	Write          bool
	// Open: the body is still coming and is passed on as it comes. Until Complete tells that it is whole, no time
	// of the client's passes, and no server's.
	BodyStreaming bool
	// Route tells which of a route's subsets it prefers: the same on each try of one client. 0: not told, Key counts.
	RouteKey uint64
}

// Complete says that an open request's last byte was passed on. Its time counts from now.
type BodyComplete struct {
	Request   RequestID
	Remaining float64
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results; NeverRan tells which of them prove that nothing ran.
const (
	OK Result = iota
	Failed
	Rejected
	TimedOut
	ConnectFailed // refused, or never came up: no process is there
	Reset
	Cancelled
	NotSent
	WriteFailed // the connection broke before the whole request was written; the process may well run
	// LocalFailure says that this machine could not begin the attempt: it lacks a socket, a port, a route or memory, or
	// a filter of its own forbids it. It tells nothing of the server and uses up no attempt.
	LocalFailure
	Unreachable // the network reports that there is no way to the server; the process may well run
)

// NeverRan reports whether the result proves that the attempt was not executed.
func (r Result) NeverRan() bool {
	switch r {
	case Rejected, ConnectFailed, NotSent, WriteFailed, LocalFailure, Unreachable:
		return true
	}
	return false
}

// away reports whether the result says that its server cannot be had at present.
func (r Result) away() bool { return r == ConnectFailed || r == Unreachable }

// Outcome is the end of an attempt; each attempt gets one.
type Outcome struct {
	Request      RequestID
	Attempt      int
	Server       ServerID
	Result       Result
	Elapsed      float64
	Finished     bool      // the request needs no answer (any more)
	Report       []float32 // load report, empty if none; not kept
	BodyConsumed bool      // the request's body is used up: it cannot be sent again
	RouteRevoked bool      // the route was revoked before the first byte was due: it counts as no attempt
}

// Started says that a streamed answer has begun; the client owns the attempt now. The attempt's Outcome follows
// when the answer has ended.
type AnswerStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Elapsed float64
}

// Connecting says that an attempt waits for a new connection, or that this has come up. Meanwhile it is no work of
// the server's. Where connections open unseen it never comes.
type Connecting struct {
	Request     RequestID
	Attempt     int
	Established bool
}

// ConnectionReady says that a connection to a server came up that no attempt waits for any more.
type ConnectionReady struct{ Server ServerID }

// Sharing says that this sidecar now consists of so many processes with a balancer each: during an upgrade, the
// one that goes and the one that comes.
type ProcessCount struct{ Processes int }

// Routes are what tenants' requests prefer from now on, in place of those before; a canary that stays keeps its purse.
// Without any, nothing of a pick changes. A tenant has one route at most, a canary belongs to one, and what has a route
// has a revision above 0. List is not kept.
type Routes struct {
	Rev  int64
	List []Route
}

// Route is what the requests of a tenant prefer. In its base and its canary the ordinary way of picking holds; servers
// outside are for what those cannot take. While there is a canary the base leaves its servers out.
type Route struct {
	Tenant         int    // as Request has it; -1: all requests, where the settings name no tenants
	Classes        []int  // those that may go to the canary; empty: all
	Base           Subset // preferred by all that do not go to the canary
	Canary         Subset
	CanaryFraction float64 // of the requests that prefer the canary, 0 to 1
	ID             uint64  // names the canary over its whole life; 0: there is none
	Budgeted       bool    // an attempt to the canary needs a unit of its purse
	LateIsFailure  bool    // an answer after the aim is a failure of the canary
}

// Subset selects servers: those that match each list that is not empty. The zero Subset is all.
type Subset struct {
	Kinds, Cells, Zones []int
	IDs                 []ServerID
}

// CanaryLease says until when canaries may be acted on: after it this sidecar acts on the bases alone.
type CanaryLease struct{ Until float64 }

// BudgetGrant says how many units this process has been given for a canary since its start, in all, and how many it may
// keep that no attempt needs: what is beyond is given back.
type BudgetGrant struct {
	ID      uint64
	Units   int64
	MaxIdle int64
}

// ClientGone says that the client is gone; no answer is owed.
type ClientGone struct{ Request RequestID }

// Timer is a timer set by SetTimer that came due.
type Timer struct{ Token uint64 }

// ProbeResult is what a probe found.
type HealthCheckResult struct {
	Server  ServerID
	Result  Result
	Elapsed float64
	Report  []float32 // not kept
}

// Message is a message from another sidecar. Data is not kept.
type Message struct {
	From int
	Data []byte
}

func (ServerList) event()        {}
func (Request) event()           {}
func (Outcome) event()           {}
func (AnswerStarted) event()     {}
func (ClientGone) event()        {}
func (Timer) event()             {}
func (HealthCheckResult) event() {}
func (Message) event()           {}
func (ProcessCount) event()      {}
func (FleetSize) event()         {}
func (ListServices) event()      {}
func (Connecting) event()        {}
func (ConnectionReady) event()   {}
func (Shutdown) event()          {}
func (ClockStepped) event()      {}
func (BodyComplete) event()      {}
func (Routes) event()            {}
func (CanaryLease) event()       {}
func (BudgetGrant) event()       {}

// ActionKind says what to do.
type ActionKind uint8

// The actions; the comment names the fields of Action that count.
const (
	Send        ActionKind = iota // Request, Server, At: the attempt is dropped then (0: the client's deadline); Routes
	Reject                        // Request, At: how long to hold off; a final answer: a retry does no harm
	Fail                          // Request; a final answer that promises nothing
	Cancel                        // Request, Attempt
	SetTimer                      // Token, At: time from now
	HealthCheck                   // Server
	CloseIdle                     // Server
	SendMessage                   // Peer (-1: all), Data
	Log                           // Text
	Watch                         // Source, After: follow the server list, in place of the watch before
	Fetch                         // Source: ask for the whole list once
	Forget                        // Server: it is gone, though no list has told so
)

// Action is one thing to do, in the order given.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int
	Server  ServerID
	At      float64
	Token   uint64
	Peer    int
	Data    []byte
	Text    string
	Source  int   // list service, by preference
	After   int64 // revision of the list held; 0: none

	// Of a Send, what it acts on under permission. The base of a route that is acted on without permission has 0.
	RoutesRev int64  // revision of the routes; 0: none
	CanaryID  uint64 // the canary that the route has; 0: none
	ToCanary  bool   // it goes to the canary, and counts for it
}
