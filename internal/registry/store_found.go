package registry

import (
	"github.com/hashicorp/raft"
)

// halfFounded tells whether a founding was cut off. raft writes the term 1 first and the first entry, which says who
// the replicas are, after it; a replica that has the one alone takes itself for founded and waits for ever. Nobody can have
// told it anything in between, as raft did not run yet.
func halfFounded(logs raft.LogStore, stable raft.StableStore, snaps raft.SnapshotStore) (bool, error) {
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

// foundOn writes the first entry, as raft's own founding does.
func foundOn(logs raft.LogStore, c raft.Configuration) error {
	return logs.StoreLog(&raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(c)})
}
