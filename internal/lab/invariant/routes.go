package invariant

import (
	"cmp"
	"slices"
	"time"

	"marblelane/internal/audit"
	"marblelane/internal/lab/record"
)

// The rules of routes and rollouts (docs/routes.md).
const (
	Budget        = "budget"         // servers see no more failures of a rollout's canary than its budget
	RevClosed     = "closed"         // no attempt under a revision that the list service has said to be closed
	AuditTrue     = "audit-true"     // no "did not" of a process that did, no "did" of one that did not
	RollbackFinal = "rollback-final" // a rollout that is rolled back stays so
	RouteFree     = "route-free"     // a canary is tried by its tenant's requests, of its classes, at its servers, alone
)

// Routes is what the attempts of a run with rollouts are held against.
type Routes struct {
	Rollouts []Rollout // by their number in the plan
	Answers  []Answer  // of the audit
	// Latency is the most that a link adds, one way.
	Latency time.Duration
	// Hindered are times in which links or servers are under faults: what was sent may arrive late, or never.
	Hindered []Span
	// Lagged are times in which the lab itself was late: servers may have seen what came then only after them.
	Lagged []Span
	// Epoch is the wall clock at the run's beginning, Unix ns: processes are named by when they started.
	Epoch int64
	Names []string // of sidecars
}

// Rollout is what one rollout may do.
type Rollout struct {
	Name    string
	Tenant  int
	Classes []bool // that may go to the canary, by class
	Servers []bool // of the canary
	Budget  int64  // 0: none
	// Aims are after what time an answer is a failure, by class; nil: none is.
	Aims []time.Duration
	// After is the newest revision that was known before the rollout was posted: all of its own are later.
	After int64
	// Final is its phase as the leader had it at the end of the run; empty: nobody said.
	Final string
}

// Span is a time in which something held.
type Span struct{ From, To time.Duration }

// Answer is what the audit said of one process: whether it acted on a revision between two times.
type Answer struct {
	Rev      int64
	From, To time.Duration
	Asked    time.Duration
	Name     string
	Start    int64 // of the process, Unix ns
	Verdict  audit.Verdict
	Why      string
}

// life is one process of a sidecar.
type life struct{ from, to time.Duration }

// routes checks all rules of rollouts.
type routes struct {
	*checker
	facts *Routes

	attempts []int // FirstByte events with a revision
	lives    map[int32][]life
	ended    map[int]int64 // by rollout: the revision at which it was over
	rolled   map[int]bool
	told     map[int]time.Duration // when it was first said to be over
}

func (c *checker) routes() {
	if c.facts.Routes == nil {
		return
	}
	r := &routes{checker: c, facts: c.facts.Routes, lives: map[int32][]life{}, ended: map[int]int64{},
		rolled: map[int]bool{}, told: map[int]time.Duration{}}
	for i := range c.events {
		e := &c.events[i]
		switch {
		case e.Kind == record.FirstByte && (e.Rev > 0 || e.Canary):
			r.attempts = append(r.attempts, i)
		case e.Kind == record.Process:
			r.live(e)
		case e.Kind == record.RolloutPhase && over(e.Note):
			n := int(e.Status)
			if _, ok := r.ended[n]; !ok {
				r.ended[n], r.rolled[n], r.told[n] = e.Rev, e.Note == "rolled-back", e.T
			}
		}
	}
	r.closed()
	r.budget()
	r.rollbacks()
	r.free()
	r.audit()
}

func over(phase string) bool { return phase == "done" || phase == "rolled-back" || phase == "stopped" }

func (r *routes) live(e *record.Event) {
	all := r.lives[e.Sidecar]
	switch e.Note {
	case Started:
		r.lives[e.Sidecar] = append(all, life{e.T, forever})
	case Ended, Crashed, Killed:
		// The oldest that lives: at an upgrade that is the one which goes.
		for i := range all {
			if all[i].to == forever {
				if e.Note != Killed { // Ended follows
					all[i].to = e.T
				}
				return
			}
		}
	}
}

// late is by how much an attempt may be seen later than it began.
func (r *routes) late() time.Duration { return slack + 2*r.facts.Latency }

func (r *routes) hindered(from, to time.Duration) bool {
	meets := func(s Span) bool { return s.From <= to && from <= s.To }
	return slices.ContainsFunc(r.facts.Hindered, meets) || slices.ContainsFunc(r.facts.Lagged, meets)
}

// closed holds each attempt against what was said to be closed before it arrived.
func (r *routes) closed() {
	type said struct {
		rev int64
		at  time.Duration
	}
	var all []said
	for i := range r.events {
		if e := &r.events[i]; e.Kind == record.RevisionClosed && (len(all) == 0 || e.Rev > all[len(all)-1].rev) {
			all = append(all, said{e.Rev, e.T})
		}
	}
	for _, i := range r.attempts {
		e := &r.events[i]
		if e.Rev == 0 {
			continue // without permission, under the bases alone: see free
		}
		k, _ := slices.BinarySearchFunc(all, e.Rev, func(s said, rev int64) int { return cmp.Compare(s.rev, rev) })
		if k == len(all) {
			continue
		}
		r.out.Checked[RevClosed]++
		if limit := all[k].at + r.late(); e.T > limit && !r.hindered(limit, e.T) {
			r.breach(RevClosed, e.T, e.Request, r.byID[e.Request],
				"sidecar %d sent to server %d under routes %d, %.0f ms after the list service had said that %d is closed",
				e.Sidecar, e.Server, e.Rev, ms(e.T-all[k].at), all[k].rev)
		}
	}
}

// rollout finds whose canary an attempt was to: the last rollout of its tenant that can have had this revision.
func (r *routes) rollout(e *record.Event) int {
	best := -1
	for n := range r.facts.Rollouts {
		o := &r.facts.Rollouts[n]
		if o.Tenant == int(e.Tenant) && o.After < e.Rev && o.After >= 0 && (best < 0 || o.After >= r.facts.Rollouts[best].After) {
			best = n
		}
	}
	return best
}

type onConn struct {
	request uint64
	server  int32
	conn    int16
}

// outcome is what servers saw of one attempt to a canary.
type outcome struct {
	first int  // the event of its first byte
	whole bool // its last byte was heard, too: it does not move to another connection any more
	over  bool
}

// failures are the attempts to each canary that ended as a failure while the client still waited: by rollout, as indexes
// of their first bytes. ended counts all attempts that ended. A failure is
//
//   - an answer of 500 and above, a late one where those are failures, and one that turns the attempt away,
//   - no answer: the server hung, dropped it, reset the connection or ended, and whichever side it was that closed, it
//     closed before one.
//
// Each of them costs the sidecar a unit, so it cannot be that it has not counted them, but for: what ends together with
// its sidecar, or is out as the run ends; what ends as the client leaves, or just before, as the sidecar may hear of that
// first; and an answer that the server has written and the link has lost.
func (r *routes) failures() (failed [][]int, ended []int) {
	failed, ended = make([][]int, len(r.facts.Rollouts)), make([]int, len(r.facts.Rollouts))
	out := map[onConn]*outcome{}
	for _, i := range r.attempts {
		if e := &r.events[i]; e.Canary {
			out[onConn{e.Request, e.Server, e.Attempt}] = &outcome{first: i}
		}
	}
	left := map[uint64]time.Duration{}
	for i := range r.events {
		e := &r.events[i]
		if _, ok := left[e.Request]; !ok && (e.Kind == record.ClientLeft || e.Kind == record.ConnectionLost) {
			left[e.Request] = e.T
		}
	}
	for i := range r.events {
		e := &r.events[i]
		a := out[onConn{e.Request, e.Server, e.Attempt}]
		if a == nil || a.over {
			continue
		}
		first := &r.events[a.first]
		n := r.rollout(first)
		if n < 0 {
			continue
		}
		o := &r.facts.Rollouts[n]
		bad := false
		switch e.Kind {
		case record.LastByte:
			a.whole = true
			continue
		case record.Replied:
			bad = e.Status >= 500 || o.Aims != nil && e.T-first.T > o.Aims[first.Class]
		case record.Rejected:
			bad = true
		case record.SidecarClosed:
			if bad = a.whole && r.lived(first.Sidecar, first.T, e.T+r.late()); !bad {
				continue
			}
		default:
			continue
		}
		a.over = true
		if at, ok := left[e.Request]; ok && at <= e.T+r.late() {
			continue
		}
		if ended[n]++; bad {
			failed[n] = append(failed[n], a.first)
		}
	}
	return failed, ended
}

// lived tells whether no process of a sidecar ended within a time.
func (r *routes) lived(sidecar int32, from, to time.Duration) bool {
	return !slices.ContainsFunc(r.lives[sidecar], func(l life) bool { return l.to >= from && l.to <= to })
}

// budget holds the failures of each canary against its budget.
func (r *routes) budget() {
	failed, ended := r.failures()
	for n, all := range failed {
		r.out.Failures = append(r.out.Failures, len(all))
		o := &r.facts.Rollouts[n]
		if o.Budget == 0 {
			continue
		}
		r.out.Checked[Budget] += ended[n]
		if int64(len(all)) > o.Budget {
			first := &r.events[all[o.Budget]]
			r.breach(Budget, first.T, first.Request, r.byID[first.Request],
				"rollout %s has cost %d failures, its budget is %d; this is the first beyond", o.Name, len(all), o.Budget)
		}
	}
}

// rollbacks holds what is told of rollouts against the first word that one is rolled back.
func (r *routes) rollbacks() {
	for i := range r.events {
		e := &r.events[i]
		n := int(e.Status)
		switch e.Kind {
		case record.RolloutPhase:
			if e.N < 0 {
				r.breach(Budget, e.T, 0, nil, "the ledger of rollout %s has given out %d units more than its budget", r.facts.Rollouts[n].Name, -e.N)
			}
			// A copy that lags tells of before; a later revision cannot be.
			if r.rolled[n] && e.T >= r.told[n] {
				r.out.Checked[RollbackFinal]++
				if e.Rev >= r.ended[n] && e.Note != "rolled-back" {
					r.breach(RollbackFinal, e.T, 0, nil, "rollout %s is said to be %s at revision %d, it was rolled back at %d",
						r.facts.Rollouts[n].Name, e.Note, e.Rev, r.ended[n])
				}
			}
		case record.RolloutFraction:
			if r.rolled[n] && e.Rev >= r.ended[n] {
				r.out.Checked[RollbackFinal]++
				if e.Work > 0 {
					r.breach(RollbackFinal, e.T, 0, nil, "rollout %s has a share of %g at revision %d, it was rolled back at %d",
						r.facts.Rollouts[n].Name, e.Work, e.Rev, r.ended[n])
				}
			}
		}
	}
	for n, o := range r.facts.Rollouts {
		if r.rolled[n] && o.Final != "" {
			r.out.Checked[RollbackFinal]++
			if o.Final != "rolled-back" {
				r.breach(RollbackFinal, r.told[n], 0, nil, "rollout %s was rolled back at revision %d, and is %s in the end", o.Name, r.ended[n], o.Final)
			}
		}
	}
}

// free holds each attempt to a canary against the rollout that it belongs to.
func (r *routes) free() {
	for _, i := range r.attempts {
		e := &r.events[i]
		if !e.Canary {
			continue
		}
		r.out.Checked[RouteFree]++
		n := r.rollout(e)
		wrong := func(rule, format string, args ...any) {
			r.breach(rule, e.T, e.Request, r.byID[e.Request], format, args...)
		}
		if n < 0 {
			wrong(RouteFree, "an attempt to a canary under routes %d, though its tenant, number %d, had no rollout by then", e.Rev, e.Tenant)
			continue
		}
		o := &r.facts.Rollouts[n]
		end, over := r.ended[n]
		switch {
		case over && e.Rev >= end && r.rolled[n]:
			wrong(RollbackFinal, "an attempt to the canary of rollout %s under routes %d; it was rolled back at %d", o.Name, e.Rev, end)
		case over && e.Rev >= end:
			wrong(RouteFree, "an attempt to the canary of rollout %s under routes %d; it was over at %d", o.Name, e.Rev, end)
		case e.Class >= 0 && !o.Classes[e.Class]:
			wrong(RouteFree, "an attempt to the canary of rollout %s of a class that it leaves out", o.Name)
		case !o.Servers[e.Server]:
			wrong(RouteFree, "an attempt to the canary of rollout %s at server %d, which is not in it", o.Name, e.Server)
		}
	}
}

// audit holds each answer of the audit against what servers saw.
func (r *routes) audit() {
	type under struct {
		sidecar int32
		rev     int64
	}
	seen := map[under][]time.Duration{} // by time
	for _, i := range r.attempts {
		e := &r.events[i]
		if e.Rev > 0 {
			k := under{e.Sidecar, e.Rev}
			seen[k] = append(seen[k], e.T)
		}
	}
	for _, a := range r.facts.Answers {
		sidecar := int32(slices.Index(r.facts.Names, a.Name))
		at := time.Duration(a.Start - r.facts.Epoch)
		lives := r.lives[sidecar]
		k := -1
		for i := range lives { // the process began to count after it was started
			if lives[i].from <= at {
				k = i
			}
		}
		if sidecar < 0 || k < 0 {
			r.breach(AuditTrue, a.Asked, 0, nil, "the audit answers for a process %s/%d that never was", a.Name, a.Start)
			continue
		}
		attempts := seen[under{sidecar, a.Rev}]
		if a.Verdict != audit.Unknown { // who knows nothing says nothing wrong
			r.out.Checked[AuditTrue]++
		}
		switch a.Verdict {
		case audit.DidNot:
			// Not before the start of the window: what arrives just after it may have begun before it.
			for _, t := range attempts {
				if t < a.From+r.late() || t > a.To || !alone(lives, k, t-r.late(), t) {
					continue
				}
				r.breach(AuditTrue, a.Asked, 0, nil, "the audit says that %s/%d did not act on %d between %.0f and %.0f ms (%s); a server saw an attempt of its at %.1f ms",
					a.Name, a.Start, a.Rev, ms(a.From), ms(a.To), a.Why, ms(t))
				break
			}
		case audit.Did:
			if r.hindered(a.From, a.To) {
				continue // an attempt that began may have come to nobody
			}
			if !slices.ContainsFunc(attempts, func(t time.Duration) bool { return t >= a.From-slack && t <= a.To+r.late() }) {
				r.breach(AuditTrue, a.Asked, 0, nil, "the audit says that %s/%d acted on %d between %.0f and %.0f ms (%s); no server saw it",
					a.Name, a.Start, a.Rev, ms(a.From), ms(a.To), a.Why)
			}
		}
	}
}

// alone tells whether of a sidecar's processes just this one lived in a time.
func alone(lives []life, k int, from, to time.Duration) bool {
	for i, l := range lives {
		if meets := l.from <= to && from <= l.to; meets != (i == k) {
			return false
		}
	}
	return true
}
