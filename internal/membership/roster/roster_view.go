package roster

// This file says what a roster knows.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// View is what follows from all this now.
func (r *Roster) View(now time.Duration) View {
	if !r.admitted && now >= r.admitBy {
		r.admitted, r.forced = true, true
	}
	v := View{Known: r.living + max(0, r.o.Peers-r.sharing), Heard: r.heard, Admitted: r.admitted}
	for _, n := range r.side {
		v.add(n.twins(now, r.self))
	}
	if r.left || r.o.Observer || r.follows() {
		v.Admitted = false
	}
	v.Forced = v.Admitted && r.forced
	return v
}

func (v *View) add(twins int) {
	v.Known += twins
	v.Heard += twins
}

// twins are the processes that have been there beside a later one of their name for longer than an upgrade takes.
func (n *name) twins(now time.Duration, self ID) int {
	twins, later := 0, time.Duration(math.MaxInt64) // a later one has been there since
	for i := len(n.all) - 1; i >= 0; i-- {
		p := &n.all[i]
		if !p.lives() || p.watches {
			continue
		}
		if (p.heard || p.ID == self) && now-max(p.since, later) > upgrade {
			twins++
		}
		later = min(later, p.met)
	}
	return twins
}

// follows reports whether a later process of this one's name lives. A name has one part of what the fleet allows, and
// the later one takes it over: it has asked this one, too, before it counts itself in. An observer takes over nothing.
func (r *Roster) follows() bool {
	n := r.names[r.self.Name]
	return n != nil && slices.ContainsFunc(n.all, func(p process) bool {
		return p.lives() && !p.watches && p.Start > r.self.Start
	})
}

// Entries gives all that is known, by name and start.
func (r *Roster) Entries() []Entry {
	all := make([]Entry, 0, r.entries)
	for _, n := range r.names {
		for i := range n.all {
			all = append(all, n.all[i].entry())
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return compare(ID{a.Name, a.Start}, ID{b.Name, b.Start}) })
	return all
}

// Silent gives the living others that are not heard of, those first that have been silent for longest.
func (r *Roster) Silent(time.Duration) []Entry {
	all := r.those(func(p *process) bool { return !p.heard })
	slices.SortFunc(all, func(a, b *process) int {
		return cmp.Or(cmp.Compare(a.since, b.since), compare(a.ID, b.ID))
	})
	return entries(all)
}

// those gives the living others that are meant, in no order.
func (r *Roster) those(meant func(*process) bool) []*process {
	var all []*process
	for _, n := range r.names {
		for i := range n.all {
			if p := &n.all[i]; p.lives() && p.ID != r.self && meant(p) {
				all = append(all, p)
			}
		}
	}
	return all
}

func entries(all []*process) []Entry {
	out := make([]Entry, len(all))
	for i, p := range all {
		out[i] = p.entry()
	}
	return out
}

// Len is the number of entries.
func (r *Roster) Len() int { return r.entries }

// Find gives what is known of one process.
func (r *Roster) Find(id ID) (Entry, bool) {
	if p := r.find(id); p != nil {
		return p.entry(), true
	}
	return Entry{}, false
}

// Self is this process. Its start is greater than it was begun with if that one was proved gone.
func (r *Roster) Self() ID { return r.self }
