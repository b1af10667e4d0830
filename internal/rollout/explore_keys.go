package rollout

// This file encodes states and controllers as keys, by which an exploration (package model) detects equal worlds. A key
// contains everything that later decisions depend on, and nothing else.

import "marblelane/internal/statekey"

// AppendKey appends the data from which the controller decides which revisions to close.
func (c *Controller) AppendKey(b []byte, now int64) []byte {
	return statekey.AppendInts(b, max(c.startedAt+c.options.termWithMargin(), now), c.closingRev)
}

// AppendLeaseKey appends the data from which the controller decides on one process's lease. The end of an expired lease
// and the absolute numbers of reports are left out: decisions depend only on the expiry and on the order of the reports.
func (c *Controller) AppendLeaseKey(b []byte, key string, now int64, seqs ...int64) []byte {
	p := c.processes[key]
	if p == nil {
		return append(b, 0)
	}
	b = statekey.AppendInts(b, 1, statekey.BoolInt(p.Gone))
	if p.LeaseUntil > now {
		b = statekey.AppendInts(b, p.LeaseUntil, p.AcknowledgedRev)
	}
	for _, seq := range seqs {
		b = statekey.AppendInts(b, min(max(seq-p.reportSeq, -1), 1))
	}
	return b
}

// AppendDemandKey appends the data from which the controller decides on grants of units to one process.
func (c *Controller) AppendDemandKey(b []byte, tenant, key string) []byte {
	progress := c.rollouts[tenant]
	if progress == nil || progress.demands[key] == nil {
		return append(b, 0)
	}
	demand := progress.demands[key]
	queued := statekey.BoolInt(demand.ticket != 0)
	return statekey.AppendInts(b, demand.requestedAt, demand.grantedAt, progress.waitingBefore(demand), queued)
}

// Phase returns the phase of one rollout, or an empty string if there is no such rollout.
func (s *State) Phase(tenant, name string) Phase {
	if r := s.findRollout(tenant, name); r != nil {
		return r.Phase
	}
	return ""
}

// Account returns a process's account in the ledger of one rollout, or the zero Account if there is none.
func (s *State) Account(tenant, name, key string) Account {
	if r := s.findRollout(tenant, name); r != nil {
		return r.Ledger[key]
	}
	return Account{}
}

// AppendAccountKey appends an account.
func (s *State) AppendAccountKey(b []byte, tenant, name, key string) []byte {
	a := s.Account(tenant, name, key)
	return statekey.AppendInts(b, a.Granted, a.Spent, a.Returned, statekey.BoolInt(a.Gone))
}

// AppendKey appends the state of one rollout, without its accounts.
func (s *State) AppendKey(b []byte, tenant, name string) []byte {
	r := s.findRollout(tenant, name)
	if r == nil {
		return statekey.AppendInts(b, s.rev, s.closed)
	}
	b = append(b, r.Phase...)
	return statekey.AppendInts(b, s.rev, s.closed, int64(r.Step), r.totals.Granted, r.totals.Spent, r.totals.Returned)
}
