// Package invariant checks the recorded events of a run against the rules that no run may break.
//
// table.go lists the invariants. Each has a name and a scenario with a planted defect that breaks it
// (lab/scenarios/defects). A breach of a request's rule includes the request's events in every process. Time limits
// include 50 ms for delays in sockets.
package invariant

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"marblelane/internal/lab/record"
)

// The names of the invariants of requests and processes, and the tolerances of their checks.
const (
	OneAnswer          = "one-answer"    // each request that a running sidecar accepted gets one final response
	NonIdempotentOnce  = "unsafe-once"   // a non-idempotent request never runs twice, and is not retried if it may have run
	OneAtATime         = "one-at-a-time" // no two attempts of a request overlap
	AttemptLimit       = "most-attempts" // a request has at most MaxAttempts attempts
	NoUnknownRequest   = "no-stray"      // every request at a server was sent by a client in the same form
	Drain              = "drain"         // a server gets no new attempt once the grace after the notice of its drain or end is over
	SlowStartLimit     = "cold"          // no server crashes by overload, or gets more calls in slow start than allowed
	Body               = "body"          // the body of a response is the one that a server made for this request
	ResourceLimits     = "limits"        // no process exceeds its limit of memory or descriptors, or ends without a signal
	ClientGone         = "client-gone"   // no attempt starts after its client has disconnected
	ReadyInTime        = "ready-in-time" // nine of ten restarted processes are ready in time
	ForwardedDeadline  = "time-told"     // the deadline that an attempt forwards is no later than the end of its client's wait
	socketSlack        = 50 * time.Millisecond
	maxPrintedBreaches = 3 // breaches reported in full per rule; the others are only counted
	// connectionEndSlack is how long before the recorded end of a process its clients may see their connections end: the
	// kernel closes the descriptors of a process before it notifies the parent.
	connectionEndSlack = 20 * time.Millisecond
	// noAnswerNoticedWithin is the time after the end of a process within which a waiting client notices it.
	noAnswerNoticedWithin = 500 * time.Millisecond
)

// Facts are the settings and faults of a run that its events are checked against.
type Facts struct {
	NonIdempotent []bool // whether the requests of a class are non-idempotent, by class
	MaxAttempts   int    // limit of attempts per request
	DrainGrace    time.Duration
	MemoryMB      int // memory limit of a sidecar in MB; 0 means no limit
	Sockets       int // descriptor limit of a sidecar; 0 means no limit
	// ServiceAfterTerm is the time after SIGTERM until which a request may arrive and be unanswered at SIGKILL.
	ServiceAfterTerm time.Duration
	Routes           *Routes // nil if the run has no rollouts
	// Latency is the longest one-way delay between a sidecar and a server.
	Latency      time.Duration
	DelayedLinks []DelayedLink // times in which links delay data
	Stalls       []Span        // times in which the lab, and so its processes, got no processor time
	SlowStart    SlowStart
	// ReadyWithin is how long a restarted process may take to be ready; 0 means no limit.
	ReadyWithin time.Duration
}

// Breach is one case in which a run broke a rule.
type Breach struct {
	Rule    string   `json:"rule"`
	At      float64  `json:"at_s"`
	Request string   `json:"request,omitempty"`
	Text    string   `json:"text"`
	Path    []string `json:"path,omitempty"`
}

// Verdict is the result of all checks of a run.
type Verdict struct {
	Counts   map[string]int `json:"counts"` // breaches by rule
	Breaches []Breach       `json:"breaches"`
	Checked  map[string]int `json:"checked"`                    // number of cases checked, by rule
	Failures []int          `json:"rollout_failures,omitempty"` // failures of each rollout's canary, from the servers' events
}

// Broken returns the names of the broken rules, sorted.
func (v *Verdict) Broken() []string {
	var names []string
	for rule := range v.Counts {
		names = append(names, rule)
	}
	slices.Sort(names)
	return names
}

// span is a period of a run, both ends included.
type span struct{ from, to time.Duration }

const forever = time.Duration(1<<63 - 1)

func (s span) meets(from, to time.Duration) bool { return s.from <= to && from <= s.to }

// checker checks the events of a run against all rules.
type checker struct {
	facts   Facts
	events  []record.Event
	byID    map[uint64][]int
	verdict *Verdict

	unavailable map[int32][]span        // periods from a SIGKILL without SIGTERM until a process of the sidecar is ready
	frozen      map[int32][]span        // periods in which a sidecar was frozen
	termAt      map[int32]time.Duration // time of SIGTERM to each process that has not ended yet
	ends        map[int32][]processEnd
}

// processEnd is how a process ended after SIGTERM.
type processEnd struct {
	termAt, endedAt time.Duration
	killed          bool // the process was ended by SIGKILL, because it took too long to end
}

// Check checks the events of a run, ordered by time, against all rules.
func Check(events []record.Event, facts Facts) *Verdict {
	c := &checker{
		facts: facts, events: events, byID: map[uint64][]int{}, unavailable: map[int32][]span{}, frozen: map[int32][]span{},
		termAt: map[int32]time.Duration{}, ends: map[int32][]processEnd{},
		verdict: &Verdict{Counts: map[string]int{}, Checked: map[string]int{}},
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
	// Requests are checked in the order of their first event, so that the same events yield the same breaches.
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
	return c.verdict
}

// Notes of the Process events that the lab records.
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

// recordProcess records when a sidecar could not respond, and how its processes ended after SIGTERM.
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
	c.verdict.Counts[rule]++
	if c.verdict.Counts[rule] > maxPrintedBreaches {
		return
	}
	b := Breach{Rule: rule, At: at.Seconds(), Text: fmt.Sprintf(format, args...)}
	if id != 0 {
		b.Request = fmt.Sprintf("%016x", id)
	}
	for _, i := range path {
		b.Path = append(b.Path, c.events[i].String())
	}
	c.verdict.Breaches = append(c.verdict.Breaches, b)
}

// attempt is one attempt of a request, from the events of its server.
type attempt struct {
	server, connection int
	from, to           time.Duration // arrival of the last byte; response or observed close at the server
	rejected           bool
}

// requestEvents are the events of one request, and what the checks need of them.
type requestEvents struct {
	id             uint64
	path           []int          // indices of the request's events in checker.events
	events         []record.Event // ordered by time
	sends          []record.Event // sends by the request's client
	responses      int
	attempts       []attempt
	executions     int           // executions on servers
	connectionLost bool          // the client's connection ended without a response
	noAnswer       bool          // the client's wait ended without a response before the end of the run
	extraBytes     bool          // bytes followed the response
	lastAt         time.Duration // time of the last event
	unansweredAt   time.Duration // time at which the client knew that no response would come
}

// checkRequest checks one request against all invariants of requests.
func (c *checker) checkRequest(r *requestEvents) {
	for i := range all {
		if check := all[i].checkRequest; check != nil && (len(r.sends) > 0 || all[i].unsent) {
			check(c, r)
		}
	}
}

// collectRequest collects the events of a request at these indices.
func collectRequest(id uint64, path []int, events []record.Event) *requestEvents {
	r := &requestEvents{id: id, path: path}
	for _, i := range path {
		e := events[i]
		r.events = append(r.events, e)
		r.lastAt = e.T
		switch e.Kind {
		case record.Sent:
			r.sends = append(r.sends, e)
		case record.ResponseReceived:
			r.responses++
		case record.ConnectionLost:
			r.connectionLost, r.unansweredAt = true, e.T
		case record.NoResponse:
			r.noAnswer, r.unansweredAt = e.Note != record.RunEnded, e.T
		case record.ExtraBytes:
			r.extraBytes = true
		case record.WorkStarted:
			r.executions++
		case record.LastByte:
			r.attempts = append(r.attempts, attempt{server: int(e.Server), connection: int(e.Attempt), from: e.T, to: forever})
		case record.Rejected, record.ResponseSent, record.SidecarClosed:
			r.endAttempt(e)
		}
	}
	return r
}

// breachOf records that a request broke an invariant.
func (c *checker) breachOf(r *requestEvents, invariant string, at time.Duration, format string, args ...any) {
	c.breach(invariant, at, r.id, r.path, format, args...)
}

// endAttempt records that a server responded to, rejected or lost an attempt.
func (r *requestEvents) endAttempt(e record.Event) {
	for k := range r.attempts {
		a := &r.attempts[k]
		if a.server != int(e.Server) || a.connection != int(e.Attempt) || a.to != forever {
			continue
		}
		if e.Kind == record.Rejected {
			a.rejected = true
			continue // the ResponseSent event that follows records the end of the attempt
		}
		a.to = e.T
	}
}

// checkUnknownRequest checks that what servers received under the ID of a request was sent by a client in the same form.
func (c *checker) checkUnknownRequest(r *requestEvents) {
	if len(r.sends) > 0 && len(r.attempts) > 0 {
		c.verdict.Checked[NoUnknownRequest]++
	}
	for _, e := range r.events {
		if e.Kind == record.UnknownRequest {
			c.breachOf(r, NoUnknownRequest, e.T, "server %d received from sidecar %d a request %s", e.Server, e.Sidecar, e.Note)
		}
	}
}

// checkUnreadable checks that no server received a request without a readable ID.
func (c *checker) checkUnreadable() {
	for i := range c.events {
		if e := &c.events[i]; e.Kind == record.UnknownRequest && e.Request == 0 {
			c.breach(NoUnknownRequest, e.T, 0, nil, "server %d received from sidecar %d a request %s", e.Server, e.Sidecar, e.Note)
		}
	}
}

// checkBody checks that a client received the body that was made for its request.
func (c *checker) checkBody(r *requestEvents) {
	for _, e := range r.events {
		if e.Kind != record.ResponseReceived || e.Status != http.StatusOK {
			continue
		}
		c.verdict.Checked[Body]++
		if e.Sum != e.Want {
			c.breachOf(r, Body, e.T, "the client received a body with checksum %016x, expected %016x", e.Sum, e.Want)
		}
	}
}

// checkOneAnswer checks that a request got one final response.
func (c *checker) checkOneAnswer(r *requestEvents) {
	c.verdict.Checked[OneAnswer]++
	from := r.sends[0].T
	owner := r.sends[0].Sidecar
	switch {
	case r.responses > 1 || r.extraBytes:
		c.breachOf(r, OneAnswer, r.lastAt, "the request got more than one response")
	case r.responses == 1 || !r.connectionLost && !r.noAnswer:
	case c.checkProcessEnd(r):
	case anyMeets(c.unavailable[owner], from, r.lastAt) || anyMeets(c.frozen[owner], from, r.lastAt):
		// A killed sidecar loses what it had accepted, and a frozen one cannot respond.
	case r.connectionLost && len(r.attempts) == 0:
		// The sidecar closed the connection before it read the request, or before it sent an attempt.
	case r.connectionLost:
		c.breachOf(r, OneAnswer, r.lastAt, "the connection ended before a complete response")
	default:
		c.breachOf(r, OneAnswer, r.lastAt, "no response within 0.5 s of the end of its time")
	}
}

// checkProcessEnd checks a request without a response that was in flight when its process ended after SIGTERM, and
// reports whether the request is of this kind. A process that ends by itself has to respond to every request that it
// accepted, read or not. A request that SIGKILL interrupts is a breach if it arrived more than ServiceAfterTerm after
// SIGTERM: the response to a request that arrived earlier was not due yet.
func (c *checker) checkProcessEnd(r *requestEvents) bool {
	sent, lost := r.sends[len(r.sends)-1], r.unansweredAt
	for _, e := range c.ends[sent.Sidecar] {
		if sent.T > e.endedAt || lost < e.endedAt-connectionEndSlack || lost > e.endedAt+noAnswerNoticedWithin {
			continue
		}
		switch after := sent.T - e.termAt; {
		case !e.killed:
			c.breachOf(r, OneAnswer, e.endedAt, "the process ended by itself %.0f ms after SIGTERM without a response to this request", ms(e.endedAt-e.termAt))
		case after > c.facts.ServiceAfterTerm:
			c.breachOf(r, OneAnswer, e.endedAt, "the request arrived %.0f ms after SIGTERM and had no response at SIGKILL", ms(after))
		}
		return true
	}
	return false
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// checkAttemptLimit checks the number of attempts that reached servers.
func (c *checker) checkAttemptLimit(r *requestEvents) {
	c.verdict.Checked[AttemptLimit]++
	if n := len(r.attempts); n > c.facts.MaxAttempts {
		c.breachOf(r, AttemptLimit, r.attempts[n-1].from, "%d attempts, at most %d allowed", n, c.facts.MaxAttempts)
	}
}

// checkNonIdempotentOnce checks that a non-idempotent request ran at most once, and was not retried if it may have run.
func (c *checker) checkNonIdempotentOnce(r *requestEvents) {
	class := r.sends[len(r.sends)-1].Class
	if !c.facts.NonIdempotent[class] || len(r.attempts) == 0 {
		return
	}
	c.verdict.Checked[NonIdempotentOnce]++
	mayHaveRun := 0
	for _, a := range r.attempts {
		if !a.rejected {
			mayHaveRun++
		}
	}
	if r.executions > 1 {
		c.breachOf(r, NonIdempotentOnce, r.attempts[0].from, "the non-idempotent request ran %d times", r.executions)
	} else if mayHaveRun > 1 {
		c.breachOf(r, NonIdempotentOnce, r.attempts[0].from, "the non-idempotent request was retried although it may have run")
	}
}

// checkOneAtATime checks that an attempt starts after the end of the one before.
func (c *checker) checkOneAtATime(r *requestEvents) {
	if len(r.attempts) < 2 {
		return
	}
	c.verdict.Checked[OneAtATime]++
	for k := 1; k < len(r.attempts); k++ {
		before, next := r.attempts[k-1], r.attempts[k]
		if before.to > next.from+socketSlack {
			c.breachOf(r, OneAtATime, next.from, "attempts at servers %d and %d overlap", before.server, next.server)
			return
		}
	}
}

// checkDrains checks that a server gets no attempt once the grace after the notice of its drain or end is over.
func (c *checker) checkDrains() {
	type pair struct{ sidecar, server int32 }
	notifiedAt := map[pair]time.Duration{} // start of the grace
	latestStart := map[pair]int64{}        // latest start of a server that a sidecar was notified of
	running := map[int32]int{}             // processes of each sidecar that are ready
	started := map[int32]time.Duration{}
	for i := range c.events {
		e := &c.events[i]
		key := pair{e.Sidecar, e.Server}
		switch e.Kind {
		case record.Notified:
			_, notified := notifiedAt[key]
			switch {
			case e.N < latestStart[key]: // a lagging list service notified of an earlier start of the server
			case e.Note == "Ready":
				latestStart[key] = e.N
				delete(notifiedAt, key)
			case !notified:
				notifiedAt[key] = e.T
				c.verdict.Checked[Drain]++
			}
		case record.Process:
			switch e.Note {
			case Ended, Crashed:
				running[e.Sidecar]--
			case Serving:
				// Without a predecessor, a process knows only the notices since its start. At an upgrade, notices to
				// the old process still hold, and the grace starts again when the new one is ready.
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
			// A frozen process reads nothing: its grace starts when it is thawed.
			for _, s := range c.frozen[e.Sidecar] {
				if s.meets(graceFrom, e.T) {
					graceFrom = max(graceFrom, s.to)
				}
			}
			if e.T > graceFrom+c.facts.DrainGrace+socketSlack {
				c.breach(Drain, e.T, e.Request, c.byID[e.Request],
					"sidecar %d sent an attempt to server %d %.0f ms after it was notified that the server is draining or removed",
					e.Sidecar, e.Server, float64(e.T-graceFrom)/1e6)
			}
		}
	}
}

// checkResourceLimits checks the memory and descriptors of sidecars, and that none ends without a signal.
func (c *checker) checkResourceLimits() {
	for i := range c.events {
		switch e := &c.events[i]; {
		case e.Kind == record.Sample && e.Sidecar != record.None:
			c.checkSample(e)
		case e.Kind == record.Process && e.Note == Crashed:
			c.breach(ResourceLimits, e.T, 0, nil, "sidecar %d ended without a signal", e.Sidecar)
		}
	}
}

// checkSample checks one sample of a sidecar's memory and descriptors.
func (c *checker) checkSample(e *record.Event) {
	c.verdict.Checked[ResourceLimits]++
	if c.facts.MemoryMB > 0 && e.N > int64(c.facts.MemoryMB)<<20 {
		c.breach(ResourceLimits, e.T, 0, nil, "sidecar %d uses %.1f MB of memory, limit %d MB", e.Sidecar, float64(e.N)/(1<<20), c.facts.MemoryMB)
	}
	if c.facts.Sockets > 0 && int(e.Status) > c.facts.Sockets {
		c.breach(ResourceLimits, e.T, 0, nil, "sidecar %d has %d open descriptors, limit %d", e.Sidecar, e.Status, c.facts.Sockets)
	}
}
