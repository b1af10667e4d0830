package registry

// This file is raft's state machine: commands, snapshots and their restoring.

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

// machine is the node as raft drives it.
type machine Node

// Apply carries out a committed command.
func (m *machine) Apply(l *raft.Log) any {
	var c state.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return result{err: fmt.Errorf("registry: log entry %d: %w", l.Index, err)}
	}
	var r result
	if c.Term != 0 && c.Term != l.Term {
		return result{err: listserver.ErrNotLeader} // decided in an earlier lead
	}
	m.hub.Read(func(s *state.State) {
		r.rev, r.err = s.Apply(&c)
		m.routes.Follow(s.Routes, l.Term, time.Now())
	})
	m.server.SignalChange()
	return r
}

// Snapshot takes a copy of the state, which is written out later.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	var s *state.Snapshot
	var err error
	m.hub.Read(func(st *state.State) { s, err = st.Snapshot() })
	return storage.StateSnapshot{Content: s}, err
}

// Restore puts a snapshot in the state's place.
func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	var in state.Snapshot
	if err := json.NewDecoder(from).Decode(&in); err != nil {
		return fmt.Errorf("registry: snapshot: %w", err)
	}
	s := state.NewState(m.cfg.Keep)
	if err := s.Restore(&in); err != nil {
		return err
	}
	m.routes.Follow(s.Routes, 0, time.Now())
	return m.hub.Replace(s)
}
