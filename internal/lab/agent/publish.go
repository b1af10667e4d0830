package agent

// This file publishes changes of the list. A change gets its revision when it is committed, and each agent applies the
// changes in the order of their revisions. A watch therefore misses none: what it has sent ends with a revision, and all
// that is applied later has a later one.

import (
	"slices"
	"time"
)

// publication is a group of changes that are committed together after a notice.
type publication struct {
	number  int64 // in the order of the calls of PublishAll
	due     time.Time
	entries []Entry
	delays  []time.Duration // by agent: time from the commit until the agent applies the changes
}

// change is a committed change of an entry that an agent applies when it is due.
type change struct {
	due   time.Time
	rev   int64
	entry Entry
}

// Publish applies a change at all agents: at the first one after notice, at the last one after notice plus spread, and
// at the others at even intervals between.
func (a *Agents) Publish(e Entry, notice, spread time.Duration) {
	a.PublishAll([]Entry{e}, notice, spread)
}

// PublishAll is like Publish, for several changes that are applied together and in order.
func (a *Agents) PublishAll(entries []Entry, notice, spread time.Duration) {
	p := publication{due: time.Now().Add(notice), entries: entries}
	for i, state := range a.agents {
		delay := time.Duration(0)
		if len(a.agents) > 1 {
			delay = spread * time.Duration(i) / time.Duration(len(a.agents)-1)
		}
		state.mu.Lock()
		delay += state.delay
		state.mu.Unlock()
		p.delays = append(p.delays, delay)
	}
	a.mu.Lock()
	a.published++
	p.number = a.published
	at, _ := slices.BinarySearchFunc(a.uncommitted, p, func(earlier, p publication) int {
		if earlier.due.After(p.due) {
			return 1
		}
		return -1 // one that is due at the same time stays ahead
	})
	a.uncommitted = slices.Insert(a.uncommitted, at, p)
	a.mu.Unlock()
	a.runAfter(notice, a.commitDue)
}

// commitDue commits the publications that are due, in order, and passes their changes to the agents.
func (a *Agents) commitDue() {
	var delays []time.Duration // of all publications and agents
	a.mu.Lock()
	now := time.Now()
	for len(a.uncommitted) > 0 && !a.uncommitted[0].due.After(now) {
		p := a.uncommitted[0]
		a.uncommitted = slices.Delete(a.uncommitted, 0, 1)
		a.commit(&p, now)
		delays = append(delays, p.delays...)
	}
	a.mu.Unlock()
	slices.Sort(delays)
	for _, delay := range slices.Compact(delays) {
		a.runAfter(delay, a.applyDue)
	}
}

// commit assigns revisions to the changes of a publication and passes them to the agents. A change of an entry that a
// later publication has changed is left out. The caller holds a.mu.
func (a *Agents) commit(p *publication, now time.Time) {
	var changes []change
	for _, e := range p.entries {
		a.rev++
		if a.committed[e.Number] > p.number {
			continue
		}
		a.committed[e.Number] = p.number
		changes = append(changes, change{rev: a.rev, entry: e})
	}
	for i, state := range a.agents {
		state.enqueue(changes, now.Add(p.delays[i]))
	}
}

// applyDue has all agents apply the changes that are due.
func (a *Agents) applyDue() {
	for _, state := range a.agents {
		for _, applied := range state.applyDue() {
			a.recordMissedChange(state, applied.entry, applied.rev)
		}
	}
}

// enqueue adds committed changes that are applied at due, or later if an earlier change is applied later.
func (state *agentState) enqueue(changes []change, due time.Time) {
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, c := range changes {
		c.due = due
		state.pending = append(state.pending, c)
	}
}

// applyDue applies the changes that are due, wakes the watches, which write them together, and returns the changes.
func (state *agentState) applyDue() []change {
	state.mu.Lock()
	defer state.mu.Unlock()
	now := time.Now()
	count := slices.IndexFunc(state.pending, func(c change) bool { return c.due.After(now) })
	if count < 0 {
		count = len(state.pending)
	}
	if count == 0 {
		return nil
	}
	applied := slices.Clone(state.pending[:count])
	state.pending = slices.Delete(state.pending, 0, count)
	for _, c := range applied {
		state.entries[c.entry.Number], state.entryRevs[c.entry.Number] = c.entry, c.rev
		state.rev = c.rev
	}
	state.wakeWatches()
	return applied
}
