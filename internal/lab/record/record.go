// Package record stores the events that the parties of a run observe, with times of one clock. The checkers and the
// report use only these events.
//
// Each event is stored once, in the order of its party; [Log.Events] returns all events sorted by time. Memory
// grows by the size of an event for each, and is bounded by the length of the run.
package record

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind uint8

// The kinds of events; each comment lists the fields that are set besides T.
const (
	// Observed by clients; N is the index of the arrival in the plan.
	Sent           Kind = iota + 1 // Request, Sidecar, Class, Attempt (from 1), Sum (body), Work (the client's timeout in ms)
	ResponseReceived                       // Request, Sidecar, Status, Sum (body), Want (sum of the expected body)
	ConnectionLost                 // Request, Sidecar, Note: its connection ended without a complete answer
	Overdue                        // Request, Sidecar: its timeout expired; the client still reads for a grace period
	NoResponse                       // Request, Sidecar: no answer in the grace period either, or the run ended
	ClientDisconnected                     // Request, Sidecar, Note (how): the client left before its timeout
	NotSent                        // Request, Sidecar, Note: it could not be written completely
	ExtraBytes                     // Request, Sidecar: unexpected bytes after a complete answer
	// Observed by servers.
	FirstByte      // Request, Sidecar, Server, Attempt, N (X-Timeout-Ms; 0: none)
	LastByte       // Request, Sidecar, Server, Attempt, Sum (body): the attempt is complete
	Rejected       // Request, Sidecar, Server, Attempt: answered X-Not-Processed
	WorkStarted    // Request, Sidecar, Server, Attempt: its work has started
	ResponseSent        // Request, Sidecar, Server, Attempt, Status: the answer's last byte is written
	SidecarClosed  // Request, Sidecar, Server, Attempt: the sidecar closed before an answer
	UnknownRequest // Request, Sidecar, Server, Note: no client sent this request
	OverloadCrash  // Server, Note: a server in slow start crashed under overload
	ServerState    // Server, Note
	// Observed by discovery.
	Notified // Sidecar, Server, Note: the state written to the sidecar, N (start time of the server, Unix ms)
	// Observed by the lab in an answer of the list service's replica Server; Status is the index of a rollout in the plan.
	RoutesObserved  // Rev: a routing table of this revision exists
	RevisionClosed  // Rev: no attempt starts any more under this revision or an older one
	RolloutFraction // Rev, Status, Work (fraction), Attempt (step): a rollout's state in the table of this revision
	RolloutPhase    // Rev (of its last change), Status, Attempt (step), Note (phase), N (units neither held nor spent), Sum (granted), Want (spent)
	// Observed by the lab in a membership status. Sidecar is the index of the party: first the sidecars, then the replicas
	// of the list service; Sum is the number of its process.
	MembershipStatus // N (start), Want (duration of the answer in ns), Status (known), Attempt (reachable), Work (accepted), Canary (admitted), Class (1: forced), Rev (changes), Server (members listed), Note: invariant.MemberLeft
	MemberStatus     // N (the member's start), Want, Note: its state, name and proof, if changed since the last status of this process
	MemberProcess    // Note: invariant.MemberServes, MemberLeaves, MemberEnded
	// Observed by the lab itself.
	Process // Sidecar, Status (process id), Note
	Fault   // Status (1: starts, 2: ends, 0: instantaneous), Note
	Sample  // Sidecar, N (RSS in bytes), Status (descriptors), Work (CPU seconds so far)
)

var kindTexts = map[Kind]string{
	Sent: "client sends", ResponseReceived: "client is answered", ConnectionLost: "client's connection ends", ClientDisconnected: "client gives up", Overdue: "client's time is over",
	NoResponse: "client has heard nothing", NotSent: "client cannot send",
	ExtraBytes: "client hears more than its answer", FirstByte: "server hears first byte", LastByte: "server has last byte",
	Rejected: "server turns away", WorkStarted: "server runs", ResponseSent: "server has answered", SidecarClosed: "server sees a close",
	UnknownRequest: "server hears what no client sent", OverloadCrash: "server falls over", ServerState: "server", Notified: "list tells",
	RoutesObserved: "routes are told", RevisionClosed: "revision is said to be closed", RolloutFraction: "share is told", RolloutPhase: "rollout is said to be",
	MembershipStatus: "process says of the fleet", MemberStatus: "process says that", MemberProcess: "member",
	Process: "process", Fault: "fault", Sample: "sample",
}

// String returns the text of the kind in an event line.
func (k Kind) String() string { return kindTexts[k] }

// RunEnded is the note of a NoAnswer event whose client was cut short by the end of the run.
const RunEnded = "the run was ended"

// None is the value of Sidecar, Server or Class of an event without one.
const None = -1

// Event is one observation of one party. [Kind] documents which fields are set.
type Event struct {
	T       time.Duration // since the start of the run
	Request uint64        // 0: none
	Sum     uint64        // of a body
	Want    uint64        // expected Sum
	N       int64
	Work    float64
	Sidecar int32
	Server  int32
	Status  int32
	Rev     int64 // routing table revision that an attempt used (0: none), or that a party reported
	Class   int16
	Attempt int16
	Tenant  int16 // of FirstByte and LastByte
	Kind    Kind
	Canary  bool // of FirstByte and LastByte: the sidecar marked the attempt as canary traffic
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

const shardCount = 16

// Log collects events and is safe for concurrent use.
type Log struct {
	started time.Time
	shards  [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	events []Event
	_      [32]byte // padding against false sharing of cache lines
}

// New makes an empty log and starts its clock.
func New() *Log { return &Log{started: time.Now()} }

// Now is the time since the start of the log on the monotonic clock.
func (l *Log) Now() time.Duration { return time.Since(l.started) }

// Add stores an event; T is set to Now if it is zero.
func (l *Log) Add(e Event) {
	if e.T == 0 {
		e.T = l.Now()
	}
	p := &l.shards[(e.Request^e.Request>>8^uint64(uint32(e.Sidecar)))%shardCount]
	p.mu.Lock()
	p.events = append(p.events, e)
	p.mu.Unlock()
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

// Sum is the hash by which bodies are compared (FNV-1a, 64 bits).
func Sum(body []byte) uint64 {
	hash := uint64(14695981039346656037)
	for _, c := range body {
		hash = (hash ^ uint64(c)) * 1099511628211
	}
	return hash
}
