package rollout

import (
	"slices"

	"marblelane/internal/route"
)

// Settle says what a process's ask moves in the ledger: what it has spent and returned, and units for it by need. Only a
// process that is permitted gets any. The entries are to be replicated, with those of others if wanted; then Grants
// tells what came of it.
func (d *Controller) Settle(now int64, s *State, a *route.UnitsAsk) []Entry {
	d.sync(now, s)
	key := Key(a.Process)
	p := d.processes[key]
	permitted := p != nil && !p.Gone && p.Until > d.now
	var out []Entry
	for _, ps := range a.Purses[:min(len(a.Purses), MaxPurses)] {
		r := s.find(ps.Tenant, ps.Rollout)
		if r == nil {
			continue
		}
		old := r.Ledger[key]
		acc, ok := old.settle(ps.Spent, ps.Returned)
		if !ok || old.Gone {
			continue
		}
		if w := d.runs[ps.Tenant]; permitted && r.Phase == Running && w != nil && w.posted == r.Posted {
			acc.Granted += d.slice(w, r, key, acc, r.left()+acc.Returned-old.Returned, ps.Want)
		}
		if acc != old {
			out = append(out, Entry{Process: a.Process, Tenant: ps.Tenant, Rollout: r.id(),
				Granted: acc.Granted, Spent: acc.Spent, Returned: acc.Returned})
		}
	}
	return out
}

// slice is how many units a process gets of what is left: half of it divided by those who ask, so that the next ones
// find some. Who has none and got none stands in a queue, before which nobody else is served from the last units.
func (d *Controller) slice(w *rolloutProgress, r *run, key string, acc Account, left, want int64) int64 {
	n := w.asks[key]
	if n == nil {
		n = &unitDemand{got: -1}
		w.asks[key] = n
	}
	n.asked = d.now
	need := min(want, r.Spec.Budget) - acc.held()
	if need <= 0 {
		w.leave(n)
		return 0
	}
	if acc.held() == 0 && n.number == 0 {
		w.numbers++
		n.number = w.numbers
		w.queue = append(w.queue, n.number)
	}
	left -= w.ahead(n)
	units := min(need, left, max(1, left/(2*int64(len(w.asks)))))
	if d.o.Slice > 0 {
		units = min(units, d.o.Slice)
	}
	if units <= 0 {
		return 0
	}
	w.leave(n)
	n.got = d.now
	return units
}

// ahead is how many lack units and came before.
func (w *rolloutProgress) ahead(n *unitDemand) int64 {
	if n.number == 0 {
		return int64(len(w.queue))
	}
	i, _ := slices.BinarySearch(w.queue, n.number)
	return int64(i)
}

// leave takes one out of the queue.
func (w *rolloutProgress) leave(n *unitDemand) {
	if i, there := slices.BinarySearch(w.queue, n.number); there {
		w.queue = slices.Delete(w.queue, i, i+1)
	}
	n.number = 0
}

// Grants is the answer to an ask, by the ledger as it is replicated; it must be called after what Settle gave has been
// applied. Idle units are wanted back where others lack some, and all of them once the rollout is over.
func (d *Controller) Grants(s *State, a *route.UnitsAsk) route.UnitsAnswer {
	var out route.UnitsAnswer
	for _, ps := range a.Purses[:min(len(a.Purses), MaxPurses)] {
		g := route.PurseGrant{Tenant: ps.Tenant, Rollout: ps.Rollout}
		if r := s.find(ps.Tenant, ps.Rollout); r != nil {
			acc := r.Ledger[Key(a.Process)]
			g.Granted = acc.Granted
			if w := d.runs[ps.Tenant]; !r.Phase.Over() && !acc.Gone && w != nil && w.posted == r.Posted {
				g.Keep = d.keep(w, r, Key(a.Process), ps.Want)
			}
		}
		out.Purses = append(out.Purses, g)
	}
	return out
}

// keep is how many idle units a process may hold on to: what it wants, and its part where others have none. Where there
// are fewer units than processes, each has its turn of a term.
func (d *Controller) keep(w *rolloutProgress, r *run, key string, want int64) int64 {
	n, lacking := w.asks[key], int64(len(w.queue))
	if n != nil && n.number != 0 {
		lacking--
	}
	if lacking <= r.left() {
		return max(0, want)
	}
	part := (r.Spec.Budget - r.total.Spent) / int64(max(1, len(w.asks)))
	if part == 0 && n != nil && n.got >= 0 && d.now-n.got < d.o.Term {
		part = 1
	}
	return max(0, min(want, part))
}
