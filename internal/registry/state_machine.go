package registry

// This file is raft's state machine: commands, snapshots and their restoring.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"
)

// machine is the node as raft drives it.
type machine Node

// Apply carries out a committed command.
func (m *machine) Apply(l *raft.Log) any {
	var c Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return result{err: fmt.Errorf("registry: log entry %d: %w", l.Index, err)}
	}
	var r result
	if c.Term != 0 && c.Term != l.Term {
		return result{err: ErrNotLeader} // decided in an earlier lead
	}
	m.hub.read(func(s *State) {
		r.rev, r.err = s.Apply(&c)
		m.server.routes.tables.follow(s.routes, l.Term, time.Now())
	})
	m.server.signalChange()
	return r
}

// Snapshot takes a copy of the state, which is written out later.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	var s *saved
	var err error
	m.hub.read(func(st *State) { s, err = st.save() })
	return snapshot{s}, err
}

// Restore puts a snapshot in the state's place.
func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	var in saved
	if err := json.NewDecoder(from).Decode(&in); err != nil {
		return fmt.Errorf("registry: snapshot: %w", err)
	}
	s := NewState(m.cfg.Keep)
	if err := s.load(&in); err != nil {
		return err
	}
	m.server.routes.tables.follow(s.routes, 0, time.Now())
	return m.hub.replace(s)
}

type snapshot struct{ s *saved }

// Persist writes the snapshot whole or not at all.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.s); err != nil {
		return errors.Join(fmt.Errorf("registry: snapshot: %w", err), sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: the snapshot is this process's own copy.
func (snapshot) Release() {}
