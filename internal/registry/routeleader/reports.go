package routeleader

// This file processes reports: it tracks which processes are present and replicates the audit transitions of reports.

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
	"marblelane/internal/route"
)

// relevantProcesses returns the processes that must all read a new table with the same meaning: those that reported to
// this leader or an earlier one within DropAfter. A process that is shut out because it reads only schemas below the
// minimum is included until its last lease ends. While this leader may not know all of these processes yet, it returns
// none and the remaining time as wait.
func (r *Routing) relevantProcesses(l *leadership) (all []state.SchemaSupport, wait time.Duration) {
	now := time.Now()
	settleTime := withClockMargin(l.leaseTermMS, l.options.ClockMargin)
	if since := now.Sub(l.decisionsFrom); since < settleTime {
		return nil, settleTime - since
	}
	l.processes.mu.Lock()
	defer l.processes.mu.Unlock()
	at := l.floor(now)
	reported, newestStart := l.processes.controller.Processes(at), map[string]int64{}
	for _, p := range reported {
		newestStart[p.Name] = max(newestStart[p.Name], p.Start)
	}
	r.list.Read(func(s *state.State) {
		belowMinSchema := func(schemas []int) bool { return slices.Max(append([]int{0}, schemas...)) < s.Routes.MinSchema() }
		for _, p := range reported {
			if p.Start == newestStart[p.Name] && !(p.LeaseUntil <= at && belowMinSchema(p.Schemas)) {
				all = append(all, state.SchemaSupport{Process: p.Process, Schemas: p.Schemas, AtMS: l.wall(l.startedAt) + p.LastReport - l.floor(l.startedAt)})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(s.Processes)) {
			p := s.Processes[name]
			if _, ok := newestStart[name]; !ok && l.wall(now)-p.AtMS <= l.options.DropAfter && !belowMinSchema(p.Schemas) {
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
	if r.current() != l { // the quorum may have confirmed the leadership of a later term
		fail(listserver.ErrNotLeader)
		return
	}
	l.processes.mu.Lock()
	defer l.processes.mu.Unlock()
	newest := r.tables.newest()
	for _, a := range all {
		var response route.ReportResponse
		now := time.Now()
		r.list.Read(func(s *state.State) {
			response = l.processes.controller.Report(l.ceil(now), s.Routes, a.request)
			l.processes.observe(s, a.request, l.wall(now))
			l.processes.queueTransitions(s, l.processes.tracker.Report(l.ceil(now), l.wall(now), a.request))
		})
		response.Stamp = route.LeaderTime{Leader: l.id, MS: l.floor(now)}
		if response.Resync {
			encoded, err := newest.text(a.request.Schemas)
			if err != nil {
				r.log.Error("registry: routes: failed to encode the table", "error", err)
			}
			response.Table = json.RawMessage(encoded.text)
		}
		a.answer(&response, nil)
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
		r.log.Warn("registry: routes: failed to replicate transitions", "error", err)
		l.processes.requeue(c)
	}
}
