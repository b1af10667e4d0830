package routeleader

// This file processes reports: which processes exist, and the audit transitions replicated from them.

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"marblelane/internal/audit"
	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// relevantProcesses returns the processes that have to read a table alike: those that reported to this leader or an
// earlier one within ForgetAfter. Processes shut out for reading less than the minimum schema count until their last
// Lease ends. wait is positive while this leader may not know all of them yet.
func (r *Routing) relevantProcesses(l *leadership) (all []state.SchemaSupport, wait time.Duration) {
	now := time.Now()
	known := withClockMargin(l.leaseTermMS, l.o.ClockMargin)
	if since := now.Sub(l.decisionsFrom); since < known {
		return nil, known - since
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.floor(now)
	reported, named := l.controller.Processes(at), map[string]int64{}
	for _, p := range reported {
		named[p.Name] = max(named[p.Name], p.Start)
	}
	r.list.Read(func(s *state.State) {
		excused := func(schemas []int) bool { return slices.Max(append([]int{0}, schemas...)) < s.Routes.MinSchema() }
		for _, p := range reported {
			if p.Start == named[p.Name] && !(p.LeaseUntil <= at && excused(p.Schemas)) {
				all = append(all, state.SchemaSupport{Process: p.Process, Schemas: p.Schemas, AtMS: l.wall(l.startedAt) + p.LastReport - l.floor(l.startedAt)})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(s.Processes)) {
			p := s.Processes[name]
			if _, ok := named[name]; !ok && l.wall(now)-p.AtMS <= l.o.ForgetAfter && !excused(p.Schemas) {
				all = append(all, p)
			}
		}
	})
	return all, 0
}

// recordAccessChanges records access changes of processes and returns their audit transitions. The caller holds l.mu.
func (l *leadership) recordAccessChanges(all []rollout.AccessChange, now time.Time) []audit.Transition {
	var out []audit.Transition
	for _, s := range all {
		kind := audit.Readmitted
		switch {
		case s.Gone:
			kind = audit.Gone
		case s.ShutOut:
			kind = audit.ShutOut
		}
		out = append(out, l.tracker.AccessChanged(l.ceil(now), l.wall(now), s.Process, kind, s.AcknowledgedRev, "")...)
	}
	return out
}

// answerReports verifies leadership once for a batch of reports, then processes and answers them.
func (r *Routing) answerReports(all []reportCall) {
	fail := func(err error) {
		for _, a := range all {
			a.answer(nil, err)
		}
	}
	l := r.current()
	if l == nil {
		fail(listserver.ErrNotLeader)
		return
	}
	if err := r.replica.Confirm(); err != nil {
		fail(err)
		return
	}
	if r.current() != l { // the check may have confirmed a later term
		fail(listserver.ErrNotLeader)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	line := r.tables.newest()
	for _, a := range all {
		var answer route.ReportResponse
		now := time.Now()
		r.list.Read(func(s *state.State) {
			answer = l.controller.Report(l.ceil(now), s.Routes, a.request)
			l.observe(s, a.request, l.wall(now))
			l.queueTransitions(s, l.tracker.Report(l.ceil(now), l.wall(now), a.request))
		})
		answer.Stamp = route.Moment{Leader: l.id, MS: l.floor(now)}
		if answer.Resync {
			encoded, err := line.text(a.request.Schemas)
			if err != nil {
				r.log.Error("registry: the table of routes cannot be told", "error", err)
			}
			answer.Table = json.RawMessage(encoded.text)
		}
		a.answer(&answer, nil)
	}
}

// observe records which schemas a process reads. A new process or a changed set is replicated with the next flush; all
// others are refreshed together every quarter of ForgetAfter, so disk writes do not grow with the number of processes.
func (l *leadership) observe(s *state.State, p *route.Report, wallMS int64) {
	seen := state.SchemaSupport{Process: p.Process, Schemas: slices.Clone(p.Schemas), AtMS: wallMS}
	l.observed[p.Name] = seen
	if old, ok := s.Processes[p.Name]; !ok || old.Start < p.Start || old.Start == p.Start && !slices.Equal(old.Schemas, p.Schemas) {
		l.unsavedProcesses[p.Name] = seen
	}
	if len(l.observed) > state.MaxKnownProcesses {
		l.observed = map[string]state.SchemaSupport{}
	}
}

// queueTransitions queues transitions that the audit log does not have yet for replication.
func (l *leadership) queueTransitions(s *state.State, all []audit.Transition) {
	l.pending = append(l.pending, s.AuditLog.Fresh(all)...)
	if extra := len(l.pending) - maxPendingTransitions; extra > 0 {
		l.pending = slices.Delete(l.pending, 0, extra)
	}
}

// flush replicates the queued audit transitions and schema support.
func (r *Routing) flush(l *leadership) {
	now := time.Now()
	l.mu.Lock()
	if now.Sub(l.prunedAt) >= time.Minute {
		l.tracker.Forget(l.floor(now))
		l.prunedAt = now
	}
	if now.Sub(l.refreshedAt) >= l.remember()/4 {
		maps.Copy(l.unsavedProcesses, l.observed)
		l.observed, l.refreshedAt = map[string]state.SchemaSupport{}, now
	}
	if now.Sub(l.flushedAt) < auditBatchWait || len(l.pending) == 0 && len(l.unsavedProcesses) == 0 {
		l.mu.Unlock()
		return
	}
	c := &state.Command{Op: state.OpAudit, Audit: l.pending, Term: l.term}
	for _, name := range slices.Sorted(maps.Keys(l.unsavedProcesses)) {
		c.Seen = append(c.Seen, l.unsavedProcesses[name])
	}
	l.pending, l.unsavedProcesses, l.flushedAt = nil, map[string]state.SchemaSupport{}, now
	l.mu.Unlock()
	if err := r.apply(c); err != nil {
		r.log.Warn("registry: routes: transitions are not replicated", "error", err)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pending = append(c.Audit, l.pending...)
		for _, p := range c.Seen {
			if _, ok := l.unsavedProcesses[p.Name]; !ok {
				l.unsavedProcesses[p.Name] = p
			}
		}
	}
}
