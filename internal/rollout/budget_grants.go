package rollout

// This file divides what is left of an error budget among the processes that request it.

import (
	"slices"

	"marblelane/internal/route"
)

// unitDemand is one process's demand for units of a budget.
type unitDemand struct {
	requestedAt, grantedAt int64 // the last times; -1: never
	ticket                 int64 // place in the queue; 0: not queued
}

// BudgetEntries are the ledger entries that a process's request makes: the settlement of what it has spent and returned,
// and grants by need. Only a process with a lease gets a grant. The entries are to be replicated, alone or with those of
// other requests; then BudgetResponse is the answer.
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
			left := r.unitsLeft() + account.Returned - old.Returned
			account.Granted += c.grantSize(progress, r, key, account, left, budget.Wanted)
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

// grantSize is how many of the units left a process is granted: half of them, divided by the number of processes that
// request some, so that the next requests find some, too. A process that holds none and gets none is queued; the last
// units go to the head of the queue.
func (c *Controller) grantSize(
	progress *rolloutProgress, r *rolloutState, key string, account Account, left, wanted int64,
) int64 {
	demand := progress.demands[key]
	if demand == nil {
		demand = &unitDemand{grantedAt: -1}
		progress.demands[key] = demand
	}
	demand.requestedAt = c.now
	held := account.unsettled()
	need := min(wanted, r.Spec.Budget) - held
	if need <= 0 {
		progress.dequeue(demand)
		return 0
	}
	if held == 0 && demand.ticket == 0 {
		progress.enqueue(demand)
	}
	left -= progress.waitingBefore(demand)
	fair := max(1, left/(2*int64(len(progress.demands))))
	size := min(need, left, fair)
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

// dequeue takes a demand out of the queue, if it is there.
func (w *rolloutProgress) dequeue(d *unitDemand) {
	if i, found := slices.BinarySearch(w.queue, d.ticket); found {
		w.queue = slices.Delete(w.queue, i, i+1)
	}
	d.ticket = 0
}

// waitingBefore is how many demands in the queue come before this one; all, where it is not queued.
func (w *rolloutProgress) waitingBefore(d *unitDemand) int64 {
	if d.ticket == 0 {
		return int64(len(w.queue))
	}
	i, _ := slices.BinarySearch(w.queue, d.ticket)
	return int64(i)
}

// BudgetResponse is the answer to a request, by the replicated ledger: it is called after the entries of BudgetEntries
// are applied. Idle units are wanted back where other processes lack some, and all of them once the rollout is over.
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

// maxIdle is how many idle units a process may hold: what it wants, or its fair part where others lack units. With fewer
// units than processes, each may hold one for a term after its grant.
func (c *Controller) maxIdle(progress *rolloutProgress, r *rolloutState, key string, wanted int64) int64 {
	demand, lacking := progress.demands[key], int64(len(progress.queue))
	if demand != nil && demand.ticket != 0 {
		lacking--
	}
	if lacking <= r.unitsLeft() {
		return max(0, wanted)
	}
	part := (r.Spec.Budget - r.totals.Spent) / int64(max(1, len(progress.demands)))
	if part == 0 && demand != nil && demand.grantedAt >= 0 && c.now-demand.grantedAt < c.options.LeaseTerm {
		part = 1
	}
	return max(0, min(wanted, part))
}
