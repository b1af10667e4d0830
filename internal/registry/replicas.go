package registry

// This file replaces a replica: the new one joins as a learner (Learn), becomes a voter once it has caught up (Promote),
// and then the old one is removed (Retire). Each step may be repeated. Promote and Retire are rejected unless a quorum of
// the voters after the change answers the leader.

import (
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

// replyTimeoutBeats is the time, in heartbeats, in which a replica has to answer to count as alive.
const replyTimeoutBeats = 10

// Replicas returns all replicas of the cluster, as far as this one knows.
func (n *Node) Replicas() []listserver.ReplicaStatus {
	f := n.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	leads, term := n.raft.State() == raft.Leader, n.raft.CurrentTerm()
	standings := n.members.MemberStates()
	var serve map[string]string
	n.hub.Read(func(s *state.State) { serve = s.Members() })
	out := make([]listserver.ReplicaStatus, 0, len(f.Configuration().Servers))
	for _, s := range f.Configuration().Servers {
		name := string(s.ID)
		c := listserver.ReplicaStatus{Name: name, Raft: string(s.Address), Serve: serve[name], Votes: s.Suffrage == raft.Voter,
			AckMS: -1, Member: listserver.UnknownMember}
		if standing, ok := standings[name]; ok {
			c.Member = standing
		}
		if at := n.transport.LastAcknowledged(s.ID, term); leads && name == n.cfg.Name {
			c.AckMS = 0
		} else if leads && !at.IsZero() {
			c.AckMS = time.Since(at).Milliseconds()
		}
		out = append(out, c)
	}
	return out
}

// Name is this replica's.
func (n *Node) Name() string { return n.cfg.Name }

// Applied is the index of the last log entry that this replica has applied.
func (n *Node) Applied() uint64 { return n.raft.AppliedIndex() }

// voters returns the voters of a configuration except one.
func voters(c raft.Configuration, without string) (out []raft.Server) {
	for _, s := range c.Servers {
		if s.Suffrage == raft.Voter && s.ID != raft.ServerID(without) {
			out = append(out, s)
		}
	}
	return out
}

// awaitQuorum waits until a quorum of the voters, and a required one, acknowledge messages that this leader sends from now
// on.
func (n *Node) awaitQuorum(all []raft.Server, with string) error {
	term, startedAt := n.raft.CurrentTerm(), time.Now()
	limit := startedAt.Add(replyTimeoutBeats * n.cfg.Beat)
	for {
		there, has := 0, with == ""
		for _, s := range all {
			if s.ID == raft.ServerID(n.cfg.Name) || n.transport.AcknowledgedSince(s.ID, term, startedAt) {
				there++
				has = has || s.ID == raft.ServerID(with)
			}
		}
		switch {
		case n.raft.State() != raft.Leader || n.raft.CurrentTerm() != term:
			return listserver.ErrNotLeader
		case has && 2*there > len(all):
			return nil
		case time.Now().After(limit) && !has:
			return fmt.Errorf("%w: %s does not answer", listserver.ErrRejected, with)
		case time.Now().After(limit):
			return fmt.Errorf("%w: of the %d that would vote %d answer", listserver.ErrRejected, len(all), there)
		}
		time.Sleep(n.cfg.Beat / 4)
	}
}

// configuration returns the members of the cluster and the index of the configuration, for conditional changes.
func (n *Node) configuration() (raft.Configuration, uint64, error) {
	f := n.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return raft.Configuration{}, 0, fmt.Errorf("registry: configuration: %w", err)
	}
	return f.Configuration(), f.Index(), nil
}

func find(c raft.Configuration, name string) (raft.Server, bool) {
	i := slices.IndexFunc(c.Servers, func(s raft.Server) bool { return s.ID == raft.ServerID(name) })
	if i < 0 {
		return raft.Server{}, false
	}
	return c.Servers[i], true
}

// Learn adds a replica as a learner if its address accepts connections. Only the leader can, as with Promote and Retire.
func (n *Node) Learn(p listserver.Peer) error {
	c, index, err := n.configuration()
	if err != nil {
		return err
	}
	for _, s := range c.Servers {
		if same := s.ID == raft.ServerID(p.Name); same != (s.Address == raft.ServerAddress(p.Raft)) {
			return fmt.Errorf("%w: copy %s is at %s", listserver.ErrRejected, s.ID, s.Address)
		}
	}
	if _, known := find(c, p.Name); !known {
		// A replica that cannot be reached would stay a learner that never catches up.
		conn, err := net.DialTimeout("tcp", p.Raft, replyTimeoutBeats*n.cfg.Beat)
		if err != nil {
			return fmt.Errorf("%w: nobody answers at %s, where %s is to be: %w", listserver.ErrRejected, p.Raft, p.Name, err)
		}
		_ = conn.Close()
		f := n.raft.AddNonvoter(raft.ServerID(p.Name), raft.ServerAddress(p.Raft), index, listserver.ApplyTimeout)
		if err := f.Error(); err != nil {
			return fmt.Errorf("registry: learn %s: %w", p.Name, err)
		}
	}
	_, err = n.Apply(&state.Command{Op: state.OpMember, UID: p.Name, Address: p.Serve}, listserver.ApplyTimeout)
	return err
}

// Promote makes a learner a voter.
func (n *Node) Promote(name string) error {
	c, index, err := n.configuration()
	if err != nil {
		return err
	}
	s, known := find(c, name)
	switch {
	case !known:
		return fmt.Errorf("%w: there is no copy %s", listserver.ErrRejected, name)
	case s.Suffrage == raft.Voter:
		return nil
	}
	if err := n.awaitQuorum(append(voters(c, ""), s), name); err != nil {
		return err
	}
	if err := n.raft.AddVoter(s.ID, s.Address, index, listserver.ApplyTimeout).Error(); err != nil {
		return fmt.Errorf("registry: promote %s: %w", name, err)
	}
	return nil
}

// Retire removes a replica from the cluster if the others still have a quorum. A leader that is to be removed transfers the
// leadership first and returns ErrNotLeader; the new leader has to be called.
func (n *Node) Retire(name string) error {
	c, index, err := n.configuration()
	if err != nil {
		return err
	}
	if _, known := find(c, name); known {
		if err := n.awaitQuorum(voters(c, name), ""); err != nil {
			return err
		}
		if name == n.cfg.Name {
			if err := n.raft.LeadershipTransfer().Error(); err != nil {
				return fmt.Errorf("registry: retire %s, which leads: %w", name, err)
			}
			return listserver.ErrNotLeader
		}
		if err := n.raft.RemoveServer(raft.ServerID(name), index, listserver.ApplyTimeout).Error(); err != nil {
			return fmt.Errorf("registry: retire %s: %w", name, err)
		}
	}
	_, err = n.Apply(&state.Command{Op: state.OpMember, UID: name}, listserver.ApplyTimeout)
	return err
}
