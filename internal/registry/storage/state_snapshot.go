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

// Persist writes the snapshot to the sink, and cancels the sink if the encoding fails.
func (s StateSnapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.Content); err != nil {
		return errors.Join(fmt.Errorf("registry: failed to write snapshot: %w", err), sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: the snapshot is a copy that the garbage collector frees.
func (StateSnapshot) Release() {}
