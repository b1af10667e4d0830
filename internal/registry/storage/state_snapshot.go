package storage

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"

	"marblelane/internal/registry/state"
)

// StateSnapshot is a copy of the state that raft writes to a snapshot.
type StateSnapshot struct{ Content *state.Snapshot }

// Persist writes the snapshot whole or not at all.
func (s StateSnapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.Content); err != nil {
		return errors.Join(fmt.Errorf("registry: snapshot: %w", err), sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: the snapshot is this process's own copy.
func (StateSnapshot) Release() {}
