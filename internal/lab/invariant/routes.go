package invariant

import (
	"cmp"
	"slices"
	"time"

	"marblelane/internal/audit"
	"marblelane/internal/lab/record"
)

// The names of the invariants of routes and rollouts (docs/routes.md).
const (
	Budget        = "budget"         // a rollout's canary has no more failures at servers than its budget
	RevClosed     = "closed"         // no attempt is sent under a revision that the list service has reported as closed
	AuditTrue     = "audit-true"     // the audit reports that a process acted, or did not act, only if that is so
	RollbackFinal = "rollback-final" // a rollout that was rolled back stays rolled back
	RouteFree     = "route-free"     // a canary gets only requests of its rollout's tenant and classes, at its servers
)

// Routes are the settings and faults that a run with rollouts is checked against.
type Routes struct {
	Rollouts     []Rollout     // rollouts by number in the plan
	AuditResults []AuditResult // results of audit queries
	// Latency is the longest one-way delay that a link adds.
	Latency time.Duration
	// LinkFaults are periods in which links or servers have faults: what was sent may arrive late or never.
	LinkFaults []Span
	// LabStalls are periods in which the lab itself stalled: its servers may record what arrived then only afterwards.
	LabStalls []Span
	// Epoch is the wall clock time at the start of the run in Unix nanoseconds. Processes are identified by their start.
	Epoch int64
	Names []string // names of the sidecars
}

// Rollout is what one rollout may do, and how it ended.
type Rollout struct {
	Name    string
	Tenant  int
	Classes []bool // whether requests of a class may go to the canary, by class
	Servers []bool // whether a server belongs to the canary, by server
	Budget  int64  // failures allowed; 0 means no budget
	// LatencyObjectives are the times after which a response is a failure, by class. nil means that late responses are no
	// failures.
	LatencyObjectives []time.Duration
	// After is the newest revision known before the rollout was posted, so that all revisions of the rollout are later.
	// After is negative for a rollout that was not posted.
	After int64
	// Final is the rollout's phase at the leader at the end of the run, or empty if it is unknown.
	Final string
}

// Span is a period of a run, both ends included.
type Span struct{ From, To time.Duration }

// AuditResult is the verdict of the audit whether a process acted on a revision between two times.
type AuditResult struct {
	Rev       int64
	From, To  time.Duration
	QueriedAt time.Duration
	Name      string
	Start     int64 // start of the process, in Unix nanoseconds
	Verdict   audit.Verdict
	Reason    string
}

// processLifetime is the period in which a process of a sidecar was alive.
type processLifetime struct{ from, to time.Duration }

// routes checks all rules of rollouts.
type routes struct {
	*checker
	facts *Routes

	attempts    []int                       // indices of the FirstByte events with a revision or to a canary
	lifetimes   map[int32][]processLifetime // by sidecar, ordered by start
	endRevision map[int]int64               // revision at which a rollout was over, by rollout
	rolledBack  map[int]bool                // whether a rollout ended by a rollback, by rollout
	endedAt     map[int]time.Duration       // when a rollout was first reported to be over, by rollout
}

// checkRoutes checks all rules of rollouts, if the run has rollouts.
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

// isOver reports whether a rollout in this phase has ended.
func isOver(phase string) bool {
	return phase == "done" || phase == "rolled-back" || phase == "stopped"
}

// recordProcess records the start or end of a sidecar's process.
func (r *routes) recordProcess(e *record.Event) {
	all := r.lifetimes[e.Sidecar]
	switch e.Note {
	case Started:
		r.lifetimes[e.Sidecar] = append(all, processLifetime{e.T, forever})
	case Ended, Crashed, Killed:
		// The oldest process that is alive ends: in an upgrade, this is the replaced process.
		for i := range all {
			if all[i].to == forever {
				if e.Note != Killed { // an Ended event follows
					all[i].to = e.T
				}
				return
			}
		}
	}
}

// maxDelay returns the longest time from the start of an attempt until a server records it.
func (r *routes) maxDelay() time.Duration { return socketSlack + 2*r.facts.Latency }

// faultBetween reports whether links or servers had a fault, or the lab stalled, between two times.
func (r *routes) faultBetween(from, to time.Duration) bool {
	meets := func(s Span) bool { return s.From <= to && from <= s.To }
	return slices.ContainsFunc(r.facts.LinkFaults, meets) || slices.ContainsFunc(r.facts.LabStalls, meets)
}

// checkClosed checks that no attempt is sent under a revision after the list service reported it as closed.
func (r *routes) checkClosed() {
	type closedReport struct {
		rev int64
		at  time.Duration
	}
	var closedReports []closedReport
	for i := range r.events {
		if e := &r.events[i]; e.Kind == record.RevisionClosed && (len(closedReports) == 0 || e.Rev > closedReports[len(closedReports)-1].rev) {
			closedReports = append(closedReports, closedReport{e.Rev, e.T})
		}
	}
	for _, i := range r.attempts {
		e := &r.events[i]
		if e.Rev == 0 {
			continue // the attempt was sent without a lease, to base servers only: see checkRouteFree
		}
		k, _ := slices.BinarySearchFunc(closedReports, e.Rev, func(s closedReport, rev int64) int { return cmp.Compare(s.rev, rev) })
		if k == len(closedReports) {
			continue
		}
		r.verdict.Checked[RevClosed]++
		if limit := closedReports[k].at + r.maxDelay(); e.T > limit && !r.faultBetween(limit, e.T) {
			r.breach(RevClosed, e.T, e.Request, r.byID[e.Request],
				"sidecar %d sent an attempt to server %d under revision %d, %.0f ms after the list service reported revision %d as closed",
				e.Sidecar, e.Server, e.Rev, ms(e.T-closedReports[k].at), closedReports[k].rev)
		}
	}
}

// rolloutOf returns the number of the rollout whose canary an attempt went to, or -1 if there is none. It is the last
// rollout of the attempt's tenant that can have had its revision.
func (r *routes) rolloutOf(e *record.Event) int {
	best := -1
	for n := range r.facts.Rollouts {
		o := &r.facts.Rollouts[n]
		if o.Tenant == int(e.Tenant) && o.After < e.Rev && o.After >= 0 && (best < 0 || o.After >= r.facts.Rollouts[best].After) {
			best = n
		}
	}
	return best
}

// attemptKey identifies an attempt in the events of its server.
type attemptKey struct {
	request uint64
	server  int32
	conn    int16
}

// outcome is the state of one attempt to a canary, from the events of its server.
type outcome struct {
	first    int  // index of the event of the attempt's first byte
	complete bool // the attempt's last byte arrived: the attempt is not sent again on another connection
	ended    bool
}

// failures returns, by rollout, the attempts to its canary that ended as a failure while the client still waited, as
// indices of their FirstByte events. ended counts all attempts that ended. A failure is
//
//   - a response with a status of 500 or above, a late response if the rollout has latency objectives, or a rejection,
//   - no response: the server hung, dropped the request, reset the connection or ended, and the connection was closed by
//     either side before a response.
//
// Each failure costs the sidecar a unit, so the sidecar must have counted it, with these exceptions: an attempt that
// ends together with its sidecar or is in flight at the end of the run; an attempt that ends when the client disconnects
// or just before, as the sidecar may observe the client first; and a response that the server wrote and the link lost.
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
		n := r.rolloutOf(first)
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

// alive reports whether no process of a sidecar ended between two times.
func (r *routes) alive(sidecar int32, from, to time.Duration) bool {
	return !slices.ContainsFunc(r.lifetimes[sidecar], func(l processLifetime) bool { return l.to >= from && l.to <= to })
}

// checkBudget checks the failures of each canary against its rollout's budget.
func (r *routes) checkBudget() {
	failed, ended := r.failures()
	for n, all := range failed {
		r.verdict.Failures = append(r.verdict.Failures, len(all))
		o := &r.facts.Rollouts[n]
		if o.Budget == 0 {
			continue
		}
		r.verdict.Checked[Budget] += ended[n]
		if int64(len(all)) > o.Budget {
			first := &r.events[all[o.Budget]]
			r.breach(Budget, first.T, first.Request, r.byID[first.Request],
				"rollout %s had %d failures, its budget is %d; this is the first failure beyond the budget", o.Name, len(all), o.Budget)
		}
	}
}

// checkRollbacks checks that a rollout has no other phase, and no fraction, after it was reported as rolled back.
func (r *routes) checkRollbacks() {
	for i := range r.events {
		e := &r.events[i]
		n := int(e.Status)
		switch e.Kind {
		case record.RolloutPhase:
			if e.N < 0 {
				r.breach(Budget, e.T, 0, nil, "the ledger of rollout %s granted %d units more than its budget", r.facts.Rollouts[n].Name, -e.N)
			}
			// A lagging replica reports an earlier state; a later revision is a breach.
			if r.rolledBack[n] && e.T >= r.endedAt[n] {
				r.verdict.Checked[RollbackFinal]++
				if e.Rev >= r.endRevision[n] && e.Note != "rolled-back" {
					r.breach(RollbackFinal, e.T, 0, nil, "rollout %s is reported as %s at revision %d, but was rolled back at revision %d",
						r.facts.Rollouts[n].Name, e.Note, e.Rev, r.endRevision[n])
				}
			}
		case record.RolloutFraction:
			if r.rolledBack[n] && e.Rev >= r.endRevision[n] {
				r.verdict.Checked[RollbackFinal]++
				if e.Work > 0 {
					r.breach(RollbackFinal, e.T, 0, nil, "rollout %s has a fraction of %g at revision %d, but was rolled back at revision %d",
						r.facts.Rollouts[n].Name, e.Work, e.Rev, r.endRevision[n])
				}
			}
		}
	}
	for n, o := range r.facts.Rollouts {
		if r.rolledBack[n] && o.Final != "" {
			r.verdict.Checked[RollbackFinal]++
			if o.Final != "rolled-back" {
				r.breach(RollbackFinal, r.endedAt[n], 0, nil, "rollout %s was rolled back at revision %d, but is %s at the end of the run", o.Name, r.endRevision[n], o.Final)
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
		r.verdict.Checked[RouteFree]++
		n := r.rolloutOf(e)
		breachAttempt := func(rule, format string, args ...any) {
			r.breach(rule, e.T, e.Request, r.byID[e.Request], format, args...)
		}
		if n < 0 {
			breachAttempt(RouteFree, "attempt to a canary under revision %d, at which tenant %d had no rollout", e.Rev, e.Tenant)
			continue
		}
		o := &r.facts.Rollouts[n]
		end, over := r.endRevision[n]
		switch {
		case over && e.Rev >= end && r.rolledBack[n]:
			breachAttempt(RollbackFinal, "attempt to the canary of rollout %s under revision %d, but the rollout was rolled back at revision %d", o.Name, e.Rev, end)
		case over && e.Rev >= end:
			breachAttempt(RouteFree, "attempt to the canary of rollout %s under revision %d, but the rollout was over at revision %d", o.Name, e.Rev, end)
		case e.Class >= 0 && !o.Classes[e.Class]:
			breachAttempt(RouteFree, "attempt to the canary of rollout %s with a class that the rollout excludes", o.Name)
		case !o.Servers[e.Server]:
			breachAttempt(RouteFree, "attempt to the canary of rollout %s at server %d, which is not in the canary", o.Name, e.Server)
		}
	}
}

// checkAudit checks each verdict of the audit against what servers received.
func (r *routes) checkAudit() {
	type sidecarRevision struct {
		sidecar int32
		rev     int64
	}
	attemptTimes := map[sidecarRevision][]time.Duration{} // each list ordered by time
	for _, i := range r.attempts {
		e := &r.events[i]
		if e.Rev > 0 {
			k := sidecarRevision{e.Sidecar, e.Rev}
			attemptTimes[k] = append(attemptTimes[k], e.T)
		}
	}
	for _, a := range r.facts.AuditResults {
		sidecar := int32(slices.Index(r.facts.Names, a.Name))
		at := time.Duration(a.Start - r.facts.Epoch)
		lifetimes := r.lifetimes[sidecar]
		k := -1
		for i := range lifetimes { // a process identifies itself by a time after the lab started it
			if lifetimes[i].from <= at {
				k = i
			}
		}
		if sidecar < 0 || k < 0 {
			r.breach(AuditTrue, a.QueriedAt, 0, nil, "the audit returned a verdict on process %s/%d, which never ran", a.Name, a.Start)
			continue
		}
		attempts := attemptTimes[sidecarRevision{sidecar, a.Rev}]
		if a.Verdict != audit.Unknown { // an unknown verdict cannot be wrong
			r.verdict.Checked[AuditTrue]++
		}
		switch a.Verdict {
		case audit.DidNotAct:
			// What arrives just after the start of the window may have been sent before it.
			for _, t := range attempts {
				if t < a.From+r.maxDelay() || t > a.To || !onlyProcess(lifetimes, k, t-r.maxDelay(), t) {
					continue
				}
				r.breach(AuditTrue, a.QueriedAt, 0, nil, "the audit reports that %s/%d did not act on revision %d between %.0f and %.0f ms (%s), but a server received its attempt at %.1f ms",
					a.Name, a.Start, a.Rev, ms(a.From), ms(a.To), a.Reason, ms(t))
				break
			}
		case audit.Acted:
			if r.faultBetween(a.From, a.To) {
				continue // an attempt may have been sent and reached no server
			}
			if !slices.ContainsFunc(attempts, func(t time.Duration) bool { return t >= a.From-socketSlack && t <= a.To+r.maxDelay() }) {
				r.breach(AuditTrue, a.QueriedAt, 0, nil, "the audit reports that %s/%d acted on revision %d between %.0f and %.0f ms (%s), but no server received an attempt",
					a.Name, a.Start, a.Rev, ms(a.From), ms(a.To), a.Reason)
			}
		}
	}
}

// onlyProcess reports whether process k was the only process of its sidecar that was alive between two times.
func onlyProcess(lifetimes []processLifetime, k int, from, to time.Duration) bool {
	for i, l := range lifetimes {
		if meets := l.from <= to && from <= l.to; meets != (i == k) {
			return false
		}
	}
	return true
}
