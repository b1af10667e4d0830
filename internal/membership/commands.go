package membership

import (
	"context"
	"fmt"
	"net"
	"time"

	"marblelane/internal/membership/roster"
)

const (
	// maxLeaveTime bounds the library's broadcast that this process leaves.
	maxLeaveTime = 2 * time.Second
	// minLeaveTime is what that broadcast gets at least, if the caller's deadline allows it.
	minLeaveTime = 100 * time.Millisecond
)

// command is a request to the owner. It runs on the owner's goroutine.
type command interface {
	execute(o *owner) error
}

type queuedCommand struct {
	command
	result chan<- error
}

// runOnOwner has the owner execute a command. It fails with net.ErrClosed if the owner has ended.
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

// removeMember is an operator's word that a process is gone.
type removeMember struct{ id roster.ID }

func (c removeMember) execute(o *owner) error {
	if o.hasLeft.Load() {
		return fmt.Errorf("%s@%d: %w", c.id.Name, c.id.Start, net.ErrClosed)
	}
	if _, known := o.roster.Find(c.id); !known {
		return fmt.Errorf("%s@%d: %w", c.id.Name, c.id.Start, ErrUnknownMember)
	}
	o.log.Warn("members: an operator confirms that a process is gone", "name", c.id.Name, "start", c.id.Start)
	o.merge(o.now(), removedEntry(c.id, roster.ProofOperator))
	o.scanNow()
	return nil
}

// recordConnectionRefused reports that the address of a process refuses connections. It proves the process gone if it is
// unreachable still.
type recordConnectionRefused struct{ id roster.ID }

func (c recordConnectionRefused) execute(o *owner) error {
	now := o.now()
	o.applyNodeChanges(now)
	for _, e := range o.roster.Unreachable() {
		if idOf(e) == c.id {
			o.merge(now, removedEntry(c.id, roster.ProofRefused))
		}
	}
	o.scanNow()
	return nil
}

// scanMembers has the owner scan all members now.
type scanMembers struct{}

func (scanMembers) execute(o *owner) error {
	o.scanNow()
	return nil
}

// refreshStatus has the owner scan all members if anything has changed since the last scan.
type refreshStatus struct{}

func (refreshStatus) execute(o *owner) error {
	if o.scanNeeded && !o.hasLeft.Load() {
		o.scanNow()
	}
	return nil
}

// leaveFleet has this process leave before the context's deadline.
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
	entry := removedEntry(i.id, roster.ProofLeft)
	entry.Addr, entry.Observer = o.addr, o.cfg.Observer
	o.broadcasts.Reset()
	o.merge(o.now(), entry)
	o.lastScan = neverScanned
	o.publish(o.now()) // it gives up its quota before anybody counts it out
	text := encodeEntries(kindEntries, entry).bytes()
	o.sendToReachable(i, text)
	if !i.transport.closed.Load() { // else its library has ended, and cannot broadcast
		// Two rounds of gossip are enough: all reachable members got it directly.
		timeout = min(timeout, max(timeout/2, minLeaveTime))
		if err := i.library.Leave(timeout); err != nil {
			o.log.Debug("members: leave was not broadcast to all", "err", err) // those that know pass it on
		}
		o.sendToReachable(i, text) // again, as packets get lost
		i.shutdown()
	}
	_ = o.transport.Shutdown()
	o.log.Info("members: left", "name", i.id.Name, "start", i.id.Start)
	return nil
}
