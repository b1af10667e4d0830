package registry

// This file watches how long the disk takes.

import (
	"context"
	"time"

	"github.com/hashicorp/raft"
)

// watchDisk gives the lead up while this replica's disk is slow: each write waits for the leader's own disk, and for the
// quickest of the others'. raft would let it lead on, as its heartbeats need no disk.
func (n *Node) watchDisk(ctx context.Context) {
	t := time.NewTicker(n.cfg.Beat)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if n.store.SlowWritesInRow() < slowWritesToYield || n.raft.State() != raft.Leader || !last.IsZero() && time.Since(last) < minYieldInterval {
			continue
		}
		last = time.Now()
		n.log.Warn("registry: the disk is slow, this copy gives the lead up", "name", n.cfg.Name, "write", n.DiskTook())
		if err := n.raft.LeadershipTransfer().Error(); err != nil {
			n.log.Warn("registry: nobody takes the lead over", "error", err)
		}
	}
}

// DiskTook is how long the last write to the disk took; 0: there was none, or nothing is kept.
func (n *Node) DiskTook() time.Duration {
	if n.store == nil {
		return 0
	}
	return n.store.LastWriteDuration()
}

// DiskWrites is how often something was written to the disk since the start.
func (n *Node) DiskWrites() int64 {
	if n.store == nil {
		return 0
	}
	return n.store.WriteCount()
}

// diskFailure is the first write that the replica's folder has refused; nil: none.
func (n *Node) diskFailure() error {
	if n.store == nil {
		return nil
	}
	return n.store.Failure()
}
