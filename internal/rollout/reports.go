package rollout

// This file takes in the reports of processes and grants canary leases.

import (
	"fmt"
	"math"
	"slices"

	"marblelane/internal/route"
)

// Report takes in a report, and answers with a lease or with the reason why there is none. The caller must have
// confirmed with a majority, after the report came, that it leads. Where the answer says Resync the caller adds the
// table.
func (c *Controller) Report(now int64, s *State, r *route.Report) route.ReportResponse {
	c.sync(now, s)
	answer := route.ReportResponse{Stamp: route.LeaderTime{Leader: c.options.Leader, MS: c.now}, NewestRev: s.Rev()}
	if answer.Reason = checkReport(r); answer.Reason != "" {
		return answer
	}
	if newest := c.newestStart[r.Name]; r.Start < newest {
		answer.Reason, answer.NewestStart = "a later start of this name has reported", newest
		return answer
	}
	p := c.processes[AccountKey(r.Process)]
	if p == nil {
		if len(c.processes) >= MaxProcesses {
			answer.Reason = fmt.Sprintf("there are %d processes, as many as are kept", MaxProcesses)
			return answer
		}
		p = c.addProcess(r.Process)
	}
	p.AcknowledgedRev = max(p.AcknowledgedRev, r.AcknowledgedRev) // it never falls, so an old report may tell it as well
	c.serviceFaultKnown = false
	if r.Seq < p.reportSeq {
		answer.Reason = "a later report of this process has come"
		return answer
	}
	if r.Seq > p.reportSeq {
		c.acceptReport(p, r)
	}
	c.renewLease(s, p, &answer)
	return answer
}

// checkReport names what is out of its bound in a report; empty: nothing is.
func checkReport(r *route.Report) string {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes:
		return fmt.Sprintf("name has %d bytes, not 1 to %d", len(r.Name), MaxNameBytes)
	case r.Start < 1:
		return fmt.Sprintf("start is %d, below 1", r.Start)
	case r.Seq < 1:
		return fmt.Sprintf("seq is %d, below 1", r.Seq)
	case len(r.Schemas) > maxSchemas:
		return fmt.Sprintf("schemas are %d, more than %d", len(r.Schemas), maxSchemas)
	case len(r.Version) > MaxNameBytes || len(r.Config) > MaxNameBytes:
		return fmt.Sprintf("version or config is longer than %d bytes", MaxNameBytes)
	}
	return ""
}

// addProcess makes a process known. The earlier one of its name is gone; its lease still lasts until its end.
func (c *Controller) addProcess(id route.Process) *processState {
	if earlier := c.processes[AccountKey(route.Process{Name: id.Name, Start: c.newestStart[id.Name]})]; earlier != nil {
		c.markGone(earlier)
	}
	p := &processState{ProcessStatus: ProcessStatus{Process: id, LastReport: c.now, LeaseUntil: math.MinInt64}}
	c.processes[AccountKey(id)], c.newestStart[id.Name] = p, id.Start
	return p
}

func (c *Controller) markGone(p *processState) {
	if !p.Gone {
		p.Gone = true
		c.noteAccess(AccessChange{Process: p.Process, Gone: true, AcknowledgedRev: p.AcknowledgedRev})
	}
}

func (c *Controller) noteAccess(change AccessChange) {
	c.accessChanges = append(c.accessChanges, change)
}

// acceptReport takes in the newest report of a process.
func (c *Controller) acceptReport(p *processState, r *route.Report) {
	if p.Gone { // it was only silent; its accounts stay closed
		p.Gone = false
		c.noteAccess(AccessChange{Process: p.Process, Readmitted: true, AcknowledgedRev: p.AcknowledgedRev})
	}
	first := p.reportSeq == 0
	p.reportSeq, p.LastReport = r.Seq, c.now
	p.UnreadableRev, p.ListRev = r.UnreadableRev, r.ListRev
	p.Version, p.Config = r.Version, r.Config
	p.Schemas = slices.Clone(r.Schemas)
	maybeForgotten := first && c.now-c.startedAt > c.options.ForgetAfter && r.Seq > 1
	c.analyzeCounts(p, r, maybeForgotten)
}

// renewLease grants a lease for a term, or answers why not.
func (c *Controller) renewLease(s *State, p *processState, answer *route.ReportResponse) {
	behind := c.behindFor(p)
	reason := c.shutOutReason(s, p, behind)
	if shutOut := reason != ""; shutOut != p.ShutOut {
		p.ShutOut = shutOut
		c.noteAccess(AccessChange{
			Process: p.Process, ShutOut: shutOut, Readmitted: !shutOut, AcknowledgedRev: p.AcknowledgedRev,
		})
	}
	// A revision that is closed, or that is being closed, stays so for a process that comes late with an older table.
	if closed := max(s.Closed(), c.closingRev); reason == "" && p.AcknowledgedRev <= closed {
		reason = fmt.Sprintf("it acts on revision %d, and %d is closed", p.AcknowledgedRev, closed)
	}
	// A process that cannot read the newest table gains nothing from another copy of it.
	answer.Resync = behind >= c.options.StragglerAfter && p.UnreadableRev < s.Rev()
	answer.Reason = reason
	if reason == "" {
		answer.LeaseMS = c.options.LeaseTerm
		p.LeaseUntil = c.now + c.options.lengthenedTerm()
	}
}

// shutOutReason says why a process is shut out of canaries; empty: it is not. behind is that of behindFor.
func (c *Controller) shutOutReason(s *State, p *processState, behind int64) string {
	if newest := slices.Max(append([]int{0}, p.Schemas...)); newest < s.MinSchema() {
		return fmt.Sprintf("it reads schemas up to %d, and %d is asked for", newest, s.MinSchema())
	}
	if behind >= c.options.ShutOutAfter && !c.serviceAtFault() {
		return fmt.Sprintf("it acts on revision %d, and has lacked a later one for %d ms", p.AcknowledgedRev, behind)
	}
	return ""
}

// notBehind is behindFor's answer for a process that acts on the newest revision.
const notBehind = -1

// behindFor is for how long there has been a revision that a process has not acknowledged.
func (c *Controller) behindFor(p *processState) int64 {
	i, _ := slices.BinarySearchFunc(c.revisionTimes, p.AcknowledgedRev+1, func(t revisionTime, rev int64) int {
		return int(min(max(t.rev-rev, -1), 1))
	})
	if i == len(c.revisionTimes) {
		return notBehind
	}
	return c.now - c.revisionTimes[i].at
}

// inContact reports whether a process has reported within a term.
func (c *Controller) inContact(p *processState) bool {
	return !p.Gone && c.now-p.LastReport <= c.options.LeaseTerm
}

// anyInContact reports whether any process is in contact. If none is, nothing is known of the fleet.
func (c *Controller) anyInContact() bool {
	for _, p := range c.processes {
		if c.inContact(p) {
			return true
		}
	}
	return false
}

// serviceAtFault reports whether so many processes are stragglers that the service itself must be at fault.
func (c *Controller) serviceAtFault() bool {
	if c.serviceFaultKnown {
		return c.serviceFault
	}
	total, stragglers := 0, 0
	for _, p := range c.processes {
		if !c.inContact(p) {
			continue
		}
		total++
		if c.behindFor(p) >= c.options.StragglerAfter {
			stragglers++
		}
	}
	c.serviceFault = float64(stragglers) > c.options.MaxStragglerFraction*float64(total)
	c.serviceFaultKnown = true
	return c.serviceFault
}
