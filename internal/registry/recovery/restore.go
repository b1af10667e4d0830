// Package recovery verifies the data directory of a stopped replica, and creates a cluster from a backup.
//
// # Restore
//
// The new cluster has an epoch greater than the backup's. As epochs count minutes since 2026, it is also greater than
// that of any cluster that was created or restored earlier under a correct clock. If a clock ran fast, the operator
// passes the epoch that clients have seen (above). So a client never mistakes a revision of the new cluster for one
// that it knows, and fetches the full list.
//
// The data directory is written beside its final place and renamed, so that it is complete or absent, and an
// interrupted restore can be repeated. The cluster has one voter, and the other replicas join it with empty
// directories: replicas that bootstrapped beside it would be a quorum without the backup. Its term is higher than any
// that an earlier cluster can have reached by elections, so that a late replica of that cluster does not become leader
// at once. Two such replicas can raise their term, and their quorum would then take over the new cluster. So the
// earlier replicas have to be stopped permanently, or the new ones need other raft addresses. RunningReplicas finds
// earlier replicas that still respond.
package recovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"marblelane/internal/registry/state"
	"marblelane/internal/registry/storage"
)

// Restored describes a cluster that Restore has created.
type Restored struct {
	Epoch     int64 // epoch of the new cluster
	BackupRev int64 // revision of the backup
	Entries   int   // number of list entries
}

// electionBits is the number of low bits of the first term. It leaves room for a million elections in each minute
// between two restores.
const electionBits = 20

// Target is the first replica of the restored cluster.
type Target struct {
	Name string
	Dir  string // data directory, which has to be absent or empty
	Raft string // raft address at which other replicas reach this one
	Join bool   // the replica is configured to join a cluster, which Restore rejects
}

// Endpoint is a replica with the address of its HTTP API.
type Endpoint struct{ Name, Address string }

// ErrDirNotEmpty reports that the target directory of a restore is not empty.
var ErrDirNotEmpty = errors.New("already has state; a restore needs an empty or absent directory")

// Restore creates a cluster of one replica from a backup that `registry snapshot` has written. above is a revision or
// an epoch that clients may have seen, or 0 if they have seen none beyond the backup's. now is the wall-clock time.
func Restore(backup io.Reader, target Target, above int64, now time.Time) (out Restored, err error) {
	if target.Dir == "" {
		return out, errors.New("restore: the configuration has no dir")
	}
	if target.Join {
		return out, errors.New("restore: the configuration sets join, but a joining replica restores nothing")
	}
	restored, err := readBackup(backup)
	if err != nil {
		return out, err
	}
	if above > state.MaxEpoch {
		above = state.EpochOf(above)
	}
	out.BackupRev = restored.Rev()
	if old := state.EpochOf(out.BackupRev); above == 0 && int64(now.Sub(state.EpochZero)/time.Minute) < old {
		return out, fmt.Errorf("restore: the backup's epoch %d is in the future by this clock (%v): "+
			"set the clock, or pass the epoch that clients have seen with --above", old, now)
	}
	out.Epoch = state.NextEpoch(now, max(state.EpochOf(out.BackupRev), above))
	if out.Epoch <= max(state.EpochOf(out.BackupRev), above) {
		return out, fmt.Errorf("restore: no epoch is available above %d", above)
	}
	if _, err := restored.Apply(&state.Command{Op: state.OpBeginEpoch, Epoch: out.Epoch}); err != nil {
		return out, fmt.Errorf("restore: %w", err)
	}
	restored.ForgetReplicaAddresses() // each replica registers its address once it is a member
	out.Entries = restored.Len()
	return out, publishDir(restored, target, uint64(out.Epoch)<<electionBits)
}

// readBackup reads and validates a backup.
func readBackup(from io.Reader) (*state.State, error) {
	var in state.Snapshot
	d := json.NewDecoder(from)
	if err := d.Decode(&in); err != nil {
		return nil, fmt.Errorf("restore: the backup: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("restore: the backup: unexpected data after its end")
	}
	if in.Rev <= 0 || state.EpochOf(in.Rev) > state.MaxEpoch {
		return nil, fmt.Errorf("restore: the backup: invalid revision %d", in.Rev)
	}
	seen := map[string]bool{}
	for i, it := range in.Items {
		if it == nil {
			return nil, fmt.Errorf("restore: the backup: entry %d is empty", i)
		}
		if err := it.Entry.Validate(); err != nil {
			return nil, fmt.Errorf("restore: the backup: entry %d: %w", i, err)
		}
		if it.Changed <= 0 || it.Changed > in.Rev || it.LeaseMS < 0 || seen[it.Entry.UID] {
			return nil, fmt.Errorf("restore: the backup: entry %d, %q: invalid revision %d, invalid lease, or duplicate "+
				"entry", i, it.Entry.UID, it.Changed)
		}
		seen[it.Entry.UID] = true
	}
	s := state.NewState(0)
	return s, s.Restore(&in)
}

// publishDir writes the data directory of the first replica and renames it into place.
func publishDir(restored *state.State, target Target, term uint64) error {
	dir := filepath.Clean(target.Dir)
	parent, base := filepath.Split(dir)
	parent = filepath.Clean(parent)
	if err := checkEmpty(dir); err != nil {
		return err
	}
	if err := os.MkdirAll(parent, 0o755); err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	p, err := os.Open(parent)
	if err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	defer p.Close() // Close also releases the lock
	if err := storage.LockFile(p, syscall.LOCK_EX); err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	temp := filepath.Join(parent, "."+base+".restore")
	if err := os.RemoveAll(temp); err != nil { // removes what an interrupted restore has left
		return fmt.Errorf("restore: %w", err)
	}
	if err := os.Mkdir(temp, 0o755); err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	if err := writeDir(temp, restored, target, term); err != nil {
		return errors.Join(fmt.Errorf("restore: %w", err), os.RemoveAll(temp))
	}
	if err := os.Rename(temp, dir); err != nil { // fails if the directory is not empty
		return errors.Join(fmt.Errorf("restore: %w", err), os.RemoveAll(temp))
	}
	if err := storage.SyncDir(parent); err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	return nil
}

// checkEmpty rejects a directory that is not empty.
func checkEmpty(dir string) error {
	all, err := os.ReadDir(dir)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		return fmt.Errorf("restore: %w", err)
	case len(all) > 0:
		return fmt.Errorf("restore: %s %w", dir, ErrDirNotEmpty)
	}
	return nil
}

// writeDir writes the store and one snapshot, and verifies them.
func writeDir(dir string, restored *state.State, target Target, term uint64) (err error) {
	s, err := storage.OpenStore(filepath.Join(dir, storage.StoreFile), time.Minute, nil)
	if err != nil {
		return err
	}
	if err := errors.Join(s.SetUint64([]byte("CurrentTerm"), term), s.Close()); err != nil {
		return err
	}
	snaps, err := storage.OpenSnapshots(dir, hclog.NewNullLogger(), slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	only := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(target.Name), Address: raft.ServerAddress(target.Raft)}}}
	_, wire := raft.NewInmemTransport(raft.ServerAddress(target.Raft))
	sink, err := snaps.Create(raft.SnapshotVersionMax, 1, term, only, 1, wire)
	if err != nil {
		return err
	}
	out, err := restored.Snapshot()
	if err != nil {
		return errors.Join(err, sink.Cancel())
	}
	if err := (storage.StateSnapshot{Content: out}).Persist(sink); err != nil {
		return err
	}
	found, err := storage.Inspect(dir, nil)
	if err != nil {
		return err
	}
	return errors.Join(found.Faults...)
}

// RunningReplicas returns the replicas that respond. They belong to an earlier cluster, which must not reach the new
// one.
func RunningReplicas(replicas []Endpoint, wait time.Duration) (alive []string) {
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, p := range replicas {
		if strings.HasSuffix(p.Address, ":0") {
			continue
		}
		resp, err := client.Get("http://" + p.Address + "/registry/status")
		if err != nil {
			continue
		}
		resp.Body.Close()
		alive = append(alive, p.Name+" at "+p.Address)
	}
	return alive
}
