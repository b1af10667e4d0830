package roster

// This file contains the queries of a roster.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// View returns the counts and the admission at the time now. It admits this process if its deadline has passed.
func (r *Roster) View(now time.Duration) View {
	if !r.admitted && now >= r.admitDeadline {
		r.admitted, r.forced = true, true
	}
	notYetObserved := max(0, r.options.Peers-r.totals.memberNames)
	v := View{Known: r.totals.presentNames + notYetObserved, Reachable: r.totals.reachableNames, Admitted: r.admitted}
	for _, group := range r.coexisting {
		duplicates := group.duplicates(now, r.self)
		v.Known += duplicates
		v.Reachable += duplicates
	}
	if r.left || r.options.Observer || r.superseded() {
		v.Admitted = false
	}
	v.Forced = v.Admitted && r.forced
	return v
}

// duplicates counts the processes that have been reachable for longer than upgradeGracePeriod while a later process of
// their name was present.
func (g *nameGroup) duplicates(now time.Duration, self ID) int {
	duplicates := 0
	laterSince := time.Duration(math.MaxInt64) // time at which the first of the later processes was first seen
	for i := len(g.processes) - 1; i >= 0; i-- {
		p := &g.processes[i]
		if !p.present() || p.observer {
			continue
		}
		togetherSince := max(p.reachableChangedAt, laterSince)
		if (p.reachable || p.ID == self) && now-togetherSince > upgradeGracePeriod {
			duplicates++
		}
		laterSince = min(laterSince, p.firstSeenAt)
	}
	return duplicates
}

// superseded reports whether a later process of the same name is present. A name has one quota, which passes to the
// later process: that one is admitted only after this one has acknowledged it. An observer takes over no quota.
func (r *Roster) superseded() bool {
	group := r.byName[r.self.Name]
	return group != nil && slices.ContainsFunc(group.processes, func(p process) bool {
		return p.present() && !p.observer && p.Start > r.self.Start
	})
}

// Entries returns all entries, ordered by name and start.
func (r *Roster) Entries() []Entry {
	all := make([]Entry, 0, r.entryCount)
	for _, group := range r.byName {
		for i := range group.processes {
			all = append(all, group.processes[i].entry())
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return compareIDs(ID{a.Name, a.Start}, ID{b.Name, b.Start}) })
	return all
}

// Unreachable returns the other present processes that are unreachable, the longest unreachable first.
func (r *Roster) Unreachable() []Entry {
	all := r.selectOthers(func(p *process) bool { return !p.reachable })
	slices.SortFunc(all, func(a, b *process) int {
		return cmp.Or(cmp.Compare(a.reachableChangedAt, b.reachableChangedAt), compareIDs(a.ID, b.ID))
	})
	return toEntries(all)
}

// selectOthers returns the other present processes that match, in no particular order.
func (r *Roster) selectOthers(match func(*process) bool) []*process {
	var all []*process
	for _, group := range r.byName {
		for i := range group.processes {
			if p := &group.processes[i]; p.present() && p.ID != r.self && match(p) {
				all = append(all, p)
			}
		}
	}
	return all
}

func toEntries(all []*process) []Entry {
	entries := make([]Entry, len(all))
	for i, p := range all {
		entries[i] = p.entry()
	}
	return entries
}

// Len returns the number of entries.
func (r *Roster) Len() int { return r.entryCount }

// Find returns the entry of a process, and whether there is one.
func (r *Roster) Find(id ID) (Entry, bool) {
	if p := r.find(id); p != nil {
		return p.entry(), true
	}
	return Entry{}, false
}

// Self returns the ID of this process. Its start is greater than that of Options.Self if the latter was proved gone.
func (r *Roster) Self() ID { return r.self }
