package registry

// This file tracks and confirms the leadership of this replica.

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

// handleNewLeadership applies the first writes after this replica acquires leadership: the first epoch if there is
// none, and the HTTP addresses of the replicas.
func (n *Node) handleNewLeadership(ctx context.Context) {
	for {
		var leads bool
		select {
		case <-ctx.Done():
			return
		case leads = <-n.raft.LeaderCh():
		}
		if !leads {
			n.log.Info("registry: lost leadership", "name", n.cfg.Name)
			continue
		}
		n.log.Info("registry: acquired leadership", "name", n.cfg.Name)
		// Only after the barrier, which waits until all earlier entries are applied, does the state show whether there
		// is an epoch.
		term := n.raft.CurrentTerm()
		if err := n.raft.Barrier(listserver.ApplyTimeout).Error(); err != nil {
			continue // leadership was lost
		}
		if n.raft.CurrentTerm() == term {
			n.readyTerm.Store(term)
		}
		commands := []*state.Command{}
		var rev int64
		var members map[string]string
		n.hub.Read(func(s *state.State) { rev, members = s.Rev(), s.ReplicaAddresses() })
		if rev == 0 {
			commands = append(commands, &state.Command{Op: state.OpBeginEpoch, Epoch: state.NextEpoch(n.cfg.Faults.Now(), 0)})
		}
		if members[n.cfg.Name] != n.Addr() {
			commands = append(commands, &state.Command{Op: state.OpReplicaAddress, UID: n.cfg.Name, Address: n.Addr()})
		}
		for _, p := range n.cfg.Peers {
			if p.Name != n.cfg.Name && members[p.Name] == "" {
				commands = append(commands, &state.Command{Op: state.OpReplicaAddress, UID: p.Name, Address: p.Serve})
			}
		}
		for _, c := range commands {
			if _, err := n.Apply(c, listserver.ApplyTimeout); err != nil {
				n.log.Warn("registry: failed to apply the first writes of a new leader", "error", err)
				break
			}
		}
	}
}

// Leader reports whether this replica is the leader, and the HTTP address of the leader; empty if unknown.
func (n *Node) Leader() (bool, string) {
	if n.raft.State() == raft.Leader {
		return true, n.Addr()
	}
	_, id := n.raft.LeaderWithID()
	if id == "" {
		return false, ""
	}
	var address string
	n.hub.Read(func(s *state.State) { address = s.ReplicaAddress(string(id)) })
	return false, address
}

// Staleness returns an upper bound of the age of this replica's list. The list contains every write that was
// acknowledged at least that long ago.
func (n *Node) Staleness() time.Duration {
	var rev int64
	n.hub.Read(func(s *state.State) { rev = s.Rev() })
	if at := n.fresh.completeSince(rev); !at.IsZero() {
		return time.Since(at)
	}
	return time.Hour // no leadership was confirmed and no leader was polled yet
}

// needsEntries reports whether this replica still leads in the term, and the replica id is a member that it sends
// entries to.
func (n *Node) needsEntries(id raft.ServerID, term uint64) bool {
	if n.raft.State() != raft.Leader || n.raft.CurrentTerm() != term {
		return false
	}
	f := n.raft.GetConfiguration()
	return f.Error() == nil && slices.ContainsFunc(f.Configuration().Servers, func(s raft.Server) bool { return s.ID == id })
}

// Term returns the raft term in which this replica leads; 0 if it does not lead, or has not yet applied all entries
// committed in earlier terms.
func (n *Node) Term() uint64 {
	if term := n.readyTerm.Load(); n.raft.State() == raft.Leader && n.raft.CurrentTerm() == term {
		return term
	}
	return 0
}

// Confirm verifies with a quorum that this replica still leads.
func (n *Node) Confirm() error {
	// A new leader may not yet have applied all entries that earlier leaders committed.
	at, term := time.Now(), n.raft.CurrentTerm()
	if n.readyTerm.Load() != term {
		return listserver.ErrNotLeader
	}
	for range maxConfirmAttempts {
		if err := n.raft.VerifyLeader().Error(); err != nil {
			return listserver.ErrNotLeader
		}
		if n.confirmedSince(at, term) {
			return nil
		}
	}
	return listserver.ErrNotLeader
}

// confirmedSince reports whether a quorum has acknowledged messages that this replica, as the leader of the term, sent
// after the time at.
func (n *Node) confirmedSince(at time.Time, term uint64) bool {
	f := n.raft.GetConfiguration()
	if f.Error() != nil {
		return false
	}
	voters, acknowledged := 0, 0
	for _, s := range f.Configuration().Servers {
		if s.Suffrage != raft.Voter {
			continue
		}
		voters++
		if s.ID == raft.ServerID(n.cfg.Name) || n.transport.AcknowledgedSince(s.ID, term, at) {
			acknowledged++
		}
	}
	return 2*acknowledged > voters
}
