package routeleader

import (
	"maps"
	"slices"
	"sync"
	"time"

	"marblelane/internal/audit"
	"marblelane/internal/registry/state"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// processRecords holds the leader's in-memory state of processes and the changes to it that are not replicated yet. Its
// lock is acquired before the lock of the replicated state, and is never held during a commit.
type processRecords struct {
	clock     leaderClock
	retention time.Duration // how long a process is counted as present after its last report

	mu           sync.Mutex // guards the fields below
	controller   *rollout.Controller
	tracker      *audit.Tracker
	pending      []audit.Transition             // audit transitions that are not replicated yet
	unreplicated map[string]state.SchemaSupport // schema support that is not replicated yet, by process name
	observed     map[string]state.SchemaSupport // schema support reported since refreshedAt, by process name
	refreshedAt  time.Time
	flushedAt    time.Time
	prunedAt     time.Time
}

// withState calls f while it holds the lock of the records and then the lock of the state.
func (p *processRecords) withState(list stateReader, f func(*state.State)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list.Read(f)
}

// recordAccessChanges records access changes of processes and returns their audit transitions. The caller holds p.mu.
func (p *processRecords) recordAccessChanges(all []rollout.AccessChange, now time.Time) []audit.Transition {
	var out []audit.Transition
	for _, s := range all {
		kind := audit.Readmitted
		switch {
		case s.Gone:
			kind = audit.Gone
		case s.ShutOut:
			kind = audit.ShutOut
		}
		out = append(out, p.tracker.AccessChanged(p.clock.ceil(now), p.clock.wall(now), s.Process, kind, s.AcknowledgedRev, "")...)
	}
	return out
}

// observe records which schemas a process reads; the caller holds p.mu. A new process or a changed set is replicated
// with the next flush. All others are replicated together every quarter of the retention, so the number of disk
// writes does not grow with the number of processes.
func (p *processRecords) observe(s *state.State, report *route.Report, wallMS int64) {
	seen := state.SchemaSupport{Process: report.Process, Schemas: slices.Clone(report.Schemas), AtMS: wallMS}
	p.observed[report.Name] = seen
	if old, ok := s.Processes[report.Name]; !ok || old.Start < report.Start || old.Start == report.Start && !slices.Equal(old.Schemas, report.Schemas) {
		p.unreplicated[report.Name] = seen
	}
	if len(p.observed) > state.MaxKnownProcesses {
		p.observed = map[string]state.SchemaSupport{}
	}
}

// queueTransitions queues the transitions that are not in the audit log yet for replication, and drops the oldest
// beyond maxPendingTransitions. The caller holds p.mu.
func (p *processRecords) queueTransitions(s *state.State, all []audit.Transition) {
	p.pending = append(p.pending, s.AuditLog.FilterNew(all)...)
	if extra := len(p.pending) - maxPendingTransitions; extra > 0 {
		p.pending = slices.Delete(p.pending, 0, extra)
	}
}

// takeUnreplicated returns a command with everything that is queued for replication, and empties the queues. It returns
// nil if nothing is queued or if the previous command was returned less than auditBatchWait ago.
func (p *processRecords) takeUnreplicated(now time.Time) *state.Command {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.prunedAt) >= time.Minute {
		p.tracker.DropExpired(p.clock.floor(now))
		p.prunedAt = now
	}
	if now.Sub(p.refreshedAt) >= p.retention/4 {
		maps.Copy(p.unreplicated, p.observed)
		p.observed, p.refreshedAt = map[string]state.SchemaSupport{}, now
	}
	if now.Sub(p.flushedAt) < auditBatchWait || len(p.pending) == 0 && len(p.unreplicated) == 0 {
		return nil
	}
	c := &state.Command{Op: state.OpAudit, Audit: p.pending}
	for _, name := range slices.Sorted(maps.Keys(p.unreplicated)) {
		c.Seen = append(c.Seen, p.unreplicated[name])
	}
	p.pending, p.unreplicated, p.flushedAt = nil, map[string]state.SchemaSupport{}, now
	return c
}

// requeue queues the content of a failed command again.
func (p *processRecords) requeue(c *state.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(c.Audit, p.pending...)
	for _, process := range c.Seen {
		if _, ok := p.unreplicated[process.Name]; !ok {
			p.unreplicated[process.Name] = process
		}
	}
}
