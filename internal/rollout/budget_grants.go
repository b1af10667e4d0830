package rollout

// This file divides the remaining error budget among the processes that request units of it.

import (
	"slices"

	"marblelane/internal/route"
)

// unitDemand is the demand of one process for units of a rollout's budget.
type unitDemand struct {
	requestedAt, grantedAt int64 // time of the last request and of the last grant; -1: never
	ticket                 int64 // identifies the place in the queue; 0: not queued
}

// BudgetEntries returns the ledger entries for a process's request: settlements of the units that it has spent and
// returned, and grants of units that it needs. Only a process with a lease gets a grant. The caller replicates the entries,
// alone or with those of other requests, and then responds with BudgetResponse.
func (c *Controller) BudgetEntries(now int64, s *State, request *route.BudgetRequest) []LedgerEntry {
	c.sync(now, s)
	key := AccountKey(request.Process)
	p := c.processes[key]
	hasLease := p != nil && !p.Gone && p.LeaseUntil > c.now
	var out []LedgerEntry
	for _, budget := range request.Budgets[:min(len(request.Budgets), MaxBudgetsPerRequest)] {
		r := s.findRollout(budget.Tenant, budget.Rollout)
		if r == nil {
			continue
		}
		old := r.Ledger[key]
		account, ok := old.settle(budget.Spent, budget.Returned)
		if !ok || old.Gone {
			continue
		}
		if progress := c.progressOf(budget.Tenant, r); hasLease && r.Phase == Running && progress != nil {
			unitsLeft := r.unitsLeft() + account.Returned - old.Returned
			account.Granted += c.grantSize(progress, r, key, account, unitsLeft, budget.Wanted)
		}
		if account != old {
			out = append(out, LedgerEntry{
				Process: request.Process, Tenant: budget.Tenant, Rollout: r.id(),
				Granted: account.Granted, Spent: account.Spent, Returned: account.Returned,
			})
		}
	}
	return out
}

// grantSize returns the number of units to grant to a process. A grant is at most half of the units left, divided by the
// number of processes with a demand, so that units remain for later requests. A process that has no units and gets none
// is queued; the last units go to the head of the queue.
func (c *Controller) grantSize(
	progress *rolloutProgress, r *rolloutState, key string, account Account, unitsLeft, wanted int64,
) int64 {
	demand := progress.demands[key]
	if demand == nil {
		demand = &unitDemand{grantedAt: -1}
		progress.demands[key] = demand
	}
	demand.requestedAt = c.now
	outstanding := account.outstanding()
	need := min(wanted, r.Spec.Budget) - outstanding
	if need <= 0 {
		progress.dequeue(demand)
		return 0
	}
	if outstanding == 0 && demand.ticket == 0 {
		progress.enqueue(demand)
	}
	unitsLeft -= progress.waitingBefore(demand)
	fair := max(1, unitsLeft/(2*int64(len(progress.demands))))
	size := min(need, unitsLeft, fair)
	if c.options.MaxGrant > 0 {
		size = min(size, c.options.MaxGrant)
	}
	if size <= 0 {
		return 0
	}
	progress.dequeue(demand)
	demand.grantedAt = c.now
	return size
}

func (w *rolloutProgress) enqueue(d *unitDemand) {
	w.lastTicket++
	d.ticket = w.lastTicket
	w.queue = append(w.queue, d.ticket)
}

// dequeue removes a demand from the queue if it is queued.
func (w *rolloutProgress) dequeue(d *unitDemand) {
	if i, found := slices.BinarySearch(w.queue, d.ticket); found {
		w.queue = slices.Delete(w.queue, i, i+1)
	}
	d.ticket = 0
}

// waitingBefore returns the number of queued demands before this one, or of all queued demands if it is not queued.
func (w *rolloutProgress) waitingBefore(d *unitDemand) int64 {
	if d.ticket == 0 {
		return int64(len(w.queue))
	}
	i, _ := slices.BinarySearch(w.queue, d.ticket)
	return int64(i)
}

// BudgetResponse returns the response to a request from the replicated ledger. It must be called after the entries of
// BudgetEntries are applied. The response asks a process to return idle units while other processes wait for units, and
// all idle units once the rollout has ended.
func (c *Controller) BudgetResponse(s *State, request *route.BudgetRequest) route.BudgetResponse {
	key := AccountKey(request.Process)
	var out route.BudgetResponse
	for _, budget := range request.Budgets[:min(len(request.Budgets), MaxBudgetsPerRequest)] {
		grant := route.BudgetGrant{Tenant: budget.Tenant, Rollout: budget.Rollout}
		if r := s.findRollout(budget.Tenant, budget.Rollout); r != nil {
			account := r.Ledger[key]
			grant.Granted = account.Granted
			if progress := c.progressOf(budget.Tenant, r); !r.Phase.IsFinal() && !account.Gone && progress != nil {
				grant.MaxIdle = c.maxIdle(progress, r, key, budget.Wanted)
			}
		}
		out.Budgets = append(out.Budgets, grant)
	}
	return out
}

// maxIdle returns the number of idle units that a process may keep: the wanted number, or its fair share if more processes
// wait than units are left. With fewer units than processes, a process may keep one unit for a lease term after its grant.
func (c *Controller) maxIdle(progress *rolloutProgress, r *rolloutState, key string, wanted int64) int64 {
	demand, othersWaiting := progress.demands[key], int64(len(progress.queue))
	if demand != nil && demand.ticket != 0 {
		othersWaiting--
	}
	if othersWaiting <= r.unitsLeft() {
		return max(0, wanted)
	}
	share := (r.Spec.Budget - r.totals.Spent) / int64(max(1, len(progress.demands)))
	if share == 0 && demand != nil && demand.grantedAt >= 0 && c.now-demand.grantedAt < c.options.LeaseTerm {
		share = 1
	}
	return max(0, min(wanted, share))
}
