package registry

import (
	"github.com/hashicorp/raft"
)

// bootstrapInterrupted reports whether a bootstrap was interrupted between its two writes: term 1, then the first
// entry, which holds the configuration. raft treats a replica that has only the term as bootstrapped, and it would wait
// forever. Nothing can have been received between the two writes, as raft was not running.
func bootstrapInterrupted(logs raft.LogStore, stable raft.StableStore, snaps raft.SnapshotStore) (bool, error) {
	last, err := logs.LastIndex()
	if err != nil || last > 0 {
		return false, err
	}
	if all, err := snaps.List(); err != nil || len(all) > 0 {
		return false, err
	}
	if _, err := stable.Get([]byte("LastVoteTerm")); err == nil {
		return false, nil
	}
	term, err := stable.GetUint64([]byte("CurrentTerm"))
	return err == nil && term == 1, nil
}

// completeBootstrap writes the first entry in the form in which raft's own bootstrap writes it.
func completeBootstrap(logs raft.LogStore, c raft.Configuration) error {
	return logs.StoreLog(&raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(c)})
}
