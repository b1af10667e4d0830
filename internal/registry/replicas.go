package registry

// This file replaces a replica: the new one joins as a learner (Learn), becomes a voter once it has caught up (Promote),
// and then the old one is removed (Retire). Each step may be repeated; the last two are rejected unless a quorum of the
// voters after the change answers the leader.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"marblelane/internal/membership"
	"marblelane/internal/registry/state"
)

const copiesPath = "/registry/copies"

// replyTimeoutBeats is the time, in heartbeats, in which a replica has to answer to count as alive.
const replyTimeoutBeats = 10

// ErrRejected rejects a membership change that would put the quorum at risk.
var ErrRejected = errors.New("the copies stay as they are")

// CopyStatus is one replica as another has it.
type CopyStatus struct {
	Name   string                 `json:"name"`
	Raft   string                 `json:"raft"`
	Serve  string                 `json:"serve"`
	Votes  bool                   `json:"votes"`
	AckMS  int64                  `json:"ack_ms"` // at the leader: age of what it has acknowledged in this lead; -1: nothing
	Member membership.MemberState `json:"member"` // what membership says; it has no say in who votes
}

// Copies are all copies of the cluster, as far as this one knows.
func (n *Node) Copies() []CopyStatus {
	f := n.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	leads, term := n.raft.State() == raft.Leader, n.raft.CurrentTerm()
	standings := n.members.standings()
	var serve map[string]string
	n.hub.read(func(s *state.State) { serve = s.Members() })
	out := make([]CopyStatus, 0, len(f.Configuration().Servers))
	for _, s := range f.Configuration().Servers {
		name := string(s.ID)
		c := CopyStatus{Name: name, Raft: string(s.Address), Serve: serve[name], Votes: s.Suffrage == raft.Voter,
			AckMS: -1, Member: unknown}
		if standing, ok := standings[name]; ok {
			c.Member = standing
		}
		if at := n.transport.Acknowledged(s.ID, term); leads && name == n.cfg.Name {
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

// voters are those of a configuration, without one.
func voters(c raft.Configuration, without string) (out []raft.Server) {
	for _, s := range c.Servers {
		if s.Suffrage == raft.Voter && s.ID != raft.ServerID(without) {
			out = append(out, s)
		}
	}
	return out
}

// holds waits for a quorum of so many voters, and for one that has to be among them, to acknowledge what this replica
// sends as leader from now on.
func (n *Node) awaitQuorum(all []raft.Server, with string) error {
	term, startedAt := n.raft.CurrentTerm(), time.Now()
	limit := startedAt.Add(replyTimeoutBeats * n.cfg.Beat)
	for {
		there, has := 0, with == ""
		for _, s := range all {
			if s.ID == raft.ServerID(n.cfg.Name) || n.transport.Follows(s.ID, term, startedAt) {
				there++
				has = has || s.ID == raft.ServerID(with)
			}
		}
		switch {
		case n.raft.State() != raft.Leader || n.raft.CurrentTerm() != term:
			return ErrNotLeader
		case has && 2*there > len(all):
			return nil
		case time.Now().After(limit) && !has:
			return fmt.Errorf("%w: %s does not answer", ErrRejected, with)
		case time.Now().After(limit):
			return fmt.Errorf("%w: of the %d that would vote %d answer", ErrRejected, len(all), there)
		}
		time.Sleep(n.cfg.Beat / 4)
	}
}

// configuration is who is in the cluster, with the index of it, which makes a change conditional.
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

// Learn lets a replica follow without a vote, if somebody answers where it is to be. It is the leader's to do, like
// Promote and Retire.
func (n *Node) Learn(p Peer) error {
	c, index, err := n.configuration()
	if err != nil {
		return err
	}
	for _, s := range c.Servers {
		if same := s.ID == raft.ServerID(p.Name); same != (s.Address == raft.ServerAddress(p.Raft)) {
			return fmt.Errorf("%w: copy %s is at %s", ErrRejected, s.ID, s.Address)
		}
	}
	if _, known := find(c, p.Name); !known {
		// Who cannot be reached would stay as a replica that never learns.
		conn, err := net.DialTimeout("tcp", p.Raft, replyTimeoutBeats*n.cfg.Beat)
		if err != nil {
			return fmt.Errorf("%w: nobody answers at %s, where %s is to be: %w", ErrRejected, p.Raft, p.Name, err)
		}
		_ = conn.Close()
		f := n.raft.AddNonvoter(raft.ServerID(p.Name), raft.ServerAddress(p.Raft), index, applyTimeout)
		if err := f.Error(); err != nil {
			return fmt.Errorf("registry: learn %s: %w", p.Name, err)
		}
	}
	_, err = n.Apply(&state.Command{Op: state.OpMember, UID: p.Name, Address: p.Serve}, applyTimeout)
	return err
}

// Promote gives a replica that learns its vote.
func (n *Node) Promote(name string) error {
	c, index, err := n.configuration()
	if err != nil {
		return err
	}
	s, known := find(c, name)
	switch {
	case !known:
		return fmt.Errorf("%w: there is no copy %s", ErrRejected, name)
	case s.Suffrage == raft.Voter:
		return nil
	}
	if err := n.awaitQuorum(append(voters(c, ""), s), name); err != nil {
		return err
	}
	if err := n.raft.AddVoter(s.ID, s.Address, index, applyTimeout).Error(); err != nil {
		return fmt.Errorf("registry: promote %s: %w", name, err)
	}
	return nil
}

// Retire takes a replica out of the cluster if a quorum stays without it. A leader that is to go gives the lead to
// another first, and answers ErrNotLeader: the next one is to be asked.
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
			return ErrNotLeader
		}
		if err := n.raft.RemoveServer(raft.ServerID(name), index, applyTimeout).Error(); err != nil {
			return fmt.Errorf("registry: retire %s: %w", name, err)
		}
	}
	_, err = n.Apply(&state.Command{Op: state.OpMember, UID: name}, applyTimeout)
	return err
}

// replicaSet is a replica whose members can be changed.
type replicaSet interface {
	Add(Peer) error
	Remove(name string) error
	Learn(Peer) error
	Promote(name string) error
	Retire(name string) error
	Name() string
	Copies() []CopyStatus
	Applied() uint64
}

// handleCopies serves changes of the cluster.
func (s *Server) handleCopies(m *http.ServeMux, c replicaSet) {
	peer := func(do func(Peer) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var p Peer
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWriteBodyBytes)).Decode(&p); err != nil {
				http.Error(w, "the body is no copy: "+err.Error(), http.StatusBadRequest)
				return
			}
			if p.Name = r.PathValue("name"); p.Raft == "" || p.Serve == "" {
				http.Error(w, "a copy has the addresses raft and serve", http.StatusBadRequest)
				return
			}
			if s.leading(w, r) {
				s.answer(w, do(p))
			}
		}
	}
	named := func(do func(string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if s.leading(w, r) {
				s.answer(w, do(r.PathValue("name")))
			}
		}
	}
	m.HandleFunc("POST "+copiesPath+"/{name}", peer(c.Add))
	m.HandleFunc("DELETE "+copiesPath+"/{name}", named(c.Remove))
	m.HandleFunc("POST "+copiesPath+"/{name}/learn", peer(c.Learn))
	m.HandleFunc("POST "+copiesPath+"/{name}/promote", named(c.Promote))
	m.HandleFunc("POST "+copiesPath+"/{name}/retire", named(c.Retire))
}

func (s *Server) answer(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrRejected):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "done")
	}
}
