package membership

// This file changes the incarnation under which this process is known, and finds addresses that were reused.

import (
	"fmt"
	"time"

	"marblelane/internal/membership/roster"
)

const (
	// maxRestartLeaveTime bounds the library's broadcast that the old incarnation leaves.
	maxRestartLeaveTime = 300 * time.Millisecond

	// A process raises its start at most maxStartRaises times, and only within startRaiseWindow intervals after it first
	// reached another member. The process with the later start must have been unreachable for startRaiseDelay intervals.
	maxStartRaises            = 3
	startRaiseWindowIntervals = 60
	startRaiseDelayIntervals  = 5
)

// startRaise follows processes of this one's name with a later start (see owner.raiseStart).
type startRaise struct {
	count            int
	firstReachableAt time.Duration // when another process was first reachable; 0: none was
	laterSince       time.Duration // since when an unreachable process with a later start is known; 0: none is
}

// startInstance starts the library under an identity.
func (o *owner) startInstance(id roster.ID) error {
	m := o.meta
	m.Start = id.Start
	text, err := m.encode()
	if err != nil {
		return err
	}
	i := &instance{id: id, meta: text, networks: o.cfg.Networks, broadcasts: &o.broadcasts, pushPull: &o.pushPull,
		received: &o.received, wake: o.ownerWake, countDrop: o.counters.countDrop}
	if err := i.start(&o.cfg, o.transport, o.log); err != nil {
		return err
	}
	if i.addr() == "" {
		i.shutdown()
		return fmt.Errorf("the node %s at %s was refused", nodeName(id), o.addr)
	}
	o.current.Store(i)
	return nil
}

// removeReplaced proves a process gone if another one has its address: a later one of its name, or one of another name
// while the process is unreachable. Of processes of different names the starts prove nothing, as their clocks differ.
func (o *owner) removeReplaced(now time.Duration) {
	self := o.roster.Self()
	owners := map[string]roster.ID{o.addr: self} // by address
	for id, n := range o.reachable {
		if other, ok := owners[n.addr]; !ok || id.Start > other.Start {
			owners[n.addr] = id
		}
	}
	for _, e := range o.entries() {
		id := idOf(e)
		current, ok := owners[e.Addr]
		if !ok || !e.Present() || id == self || id == current {
			continue
		}
		sameName := current.Name == e.Name
		if sameName && current.Start > e.Start || !sameName && o.reachable[id] == nil {
			o.merge(now, removedEntry(id, roster.ProofAddressReused))
		}
	}
}

// raiseStart gives this process a start above that of an earlier process of its name that has ended, which happens when
// the wall clock was set back. Only a process that joined lately does so: to one that has been there for long, the later
// start is its own upgrade, which is cut off.
func (o *owner) raiseStart(now time.Duration) {
	if o.startRaise.firstReachableAt == 0 && len(o.reachable) > 0 {
		o.startRaise.firstReachableAt = now
	}
	later, found := o.unreachableLaterStart()
	if !found {
		o.startRaise.laterSince = 0
		return
	}
	if o.startRaise.laterSince == 0 {
		o.startRaise.laterSince = now
	}
	mayRaise := o.startRaise.count < maxStartRaises && now-o.startRaise.firstReachableAt <= startRaiseWindowIntervals*o.cfg.Interval
	hasEnded := !later.Present() || later.Addr == o.addr || now-o.startRaise.laterSince >= startRaiseDelayIntervals*o.cfg.Interval
	if !mayRaise || !hasEnded {
		return
	}
	self := o.roster.Self()
	o.startRaise.count++
	o.log.Warn("members: the start is raised, as an earlier process has a later one; the clock was set back",
		"name", self.Name, "start", self.Start, "earlier_start", later.Start)
	o.merge(now, removedEntry(self, roster.ProofAddressReused))
	o.startRaise.laterSince = 0
}

// unreachableLaterStart returns the first unreachable process of this one's name with a later start.
func (o *owner) unreachableLaterStart() (roster.Entry, bool) {
	self := o.roster.Self()
	for _, e := range o.entries() {
		_, reachable := o.reachable[idOf(e)]
		if !reachable && !e.Observer && e.Name == self.Name && e.Start > self.Start {
			return e, true
		}
	}
	return roster.Entry{}, false
}

// resolveConflict gives this process a new incarnation if another process has the same name and start.
func (o *owner) resolveConflict(now time.Duration) {
	if self := o.roster.Self(); o.current.Load().takeConflict() {
		o.log.Warn("members: another process has the same name and start", "name", self.Name, "start", self.Start)
		o.merge(now, removedEntry(self, roster.ProofAddressReused))
	}
}

// restartInstance starts the library anew if this process was proved gone and has a new incarnation. The old node
// leaves first, so that it is not taken for a duplicate.
func (o *owner) restartInstance() {
	id, oldInstance := o.roster.Self(), o.current.Load()
	if id == oldInstance.id {
		return
	}
	if !oldInstance.transport.closed.Load() {
		o.counters.startsRaised.Add(1)
		o.log.Warn("members: proved gone while running; joins again", "name", id.Name, "start", id.Start,
			"earlier_start", oldInstance.id.Start)
		o.publish(o.now()) // it gives up its quota first
		if len(o.reachable) > 0 {
			_ = oldInstance.library.Leave(maxRestartLeaveTime) // the others notice without it, only later
		}
		oldInstance.shutdown()
	}
	if err := o.startInstance(id); err != nil {
		o.log.Warn("members: join again failed", "err", err) // the next round attempts it again
		return
	}
	wakeUp(o.joinWake)
	for _, n := range o.reachable {
		select {
		case o.exchanges <- exchangeRequest{n.addr}: // any one of them knows the others
		default:
		}
		break
	}
}
