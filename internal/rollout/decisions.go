package rollout

// This file decides what is due: which rollouts go on, pause or roll back, which revisions close, and which processes
// are gone.

import (
	"maps"
	"math"
	"slices"

	"marblelane/internal/route"
)

// Tick returns the commands that are due, whose AtMS the caller sets, and the changes of access since the last Tick.
// It may be called as often as wanted; a command that is not carried out comes again. ready counts the ready servers of
// a subset.
func (c *Controller) Tick(
	now int64, s *State, ready func(route.Subset) int,
) (commands []Command, changes []AccessChange) {
	c.sync(now, s)
	c.expireSilent()
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
	for entries := range slices.Chunk(c.entriesOfGone(s), maxEntriesPerCommand) {
		commands = append(commands, Command{Op: OpLedger, Entries: entries})
	}
	changes, c.accessChanges = c.accessChanges, nil
	slices.SortStableFunc(changes, func(a, b AccessChange) int { return compareProcesses(a.Process, b.Process) })
	return commands, changes
}

// expireSilent marks silent processes as gone, forgets them in the end, and drops their demands.
func (c *Controller) expireSilent() {
	for key, p := range c.processes {
		silence := c.now - p.LastReport
		if silence > c.options.silenceUntilGone() {
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
			if c.now-demand.requestedAt > c.options.lengthenedTerm() {
				progress.dequeue(demand)
				delete(progress.demands, key)
			}
		}
	}
}

// rolloutCommand is what is due for one rollout, at most one command.
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

// stepComplete reports whether a rollout may go on from its step: the time is over, enough attempts have ended, and
// each process that is neither gone nor shut out has acknowledged the step's revision. A silent process is waited for
// until it is gone, as it is not known what it acts on.
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

// closableRev is the newest revision under which no attempt begins any more; 0: not known. A process with a lease acts
// on the revision that it has acknowledged, or on a later one, until its lengthened term is over.
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

// entriesOfGone close the accounts of processes that are gone.
func (c *Controller) entriesOfGone(s *State) []LedgerEntry {
	var out []LedgerEntry
	for _, t := range s.sortedTenants() {
		r := t.Live
		if r == nil && len(t.Ended) > 0 {
			r = t.Ended[len(t.Ended)-1] // earlier ones have no account but the sum
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

// isGone reports whether nothing more comes of a process. One that this leader does not know counts as silent since the
// leader began to lead.
func (c *Controller) isGone(id route.Process) bool {
	if p := c.processes[AccountKey(id)]; p != nil {
		return p.Gone
	}
	return id.Start < c.newestStart[id.Name] || c.now-c.startedAt > c.options.silenceUntilGone()
}
