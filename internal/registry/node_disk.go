package registry

// This file monitors the duration of disk writes.

import (
	"context"
	"time"

	"github.com/hashicorp/raft"
)

// watchDisk transfers the leadership while the disk of this replica is slow, as the leader writes every entry to its
// own disk. raft by itself would keep the leader, since heartbeats need no disk.
func (n *Node) watchDisk(ctx context.Context) {
	t := time.NewTicker(n.cfg.HeartbeatInterval)
	defer t.Stop()
	var lastYield time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if n.store.SlowWritesInRow() < slowWritesToYield || n.raft.State() != raft.Leader || !lastYield.IsZero() && time.Since(lastYield) < minYieldInterval {
			continue
		}
		lastYield = time.Now()
		n.log.Warn("registry: disk is slow, transferring leadership", "name", n.cfg.Name, "write", n.LastDiskWriteTime())
		if err := n.raft.LeadershipTransfer().Error(); err != nil {
			n.log.Warn("registry: failed to transfer leadership", "error", err)
		}
	}
}

// LastDiskWriteTime returns the duration of the last disk write; 0 if there was none or state is kept in memory.
func (n *Node) LastDiskWriteTime() time.Duration {
	if n.store == nil {
		return 0
	}
	return n.store.LastWriteDuration()
}

// DiskWrites returns the number of disk writes since the start.
func (n *Node) DiskWrites() int64 {
	if n.store == nil {
		return 0
	}
	return n.store.WriteCount()
}

// diskFailure returns the error of the first disk write that failed; nil if none failed.
func (n *Node) diskFailure() error {
	if n.store == nil {
		return nil
	}
	return n.store.Failure()
}
