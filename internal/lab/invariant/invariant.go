// Package invariant checks a run against the rules that no scenario may break, from the records of all processes.
//
// The invariants stand in table.go. Each has a name, and a scenario with a planted defect that breaks it
// (lab/scenarios/defects). A breach names one request and its path through every process. Time limits include 50 ms for
// sockets.
package invariant

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"marblelane/internal/lab/record"
)

// The rules.
const (
	OneAnswer          = "one-answer"    // each request that a running sidecar accepted gets one final answer
	NonIdempotentOnce  = "unsafe-once"   // a non-idempotent request never runs twice, and is not retried where it may have run
	OneAtATime         = "one-at-a-time" // never two attempts of a request at once
	AttemptLimit       = "most-attempts" // at most MaxAttempts attempts of a request
	NoUnknownRequest   = "no-stray"      // nothing reaches a server that no client sent in this form
	Drain              = "drain"         // nothing new to a server after its drain or end was notified and the grace has passed
	SlowStartLimit     = "cold"          // no server in slow start is overloaded, or gets more calls than allowed
	Body               = "body"          // a served body is the one a server made for this request
	ResourceLimits     = "limits"        // no process exceeds its memory or descriptors, or ends without a request to
	ClientGone         = "client-gone"   // no attempt begins for a client that has left
	ReadyInTime        = "ready-in-time" // nine in ten restarted processes are ready in time
	ForwardedDeadline  = "time-told"     // an attempt forwards no longer deadline than its client still waits
	socketSlack        = 50 * time.Millisecond
	maxPrintedBreaches = 3 // breaches of a rule whose paths are kept
	// connectionEndSlack is how much sooner a client may see its connection end than the process is known to have ended: the
	// kernel closes the descriptors of a process before its parent is notified.
	connectionEndSlack = 20 * time.Millisecond
	// noAnswerNoticedWithin is how long after the end of a process a waiting client notices it.
	noAnswerNoticedWithin = 500 * time.Millisecond
)

// Facts are the settings and faults of the run that the records are checked against.
type Facts struct {
	NonIdempotent []bool // by class
	MaxAttempts   int
	DrainGrace    time.Duration
	MemoryMB      int // of a sidecar; 0: no limit
	Sockets       int
	// ServiceAfterTerm is how long after SIGTERM a request may arrive and still be unanswered at SIGKILL.
	ServiceAfterTerm time.Duration
	Routes           *Routes // nil: there are none
	// Latency is the longest time one way between a sidecar and a server.
	Latency   time.Duration
	HeldBack  []HeldBack // by links that delay what is sent
	Stalls    []Span     // times in which the machine gave the lab, and so its processes, no processor time
	SlowStart SlowStart
	// ReadyWithin is how long a restarted process may take to be ready; 0: any time.
	ReadyWithin time.Duration
}

// Breach is one rule broken.
type Breach struct {
	Rule    string   `json:"rule"`
	At      float64  `json:"at_s"`
	Request string   `json:"request,omitempty"`
	Text    string   `json:"text"`
	Path    []string `json:"path,omitempty"`
}

// Verdict is the result of all rules for a run.
type Verdict struct {
	Counts   map[string]int `json:"counts"` // breaches by rule
	Breaches []Breach       `json:"breaches"`
	Checked  map[string]int `json:"checked"`                    // how many cases each rule was checked on
	Failures []int          `json:"rollout_failures,omitempty"` // of each rollout's canary, as servers saw them
}

// Broken lists the broken rules.
func (v *Verdict) Broken() []string {
	var names []string
	for rule := range v.Counts {
		names = append(names, rule)
	}
	slices.Sort(names)
	return names
}

// span is a time in which something held.
type span struct{ from, to time.Duration }

const forever = time.Duration(1<<63 - 1)

func (s span) meets(from, to time.Duration) bool { return s.from <= to && from <= s.to }

// checker checks the records against all rules.
type checker struct {
	facts  Facts
	events []record.Event
	byID   map[uint64][]int
	out    *Verdict

	unavailable map[int32][]span        // times in which a sidecar does not run
	frozen      map[int32][]span        // times in which a sidecar is frozen
	termAt      map[int32]time.Duration // SIGTERM of processes that have not ended yet
	ends        map[int32][]processEnd
}

// processEnd is how a process ended after SIGTERM.
type processEnd struct {
	termAt, endedAt time.Duration
	killed          bool // by SIGKILL, as it took too long
}

// Check checks the events of a run, ordered by time, against all rules.
func Check(events []record.Event, facts Facts) *Verdict {
	c := &checker{
		facts: facts, events: events, byID: map[uint64][]int{}, unavailable: map[int32][]span{}, frozen: map[int32][]span{},
		termAt: map[int32]time.Duration{}, ends: map[int32][]processEnd{},
		out: &Verdict{Counts: map[string]int{}, Checked: map[string]int{}},
	}
	for i := range events {
		if id := events[i].Request; id != 0 {
			c.byID[id] = append(c.byID[id], i)
		}
		if events[i].Kind == record.Process {
			c.recordProcess(&events[i])
		}
	}
	ids := make([]uint64, 0, len(c.byID))
	for id := range c.byID {
		ids = append(ids, id)
	}
	// In order of their first event, so that the same records give the same breaches.
	slices.SortFunc(ids, func(a, b uint64) int { return cmp.Compare(c.byID[a][0], c.byID[b][0]) })
	for _, id := range ids {
		c.checkRequest(collectRequest(id, c.byID[id], events))
	}
	for i := range all {
		if check := all[i].checkRun; check != nil {
			check(c)
		}
	}
	c.checkRoutes()
	return c.out
}

// Notes of Process events, which the lab writes.
const (
	Started  = "started"
	Serving  = "ready"
	Stopping = "told to end"
	Killed   = "killed"
	Crashed  = "crashed"
	Ended    = "ended"
	Frozen   = "frozen"
	Thawed   = "thawed"
)

// recordProcess records when each sidecar could answer.
func (c *checker) recordProcess(e *record.Event) {
	closeLast := func(m map[int32][]span) {
		if s := m[e.Sidecar]; len(s) > 0 && s[len(s)-1].to == forever {
			s[len(s)-1].to = e.T
		}
	}
	termAt, stopping := c.termAt[e.Sidecar]
	switch e.Note {
	case Stopping:
		c.termAt[e.Sidecar] = e.T
	case Ended:
		if stopping {
			c.ends[e.Sidecar] = append(c.ends[e.Sidecar], processEnd{termAt, e.T, false})
			delete(c.termAt, e.Sidecar)
		}
	case Killed:
		if stopping {
			c.ends[e.Sidecar] = append(c.ends[e.Sidecar], processEnd{termAt, e.T, true})
			delete(c.termAt, e.Sidecar)
			break
		}
		c.unavailable[e.Sidecar] = append(c.unavailable[e.Sidecar], span{e.T, forever})
	case Serving:
		closeLast(c.unavailable)
	case Frozen:
		c.frozen[e.Sidecar] = append(c.frozen[e.Sidecar], span{e.T, forever})
	case Thawed:
		closeLast(c.frozen)
	}
}

func anyMeets(spans []span, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.meets(from, to) })
}

func (c *checker) breach(rule string, at time.Duration, id uint64, path []int, format string, args ...any) {
	c.out.Counts[rule]++
	if c.out.Counts[rule] > maxPrintedBreaches {
		return
	}
	b := Breach{Rule: rule, At: at.Seconds(), Text: fmt.Sprintf(format, args...)}
	if id != 0 {
		b.Request = fmt.Sprintf("%016x", id)
	}
	for _, i := range path {
		b.Path = append(b.Path, c.events[i].String())
	}
	c.out.Breaches = append(c.out.Breaches, b)
}

// attempt is one send of a request to a server, from the server's records.
type attempt struct {
	server, connection int
	from, to           time.Duration // last byte there; answered, or seen closed
	rejected           bool
}

// requestEvents is what the records say of one request.
type requestEvents struct {
	id             uint64
	path           []int          // indices of its events
	events         []record.Event // by time
	sent           []record.Event // by its client
	answers        int
	attempts       []attempt
	runs           int           // on servers
	connectionLost bool          // of its client
	noAnswer       bool          // in its time, before the end of the run
	extraBytes     bool          // after an answer
	lastAt         time.Duration // of the last event
	unansweredAt   time.Duration // when its client knew that no answer comes
}

// checkRequest checks the events of one request against all invariants of requests.
func (c *checker) checkRequest(r *requestEvents) {
	for i := range all {
		if check := all[i].checkRequest; check != nil && (len(r.sent) > 0 || all[i].unsent) {
			check(c, r)
		}
	}
}

// collectRequest gathers the events of a request.
func collectRequest(id uint64, path []int, events []record.Event) *requestEvents {
	r := &requestEvents{id: id, path: path}
	for _, i := range path {
		e := events[i]
		r.events = append(r.events, e)
		r.lastAt = e.T
		switch e.Kind {
		case record.Sent:
			r.sent = append(r.sent, e)
		case record.ResponseReceived:
			r.answers++
		case record.ConnectionLost:
			r.connectionLost, r.unansweredAt = true, e.T
		case record.NoResponse:
			r.noAnswer, r.unansweredAt = e.Note != record.RunEnded, e.T
		case record.ExtraBytes:
			r.extraBytes = true
		case record.WorkStarted:
			r.runs++
		case record.LastByte:
			r.attempts = append(r.attempts, attempt{server: int(e.Server), connection: int(e.Attempt), from: e.T, to: forever})
		case record.Rejected, record.ResponseSent, record.SidecarClosed:
			r.endAttempt(e)
		}
	}
	return r
}

// breachOf reports that a request breaks an invariant.
func (c *checker) breachOf(r *requestEvents, invariant string, at time.Duration, format string, args ...any) {
	c.breach(invariant, at, r.id, r.path, format, args...)
}

// endAttempt records that a server answered, rejected or lost an attempt.
func (r *requestEvents) endAttempt(e record.Event) {
	for k := range r.attempts {
		a := &r.attempts[k]
		if a.server != int(e.Server) || a.connection != int(e.Attempt) || a.to != forever {
			continue
		}
		if e.Kind == record.Rejected {
			a.rejected = true
			continue // Replied gives the end
		}
		a.to = e.T
	}
}

// checkUnknownRequest checks that a client sent in this form what servers got under the ID of a request.
func (c *checker) checkUnknownRequest(r *requestEvents) {
	if len(r.sent) > 0 && len(r.attempts) > 0 {
		c.out.Checked[NoUnknownRequest]++
	}
	for _, e := range r.events {
		if e.Kind == record.UnknownRequest {
			c.breachOf(r, NoUnknownRequest, e.T, "server %d heard of sidecar %d a request %s", e.Server, e.Sidecar, e.Note)
		}
	}
}

// checkUnreadable checks that no server got a request without a readable ID.
func (c *checker) checkUnreadable() {
	for i := range c.events {
		if e := &c.events[i]; e.Kind == record.UnknownRequest && e.Request == 0 {
			c.breach(NoUnknownRequest, e.T, 0, nil, "server %d heard of sidecar %d a request %s", e.Server, e.Sidecar, e.Note)
		}
	}
}

// checkBody checks that a client got the body that was made for its request.
func (c *checker) checkBody(r *requestEvents) {
	for _, e := range r.events {
		if e.Kind != record.ResponseReceived || e.Status != http.StatusOK {
			continue
		}
		c.out.Checked[Body]++
		if e.Sum != e.Want {
			c.breachOf(r, Body, e.T, "the client got body %016x, the one made for it is %016x", e.Sum, e.Want)
		}
	}
}

// checkOneAnswer checks that a client got one final answer.
func (c *checker) checkOneAnswer(r *requestEvents) {
	c.out.Checked[OneAnswer]++
	from := r.sent[0].T
	owner := r.sent[0].Sidecar
	switch {
	case r.answers > 1 || r.extraBytes:
		c.breachOf(r, OneAnswer, r.lastAt, "it was answered more than once")
	case r.answers == 1 || !r.connectionLost && !r.noAnswer:
	case c.checkProcessEnd(r):
	case anyMeets(c.unavailable[owner], from, r.lastAt) || anyMeets(c.frozen[owner], from, r.lastAt):
		// What a killed sidecar had accepted is lost with it; a frozen one cannot answer.
	case r.connectionLost && len(r.attempts) == 0:
		// The close crossed a request that had not been read, or failed one before anything was sent.
	case r.connectionLost:
		c.breachOf(r, OneAnswer, r.lastAt, "its connection was ended without a whole answer")
	default:
		c.breachOf(r, OneAnswer, r.lastAt, "no answer within 0.5 s of its time")
	}
}

// checkProcessEnd checks a request without an answer that was in flight when its process ended after SIGTERM; it reports
// whether the request was such a one. A process that ends by itself has to answer all that it accepted, read or not. What
// SIGKILL interrupts is a breach if it arrived after ServiceAfterTerm; the answer to an earlier one was not due yet.
func (c *checker) checkProcessEnd(r *requestEvents) bool {
	sent, lost := r.sent[len(r.sent)-1], r.unansweredAt
	for _, e := range c.ends[sent.Sidecar] {
		if sent.T > e.endedAt || lost < e.endedAt-connectionEndSlack || lost > e.endedAt+noAnswerNoticedWithin {
			continue
		}
		switch after := sent.T - e.termAt; {
		case !e.killed:
			c.breachOf(r, OneAnswer, e.endedAt, "its process ended by itself, %.0f ms after SIGTERM, and left it unanswered", ms(e.endedAt-e.termAt))
		case after > c.facts.ServiceAfterTerm:
			c.breachOf(r, OneAnswer, e.endedAt, "it came %.0f ms after SIGTERM, and SIGKILL found it unanswered", ms(after))
		}
		return true
	}
	return false
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// checkAttemptLimit checks the number of attempts at servers.
func (c *checker) checkAttemptLimit(r *requestEvents) {
	c.out.Checked[AttemptLimit]++
	if n := len(r.attempts); n > c.facts.MaxAttempts {
		c.breachOf(r, AttemptLimit, r.attempts[n-1].from, "%d attempts, of %d", n, c.facts.MaxAttempts)
	}
}

// checkNonIdempotentOnce checks that a non-idempotent request ran at most once, and was not sent again where it may have.
func (c *checker) checkNonIdempotentOnce(r *requestEvents) {
	class := r.sent[len(r.sent)-1].Class
	if !c.facts.NonIdempotent[class] || len(r.attempts) == 0 {
		return
	}
	c.out.Checked[NonIdempotentOnce]++
	mayHaveRun := 0
	for _, a := range r.attempts {
		if !a.rejected {
			mayHaveRun++
		}
	}
	if r.runs > 1 {
		c.breachOf(r, NonIdempotentOnce, r.attempts[0].from, "it ran %d times", r.runs)
	} else if mayHaveRun > 1 {
		c.breachOf(r, NonIdempotentOnce, r.attempts[0].from, "it was sent again although it may have run")
	}
}

// checkOneAtATime checks that an attempt begins after the end of the one before.
func (c *checker) checkOneAtATime(r *requestEvents) {
	if len(r.attempts) < 2 {
		return
	}
	c.out.Checked[OneAtATime]++
	for k := 1; k < len(r.attempts); k++ {
		before, next := r.attempts[k-1], r.attempts[k]
		if before.to > next.from+socketSlack {
			c.breachOf(r, OneAtATime, next.from, "two attempts at once, at servers %d and %d", before.server, next.server)
			return
		}
	}
}

// checkDrains checks what was sent to servers after the sidecar was notified of their drain.
func (c *checker) checkDrains() {
	type pair struct{ sidecar, server int32 }
	notifiedAt := map[pair]time.Duration{}
	latestStart := map[pair]int64{} // the latest start of a server that a sidecar was notified of
	running := map[int32]int{}      // processes of each sidecar that serve
	started := map[int32]time.Duration{}
	for i := range c.events {
		e := &c.events[i]
		key := pair{e.Sidecar, e.Server}
		switch e.Kind {
		case record.Notified:
			_, notified := notifiedAt[key]
			switch {
			case e.N < latestStart[key]: // of an earlier start: a lagging list service says nothing of this one
			case e.Note == "Ready":
				latestStart[key] = e.N
				delete(notifiedAt, key)
			case !notified:
				notifiedAt[key] = e.T
				c.out.Checked[Drain]++
			}
		case record.Process:
			switch e.Note {
			case Ended, Crashed:
				running[e.Sidecar]--
			case Serving:
				// A process that starts alone knows what it is notified of from now on. At an upgrade both are one sidecar:
				// the old one knows all, and the grace starts again when the new one serves.
				for key, graceFrom := range notifiedAt {
					if key.sidecar != e.Sidecar {
						continue
					}
					if running[e.Sidecar] > 0 {
						notifiedAt[key] = max(graceFrom, e.T)
					} else if graceFrom < started[e.Sidecar] {
						delete(notifiedAt, key)
					}
				}
				running[e.Sidecar]++
			case Started:
				started[e.Sidecar] = e.T
			}
		case record.FirstByte:
			graceFrom, notified := notifiedAt[key]
			if !notified || e.T <= graceFrom+c.facts.DrainGrace+socketSlack {
				continue
			}
			// A frozen process reads nothing: its grace starts when it wakes.
			for _, s := range c.frozen[e.Sidecar] {
				if s.meets(graceFrom, e.T) {
					graceFrom = max(graceFrom, s.to)
				}
			}
			if e.T > graceFrom+c.facts.DrainGrace+socketSlack {
				c.breach(Drain, e.T, e.Request, c.byID[e.Request],
					"sidecar %d sent to server %d %.0f ms after it was told that this one drains or is gone",
					e.Sidecar, e.Server, float64(e.T-graceFrom)/1e6)
			}
		}
	}
}

// checkResourceLimits checks the memory and descriptors of sidecars, and that none crashes.
func (c *checker) checkResourceLimits() {
	for i := range c.events {
		switch e := &c.events[i]; {
		case e.Kind == record.Sample && e.Sidecar != record.None:
			c.checkSample(e)
		case e.Kind == record.Process && e.Note == Crashed:
			c.breach(ResourceLimits, e.T, 0, nil, "sidecar %d ended unasked", e.Sidecar)
		}
	}
}

// checkSample checks one sample of a sidecar's memory and descriptors.
func (c *checker) checkSample(e *record.Event) {
	c.out.Checked[ResourceLimits]++
	if c.facts.MemoryMB > 0 && e.N > int64(c.facts.MemoryMB)<<20 {
		c.breach(ResourceLimits, e.T, 0, nil, "sidecar %d has %.1f MB of %d", e.Sidecar, float64(e.N)/(1<<20), c.facts.MemoryMB)
	}
	if c.facts.Sockets > 0 && int(e.Status) > c.facts.Sockets {
		c.breach(ResourceLimits, e.T, 0, nil, "sidecar %d has %d descriptors of %d", e.Sidecar, e.Status, c.facts.Sockets)
	}
}
