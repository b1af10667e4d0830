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
	RevClosed     = "closed"         // no attempt under a revision that the list service has reported as closed
	AuditTrue     = "audit-true"     // no "did not" of a process that did, no "did" of one that did not
	RollbackFinal = "rollback-final" // a rollout that is rolled back stays so
	RouteFree     = "route-free"     // a canary gets requests only of its tenant and its classes, at its servers
)

// Routes is what the attempts of a run with rollouts are checked against.
type Routes struct {
	Rollouts []Rollout // by their number in the plan
	Answers  []Answer  // of the audit
	// Latency is the most that a link adds, one way.
	Latency time.Duration
	// LinkFaults are times in which links or servers have faults: what was sent may arrive late, or never.
	LinkFaults []Span
	// LabStalls are times in which the lab itself stalled: servers may have received what came then only after them.
	LabStalls []Span
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
	// LatencyObjectives are the times after which an answer is a failure, by class; nil: none is.
	LatencyObjectives []time.Duration
	// After is the newest revision that was known before the rollout was posted: all of its own are later.
	After int64
	// Final is its phase as the leader had it at the end of the run; empty: unknown.
	Final string
}

// Span is a time in which something held.
type Span struct{ From, To time.Duration }

// Answer is the audit's answer for one process: whether it acted on a revision between two times.
type Answer struct {
	Rev       int64
	From, To  time.Duration
	QueriedAt time.Duration
	Name      string
	Start     int64 // of the process, Unix ns
	Verdict   audit.Verdict
	Reason    string
}

// processLifetime is that of one process of a sidecar.
type processLifetime struct{ from, to time.Duration }

// routes checks all rules of rollouts.
type routes struct {
	*checker
	facts *Routes

	attempts    []int // FirstByte events with a revision
	lifetimes   map[int32][]processLifetime
	endRevision map[int]int64 // by rollout: the revision at which it was over
	rolledBack  map[int]bool
	endedAt     map[int]time.Duration // when it was first reported to be over
}

func (c *checker) checkRoutes() {
	if c.facts.Routes == nil {
		return
	}
	r := &routes{checker: c, facts: c.facts.Routes, lifetimes: map[int32][]processLifetime{}, endRevision: map[int]int64{},
		rolledBack: map[int]bool{}, endedAt: map[int]time.Duration{}}
	for i := range c.events {
		e := &c.events[i]
		switch {
		case e.Kind == record.FirstByte && (e.Rev > 0 || e.Canary):
			r.attempts = append(r.attempts, i)
		case e.Kind == record.Process:
			r.recordProcess(e)
		case e.Kind == record.RolloutPhase && isOver(e.Note):
			n := int(e.Status)
			if _, ok := r.endRevision[n]; !ok {
				r.endRevision[n], r.rolledBack[n], r.endedAt[n] = e.Rev, e.Note == "rolled-back", e.T
			}
		}
	}
	for i := range all {
		if check := all[i].checkRoutes; check != nil {
			check(r)
		}
	}
}

func isOver(phase string) bool {
	return phase == "done" || phase == "rolled-back" || phase == "stopped"
}

func (r *routes) recordProcess(e *record.Event) {
	all := r.lifetimes[e.Sidecar]
	switch e.Note {
	case Started:
		r.lifetimes[e.Sidecar] = append(all, processLifetime{e.T, forever})
	case Ended, Crashed, Killed:
		// The oldest that is alive: at an upgrade that is the one which ends.
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

// maxDelay is by how much an attempt may be observed later than it began.
func (r *routes) maxDelay() time.Duration { return socketSlack + 2*r.facts.Latency }

func (r *routes) faultBetween(from, to time.Duration) bool {
	meets := func(s Span) bool { return s.From <= to && from <= s.To }
	return slices.ContainsFunc(r.facts.LinkFaults, meets) || slices.ContainsFunc(r.facts.LabStalls, meets)
}

// checkClosed checks each attempt against the revisions that were reported as closed before it arrived.
func (r *routes) checkClosed() {
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
			continue // without a lease, under the bases alone: see checkRouteFree
		}
		k, _ := slices.BinarySearchFunc(all, e.Rev, func(s said, rev int64) int { return cmp.Compare(s.rev, rev) })
		if k == len(all) {
			continue
		}
		r.out.Checked[RevClosed]++
		if limit := all[k].at + r.maxDelay(); e.T > limit && !r.faultBetween(limit, e.T) {
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

type attemptKey struct {
	request uint64
	server  int32
	conn    int16
}

// outcome is what servers saw of one attempt to a canary.
type outcome struct {
	first    int  // the event of its first byte
	complete bool // its last byte arrived, too: it does not move to another connection any more
	ended    bool
}

// failures are the attempts to each canary that ended as a failure while the client still waited: by rollout, as indexes
// of their first bytes. ended counts all attempts that ended. A failure is
//
//   - an answer of 500 and above, a late one where those are failures, and one that turns the attempt away,
//   - no answer: the server hung, dropped it, reset the connection or ended, and whichever side it was that closed, it
//     closed before one.
//
// Each of them costs the sidecar a unit, so it must have counted them, except: what ends together with its sidecar, or is
// in flight as the run ends; what ends as the client leaves, or just before, as the sidecar may observe that first; and an
// answer that the server has written and the link has lost.
func (r *routes) failures() (failed [][]int, ended []int) {
	failed, ended = make([][]int, len(r.facts.Rollouts)), make([]int, len(r.facts.Rollouts))
	outcomes := map[attemptKey]*outcome{}
	for _, i := range r.attempts {
		if e := &r.events[i]; e.Canary {
			outcomes[attemptKey{e.Request, e.Server, e.Attempt}] = &outcome{first: i}
		}
	}
	clientLeftAt := map[uint64]time.Duration{}
	for i := range r.events {
		e := &r.events[i]
		if _, ok := clientLeftAt[e.Request]; !ok && (e.Kind == record.ClientDisconnected || e.Kind == record.ConnectionLost) {
			clientLeftAt[e.Request] = e.T
		}
	}
	for i := range r.events {
		e := &r.events[i]
		a := outcomes[attemptKey{e.Request, e.Server, e.Attempt}]
		if a == nil || a.ended {
			continue
		}
		first := &r.events[a.first]
		n := r.rollout(first)
		if n < 0 {
			continue
		}
		o := &r.facts.Rollouts[n]
		failure := false
		switch e.Kind {
		case record.LastByte:
			a.complete = true
			continue
		case record.ResponseSent:
			failure = e.Status >= 500 || o.LatencyObjectives != nil && e.T-first.T > o.LatencyObjectives[first.Class]
		case record.Rejected:
			failure = true
		case record.SidecarClosed:
			if failure = a.complete && r.alive(first.Sidecar, first.T, e.T+r.maxDelay()); !failure {
				continue
			}
		default:
			continue
		}
		a.ended = true
		if at, ok := clientLeftAt[e.Request]; ok && at <= e.T+r.maxDelay() {
			continue
		}
		if ended[n]++; failure {
			failed[n] = append(failed[n], a.first)
		}
	}
	return failed, ended
}

// alive reports whether no process of a sidecar ended within a time.
func (r *routes) alive(sidecar int32, from, to time.Duration) bool {
	return !slices.ContainsFunc(r.lifetimes[sidecar], func(l processLifetime) bool { return l.to >= from && l.to <= to })
}

// checkBudget checks the failures of each canary against its budget.
func (r *routes) checkBudget() {
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

// checkRollbacks checks what is reported of rollouts after the first report that one is rolled back.
func (r *routes) checkRollbacks() {
	for i := range r.events {
		e := &r.events[i]
		n := int(e.Status)
		switch e.Kind {
		case record.RolloutPhase:
			if e.N < 0 {
				r.breach(Budget, e.T, 0, nil, "the ledger of rollout %s has given out %d units more than its budget", r.facts.Rollouts[n].Name, -e.N)
			}
			// A lagging replica reports an earlier state; a later revision is a breach.
			if r.rolledBack[n] && e.T >= r.endedAt[n] {
				r.out.Checked[RollbackFinal]++
				if e.Rev >= r.endRevision[n] && e.Note != "rolled-back" {
					r.breach(RollbackFinal, e.T, 0, nil, "rollout %s is said to be %s at revision %d, it was rolled back at %d",
						r.facts.Rollouts[n].Name, e.Note, e.Rev, r.endRevision[n])
				}
			}
		case record.RolloutFraction:
			if r.rolledBack[n] && e.Rev >= r.endRevision[n] {
				r.out.Checked[RollbackFinal]++
				if e.Work > 0 {
					r.breach(RollbackFinal, e.T, 0, nil, "rollout %s has a share of %g at revision %d, it was rolled back at %d",
						r.facts.Rollouts[n].Name, e.Work, e.Rev, r.endRevision[n])
				}
			}
		}
	}
	for n, o := range r.facts.Rollouts {
		if r.rolledBack[n] && o.Final != "" {
			r.out.Checked[RollbackFinal]++
			if o.Final != "rolled-back" {
				r.breach(RollbackFinal, r.endedAt[n], 0, nil, "rollout %s was rolled back at revision %d, and is %s in the end", o.Name, r.endRevision[n], o.Final)
			}
		}
	}
}

// checkRouteFree checks each attempt to a canary against the rollout that it belongs to.
func (r *routes) checkRouteFree() {
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
		end, over := r.endRevision[n]
		switch {
		case over && e.Rev >= end && r.rolledBack[n]:
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

// checkAudit checks each answer of the audit against what servers received.
func (r *routes) checkAudit() {
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
		lifetimes := r.lifetimes[sidecar]
		k := -1
		for i := range lifetimes { // the process began to count after it was started
			if lifetimes[i].from <= at {
				k = i
			}
		}
		if sidecar < 0 || k < 0 {
			r.breach(AuditTrue, a.QueriedAt, 0, nil, "the audit answers for a process %s/%d that never was", a.Name, a.Start)
			continue
		}
		attempts := seen[under{sidecar, a.Rev}]
		if a.Verdict != audit.Unknown { // an unknown verdict cannot be wrong
			r.out.Checked[AuditTrue]++
		}
		switch a.Verdict {
		case audit.DidNotAct:
			// Not before the start of the window: what arrives just after it may have begun before it.
			for _, t := range attempts {
				if t < a.From+r.maxDelay() || t > a.To || !onlyProcess(lifetimes, k, t-r.maxDelay(), t) {
					continue
				}
				r.breach(AuditTrue, a.QueriedAt, 0, nil, "the audit says that %s/%d did not act on %d between %.0f and %.0f ms (%s); a server saw an attempt of its at %.1f ms",
					a.Name, a.Start, a.Rev, ms(a.From), ms(a.To), a.Reason, ms(t))
				break
			}
		case audit.Acted:
			if r.faultBetween(a.From, a.To) {
				continue // an attempt that began may have reached no server
			}
			if !slices.ContainsFunc(attempts, func(t time.Duration) bool { return t >= a.From-socketSlack && t <= a.To+r.maxDelay() }) {
				r.breach(AuditTrue, a.QueriedAt, 0, nil, "the audit says that %s/%d acted on %d between %.0f and %.0f ms (%s); no server saw it",
					a.Name, a.Start, a.Rev, ms(a.From), ms(a.To), a.Reason)
			}
		}
	}
}

// onlyProcess reports whether of a sidecar's processes only this one was alive in a time.
func onlyProcess(lifetimes []processLifetime, k int, from, to time.Duration) bool {
	for i, l := range lifetimes {
		if meets := l.from <= to && from <= l.to; meets != (i == k) {
			return false
		}
	}
	return true
}
