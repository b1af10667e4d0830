package membership

// This file maintains the state of each process as seen by this one, and publishes its changes.

import (
	"maps"
	"sync"
	"time"

	"marblelane/internal/membership/roster"
)

// duplicateAfter is the time for which two processes of the same name must be alive together to be reported as
// duplicates. The overlap in an upgrade is shorter.
const duplicateAfter = 10 * time.Second

// statusTable holds the state of each known process. Only the owner changes it, under the lock. Other goroutines read
// it under the lock.
type statusTable struct {
	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each change
	changes    uint64
	members    map[roster.ID]*memberStatus
	self       roster.ID // zero before the first scan
	scanNumber uint64    // number of the latest scan
}

// memberStatus is the state of one process.
type memberStatus struct {
	state      MemberState
	since      time.Duration // time of the last change of state
	aliveSince time.Duration // time since which it is alive; valid only if it is alive
	lastAlive  time.Duration // time until which it was alive; valid only if it is not alive; negative means never
	duplicate  bool
	meta       *meta // nil if none was received
	addr       string
	proof      roster.Proof
	lastScan   uint64 // number of the last scan that found the process
}

// alive reports whether the failure detector holds the process alive or merely suspects it.
func (m *memberStatus) alive() bool { return m.state == Alive || m.state == Suspected }

func newStatusTable() *statusTable {
	return &statusTable{changed: make(chan struct{}), members: map[roster.ID]*memberStatus{}}
}

// notifyChange counts a change and wakes the goroutines that wait for one.
func (t *statusTable) notifyChange() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes++
	close(t.changed)
	t.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (t *statusTable) nextChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// publish updates the view and, if a scan is due, the state of all members. It calls Config.ViewChanged at each change
// and at least once in viewInterval.
func (o *owner) publish(now time.Duration) {
	view := o.roster.View(now)
	if o.cfg.Defect == DefectNoAdmission && !o.hasLeft.Load() {
		view.Admitted = true
	}
	before := o.view.Swap(&view)
	changed := view != *before
	if o.scanDue(now) {
		o.publishPeers()
		changed = o.updateStatus(now) || changed
		o.scanNeeded, o.lastScan = false, now
	}
	if changed {
		o.status.notifyChange()
		o.viewNotifiedAt = now - viewInterval
	}
	if now-o.viewNotifiedAt >= viewInterval-viewIntervalSlack {
		o.viewNotifiedAt = now
		if o.cfg.ViewChanged != nil {
			o.cfg.ViewChanged(view)
		}
	}
}

// publishPeers publishes the snapshot for the joiner and the prober, and wakes them if there is work.
func (o *owner) publishPeers() {
	entries := o.entries()
	snapshot := &peerSnapshot{unreachable: o.roster.Unreachable(), reachable: make(map[string]bool, len(o.reachable))}
	for _, n := range o.reachable {
		snapshot.reachable[n.addr] = true
	}
	if len(o.reachable) == 0 {
		for _, e := range entries {
			if e.Present() && idOf(e) != o.roster.Self() && e.Addr != "" {
				snapshot.present = append(snapshot.present, e)
			}
		}
	}
	previous := o.peers.Swap(snapshot)
	lostAll := len(snapshot.reachable) == 0 && len(previous.reachable) > 0
	if len(snapshot.unreachable) > len(previous.unreachable) || lostAll {
		wakeUp(o.joinWake)
	}
	if len(snapshot.unreachable) > 0 {
		wakeUp(o.probeWake)
	}
}

// updateStatus scans all processes and reports whether the state of any of them has changed.
func (o *owner) updateStatus(now time.Duration) bool {
	t := o.status
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scanNumber++
	self := o.roster.Self()
	changed := t.self != self
	t.self = self
	entries := o.entries()
	found := len(entries)
	for _, e := range entries {
		changed = o.updateMember(now, idOf(e), e, o.reachable[idOf(e)]) || changed
	}
	for id, n := range o.reachable { // nodes that the full roster has not accepted
		if !t.foundInScan(id) {
			unknown := roster.Entry{Name: id.Name, Start: id.Start}
			changed = o.updateMember(now, id, unknown, n) || changed
			found++
		}
	}
	if !t.foundInScan(self) {
		changed = o.updateMember(now, self, roster.Entry{Name: self.Name, Start: self.Start}, nil) || changed
		found++
	}
	if len(t.members) > found {
		changed = true
		maps.DeleteFunc(t.members, func(_ roster.ID, m *memberStatus) bool { return m.lastScan != t.scanNumber })
	}
	return o.updateDuplicates(now, entries) || changed
}

// foundInScan reports whether the current scan has already found a process.
func (t *statusTable) foundInScan(id roster.ID) bool {
	m := t.members[id]
	return m != nil && m.lastScan == t.scanNumber
}

// stateOf derives the state of a process from its entry and its node. The node is nil if it is not alive.
func (o *owner) stateOf(e roster.Entry, n *aliveNode) MemberState {
	switch {
	case !e.Present():
		return Gone
	case idOf(e) == o.roster.Self():
		return Alive
	case n == nil:
		return Unreachable
	case n.suspected:
		return Suspected
	}
	return Alive
}

// updateMember records the state of one process in the current scan and reports whether it has changed.
func (o *owner) updateMember(now time.Duration, id roster.ID, e roster.Entry, n *aliveNode) bool {
	t := o.status
	m := t.members[id]
	if m == nil {
		m = &memberStatus{lastAlive: -1, aliveSince: now}
		t.members[id] = m
	}
	m.lastScan, m.addr, m.proof = t.scanNumber, e.Addr, e.Proof
	state := o.stateOf(e, n)
	changed := m.state != state
	if changed {
		if m.alive() {
			m.lastAlive = now
		} else if state == Alive {
			m.aliveSince = now
		}
		m.state, m.since = state, now
	}
	latestMeta := m.meta
	switch {
	case id == t.self:
		m.addr, latestMeta = o.addr, &o.meta
	case n != nil:
		m.addr, latestMeta = n.addr, &n.meta
	}
	if m.meta != latestMeta {
		changed = changed || m.meta == nil || *m.meta != *latestMeta
		m.meta = latestMeta
	}
	return changed
}

// updateDuplicates marks the processes of the same name that have been alive together for duplicateAfter, and reports
// whether any mark has changed. The entries must be sorted by name.
func (o *owner) updateDuplicates(now time.Duration, entries []roster.Entry) bool {
	changed := false
	o.hasSharedNames = false
	for len(entries) > 0 {
		n := 1
		for n < len(entries) && entries[n].Name == entries[0].Name {
			n++
		}
		sameName := entries[:n]
		entries = entries[n:]
		if n > 1 || o.status.members[idOf(sameName[0])].duplicate {
			changed = o.updateDuplicatesOfName(now, sameName) || changed
		}
	}
	return changed
}

// updateDuplicatesOfName is updateDuplicates for the processes of one name.
func (o *owner) updateDuplicatesOfName(now time.Duration, sameName []roster.Entry) bool {
	alive, longAlive := 0, 0
	for _, e := range sameName {
		if m := o.status.members[idOf(e)]; m.alive() {
			alive++
			if now-m.aliveSince >= duplicateAfter {
				longAlive++
			}
		}
	}
	o.hasSharedNames = o.hasSharedNames || alive > 1
	changed := false
	for _, e := range sameName {
		m := o.status.members[idOf(e)]
		duplicate := longAlive > 1 && m.alive()
		if duplicate == m.duplicate {
			continue
		}
		m.duplicate, changed = duplicate, true
		if duplicate {
			o.log.Warn("members: duplicate processes with the same name are alive", "name", e.Name, "start", e.Start)
		}
	}
	return changed
}
