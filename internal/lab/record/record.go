// Package record stores the events that the parties of a run observe (clients, servers, discovery and the lab itself),
// with times of one clock. The invariant checks and the report use only these events.
//
// Each event is stored once, in the order in which its party added it. [Log.Events] returns all events sorted by time.
// Memory grows with the number of events, so only the length of the run bounds it.
package record

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind uint8

// The kinds of events. Each comment lists the fields that are set besides T, then what the event means.
const (
	// Observed by clients. N is the index of the arrival in the plan.
	Sent               Kind = iota + 1 // Request, Sidecar, Class, Attempt (from 1), Sum (body), Work (the client's timeout in ms)
	ResponseReceived                   // Request, Sidecar, Status, Sum (body), Want (sum of the expected body)
	ConnectionLost                     // Request, Sidecar, Note: the connection ended without a complete response
	Overdue                            // Request, Sidecar: the timeout expired, and the client still reads for a grace period
	NoResponse                         // Request, Sidecar, Note: no response in the grace period either, or the run ended
	ClientDisconnected                 // Request, Sidecar, Note (how): the client closed its connection before its timeout
	NotSent                            // Request, Sidecar, Note: the request could not be written completely
	ExtraBytes                         // Request, Sidecar: unexpected bytes after a complete response
	// Observed by servers.
	FirstByte      // Request, Sidecar, Server, Attempt, N (X-Timeout-Ms, 0 without the header)
	LastByte       // Request, Sidecar, Server, Attempt, Sum (body): the request has been read completely
	Rejected       // Request, Sidecar, Server, Attempt: responded with X-Not-Processed
	WorkStarted    // Request, Sidecar, Server, Attempt: the work for the attempt has started
	ResponseSent   // Request, Sidecar, Server, Attempt, Status: the last byte of the response is written
	SidecarClosed  // Request, Sidecar, Server, Attempt: the sidecar closed the connection before a response
	UnknownRequest // Request, Sidecar, Server, Note: no client sent this request
	OverloadCrash  // Server, Request, Sidecar, Note: a server in slow start crashed under overload
	ServerState    // Server, Note
	// Observed by discovery.
	Notified // Sidecar, Server, Note: the state written to the sidecar, N (start time of the server, Unix ms)
	// Observed by the lab in a response of the list service's replica Server. Status is the index of a rollout in the
	// plan.
	RoutesObserved  // Rev: the replica serves a route table of this revision
	RevisionClosed  // Rev: no new attempt starts under this revision or an older one
	RolloutFraction // Rev, Status, Work (fraction), Attempt (step): the state of a rollout in the route table of this revision
	// Rev (of the rollout's last change), Status, Attempt (step), Note (phase), N (units neither held nor spent),
	// Sum (granted), Want (spent)
	RolloutPhase
	// Observed by the lab in a membership status. Sidecar is the index of the party, counting the sidecars first and
	// then the replicas of the list service. Sum is the number of the party's process.
	//
	// N (start), Want (time until the response in ns), Status (known), Attempt (reachable), Work (accepted),
	// Canary (admitted), Class (1: forced), Rev (changes), Server (members listed), Note (invariant.MemberLeft)
	MembershipStatus
	// N (the member's start), Want, Note (the member's state, name and proof). Stored if they changed since the last
	// status of this process.
	MemberStatus
	MemberProcess // Note (invariant.MemberServes, MemberLeaves or MemberEnded)
	// Observed by the lab itself.
	Process // Sidecar, Status (process id), Note
	Fault   // Status (1: starts, 2: ends, 0: instantaneous), Note
	Sample  // Sidecar, N (RSS in bytes), Status (descriptors), Work (CPU seconds so far)
)

// kindTexts has the text of each kind in a line of [Event.String].
var kindTexts = map[Kind]string{
	Sent: "client sent the request", ResponseReceived: "client received a response", ConnectionLost: "client lost its connection",
	ClientDisconnected: "client disconnected", Overdue: "client timed out",
	NoResponse: "client received no response", NotSent: "client failed to send the request",
	ExtraBytes: "client received bytes after its response", FirstByte: "server received the first byte", LastByte: "server received the last byte",
	Rejected: "server rejected the attempt", WorkStarted: "server started the work", ResponseSent: "server sent its response",
	SidecarClosed:  "sidecar closed the connection",
	UnknownRequest: "server received an unknown request", OverloadCrash: "server crashed under overload", ServerState: "server",
	Notified:       "sidecar notified of server state",
	RoutesObserved: "route table observed", RevisionClosed: "route table revision closed", RolloutFraction: "rollout fraction observed",
	RolloutPhase:     "rollout phase observed",
	MembershipStatus: "membership status observed", MemberStatus: "member status observed", MemberProcess: "member",
	Process: "process", Fault: "fault", Sample: "sample",
}

// String returns the text of the kind in a line of [Event.String].
func (k Kind) String() string { return kindTexts[k] }

// RunEnded is the note of a NoResponse event whose client was interrupted by the end of the run.
const RunEnded = "the run was ended"

// None is the value of Sidecar, Server or Class in an event that has no sidecar, server or class.
const None = -1

// Event is one observation of one party. The constants of type [Kind] document which fields are set.
type Event struct {
	T       time.Duration // time since the start of the run
	Request uint64        // ID of the client's attempt, 0 without one
	Sum     uint64        // hash of a body by [Sum], or as Kind documents
	Want    uint64        // expected Sum, or as Kind documents
	N       int64         // as Kind documents
	Work    float64       // as Kind documents
	Sidecar int32         // index in the plan, None without one, or as Kind documents
	Server  int32         // index in the plan, None without one, or as Kind documents
	Status  int32         // HTTP status of a response, or as Kind documents
	Rev     int64         // route table revision that an attempt used (0 without one), or that a party reported
	Class   int16         // index in the scenario, None without one, or as Kind documents
	Attempt int16         // the client's attempt in Sent, the server's connection in events of servers, or as Kind documents
	Tenant  int16         // index of the tenant, set in FirstByte and LastByte
	Kind    Kind
	Canary  bool // the sidecar marked the attempt as canary traffic, set in FirstByte and LastByte
	Note    string
}

// String formats the event as one line.
func (e Event) String() string {
	s := fmt.Sprintf("%9.1f ms  %s", float64(e.T)/1e6, e.Kind)
	if e.Sidecar != None {
		s += fmt.Sprintf(" sidecar=%d", e.Sidecar)
	}
	if e.Server != None {
		s += fmt.Sprintf(" server=%d", e.Server)
	}
	switch {
	case e.Attempt > 0 && e.Kind == Sent:
		s += fmt.Sprintf(" try=%d", e.Attempt)
	case e.Attempt > 0:
		s += fmt.Sprintf(" connection=%d", e.Attempt)
	}
	if e.Kind == Sent && e.Work != 0 {
		s += fmt.Sprintf(" waits=%gms", e.Work)
	}
	if e.Kind == FirstByte && e.N != 0 {
		s += fmt.Sprintf(" told=%dms", e.N)
	}
	if e.Status != 0 {
		s += fmt.Sprintf(" status=%d", e.Status)
	}
	if e.Sum != 0 {
		s += fmt.Sprintf(" body=%016x", e.Sum)
	}
	if e.Rev != 0 {
		s += fmt.Sprintf(" routes=%d", e.Rev)
	}
	if e.Canary {
		s += " canary"
	}
	if e.Note != "" {
		s += " " + e.Note
	}
	return s
}

// shardCount is the number of parts of a log with a lock each, so that parties rarely wait for each other.
const shardCount = 16

// Log collects events. It is safe for concurrent use.
type Log struct {
	started time.Time
	shards  [shardCount]shard
}

// shard is the part of a log that holds the events of some requests.
type shard struct {
	mu     sync.Mutex
	events []Event
	_      [32]byte // padding against false sharing of cache lines
}

// New makes an empty log and starts its clock.
func New() *Log { return &Log{started: time.Now()} }

// Now returns the time since the start of the log, by the monotonic clock.
func (l *Log) Now() time.Duration { return time.Since(l.started) }

// Add stores an event; T is set to Now if it is zero.
func (l *Log) Add(e Event) {
	if e.T == 0 {
		e.T = l.Now()
	}
	s := &l.shards[(e.Request^e.Request>>8^uint64(uint32(e.Sidecar)))%shardCount]
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
}

// Count returns the number of events.
func (l *Log) Count() int {
	n := 0
	for i := range l.shards {
		l.shards[i].mu.Lock()
		n += len(l.shards[i].events)
		l.shards[i].mu.Unlock()
	}
	return n
}

// Events returns all events sorted by time.
func (l *Log) Events() []Event {
	all := make([]Event, 0, l.Count())
	for i := range l.shards {
		l.shards[i].mu.Lock()
		all = append(all, l.shards[i].events...)
		l.shards[i].mu.Unlock()
	}
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.T - b.T) })
	return all
}

// Sum returns the hash by which bodies are compared (FNV-1a, 64 bits).
func Sum(body []byte) uint64 {
	hash := uint64(14695981039346656037)
	for _, c := range body {
		hash = (hash ^ uint64(c)) * 1099511628211
	}
	return hash
}
