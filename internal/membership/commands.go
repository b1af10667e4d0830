package membership

import (
	"context"
	"fmt"
	"net"
	"time"

	"marblelane/internal/membership/roster"
)

const (
	// maxLeaveTime bounds the time for the library's leave broadcast.
	maxLeaveTime = 2 * time.Second
	// minLeaveTime is the shortest time for the leave broadcast, unless the caller's deadline is earlier.
	minLeaveTime = 100 * time.Millisecond
)

// command is a request to the owner. It runs on the owner's goroutine.
type command interface {
	execute(o *owner) error
}

// queuedCommand is a command with the channel for its result.
type queuedCommand struct {
	command
	result chan<- error
}

// runOnOwner executes a command on the owner's goroutine. It fails with net.ErrClosed if that has ended.
func (s *shared) runOnOwner(ctx context.Context, c command) error {
	result := make(chan error, 1)
	select {
	case s.commands <- queuedCommand{c, result}:
	case <-s.ownerDone:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	return <-result // the owner executes each command that it has received
}

// confirmGone marks a process gone that an operator has confirmed to have ended.
type confirmGone struct{ id roster.ID }

func (c confirmGone) execute(o *owner) error {
	if o.hasLeft.Load() {
		return fmt.Errorf("%s@%d: %w", c.id.Name, c.id.Start, net.ErrClosed)
	}
	if _, known := o.roster.Find(c.id); !known {
		return fmt.Errorf("%s@%d: %w", c.id.Name, c.id.Start, ErrUnknownMember)
	}
	o.log.Warn("members: operator confirmed that a process has ended", "name", c.id.Name, "start", c.id.Start)
	o.merge(o.now(), goneEntry(c.id, roster.ProofOperator))
	o.scanNow()
	return nil
}

// recordConnectionRefused records that the address of a process refuses connections. It marks the process gone if it is
// still unreachable.
type recordConnectionRefused struct{ id roster.ID }

func (c recordConnectionRefused) execute(o *owner) error {
	now := o.now()
	o.applyNodeChanges(now)
	for _, e := range o.roster.Unreachable() {
		if idOf(e) == c.id {
			o.merge(now, goneEntry(c.id, roster.ProofRefused))
		}
	}
	o.scanNow()
	return nil
}

// scanMembers scans all members now.
type scanMembers struct{}

func (scanMembers) execute(o *owner) error {
	o.scanNow()
	return nil
}

// refreshStatus scans all members if anything has changed since the last scan.
type refreshStatus struct{}

func (refreshStatus) execute(o *owner) error {
	if o.scanNeeded && !o.hasLeft.Load() {
		o.scanNow()
	}
	return nil
}

// leaveFleet makes this process leave the fleet before the deadline of ctx.
type leaveFleet struct{ ctx context.Context }

func (c leaveFleet) execute(o *owner) error {
	if o.hasLeft.Swap(true) {
		return nil
	}
	timeout := maxLeaveTime
	if deadline, ok := c.ctx.Deadline(); ok {
		timeout = max(min(timeout, time.Until(deadline)), time.Millisecond)
	}
	i := o.current.Load()
	entry := goneEntry(i.id, roster.ProofLeft)
	entry.Addr, entry.Observer = o.addr, o.cfg.Observer
	o.broadcasts.Reset()
	o.merge(o.now(), entry)
	o.lastScan = neverScanned
	o.publish(o.now()) // gives up the quota before the other members remove this process
	text := encodeEntries(kindEntries, entry).bytes()
	o.sendToReachable(i, text)
	if !i.transport.closed.Load() { // otherwise the library has stopped and cannot broadcast
		// Two rounds of gossip suffice, as the message was also sent to each reachable member.
		timeout = min(timeout, max(timeout/2, minLeaveTime))
		if err := i.library.Leave(timeout); err != nil {
			o.log.Debug("members: leave broadcast incomplete", "err", err) // members that received it forward it
		}
		o.sendToReachable(i, text) // sends the message once more, as packets may be lost
		i.shutdown()
	}
	_ = o.transport.Shutdown()
	o.log.Info("members: left the fleet", "name", i.id.Name, "start", i.id.Start)
	return nil
}
