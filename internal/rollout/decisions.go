package rollout

// This file decides which rollouts advance, pause, resume or roll back, which revisions are closed, and which processes
// count as gone.

import (
	"maps"
	"math"
	"slices"

	"marblelane/internal/route"
)

// Tick returns the commands that are due, and the changes of access since the last Tick. The caller sets AtMS of the
// commands. Tick may be called at any rate; a command that was not applied is returned again. ready returns the number of
// ready servers in a subset.
func (c *Controller) Tick(
	now int64, s *State, ready func(route.Subset) int,
) (commands []Command, changes []AccessChange) {
	c.sync(now, s)
	c.expireSilentProcesses()
	for _, tenant := range slices.Sorted(maps.Keys(c.rollouts)) {
		t := s.tenants[tenant]
		if t == nil || t.Live == nil {
			continue
		}
		if command, due := c.rolloutCommand(c.rollouts[tenant], t.Live, ready); due {
			command.Tenant, command.Name = tenant, t.Live.Spec.Name
			commands = append(commands, command)
		}
	}
	if rev := c.closableRev(s); rev > s.ClosedRev() {
		c.closingRev = rev
		commands = append(commands, Command{Op: OpClose, Rev: rev})
	}
	for entries := range slices.Chunk(c.closingEntries(s), maxEntriesPerCommand) {
		commands = append(commands, Command{Op: OpLedger, Entries: entries})
	}
	changes, c.accessChanges = c.accessChanges, nil
	slices.SortStableFunc(changes, func(a, b AccessChange) int { return compareProcesses(a.Process, b.Process) })
	return commands, changes
}

// expireSilentProcesses marks processes without recent reports as gone, later drops them, and drops demands that
// were not repeated.
func (c *Controller) expireSilentProcesses() {
	for key, p := range c.processes {
		silence := c.now - p.LastReport
		if silence > c.options.goneTimeout() {
			c.markGone(p)
		}
		if silence > c.options.DropAfter && p.LeaseUntil <= c.now {
			delete(c.processes, key)
			if c.newestStart[p.Name] == p.Start {
				delete(c.newestStart, p.Name)
			}
		}
	}
	for _, progress := range c.rollouts {
		for key, demand := range progress.demands {
			if c.now-demand.requestedAt > c.options.termWithMargin() {
				progress.dequeue(demand)
				delete(progress.demands, key)
			}
		}
	}
}

// rolloutCommand returns the command that is due for one rollout, if any.
func (c *Controller) rolloutCommand(
	progress *rolloutProgress, r *rolloutState, ready func(route.Subset) int,
) (command Command, due bool) {
	noReadyServer := ready(r.Spec.Canary) == 0
	switch {
	case progress.maxLogEvidence >= -math.Log(c.options.Alpha):
		return Command{Op: OpRollBack, Reason: ReasonCanaryWorse}, true
	case r.Phase == Running && noReadyServer:
		return Command{Op: OpPause, Reason: ReasonNoReadyServer}, true
	case r.Phase == Running && c.serviceAtFault():
		return Command{Op: OpPause, Reason: ReasonStragglers}, true
	case r.Phase == Running && c.stepComplete(progress, r):
		return Command{Op: OpForward, Step: r.Step}, true
	case r.Phase == Paused && pausedByController(r.Reason):
		resume := !noReadyServer && c.earlierLeasesExpired() && !c.serviceAtFault() && c.anyInContact()
		return Command{Op: OpResume}, resume
	}
	return Command{}, false
}

// stepComplete reports whether a rollout may leave its step: the step has lasted long enough, enough attempts have ended,
// and each process that is neither gone nor shut out has acknowledged the step's revision. A silent process blocks the
// step until it counts as gone, as the revision that it acts on is unknown.
func (c *Controller) stepComplete(progress *rolloutProgress, r *rolloutState) bool {
	step := r.Spec.Steps[r.Step]
	if !c.earlierLeasesExpired() || c.now-progress.revSeenAt < step.HoldMS || progress.canaryEnded < step.MinAttempts {
		return false
	}
	for _, p := range c.processes {
		if !p.Gone && !p.ShutOut && p.AcknowledgedRev < r.Rev {
			return false
		}
	}
	return c.anyInContact()
}

// closableRev returns the newest revision under which no attempt can begin any more, or 0 if none is known. A process
// with a lease may act on the revision that it has acknowledged, or on a later one, until the lease has expired on every
// clock.
func (c *Controller) closableRev(s *State) int64 {
	if !c.earlierLeasesExpired() {
		return 0
	}
	rev := s.Rev() - 1
	for _, p := range c.processes {
		if p.LeaseUntil > c.now {
			rev = min(rev, p.AcknowledgedRev-1)
		}
	}
	return rev
}

// closingEntries returns ledger entries that close the accounts of processes that are gone.
func (c *Controller) closingEntries(s *State) []LedgerEntry {
	var out []LedgerEntry
	for _, t := range s.sortedTenants() {
		r := t.Live
		if r == nil && len(t.Ended) > 0 {
			r = t.Ended[len(t.Ended)-1] // the accounts of earlier rollouts are already folded
		}
		if r == nil {
			continue
		}
		first := len(out)
		for key, account := range r.Ledger {
			if id, ok := parseAccountKey(key); ok && !account.Gone && c.isGone(id) {
				out = append(out, LedgerEntry{Process: id, Tenant: t.Name, Rollout: r.id(), Gone: true})
			}
		}
		slices.SortFunc(out[first:], func(a, b LedgerEntry) int { return compareProcesses(a.Process, b.Process) })
	}
	return out
}

// isGone reports whether a process counts as gone. A process that has not reported to this leader counts as silent since
// the leader began to lead.
func (c *Controller) isGone(id route.Process) bool {
	if p := c.processes[AccountKey(id)]; p != nil {
		return p.Gone
	}
	return id.Start < c.newestStart[id.Name] || c.now-c.startedAt > c.options.goneTimeout()
}
