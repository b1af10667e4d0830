package registry

// This file implements the state machine of raft: it applies commands, and takes and restores snapshots.

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
	"marblelane/internal/registry/storage"
)

// stateMachine implements raft.FSM on the node.
type stateMachine Node

// Apply applies a committed command.
func (m *stateMachine) Apply(l *raft.Log) any {
	var c state.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return result{err: fmt.Errorf("registry: log entry %d: %w", l.Index, err)}
	}
	var r result
	if c.Term != 0 && c.Term != l.Term {
		return result{err: listserver.ErrNotLeader} // proposed under the leader of an earlier term
	}
	m.hub.Read(func(s *state.State) {
		r.rev, r.err = s.Apply(&c)
		m.routes.Follow(s.Routes, l.Term, time.Now())
	})
	m.server.SignalChange()
	return r
}

// Snapshot copies the state; raft persists the copy later.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	var s *state.Snapshot
	var err error
	m.hub.Read(func(st *state.State) { s, err = st.Snapshot() })
	return storage.StateSnapshot{Content: s}, err
}

// Restore replaces the state with the one that a snapshot holds.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	var in state.Snapshot
	if err := json.NewDecoder(from).Decode(&in); err != nil {
		return fmt.Errorf("registry: decode snapshot: %w", err)
	}
	s := state.NewState(m.cfg.MaxHistory)
	if err := s.Restore(&in); err != nil {
		return err
	}
	m.routes.Follow(s.Routes, 0, time.Now())
	return m.hub.Replace(s)
}
