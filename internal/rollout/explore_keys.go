package rollout

// This file writes keys of states and controllers, by which an exploration (package model) tells its worlds apart. A key
// holds all that later decisions depend on, and nothing else.

import "encoding/binary"

// AppendKey appends what a controller closes revisions by.
func (c *Controller) AppendKey(b []byte, now int64) []byte {
	return appendInts(b, max(c.startedAt+c.options.lengthenedTerm(), now), c.closingRev)
}

// AppendLeaseKey appends what a controller grants one process's lease by. Of an expired lease it is only that it has
// expired, and of reports' numbers their order.
func (c *Controller) AppendLeaseKey(b []byte, key string, now int64, seqs ...int64) []byte {
	p := c.processes[key]
	if p == nil {
		return append(b, 0)
	}
	b = appendInts(b, 1, boolInt(p.Gone))
	if p.LeaseUntil > now {
		b = appendInts(b, p.LeaseUntil, p.AcknowledgedRev)
	}
	for _, seq := range seqs {
		b = appendInts(b, min(max(seq-p.reportSeq, -1), 1))
	}
	return b
}

// AppendDemandKey appends what a controller grants units to one process by.
func (c *Controller) AppendDemandKey(b []byte, tenant, key string) []byte {
	progress := c.rollouts[tenant]
	if progress == nil || progress.demands[key] == nil {
		return append(b, 0)
	}
	demand := progress.demands[key]
	queued := boolInt(demand.ticket != 0)
	return appendInts(b, demand.requestedAt, demand.grantedAt, progress.waitingBefore(demand), queued)
}

// Phase is the phase of one rollout; empty: there is none.
func (s *State) Phase(tenant, name string) Phase {
	if r := s.findRollout(tenant, name); r != nil {
		return r.Phase
	}
	return ""
}

// Account is a process's account with one rollout; the zero one: it has none.
func (s *State) Account(tenant, name, key string) Account {
	if r := s.findRollout(tenant, name); r != nil {
		return r.Ledger[key]
	}
	return Account{}
}

// AppendAccountKey appends an account.
func (s *State) AppendAccountKey(b []byte, tenant, name, key string) []byte {
	a := s.Account(tenant, name, key)
	return appendInts(b, a.Granted, a.Spent, a.Returned, boolInt(a.Gone))
}

// AppendKey appends what the state holds of one rollout, without its accounts.
func (s *State) AppendKey(b []byte, tenant, name string) []byte {
	r := s.findRollout(tenant, name)
	if r == nil {
		return appendInts(b, s.rev, s.closed)
	}
	b = append(b, r.Phase...)
	return appendInts(b, s.rev, s.closed, int64(r.Step), r.totals.Granted, r.totals.Spent, r.totals.Returned)
}

func appendInts(b []byte, values ...int64) []byte {
	for _, v := range values {
		b = binary.AppendVarint(b, v)
	}
	return b
}

func boolInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
