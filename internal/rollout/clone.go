package rollout

// This file copies states and controllers and writes down what they go by, for who tries something on a copy, or
// tells the
// states of an exploration apart (package model).

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Clone copies a state, so that what is done to one does nothing to the other.
func (s *State) Clone() *State {
	out := *s
	out.tenants = maps.Clone(s.tenants)
	for name, t := range out.tenants {
		c := *t
		c.Ended = nil
		for _, r := range t.Ended {
			c.Ended = append(c.Ended, r.clone())
		}
		if t.Live != nil {
			c.Live = t.Live.clone()
		}
		out.tenants[name] = &c
	}
	return &out
}

func (r *run) clone() *run {
	out := *r // commands do not change a posted spec
	out.Ledger = maps.Clone(r.Ledger)
	return &out
}

// Clone copies a controller.
func (d *Controller) Clone() *Controller {
	out := *d
	out.processes, out.newest, out.runs = maps.Clone(d.processes), maps.Clone(d.newest), maps.Clone(d.runs)
	out.moves, out.changes = slices.Clone(d.moves), slices.Clone(d.changes)
	for key, p := range out.processes {
		c := *p
		c.counts = maps.Clone(p.counts)
		out.processes[key] = &c
	}
	for name, w := range out.runs {
		c := *w
		c.queue, c.asks = slices.Clone(w.queue), maps.Clone(w.asks)
		for key, n := range c.asks {
			m := *n
			c.asks[key] = &m
		}
		out.runs[name] = &c
	}
	return &out
}

// AppendKey writes down what a controller goes by when it closes.
func (d *Controller) AppendKey(b []byte, now int64) []byte {
	return ints(b, max(d.startedAt+d.o.lengthened(), now), d.closing)
}

// AppendPermit writes down what a controller goes by for one process's permission: of one that is over only that it is,
// and numbers of reports by their order.
func (d *Controller) AppendPermit(b []byte, key string, now int64, seqs ...int64) []byte {
	p := d.processes[key]
	if p == nil {
		return append(b, 0)
	}
	b = ints(b, 1, flag(p.Gone))
	if p.Until > now {
		b = ints(b, p.Until, p.Have)
	}
	for _, seq := range seqs {
		b = ints(b, min(max(seq-p.seq, -1), 1))
	}
	return b
}

// AppendNeed writes down what a controller goes by for one process's units.
func (d *Controller) AppendNeed(b []byte, tenant, key string) []byte {
	if w := d.runs[tenant]; w != nil && w.asks[key] != nil {
		n := w.asks[key]
		return ints(b, n.asked, n.got, w.ahead(n), flag(n.number != 0))
	}
	return append(b, 0)
}

// Phase is that of one rollout; empty: there is none.
func (s *State) Phase(tenant, name string) Phase {
	if r := s.find(tenant, name); r != nil {
		return r.Phase
	}
	return ""
}

// Account is a process's with one rollout; the zero one: it has none.
func (s *State) Account(tenant, name, key string) Account {
	if r := s.find(tenant, name); r != nil {
		return r.Ledger[key]
	}
	return Account{}
}

// AppendAccount writes down an account.
func (s *State) AppendAccount(b []byte, tenant, name, key string) []byte {
	a := s.Account(tenant, name, key)
	return ints(b, a.Granted, a.Spent, a.Returned, flag(a.Gone))
}

// AppendKey writes down what is said of one rollout, but for accounts.
func (s *State) AppendKey(b []byte, tenant, name string) []byte {
	r := s.find(tenant, name)
	if r == nil {
		return ints(b, s.rev, s.closed)
	}
	b = append(b, r.Phase...)
	return ints(b, s.rev, s.closed, int64(r.Step), r.total.Granted, r.total.Spent, r.total.Returned)
}

func ints(b []byte, values ...int64) []byte {
	for _, v := range values {
		b = binary.AppendVarint(b, v)
	}
	return b
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
