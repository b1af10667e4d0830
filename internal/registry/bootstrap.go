package registry

import (
	"github.com/hashicorp/raft"
)

// bootstrapInterrupted reports whether a bootstrap was interrupted. raft writes term 1 first, and the first entry with
// the configuration after it; a replica with the term alone counts as bootstrapped and would wait for ever. It cannot
// have received anything in between, as raft was not running.
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

// completeBootstrap writes the first entry as raft's own bootstrap does.
func completeBootstrap(logs raft.LogStore, c raft.Configuration) error {
	return logs.StoreLog(&raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(c)})
}
