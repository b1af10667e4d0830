package storage

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// snapshotState is larger than raft's write buffer, so that raft writes to the file before the sink is closed.
var snapshotState = []byte(`{"form":1,"rev":7}` + strings.Repeat(" ", 64<<10))

// takeSnapshot writes a snapshot as raft does. spoil, if not nil, damages the unfinished snapshot before the state is
// written.
func takeSnapshot(t *testing.T, s *Snapshots, index uint64, spoil func(t *testing.T, unfinished string)) error {
	t.Helper()
	_, wire := raft.NewInmemTransport("one")
	defer wire.Close()
	sink, err := s.Create(1, index, 1, raft.Configuration{}, 1, wire)
	if err != nil {
		return err
	}
	if spoil != nil {
		spoil(t, filepath.Join(s.dir, sink.ID()+TempSuffix))
	}
	if _, err := sink.Write(snapshotState); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	err = sink.Close()
	if again := sink.Close(); (err == nil) != (again == nil) {
		t.Errorf("first Close: %v, second Close: %v", err, again)
	}
	return err
}

// divert redirects the writes to an open file of this process to a device.
func divert(t *testing.T, path, device string) {
	t.Helper()
	to, err := os.OpenFile(device, os.O_WRONLY, 0)
	require.NoError(t, err)
	defer to.Close()
	all, err := filepath.Glob("/proc/self/fd/*")
	require.NoError(t, err)
	for _, link := range all {
		if at, err := os.Readlink(link); err != nil || at != path {
			continue
		}
		var number int
		for _, digit := range filepath.Base(link) {
			number = 10*number + int(digit-'0')
		}
		require.NoError(t, syscall.Dup3(int(to.Fd()), number, syscall.O_CLOEXEC))
		return
	}
	t.Fatalf("%s is not open", path)
}

// A failed snapshot leaves the older snapshots and no files of its own, and a later one succeeds once the disk works
// again.
func TestSnapshots_failureKeepsOlder(t *testing.T) {
	for name, spoil := range map[string]func(t *testing.T, unfinished string){
		"no space": func(t *testing.T, unfinished string) {
			divert(t, filepath.Join(unfinished, StateFile), "/dev/full")
		},
		"sync fails": func(t *testing.T, unfinished string) {
			divert(t, filepath.Join(unfinished, StateFile), "/dev/null") // accepts writes but fails at a sync
		},
		"seal fails": func(t *testing.T, unfinished string) {
			require.NoError(t, os.Mkdir(filepath.Join(unfinished, sealFile+TempSuffix), 0o700))
		},
		"directory is missing": func(t *testing.T, unfinished string) {
			require.NoError(t, os.RemoveAll(unfinished))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := OpenSnapshots(t.TempDir(), hclog.NewNullLogger(), quiet())
			require.NoError(t, err)
			require.NoError(t, takeSnapshot(t, s, 1, nil))
			require.NoError(t, takeSnapshot(t, s, 2, nil))
			for try := range uint64(4) {
				require.Error(t, takeSnapshot(t, s, 3+try, spoil))
				all, err := os.ReadDir(s.dir)
				require.NoError(t, err)
				for _, e := range all {
					assert.NotContains(t, e.Name(), TempSuffix, "try %d", try)
					assert.FileExists(t, filepath.Join(s.dir, e.Name(), sealFile), "try %d", try)
				}
				newest, err := s.List()
				require.NoError(t, err)
				require.NotEmpty(t, newest)
				assert.Equal(t, uint64(2), newest[0].Index)
				require.NoError(t, readable(s, newest[0]))
			}
			require.NoError(t, takeSnapshot(t, s, 9, nil))
			newest, err := s.List()
			require.NoError(t, err)
			assert.Equal(t, uint64(9), newest[0].Index)
			require.NoError(t, readable(s, newest[0]))
			assert.Empty(t, s.inProgress)
		})
	}
}

// readable returns an error if a snapshot is not valid or has no seal.
func readable(s *Snapshots, of *raft.SnapshotMeta) error {
	found := SnapshotInfo{Name: of.ID, Index: of.Index, Term: of.Term}
	unsealed, err := found.verify(filepath.Join(s.dir, of.ID))
	if unsealed {
		err = errors.Join(err, errors.New("the snapshot has no seal"))
	}
	return err
}

// A failed snapshot removes its own files, but not those of another snapshot that is being written at the same time.
func TestSnapshots_failureKeepsOther(t *testing.T) {
	s, err := OpenSnapshots(t.TempDir(), hclog.NewNullLogger(), quiet())
	require.NoError(t, err)
	_, wire := raft.NewInmemTransport("one")
	defer wire.Close()
	other, err := s.Create(1, 9, 1, raft.Configuration{}, 1, wire)
	require.NoError(t, err)
	require.Error(t, takeSnapshot(t, s, 3, func(t *testing.T, unfinished string) {
		divert(t, filepath.Join(unfinished, StateFile), "/dev/full")
	}))
	_, err = other.Write(snapshotState)
	require.NoError(t, err)
	require.NoError(t, other.Close())
	newest, err := s.List()
	require.NoError(t, err)
	require.Len(t, newest, 1)
	require.NoError(t, readable(s, newest[0]))
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }
