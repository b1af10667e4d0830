package rollout

// This file processes the reports of processes and grants canary leases.

import (
	"fmt"
	"math"
	"slices"

	"marblelane/internal/route"
)

// Report applies a report and returns a response with a lease, or with the reason for granting none. After the report
// arrived, the caller must have confirmed with a majority that it is the leader. If Resync is set in the response, the
// caller adds the table.
func (c *Controller) Report(now int64, s *State, r *route.Report) route.ReportResponse {
	c.sync(now, s)
	response := route.ReportResponse{Stamp: route.LeaderTime{Leader: c.options.Leader, MS: c.now}, NewestRev: s.Rev()}
	if response.Reason = checkReport(r); response.Reason != "" {
		return response
	}
	if newest := c.newestStart[r.Name]; r.Start < newest {
		response.Reason, response.NewestStart = "a later start of this name has reported", newest
		return response
	}
	p := c.processes[AccountKey(r.Process)]
	if p == nil {
		if len(c.processes) >= MaxProcesses {
			response.Reason = fmt.Sprintf("there are %d processes, as many as are kept", MaxProcesses)
			return response
		}
		p = c.addProcess(r.Process)
	}
	p.AcknowledgedRev = max(p.AcknowledgedRev, r.AcknowledgedRev) // the revision never falls, so an old report is valid, too
	c.serviceFaultKnown = false
	if r.Seq < p.reportSeq {
		response.Reason = "a later report of this process has come"
		return response
	}
	if r.Seq > p.reportSeq {
		c.applyReport(p, r)
	}
	c.renewLease(s, p, &response)
	return response
}

// checkReport returns a description of the first field of a report that is out of its bound, or an empty string.
func checkReport(r *route.Report) string {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes:
		return fmt.Sprintf("name has %d bytes, not 1 to %d", len(r.Name), MaxNameBytes)
	case r.Start < 1:
		return fmt.Sprintf("start is %d, below 1", r.Start)
	case r.Seq < 1:
		return fmt.Sprintf("seq is %d, below 1", r.Seq)
	case len(r.Schemas) > maxSchemasPerReport:
		return fmt.Sprintf("schemas are %d, more than %d", len(r.Schemas), maxSchemasPerReport)
	case len(r.Version) > MaxNameBytes || len(r.Config) > MaxNameBytes:
		return fmt.Sprintf("version or config is longer than %d bytes", MaxNameBytes)
	}
	return ""
}

// addProcess adds a process and marks the earlier process of the same name as gone. The lease of the earlier one still
// lasts until it expires.
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
		c.recordAccessChange(AccessChange{Process: p.Process, Gone: true, AcknowledgedRev: p.AcknowledgedRev})
	}
}

func (c *Controller) recordAccessChange(change AccessChange) {
	c.accessChanges = append(c.accessChanges, change)
}

// applyReport updates a process from its newest report.
func (c *Controller) applyReport(p *processState, r *route.Report) {
	if p.Gone { // the process was only silent; its closed accounts stay closed
		p.Gone = false
		c.recordAccessChange(AccessChange{Process: p.Process, Readmitted: true, AcknowledgedRev: p.AcknowledgedRev})
	}
	first := p.reportSeq == 0
	p.reportSeq, p.LastReport = r.Seq, c.now
	p.UnreadableRev, p.ListRev = r.UnreadableRev, r.ListRev
	p.Version, p.Config = r.Version, r.Config
	p.Schemas = slices.Clone(r.Schemas)
	mayHaveBeenDropped := first && c.now-c.startedAt > c.options.DropAfter && r.Seq > 1
	c.analyzeCounts(p, r, mayHaveBeenDropped)
}

// renewLease grants a lease for a term, or sets the reason for granting none.
func (c *Controller) renewLease(s *State, p *processState, response *route.ReportResponse) {
	behind := c.behindFor(p)
	reason := c.shutOutReason(s, p, behind)
	if shutOut := reason != ""; shutOut != p.ShutOut {
		p.ShutOut = shutOut
		c.recordAccessChange(AccessChange{
			Process: p.Process, ShutOut: shutOut, Readmitted: !shutOut, AcknowledgedRev: p.AcknowledgedRev,
		})
	}
	// A closed revision, or one whose close is being replicated, gets no lease: the table of this process is too old.
	if closed := max(s.ClosedRev(), c.closingRev); reason == "" && p.AcknowledgedRev <= closed {
		reason = fmt.Sprintf("it acts on revision %d, and %d is closed", p.AcknowledgedRev, closed)
	}
	// Another copy of the newest table is no use to a process that cannot read it.
	response.Resync = behind >= c.options.StragglerAfter && p.UnreadableRev < s.Rev()
	response.Reason = reason
	if reason == "" {
		response.LeaseMS = c.options.LeaseTerm
		p.LeaseUntil = c.now + c.options.termWithMargin()
	}
}

// shutOutReason returns the reason why a process is shut out of canaries, or an empty string if it is not. behind is the
// result of behindFor.
func (c *Controller) shutOutReason(s *State, p *processState, behind int64) string {
	if newest := p.newestSchema(); newest < s.MinSchema() {
		return fmt.Sprintf("it reads schemas up to %d, and %d is asked for", newest, s.MinSchema())
	}
	if behind >= c.options.ShutOutAfter && !c.serviceAtFault() {
		return fmt.Sprintf("it acts on revision %d, and has lacked a later one for %d ms", p.AcknowledgedRev, behind)
	}
	return ""
}

// notBehind is the result of behindFor for a process that has acknowledged the newest revision.
const notBehind = -1

// behindFor returns for how many milliseconds a revision has existed that the process has not acknowledged, or notBehind.
func (c *Controller) behindFor(p *processState) int64 {
	i, _ := slices.BinarySearchFunc(c.revisionTimes, p.AcknowledgedRev+1, func(t revisionTime, rev int64) int {
		return int(min(max(t.rev-rev, -1), 1))
	})
	if i == len(c.revisionTimes) {
		return notBehind
	}
	return c.now - c.revisionTimes[i].at
}

// inContact reports whether a process has reported within the last lease term.
func (c *Controller) inContact(p *processState) bool {
	return !p.Gone && c.now-p.LastReport <= c.options.LeaseTerm
}

// anyInContact reports whether any process is in contact. If none is, the state of the fleet is unknown.
func (c *Controller) anyInContact() bool {
	for _, p := range c.processes {
		if c.inContact(p) {
			return true
		}
	}
	return false
}

// newestSchema returns the newest schema that a process reads, or 0 if it has named none.
func (p *processState) newestSchema() int { return slices.Max(append([]int{0}, p.Schemas...)) }

// serviceAtFault reports whether so many processes are stragglers that the cause must be the service itself. Processes
// that are shut out for their schema do not count: they cannot read a newer table, so that they stay behind through no
// fault of the service.
func (c *Controller) serviceAtFault() bool {
	if c.serviceFaultKnown {
		return c.serviceFault
	}
	total, stragglers := 0, 0
	for _, p := range c.processes {
		if !c.inContact(p) || p.newestSchema() < c.minSchema {
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
