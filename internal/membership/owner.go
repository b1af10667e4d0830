package membership

import (
	"time"

	"github.com/hashicorp/memberlist"

	"marblelane/internal/membership/roster"
)

const (
	// viewInterval is the longest time between two calls of Config.ViewChanged.
	viewInterval = time.Second
	// viewIntervalSlack is how much before viewInterval the call may be made, so that a timer that fires early still
	// triggers it.
	viewIntervalSlack = viewInterval / 10
	// minOwnerPause is the shortest time between two rounds that the owner's timer triggers.
	minOwnerPause = viewInterval / 100

	// scanPausePerMember is the shortest time between two scans, per known process. A scan visits all processes, so
	// this bounds the owner's work to some thousands of visits a second, however many messages arrive.
	scanPausePerMember = time.Millisecond
	// neverScanned is a value of lastScan with which a scan is due at once.
	neverScanned = -time.Hour

	// retransmitMultiplier is memberlist's factor for the number of times a broadcast is sent.
	retransmitMultiplier = 4
)

// owner holds the roster and publishes its view. Only its goroutine uses its fields, unless noted otherwise.
type owner struct {
	*shared
	meta     meta
	roster   *roster.Roster
	received messageQueue // messages that the instances have received
	// broadcasts and pushPull are read by the instances.
	broadcasts memberlist.TransmitLimitedQueue
	pushPull   pushPullCache

	reachable         map[roster.ID]*aliveNode    // nodes that the failure detector holds alive or suspects
	observedInstance  *instance                   // the instance that reachable was read from
	pendingBroadcasts map[roster.ID]time.Duration // time since which each process waits (see broadcastPending)
	ackRequests       []roster.Entry              // processes that have requested an acknowledgement

	acks       ackProgress
	exchange   exchangeSchedule
	startRaise startRaise

	rosterChangedAt time.Duration
	viewNotifiedAt  time.Duration
	lastScan        time.Duration
	scanNeeded      bool // something has changed since the last scan
	hasSharedNames  bool // several alive processes have the same name and may become duplicates
}

// startOwner returns an owner with a new roster and a running library. The caller starts its goroutine (run).
func startOwner(s *shared) (*owner, error) {
	var err error
	if s.addr, err = advertisedAddr(&s.cfg, s.transport); err != nil {
		return nil, err
	}
	id := roster.ID{Name: s.cfg.Name, Start: s.cfg.Start}
	o := &owner{shared: s,
		meta: meta{Name: id.Name, Start: id.Start, Zone: s.cfg.Zone, Role: s.cfg.Role, Version: s.cfg.Version,
			Observer: s.cfg.Observer},
		roster: roster.New(0, roster.Options{Self: id, Addr: s.addr, Observer: s.cfg.Observer, Peers: s.cfg.Peers,
			AdmitWithin: s.cfg.AdmitWithin}),
		reachable: map[roster.ID]*aliveNode{}, pendingBroadcasts: map[roster.ID]time.Duration{}, scanNeeded: true,
		lastScan: neverScanned}
	o.received.maxWeight = maxQueueWeight
	o.broadcasts = memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMultiplier, NumNodes: s.reachableCount}
	o.entries()
	return o, o.startInstance(id)
}

// run executes commands and rounds until the group is closed.
func (o *owner) run() {
	defer close(o.ownerDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case c := <-o.commands:
			c.result <- c.execute(o)
			continue
		case <-o.ownerWake:
		case <-timer.C:
		}
		o.runRound()
		timer.Reset(o.pause())
	}
}

// pause returns the time until the next round, unless the owner is woken earlier.
func (o *owner) pause() time.Duration {
	pause := max(o.viewNotifiedAt+viewInterval-o.now(), minOwnerPause)
	if o.hasLeft.Load() {
		pause = viewInterval
	} else if v := o.view.Load(); !v.Admitted || o.acks.missing && !v.Forced {
		pause = min(pause, ackRequestInterval)
	}
	if o.scanNeeded {
		pause = min(pause, max(o.lastScan+o.scanPause()-o.now(), time.Millisecond))
	}
	return pause
}

// scanPause returns the shortest time between two scans.
func (o *owner) scanPause() time.Duration {
	return min(scanPausePerMember*time.Duration(len(o.status.members)), viewInterval)
}

// scanDue reports whether to scan all members.
func (o *owner) scanDue(now time.Duration) bool {
	elapsed := now - o.lastScan
	timed := o.hasSharedNames || o.startRaise.laterSince > 0 // both change by the passing of time alone
	return o.scanNeeded && elapsed >= o.scanPause() || timed && elapsed >= viewInterval-viewIntervalSlack
}

// scanNow runs a round that includes a scan, regardless of the time of the last one.
func (o *owner) scanNow() {
	o.lastScan = neverScanned
	o.runRound()
}

// runRound handles the changes and messages that have arrived, and publishes the resulting view.
func (o *owner) runRound() {
	if o.hasLeft.Load() {
		return
	}
	now := o.now()
	messages := o.received.take()
	// Node changes are applied before messages, so that processes that the library has already reported are not
	// broadcast.
	o.applyNodeChanges(now)
	for _, m := range messages {
		o.handleMessage(now, m)
	}
	o.broadcastPending(now)
	o.resolveConflict(now)
	if o.scanDue(now) {
		o.markReplacedGone(now)
		o.raiseStart(now)
	}
	o.restartInstance()
	o.requestAcks(now)
	o.publish(now)
	o.sendAcks() // follows publish, as the view must count a process before it is acknowledged
}

// applyNodeChanges applies the failure detector's changes to the reachable nodes and the roster.
func (o *owner) applyNodeChanges(now time.Duration) {
	i := o.current.Load()
	if i != o.observedInstance {
		i.markChanged(o.reachable)
		o.observedInstance = i
	}
	for _, c := range i.takeChanges() {
		before := o.reachable[c.id]
		if before == nil && c.node == nil {
			continue
		}
		o.pushPull.invalidate()
		o.scanNeeded = true
		if c.node != nil {
			o.reachable[c.id] = c.node
			if before == nil {
				o.addJoinedNode(now, c.id, c.node)
			}
			continue
		}
		delete(o.reachable, c.id)
		o.roster.SetReachable(now, c.id, false)
		if o.cfg.Defect == DefectTrustDetector {
			o.merge(now, goneEntry(c.id, roster.ProofOperator))
		}
	}
}

// addJoinedNode adds a node that has become reachable to the roster, unless the roster is full.
func (o *owner) addJoinedNode(now time.Duration, id roster.ID, n *aliveNode) {
	entries := o.limitEntries([]roster.Entry{{Name: id.Name, Start: id.Start, Addr: n.addr, Observer: n.meta.Observer}})
	if o.merge(now, entries...); len(entries) > 0 {
		o.roster.SetReachable(now, id, true)
	}
}

// idOf returns the identity of an entry's process.
func idOf(e roster.Entry) roster.ID { return roster.ID{Name: e.Name, Start: e.Start} }

// goneEntry returns an entry with a proof that a process has ended.
func goneEntry(id roster.ID, proof roster.Proof) roster.Entry {
	return roster.Entry{Name: id.Name, Start: id.Start, GoneStart: id.Start, Proof: proof}
}
