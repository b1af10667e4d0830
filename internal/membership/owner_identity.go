package membership

// This file changes this process's incarnation, and marks members gone whose addresses other processes reuse.

import (
	"fmt"
	"time"

	"marblelane/internal/membership/roster"
)

const (
	// maxRestartLeaveTime bounds the time for the library's leave broadcast of the old incarnation.
	maxRestartLeaveTime = 300 * time.Millisecond

	// A process raises its start at most maxStartRaises times, and only within startRaiseWindowIntervals after it first
	// reached another member. The process with the later start must have been unreachable for startRaiseDelayIntervals.
	maxStartRaises            = 3
	startRaiseWindowIntervals = 60
	startRaiseDelayIntervals  = 5
)

// startRaise is the state of owner.raiseStart.
type startRaise struct {
	count            int           // number of raises so far
	firstReachableAt time.Duration // time at which another process was first reachable; 0 means never
	laterSince       time.Duration // time since which an unreachable process with a later start is known; 0 means none
}

// startInstance starts the library as the given incarnation of this process.
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
		return fmt.Errorf("start node %s: address %s rejected", nodeName(id), o.addr)
	}
	o.current.Store(i)
	return nil
}

// markReplacedGone marks processes gone whose address another process uses: one of the same name with a later start, or
// one of another name while the process is unreachable. Starts of different names are not compared, as clocks differ.
func (o *owner) markReplacedGone(now time.Duration) {
	self := o.roster.Self()
	owners := map[string]roster.ID{o.addr: self} // processes by address
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
			o.merge(now, goneEntry(id, roster.ProofAddressReused))
		}
	}
}

// raiseStart takes a new incarnation with a start above that of an earlier process of the same name that has ended. The
// earlier process has the later start if the wall clock was set back. Only a process that has joined recently raises
// its start: for a long-running one, the process with the later start is its successor in an upgrade, cut off by a
// partition.
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
	mayRaise := o.startRaise.count < maxStartRaises &&
		now-o.startRaise.firstReachableAt <= startRaiseWindowIntervals*o.cfg.Interval
	hasEnded := !later.Present() || later.Addr == o.addr ||
		now-o.startRaise.laterSince >= startRaiseDelayIntervals*o.cfg.Interval
	if !mayRaise || !hasEnded {
		return
	}
	self := o.roster.Self()
	o.startRaise.count++
	o.log.Warn("members: raised the start above that of an earlier process of the same name, as the clock was set back",
		"name", self.Name, "start", self.Start, "earlier_start", later.Start)
	o.merge(now, goneEntry(self, roster.ProofAddressReused))
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

// resolveConflict takes a new incarnation if another process has the same name and start.
func (o *owner) resolveConflict(now time.Duration) {
	if self := o.roster.Self(); o.current.Load().takeConflict() {
		o.log.Warn("members: found another process with the same name and start", "name", self.Name, "start", self.Start)
		o.merge(now, goneEntry(self, roster.ProofAddressReused))
	}
}

// restartInstance restarts the library if this process was reported gone and has a new incarnation. The old node leaves
// first, so that it is not reported as a duplicate.
func (o *owner) restartInstance() {
	id, oldInstance := o.roster.Self(), o.current.Load()
	if id == oldInstance.id {
		return
	}
	if !oldInstance.transport.closed.Load() {
		o.counters.startsRaised.Add(1)
		o.log.Warn("members: reported gone while running, rejoining with a new start", "name", id.Name, "start", id.Start,
			"earlier_start", oldInstance.id.Start)
		o.publish(o.now()) // gives up the quota before the new incarnation joins
		if len(o.reachable) > 0 {
			_ = oldInstance.library.Leave(maxRestartLeaveTime) // on failure the other members detect the end later
		}
		oldInstance.shutdown()
	}
	if err := o.startInstance(id); err != nil {
		o.log.Warn("members: rejoin failed", "err", err) // the next round retries
		return
	}
	wakeUp(o.joinWake)
	for _, n := range o.reachable {
		select {
		case o.exchanges <- exchangeRequest{n.addr}: // one exchange is enough, as each reachable node knows the others
		default:
		}
		break
	}
}
