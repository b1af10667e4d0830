package routeleader

// This file processes reports: which processes exist, and the audit transitions replicated from them.

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
	"marblelane/internal/route"
)

// relevantProcesses returns the processes that have to read a table alike: those that reported to this leader or an
// earlier one within ForgetAfter. Processes shut out for reading less than the minimum schema count until their last
// Lease ends. wait is positive while this leader may not know all of them yet.
func (r *Routing) relevantProcesses(l *leadership) (all []state.SchemaSupport, wait time.Duration) {
	now := time.Now()
	known := withClockMargin(l.leaseTermMS, l.options.ClockMargin)
	if since := now.Sub(l.decisionsFrom); since < known {
		return nil, known - since
	}
	l.processes.mu.Lock()
	defer l.processes.mu.Unlock()
	at := l.floor(now)
	reported, named := l.processes.controller.Processes(at), map[string]int64{}
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
			if _, ok := named[name]; !ok && l.wall(now)-p.AtMS <= l.options.DropAfter && !excused(p.Schemas) {
				all = append(all, p)
			}
		}
	})
	return all, 0
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
	l.processes.mu.Lock()
	defer l.processes.mu.Unlock()
	line := r.tables.newest()
	for _, a := range all {
		var answer route.ReportResponse
		now := time.Now()
		r.list.Read(func(s *state.State) {
			answer = l.processes.controller.Report(l.ceil(now), s.Routes, a.request)
			l.processes.observe(s, a.request, l.wall(now))
			l.processes.queueTransitions(s, l.processes.tracker.Report(l.ceil(now), l.wall(now), a.request))
		})
		answer.Stamp = route.LeaderTime{Leader: l.id, MS: l.floor(now)}
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

// flush replicates the queued audit transitions and schema support.
func (r *Routing) flush(l *leadership) {
	c := l.processes.takeUnreplicated(time.Now())
	if c == nil {
		return
	}
	c.Term = l.term
	if err := r.apply(c); err != nil {
		r.log.Warn("registry: routes: transitions are not replicated", "error", err)
		l.processes.requeue(c)
	}
}
