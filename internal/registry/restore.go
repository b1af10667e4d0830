package registry

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

// This file founds a cluster from a backup.
//
// The new cluster is another history. Its epoch is greater than the backup's, and as epochs are minutes since 2026 at
// the founding, greater than that of any cluster that was founded or restored before this minute by a clock that was
// right; what clients have seen beyond that (a clock that was ahead) the operator says by above. So a sidecar never
// takes a revision of it for one that it knows, takes its list whole, and lets nothing go back in silence.
//
// The folder is made beside its place and put there by one rename: it is there whole or not at all, and a restore that
// was cut off can be run again. The cluster has one replica, the others join it with empty folders: replicas that found
// for themselves beside it would be a majority without the backup. Its terms begin beyond what copies of a cluster
// before can have reached by elections, so that one that comes back late does not lead it at once; but two that meet it
// can raise theirs, and a quorum of the old cluster then takes the new one over. So the old replicas have to be ended
// for good, or the new ones get other addresses for raft; what still answers is a reason not to restore.

// Restored says what a restore has founded.
type Restored struct {
	Epoch   int64 // of the new history
	Before  int64 // revision of the backup
	Entries int
}

// electionBits leaves room for a million elections in each minute between two restores.
const electionBits = 20

// ErrHasState is a folder that must not be restored into.
var ErrHasState = errors.New("has state already; a restore founds a cluster in a folder that is empty or not there")

// Restore founds a cluster of one replica in the configuration's folder, from a backup as `registry snapshot` writes it.
// above is a revision or an epoch that clients may have seen; 0: none beyond the backup's. now is the wall clock.
func Restore(backup io.Reader, cfg Config, above int64, now time.Time) (out Restored, err error) {
	if cfg.Dir == "" {
		return out, errors.New("restore: the configuration has no dir")
	}
	if cfg.Join {
		return out, errors.New("restore: the configuration says join; who joins has nothing to restore")
	}
	restored, err := readBackup(backup)
	if err != nil {
		return out, err
	}
	if above > state.MaxEpoch {
		above = state.EpochOf(above)
	}
	out.Before = restored.Rev()
	if old := state.EpochOf(out.Before); above == 0 && int64(now.Sub(state.EpochZero)/time.Minute) < old {
		return out, fmt.Errorf("restore: the backup's epoch is %d, and by this clock (%v) it has not begun yet: "+
			"set the clock, or say with --above which epoch clients have seen", old, now)
	}
	out.Epoch = state.NextEpoch(now, max(state.EpochOf(out.Before), above))
	if out.Epoch <= max(state.EpochOf(out.Before), above) {
		return out, fmt.Errorf("restore: there is no epoch above %d", above)
	}
	if _, err := restored.Apply(&state.Command{Op: state.OpBegin, Epoch: out.Epoch}); err != nil {
		return out, fmt.Errorf("restore: %w", err)
	}
	restored.ForgetMembers() // each says for itself where it serves once it is one
	out.Entries = restored.Len()
	return out, publishDir(restored, cfg, uint64(out.Epoch)<<electionBits)
}

// readBackup reads a backup whole and finds what cannot be.
func readBackup(from io.Reader) (*state.State, error) {
	var in state.Snapshot
	d := json.NewDecoder(from)
	if err := d.Decode(&in); err != nil {
		return nil, fmt.Errorf("restore: the backup: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("restore: the backup: something follows its end")
	}
	if in.Rev <= 0 || state.EpochOf(in.Rev) > state.MaxEpoch {
		return nil, fmt.Errorf("restore: the backup: revision %d cannot be", in.Rev)
	}
	seen := map[string]bool{}
	for i, it := range in.Items {
		if it == nil {
			return nil, fmt.Errorf("restore: the backup: entry %d is empty", i)
		}
		if err := it.Entry.Check(); err != nil {
			return nil, fmt.Errorf("restore: the backup: entry %d: %w", i, err)
		}
		if it.Changed <= 0 || it.Changed > in.Rev || it.LeaseMS < 0 || seen[it.Entry.UID] {
			return nil, fmt.Errorf("restore: the backup: entry %d, %q: its revision %d or its lease cannot be, or it is "+
				"there twice", i, it.Entry.UID, it.Changed)
		}
		seen[it.Entry.UID] = true
	}
	s := state.NewState(0)
	return s, s.Restore(&in)
}

// place makes the folder of a cluster's first replica.
func publishDir(restored *state.State, cfg Config, term uint64) error {
	dir := filepath.Clean(cfg.Dir)
	parent, base := filepath.Split(dir)
	parent = filepath.Clean(parent)
	if err := empty(dir); err != nil {
		return err
	}
	if err := os.MkdirAll(parent, 0o755); err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	p, err := os.Open(parent)
	if err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	defer p.Close() // and with it the lock
	if err := storage.LockFile(p, syscall.LOCK_EX); err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	temp := filepath.Join(parent, "."+base+".restore")
	if err := os.RemoveAll(temp); err != nil { // of one that was cut off
		return fmt.Errorf("restore: %w", err)
	}
	if err := os.Mkdir(temp, 0o755); err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	if err := fill(temp, restored, cfg, term); err != nil {
		return errors.Join(fmt.Errorf("restore: %w", err), os.RemoveAll(temp))
	}
	if err := os.Rename(temp, dir); err != nil { // refuses a folder that is not empty
		return errors.Join(fmt.Errorf("restore: %w", err), os.RemoveAll(temp))
	}
	if err := storage.SyncDir(parent); err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	return nil
}

// empty refuses a folder that has anything in it.
func empty(dir string) error {
	all, err := os.ReadDir(dir)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		return fmt.Errorf("restore: %w", err)
	case len(all) > 0:
		return fmt.Errorf("restore: %s %w", dir, ErrHasState)
	}
	return nil
}

// fill writes the store and the one snapshot, and reads them back.
func fill(dir string, restored *state.State, cfg Config, term uint64) (err error) {
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
	address := cfg.advertised()
	if address == "" {
		address = cfg.Raft
	}
	only := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(cfg.Name), Address: raft.ServerAddress(address)}}}
	_, wire := raft.NewInmemTransport(raft.ServerAddress(address))
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

// OldCopies gives what answers at the addresses of a configuration's peers: a cluster from before that still runs, and
// that must not meet the new one.
func OldCopies(cfg Config, wait time.Duration) (alive []string) {
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, p := range append([]Peer{{Name: cfg.Name, Serve: cfg.Listen}}, cfg.Peers...) {
		if strings.HasSuffix(p.Serve, ":0") {
			continue
		}
		resp, err := client.Get("http://" + p.Serve + "/registry/status")
		if err != nil {
			continue
		}
		resp.Body.Close()
		alive = append(alive, p.Name+" at "+p.Serve)
	}
	return alive
}
