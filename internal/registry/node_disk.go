package registry

// This file watches the duration of disk writes.

import (
	"context"
	"time"

	"github.com/hashicorp/raft"
)

// watchDisk transfers the leadership while the disk of this replica is slow: each commit waits for the leader's own disk.
// raft would keep the leader, as its heartbeats need no disk.
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
		n.log.Warn("registry: the disk is slow, this copy gives the lead up", "name", n.cfg.Name, "write", n.LastDiskWriteTime())
		if err := n.raft.LeadershipTransfer().Error(); err != nil {
			n.log.Warn("registry: nobody takes the lead over", "error", err)
		}
	}
}

// LastDiskWriteTime is the duration of the last disk write; 0 if there was none, or storage is in memory.
func (n *Node) LastDiskWriteTime() time.Duration {
	if n.store == nil {
		return 0
	}
	return n.store.LastWriteDuration()
}

// DiskWrites is the number of disk writes since the start.
func (n *Node) DiskWrites() int64 {
	if n.store == nil {
		return 0
	}
	return n.store.WriteCount()
}

// diskFailure is the error of the first disk write that failed; nil if none did.
func (n *Node) diskFailure() error {
	if n.store == nil {
		return nil
	}
	return n.store.Failure()
}
