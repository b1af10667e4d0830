package membership

import (
	"time"

	"github.com/hashicorp/memberlist"

	"marblelane/internal/membership/roster"
)

const (
	// viewInterval is how often Config.ViewChanged is called at least.
	viewInterval = time.Second
	// viewIntervalSlack is how much earlier it may be called, so that a timer that fires early is not lost.
	viewIntervalSlack = viewInterval / 10
	// minOwnerPause is the shortest time between two rounds of the owner that nothing wakes.
	minOwnerPause = viewInterval / 100

	// scanPausePerMember is the time between two scans for each known process. A scan visits all of them, so this bounds
	// the owner's work to some thousands of visits a second, however many messages arrive.
	scanPausePerMember = time.Millisecond
	// neverScanned as the time of the last scan makes the next one due at once.
	neverScanned = -time.Hour

	// retransmitMultiplier is memberlist's factor for how often a broadcast is sent.
	retransmitMultiplier = 4
)

// owner holds the roster. All of its fields belong to its goroutine, but for those that say otherwise.
type owner struct {
	*shared
	meta     meta
	roster   *roster.Roster
	received messageQueue // filled by the instances
	// broadcasts and pushPull are read by the instances.
	broadcasts memberlist.TransmitLimitedQueue
	pushPull   pushPullCache

	reachable        map[roster.ID]*aliveNode    // by the failure detector
	observedInstance *instance                   // to which reachable belongs
	pending          map[roster.ID]time.Duration // processes to broadcast (see broadcastPending), and since when
	ackRequests      []roster.Entry              // processes that wait for this one's acknowledgement

	acks     ackProgress
	exchange exchangeSchedule
	raise    startRaise

	rosterChangedAt time.Duration
	viewSentAt      time.Duration
	lastScan        time.Duration
	scanNeeded      bool // something has changed since the last scan
	namesCoexist    bool // several alive processes share a name and may become duplicates
}

// startOwner starts the library and the roster, but not the owner's goroutine.
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
		reachable: map[roster.ID]*aliveNode{}, pending: map[roster.ID]time.Duration{}, scanNeeded: true,
		lastScan: neverScanned}
	o.received.maxWeight = maxQueueWeight
	o.broadcasts = memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMultiplier, NumNodes: s.size}
	o.entries()
	return o, o.startInstance(id)
}

// run is the owner's goroutine.
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
		case <-o.wake:
		case <-timer.C:
		}
		o.process()
		timer.Reset(o.pause())
	}
}

// pause returns how long the owner waits if nothing wakes it.
func (o *owner) pause() time.Duration {
	pause := max(o.viewSentAt+viewInterval-o.now(), minOwnerPause)
	if o.left.Load() {
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
	timed := o.namesCoexist || o.raise.laterSince > 0 // these depend on time alone
	return o.scanNeeded && elapsed >= o.scanPause() || timed && elapsed >= viewInterval-viewIntervalSlack
}

// scanNow is a round with a scan, whenever the last one was.
func (o *owner) scanNow() {
	o.lastScan = neverScanned
	o.process()
}

// process is one round of the owner: it handles all that has arrived, and acts on it.
func (o *owner) process() {
	if o.left.Load() {
		return
	}
	now := o.now()
	messages := o.received.take()
	// First, so that what the library reports before a message does is not broadcast.
	o.observeInstance(now)
	for _, m := range messages {
		o.handleMessage(now, m)
	}
	o.broadcastPending(now)
	o.resolveConflict(now)
	if o.scanDue(now) {
		o.proveReplaced(now)
		o.raiseStart(now)
	}
	o.restartInstance()
	o.requestAcks(now)
	o.publish(now)
	o.sendAcks() // after the members they count were published
}

// observeInstance takes over the failure detector's verdicts.
func (o *owner) observeInstance(now time.Duration) {
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
				o.nodeJoined(now, c.id, c.node)
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

// nodeJoined adds a node that has become reachable to the roster, if there is room for it.
func (o *owner) nodeJoined(now time.Duration, id roster.ID, n *aliveNode) {
	entries := o.withinBound([]roster.Entry{{Name: id.Name, Start: id.Start, Addr: n.addr, Observer: n.meta.Observer}})
	if o.merge(now, entries...); len(entries) > 0 {
		o.roster.SetReachable(now, id, true)
	}
}

func idOf(e roster.Entry) roster.ID { return roster.ID{Name: e.Name, Start: e.Start} }

// goneEntry is the entry that proves a process gone.
func goneEntry(id roster.ID, proof roster.Proof) roster.Entry {
	return roster.Entry{Name: id.Name, Start: id.Start, GoneStart: id.Start, Proof: proof}
}
