package rollout

// This file decides what is due: which rollouts go on, pause or roll back, which revisions close, and which processes
// are gone.

import (
	"maps"
	"math"
	"slices"

	"marblelane/internal/route"
)

// Tick says what is due: commands to be replicated, whose AtMS the caller sets, and changes of what processes may do. It
// may be called as often as wanted; a command that is not carried out comes again. ready counts the ready servers of a
// subset.
func (d *Controller) Tick(
	now int64, s *State, ready func(route.Subset) int,
) (commands []Command, changes []AccessChange) {
	d.sync(now, s)
	d.age()
	for _, name := range slices.Sorted(maps.Keys(d.runs)) {
		if t := s.tenants[name]; t != nil && t.Live != nil {
			if c, ok := d.decide(d.runs[name], t.Live, ready); ok {
				c.Tenant, c.Name = name, t.Live.Spec.Name
				commands = append(commands, c)
			}
		}
	}
	if rev := d.closable(s); rev > s.Closed() {
		d.closing = rev
		commands = append(commands, Command{Op: OpClose, Rev: rev})
	}
	entries := d.ends(s)
	for len(entries) > 0 {
		n := min(len(entries), maxEntries)
		commands = append(commands, Command{Op: OpLedger, Entries: entries[:n:n]})
		entries = entries[n:]
	}
	changes, d.changes = d.changes, nil
	slices.SortStableFunc(changes, func(a, b AccessChange) int { return compare(a.Process, b.Process) })
	return commands, changes
}

// age loses processes that are silent, and forgets them in the end.
func (d *Controller) age() {
	for key, p := range d.processes {
		silent := d.now - p.Heard
		if silent > d.o.lengthened()+d.o.GoneAfter {
			d.lose(p)
		}
		if silent > d.o.Remember && p.Until <= d.now {
			delete(d.processes, key)
			if d.newest[p.Name] == p.Start {
				delete(d.newest, p.Name)
			}
		}
	}
	for _, w := range d.runs {
		for key, n := range w.asks {
			if d.now-n.asked > d.o.lengthened() {
				w.leave(n)
				delete(w.asks, key)
			}
		}
	}
}

// decide says what is due for one rollout, at most one thing.
func (d *Controller) decide(w *rolloutProgress, r *run, ready func(route.Subset) int) (Command, bool) {
	none := ready(r.Spec.Canary) == 0
	switch {
	case w.most >= -math.Log(d.o.Alpha):
		return Command{Op: OpRollBack, Why: WhyWorse}, true
	case r.Phase == Running && none:
		return Command{Op: OpPause, Why: WhyEmpty}, true
	case r.Phase == Running && d.serviceFault():
		return Command{Op: OpPause, Why: WhyBehind}, true
	case r.Phase == Running && d.held(w, r):
		return Command{Op: OpForward, Step: r.Step}, true
	case r.Phase == Paused && passing(r.Why):
		return Command{Op: OpResume}, !none && d.settled() && !d.serviceFault() && d.anybody()
	}
	return Command{}, false
}

// held tells whether a step has held all that it takes to go on from it.
func (d *Controller) held(w *rolloutProgress, r *run) bool {
	st := r.Spec.Steps[r.Step]
	if !d.settled() || d.now-w.since < st.HoldMS || w.ended < st.Requests {
		return false
	}
	for _, p := range d.processes { // one that is silent is not excused until it is gone
		if !p.Gone && !p.ShutOut && p.Have < r.Rev {
			return false
		}
	}
	return d.anybody()
}

// anybody tells whether any process is heard: where none is, nothing is known of the fleet.
func (d *Controller) anybody() bool {
	for _, p := range d.processes {
		if d.heard(p) {
			return true
		}
	}
	return false
}

// closable is the newest revision under which no attempt begins any more, by what is known here; 0: that is not known.
// Who was permitted acts on what it last reported, or on something later, until its lengthened term is over.
func (d *Controller) closable(s *State) int64 {
	if !d.settled() {
		return 0
	}
	rev := s.Rev() - 1
	for _, p := range d.processes {
		if p.Until > d.now {
			rev = min(rev, p.Have-1)
		}
	}
	return rev
}

// ends are the entries of processes that are gone and whose accounts are open.
func (d *Controller) ends(s *State) []Entry {
	var out []Entry
	for _, t := range s.sorted() {
		r := t.Live
		if r == nil && len(t.Ended) > 0 {
			r = t.Ended[len(t.Ended)-1] // the ones before have no account but the sum
		}
		if r == nil {
			continue
		}
		from := len(out)
		for key, a := range r.Ledger {
			if id, ok := processOf(key); ok && !a.Gone && d.gone(id) {
				out = append(out, Entry{Process: id, Tenant: t.Name, Rollout: r.id(), Gone: true})
			}
		}
		slices.SortFunc(out[from:], func(a, b Entry) int { return compare(a.Process, b.Process) })
	}
	return out
}

// gone tells whether nothing more comes of a process. One that this leader has never heard gets as long as one that
// fell silent when it began to lead.
func (d *Controller) gone(id route.Process) bool {
	if p := d.processes[Key(id)]; p != nil {
		return p.Gone
	}
	return id.Start < d.newest[id.Name] || d.now-d.startedAt > d.o.lengthened()+d.o.GoneAfter
}
