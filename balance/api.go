package balance

// This file is the interface of the package: events go in, actions come out. The settings are in config.go. All times
// are in milliseconds.

// ServerID identifies a server.
type ServerID uint64

// RequestID identifies a request. A retry that the client sends has its own ID.
type RequestID uint64

// ServerState is the state of a server in the server list.
type ServerState uint8

// The states of a server.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// Server is one entry of the server list.
type Server struct {
	ID               ServerID
	State            ServerState
	StartedAt        float64 // start of the process on the wall clock; 0: long ago
	Rating           float64 // capacity relative to other servers; 1 if unknown
	Cell, Zone, Kind int
	AddressKey       uint64 // identifies the address; 0: the list has no addresses, NoAddress: the address is invalid
}

// NoAddress is the AddressKey of a server whose address cannot be parsed.
const NoAddress = ^uint64(0)

// Event is an input of the balancer: one of the types below.
type Event interface{ event() }

// ListKind is the kind of a server list event.
type ListKind uint8

// The kinds of list events.
const (
	ListFull      ListKind = iota // all servers
	ListCached                    // all servers as they were known before a restart of this process
	ListDelta                     // changed entries only
	ListFailed                    // a call failed or the subscription ended; the list has not changed
	ListUnchanged                 // a list service reported that nothing has changed
)

// ServerList is a list event. The balancer does not retain Servers.
type ServerList struct {
	Kind       ListKind
	Servers    []Server
	Rev        int64   // revision of the list; 0: the list has no revisions
	Source     int     // index of the list service, in order of preference
	FromFetch  bool    // the response to a Fetch action, not to Watch
	Busy       bool    // with ListFailed: the service is reachable, but rejected the call or let it time out
	RetryAfter float64 // with ListFailed: delay that the service asks for before the next call; 0: none
}

// Shutdown reports that this process ends before the deadlines of its requests. Each request gets its final response
// at once.
type Shutdown struct{}

// ClockStepped reports that the wall clock was stepped. Lists give the start times of servers on the wall clock. Before
// the first step the wall clock agrees with the clock of the events.
type ClockStepped struct {
	Offset float64 // wall clock minus the clock of the events from now on
}

// FleetSize reports how many processes of the fleet share the limits of the fleet (docs/membership.md). Until the first
// such event the balancer assumes Config.Peers processes.
type FleetSize struct {
	Known     int  // processes that are not known to have ended, including this one
	Reachable int  // processes that are in contact now, including this one
	Admitted  bool // all known processes know this one
}

// ListServices sets the number of list services.
type ListServices struct{ Count int }

// Request is a client's request. Each request gets exactly one final response.
type Request struct {
	ID             RequestID
	Class, Tenant  int
	WorkHint       float64 // expected work; 0: unknown
	IdempotencyKey uint64
	Remaining      float64 // time until the client's deadline
	ClientRetry    bool    // the client marked the request as a retry
	Write          bool
	BodyStreaming  bool   // the body is forwarded while it arrives; the deadline is set by BodyComplete
	RouteKey       uint64 // equal for all retries of one client, selects the subset of a route; 0: IdempotencyKey does
}

// BodyComplete reports that the client's time for a request with a streamed body runs. The body is complete, or it
// may be: its end waits to be read, and the time is over if it does.
type BodyComplete struct {
	Request   RequestID
	Remaining float64 // time until the client's deadline
	Elapsed   float64 // time since the last byte of the body can have been written
}

// Result is the result of an attempt or a health check.
type Result uint8

// The results. NeverRan reports which of them prove that the request was not executed.
const (
	OK Result = iota
	Failed
	Rejected
	TimedOut
	ConnectFailed // the connection was refused or not established in time: no process listens there
	Reset
	Cancelled
	NotSent
	WriteFailed  // the connection broke before the whole request was written
	LocalFailure // this machine could not start the attempt: it lacks a socket, port, route, memory or permission
	Unreachable  // the network reports that the server cannot be reached; its process may still run
)

// NeverRan reports whether the result proves that the attempt was not executed.
func (r Result) NeverRan() bool {
	switch r {
	case Rejected, ConnectFailed, NotSent, WriteFailed, LocalFailure, Unreachable:
		return true
	}
	return false
}

// serverUnreachable reports whether the result means that the server cannot be reached at present.
func (r Result) serverUnreachable() bool { return r == ConnectFailed || r == Unreachable }

// Outcome is the end of an attempt. Each attempt gets exactly one.
type Outcome struct {
	Request      RequestID
	Attempt      int
	Server       ServerID
	Result       Result
	Elapsed      float64
	Finished     bool      // the request needs no further response
	Report       []float32 // load report, empty if there is none; not retained
	BodyConsumed bool      // the request body was consumed, so the request cannot be sent again
	RouteRevoked bool      // the route was revoked before the first byte was sent; does not count as an attempt
}

// ResponseStarted reports that a streamed response has started. From now on the client controls the attempt. Its
// Outcome follows at the end of the response.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Elapsed float64
}

// Connecting reports that an attempt waits for a new connection, or that the connection was established. A waiting
// attempt adds no load to the server. The event never occurs where the balancer's user cannot observe connections.
type Connecting struct {
	Request     RequestID
	Attempt     int
	Established bool
}

// ConnectionReady reports a connection to a server that was established after the attempt waiting for it had ended.
type ConnectionReady struct{ Server ServerID }

// ProcessCount sets the number of processes of this sidecar, each with its own balancer. During an upgrade there are
// two: the predecessor and its successor.
type ProcessCount struct{ Processes int }

// Routes replaces all routes. A canary that is also in the new routes keeps its budget. A tenant has at most one route,
// and a canary belongs to one route. A non-empty List needs a revision above 0. The balancer does not retain List.
type Routes struct {
	Rev  int64
	List []Route
}

// Route sets which servers the requests of a tenant prefer. Within the base and within the canary, servers are picked
// as without a route. Other servers get the requests that neither can take. While there is a canary, the base excludes
// the servers of the canary.
type Route struct {
	Tenant         int    // as in Request; -1: all requests, where the settings name no tenants
	Classes        []int  // classes whose requests may go to the canary; empty: all
	Base           Subset // preferred by all requests that do not prefer the canary
	Canary         Subset
	CanaryFraction float64 // fraction of the requests that prefer the canary, 0 to 1
	ID             uint64  // identifies the canary; 0: the route has no canary
	Budgeted       bool    // an attempt to the canary needs a unit of its budget
	LateIsFailure  bool    // a response after the latency objective is a failure of the canary
}

// Subset selects the servers that match each non-empty list. The zero Subset selects all servers.
type Subset struct {
	Kinds, Cells, Zones []int
	IDs                 []ServerID
}

// CanaryLease allows this sidecar to use canaries until a time. After that it uses only the bases of the routes.
type CanaryLease struct{ Until float64 }

// BudgetGrant reports the total number of units that this process was granted for a canary since its start.
type BudgetGrant struct {
	ID      uint64
	Units   int64
	MaxIdle int64 // units that may stay free; further free units are returned
}

// ClientDisconnected reports that the client closed its connection: the request needs no response.
type ClientDisconnected struct{ Request RequestID }

// Timer reports that a timer set by SetTimer has fired.
type Timer struct{ Token uint64 }

// HealthCheckResult is the result of a health check.
type HealthCheckResult struct {
	Server  ServerID
	Result  Result
	Elapsed float64
	Report  []float32 // not retained
}

// Message is a message from another sidecar. The balancer does not retain Data.
type Message struct {
	From int
	Data []byte
}

func (ServerList) event()         {}
func (Request) event()            {}
func (Outcome) event()            {}
func (ResponseStarted) event()    {}
func (ClientDisconnected) event() {}
func (Timer) event()              {}
func (HealthCheckResult) event()  {}
func (Message) event()            {}
func (ProcessCount) event()       {}
func (FleetSize) event()          {}
func (ListServices) event()       {}
func (Connecting) event()         {}
func (ConnectionReady) event()    {}
func (Shutdown) event()           {}
func (ClockStepped) event()       {}
func (BodyComplete) event()       {}
func (Routes) event()             {}
func (CanaryLease) event()        {}
func (BudgetGrant) event()        {}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions. Each comment names the fields of Action that the kind uses.
const (
	Send         ActionKind = iota // Request, Server, At (time of cancellation; 0: the client's deadline), route fields
	Reject                         // Request, At (delay before a retry): final response, a retry is harmless
	Fail                           // Request: final response, the request may have been executed
	Cancel                         // Request, Attempt
	SetTimer                       // Token, At (delay from now)
	HealthCheck                    // Server
	CloseIdle                      // Server: close idle connections to it
	SendMessage                    // Peer (-1: all), Data
	Log                            // Text
	Watch                          // Source, After: watch the server list, replacing the previous watch
	Fetch                          // Source: request the full list once
	RemoveServer                   // Server: the balancer removed it, though no list did
)

// Action is an action for the caller. Actions are carried out in the order in which they are returned.
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
	Source  int   // index of the list service, in order of preference
	After   int64 // revision of the current list; 0: none

	// With Send: the route of the attempt. The fields are zero without a lease.
	RoutesRev int64  // revision of the routes; 0: none
	CanaryID  uint64 // canary of the route; 0: none
	ToCanary  bool   // the attempt goes to the canary and counts for it
}
