package balance

// This file is the interface of the package: events in, actions out. The settings are in config.go. Times are in ms.

// ServerID identifies a server.
type ServerID uint64

// RequestID identifies a request; a client's retry has an ID of its own.
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
	StartedAt        float64 // 0: long ago
	Rating           float64 // relative size; 1 where nothing is known
	Cell, Zone, Kind int
	AddressKey       uint64 // identifies the address; 0: addresses are not known, NoAddress: it cannot be read
}

// NoAddress is the AddressKey of a server whose address cannot be read.
const NoAddress = ^uint64(0)

// Event is an input of the balancer: one of the types below.
type Event interface{ event() }

// ListKind says how a server list is to be read.
type ListKind uint8

// The kinds of list events.
const (
	ListFull      ListKind = iota // all servers
	ListCached                    // all servers as last seen, before a restart
	ListDelta                     // changed entries only
	ListFailed                    // a call failed, or the subscription ended; nothing else changed
	ListUnchanged                 // nothing has changed
)

// ServerList is a list event. Servers is not kept.
type ServerList struct {
	Kind       ListKind
	Servers    []Server
	Rev        int64   // revision of the list; 0 where there are none
	Source     int     // the list service, by preference
	FromFetch  bool    // it answers a Fetch, not the Watch
	Busy       bool    // with ListFailed: the service is there, but rejected the call or let it wait in vain
	RetryAfter float64 // with ListFailed: when the service wants the next call; 0: it does not say
}

// Shutdown says that this process ends before its requests' time is over: each needs its final answer now.
type Shutdown struct{}

// ClockStepped says that the wall clock was stepped, on which lists give the starts of servers. Before the first step
// it agrees with the time of events.
type ClockStepped struct {
	Offset float64 // by which the wall clock is ahead of the time of events from now on; negative: behind it
}

// FleetSize says how many processes of the fleet share what it allows together (docs/membership.md). Until the first
// one comes, they are as many as Config.Peers.
type FleetSize struct {
	Known, Reachable int  // not known to be gone, and in contact now; this process is among both
	Admitted         bool // all known processes know this one
}

// ListServices says how many list services there are from now on.
type ListServices struct{ Count int }

// Request is a client's request. Each gets one final answer.
type Request struct {
	ID             RequestID
	Class, Tenant  int
	WorkHint       float64 // expected work; 0: unknown
	IdempotencyKey uint64
	Remaining      float64 // time until the client gives it up
	ClientRetry    bool    // the client marks it as a retry
	Write          bool
	BodyStreaming  bool   // its body is still coming and is forwarded meanwhile; no time counts until BodyComplete
	RouteKey       uint64 // equal for all retries of one client; chooses the subset of a route. 0: IdempotencyKey does
}

// BodyComplete says that the last byte of a streamed request body was forwarded. The request's time begins now.
type BodyComplete struct {
	Request   RequestID
	Remaining float64
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results. NeverRan reports which of them prove that nothing ran.
const (
	OK Result = iota
	Failed
	Rejected
	TimedOut
	ConnectFailed // refused, or not established in time: no process is there
	Reset
	Cancelled
	NotSent
	WriteFailed  // the connection broke before the whole request was written
	LocalFailure // this machine could not start the attempt, for want of a socket, port, route, memory or permission
	Unreachable  // the network reports that there is no way to the server, whose process may well run
)

// NeverRan reports whether the result proves that the attempt was not executed.
func (r Result) NeverRan() bool {
	switch r {
	case Rejected, ConnectFailed, NotSent, WriteFailed, LocalFailure, Unreachable:
		return true
	}
	return false
}

// serverUnreachable reports whether the result says that the server cannot be reached at present.
func (r Result) serverUnreachable() bool { return r == ConnectFailed || r == Unreachable }

// Outcome is the end of an attempt; each attempt gets one.
type Outcome struct {
	Request      RequestID
	Attempt      int
	Server       ServerID
	Result       Result
	Elapsed      float64
	Finished     bool      // the request needs no answer any more
	Report       []float32 // load report, empty if none; not kept
	BodyConsumed bool      // the request's body is used up: it cannot be sent again
	RouteRevoked bool      // the route was revoked before the first byte was sent: it counts as no attempt
}

// ResponseStarted says that a streamed answer has started; the client owns the attempt now. The attempt's Outcome follows
// when the answer has ended.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Elapsed float64
}

// Connecting says that an attempt waits for a new connection, or that this is established. Meanwhile the attempt is no
// work for the server. It never comes where connections are opened out of sight.
type Connecting struct {
	Request     RequestID
	Attempt     int
	Established bool
}

// ConnectionReady says that a connection to a server was established that no attempt waits for any more.
type ConnectionReady struct{ Server ServerID }

// ProcessCount says how many processes, each with a balancer, this sidecar consists of now. During an upgrade there are
// two: the one that ends and its successor.
type ProcessCount struct{ Processes int }

// Routes replace the routes of before. A canary that stays keeps its budget. A tenant has one route at most, and a
// canary belongs to one route. Routes have a revision above 0. List is not kept.
type Routes struct {
	Rev  int64
	List []Route
}

// Route is what the requests of a tenant prefer. Within the base and within the canary, servers are picked as without
// a route; servers outside both get what those cannot take. While there is a canary the base leaves its servers out.
type Route struct {
	Tenant         int    // as in Request; -1: all requests, where the settings name no tenants
	Classes        []int  // those that may go to the canary; empty: all
	Base           Subset // preferred by all requests that do not go to the canary
	Canary         Subset
	CanaryFraction float64 // of the requests that prefer the canary, 0 to 1
	ID             uint64  // identifies the canary; 0: there is none
	Budgeted       bool    // an attempt to the canary needs a unit of its budget
	LateIsFailure  bool    // an answer after the latency objective is a failure of the canary
}

// Subset selects servers: those that match each list that is not empty. The zero Subset is all servers.
type Subset struct {
	Kinds, Cells, Zones []int
	IDs                 []ServerID
}

// CanaryLease says until when canaries may be acted on. After it this sidecar acts on the bases alone.
type CanaryLease struct{ Until float64 }

// BudgetGrant says how many units this process was granted for a canary since its start, in all.
type BudgetGrant struct {
	ID      uint64
	Units   int64
	MaxIdle int64 // units that may stay free; those beyond are returned
}

// ClientDisconnected says that the client is gone: no answer is needed.
type ClientDisconnected struct{ Request RequestID }

// Timer says that a timer set by SetTimer is due.
type Timer struct{ Token uint64 }

// HealthCheckResult is the result of a health check.
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

// ActionKind says what to do.
type ActionKind uint8

// The kinds of actions. The comments name the fields of Action that count.
const (
	Send         ActionKind = iota // Request, Server, At: when it is given up (0: the client's deadline); routes
	Reject                         // Request, At: how long to wait; a final answer: a retry does no harm
	Fail                           // Request; a final answer that promises nothing
	Cancel                         // Request, Attempt
	SetTimer                       // Token, At: time from now
	HealthCheck                    // Server
	CloseIdle                      // Server: close its idle connections
	SendMessage                    // Peer (-1: all), Data
	Log                            // Text
	Watch                          // Source, After: watch the server list, in place of the watch before
	Fetch                          // Source: request the full list once
	RemoveServer                   // Server: it is gone, though no list said so
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

	// With Send: what the attempt acts on under the lease. Without a lease these are zero.
	RoutesRev int64  // revision of the routes; 0: none
	CanaryID  uint64 // the canary that the route has; 0: none
	ToCanary  bool   // it goes to the canary, and counts for it
}
