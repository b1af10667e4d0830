// Package record keeps what every party of a run saw of every request, on one clock. The checkers and the
// report read nothing else, so that no party is its own judge.
//
// Promise: an event is kept once and in the order of its party; [Log.Events] returns all of them by time. Memory
// grows with the run (about 64 bytes an event); a run has a length, so the growth has an end.
package record

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Kind says what happened.
type Kind uint8

// The kinds of events; the comment names the fields that count beside T.
const (
	// Of clients; N is the number of the arrival in the plan.
	Sent       Kind = iota + 1 // Request, Sidecar, Class, Attempt (try, from 1), Sum (body), Work (ms that the client says it waits)
	Answered                   // Request, Sidecar, Status, Sum (body), Want (the right body's sum)
	Broke                      // Request, Sidecar, Note: its connection ended without a whole answer
	Overdue                    // Request, Sidecar: its time is over; the client listens on for a while
	Unheard                    // Request, Sidecar: ... and heard nothing, or was cut short by the end of the run
	GaveUp                     // Request, Sidecar, Note (how): the client left early
	Unsent                     // Request, Sidecar, Note: it could not be written whole
	SecondWord                 // Request, Sidecar: bytes after a whole answer that no request asked for
	// Of servers.
	FirstByte   // Request, Sidecar, Server, Attempt, N (X-Timeout-Ms; 0: none)
	LastByte    // Request, Sidecar, Server, Attempt, Sum (body): from here on the attempt counts
	Turned      // Request, Sidecar, Server, Attempt: answered X-Not-Processed
	Ran         // Request, Sidecar, Server, Attempt: its work has begun
	Replied     // Request, Sidecar, Server, Attempt, Status: the answer's last byte is written
	Closed      // Request, Sidecar, Server, Attempt: the sidecar closed before an answer
	Stray       // Request, Sidecar, Server, Note: no client sent this
	FellOver    // Server, Note: a cold server was pushed over
	ServerState // Server, Note
	// Of discovery.
	Told // Sidecar, Server, Note: the state that was written to the sidecar, N: of which start (Unix ms)
	// Of the list service, as the lab heard it from the copy Server; Status is the number of a rollout in the plan.
	TableTold  // Rev: there is a table of this revision
	ClosedTold // Rev: no attempt begins any more under this revision or an older one
	ShareTold  // Rev, Status, Work (share), Attempt (step): what the table of this revision has of a rollout
	PhaseTold  // Rev (of its last change), Status, Attempt (step), Note (phase), N (units that nobody holds or has spent), Sum (granted), Want (spent)
	// Of membership, as the lab heard it. Sidecar is the party: a sidecar, or after those a copy of the list service; Sum is
	// the number of its process.
	MembersSaid   // N (start), Want (ns that the answer took), Status (known), Attempt (heard), Work (believed), Canary (admitted), Class (1: forced), Rev (changes), Server (members listed), Note: invariant.MemberLeft
	MemberSaid    // N (the member's start), Want, Note: its standing, name and proof, where they are not what this process said before
	MemberProcess // Note: invariant.MemberServes, MemberLeaves, MemberEnded
	// Of the lab.
	Process // Sidecar, Status (process id), Note
	Fault   // Status (1: begins, 2: ends, 0: once), Note
	Sample  // Sidecar, N (RSS in bytes), Status (descriptors), Work (CPU seconds so far)
)

var names = map[Kind]string{
	Sent: "client sends", Answered: "client is answered", Broke: "client's connection ends", GaveUp: "client gives up", Overdue: "client's time is over",
	Unheard: "client has heard nothing", Unsent: "client cannot send",
	SecondWord: "client hears more than its answer", FirstByte: "server hears first byte", LastByte: "server has last byte",
	Turned: "server turns away", Ran: "server runs", Replied: "server has answered", Closed: "server sees a close",
	Stray: "server hears what no client sent", FellOver: "server falls over", ServerState: "server", Told: "list tells",
	TableTold: "routes are told", ClosedTold: "revision is said to be closed", ShareTold: "share is told", PhaseTold: "rollout is said to be",
	MembersSaid: "process says of the fleet", MemberSaid: "process says that", MemberProcess: "member",
	Process: "process", Fault: "fault", Sample: "sample",
}

// String names the kind in a path of events.
func (k Kind) String() string { return names[k] }

// RunEnded is the note of an Unheard event whose client was cut short by the end of the run.
const RunEnded = "the run was ended"

// Nobody stands where an event has no sidecar, server or class.
const Nobody = -1

// Event is one thing that one party saw.
type Event struct {
	T       time.Duration // since the start of the run
	Request uint64        // 0: none
	Sum     uint64        // of a body
	Want    uint64        // what Sum ought to be
	N       int64
	Work    float64
	Sidecar int32
	Server  int32
	Status  int32
	Rev     int64 // of routes: that an attempt was made under (0: none), or that was told
	Class   int16
	Attempt int16
	Tenant  int16 // of FirstByte and LastByte
	Kind    Kind
	Canary  bool // of FirstByte and LastByte: the sidecar counts it as an attempt to a canary
	Note    string
}

// String gives one line of a path.
func (e Event) String() string {
	s := fmt.Sprintf("%9.1f ms  %s", float64(e.T)/1e6, e.Kind)
	if e.Sidecar != Nobody {
		s += fmt.Sprintf(" sidecar=%d", e.Sidecar)
	}
	if e.Server != Nobody {
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

const shards = 16

// Log takes events from all parties at once.
type Log struct {
	began time.Time
	parts [shards]part
}

type part struct {
	mu     sync.Mutex
	events []Event
	_      [32]byte // keeps two shards off one cache line
}

// New starts the clock of a run.
func New() *Log { return &Log{began: time.Now()} }

// Now is the time on the run's clock, which is monotonic: a step of the wall clock does not move it.
func (l *Log) Now() time.Duration { return time.Since(l.began) }

// Add keeps an event; one without a time gets the present one.
func (l *Log) Add(e Event) {
	if e.T == 0 {
		e.T = l.Now()
	}
	p := &l.parts[(e.Request^e.Request>>8^uint64(uint32(e.Sidecar)))%shards]
	p.mu.Lock()
	p.events = append(p.events, e)
	p.mu.Unlock()
}

// Count is how many events are kept.
func (l *Log) Count() int {
	n := 0
	for i := range l.parts {
		l.parts[i].mu.Lock()
		n += len(l.parts[i].events)
		l.parts[i].mu.Unlock()
	}
	return n
}

// Events returns all events by time.
func (l *Log) Events() []Event {
	all := make([]Event, 0, l.Count())
	for i := range l.parts {
		l.parts[i].mu.Lock()
		all = append(all, l.parts[i].events...)
		l.parts[i].mu.Unlock()
	}
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.T - b.T) })
	return all
}

// Sum is the hash under which bodies are compared (FNV-1a, 64 bits).
func Sum(body []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range body {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}
