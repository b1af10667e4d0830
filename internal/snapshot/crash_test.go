package snapshot_test

import (
	"fmt"
	"io/fs"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/fsys"
	"marblelane/internal/snapshot"
	"marblelane/internal/snapshot/crashcheck"
	"marblelane/internal/testutil/disk"
)

// savingOps are the kinds of operations of Save that may fail.
var savingOps = []disk.Kind{disk.Create, disk.Write, disk.Sync, disk.Rename, disk.SyncDir}

func TestCrash_allImages(t *testing.T) {
	t.Parallel()
	images, err := crashcheck.CheckEveryCrash(func(d *disk.Disk) fsys.FS { return d })
	require.NoError(t, err)
	assert.Greater(t, images, 500)
	t.Logf("checked %d different images", images)
}

func TestCrash_plantedDefects(t *testing.T) {
	for wantErr, defect := range map[string]disk.FaultyFS{
		"state lost: save of seq 1 had returned, unused files [/s": {SkipFileSync: true},
		"state lost: save of seq 1 had returned, unused files []":  {SkipDirSync: true},
		"damaged generation": {SyncAfterRename: true},
	} {
		images, err := crashcheck.CheckEveryCrash(func(d *disk.Disk) fsys.FS {
			faulty := defect
			faulty.FS = d
			return &faulty
		})
		require.ErrorContains(t, err, wantErr)
		t.Logf("%+v: detected after %d images: %v", defect, images, err)
	}
}

// If a process created the folder and was killed before it synced the parent, the next process syncs the parent.
func TestCrash_unsyncedFolder(t *testing.T) {
	d := disk.New(disk.Image{"/": nil})
	require.NoError(t, d.Mkdir(crashcheck.Dir))
	store, err := crashcheck.Open(crashcheck.Dir, d)
	require.NoError(t, err)
	state := crashcheck.State(1, 0)
	require.NoError(t, store.Save(t.Context(), state))
	requireAllowed(t, d, crashcheck.AllowedStates{States: []*snapshot.Snapshot{state}, MinSeq: 1})
}

// requireAllowed checks all images that a loss of power at this point may leave.
func requireAllowed(t *testing.T, d *disk.Disk, allowed crashcheck.AllowedStates) {
	t.Helper()
	for image := range d.CrashImages(d.OpCount()) {
		_, err := allowed.Check(image)
		require.NoError(t, err)
	}
}

func TestCrash_randomRestarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		require.NoError(t, crashcheck.CheckRestarts(seed, 10))
	}
}

func TestSave_diskFull(t *testing.T) {
	t.Parallel()
	for free := range int64(len(encoded(t, 2))) {
		require.NoError(t, crashcheck.CheckFailedSave(func(d *disk.Disk) { d.FreeBytes = free }, syscall.ENOSPC),
			"%d bytes", free)
	}
}

// An operation of Save fails, either alone or with all operations after it.
func TestSave_diskFails(t *testing.T) {
	for _, failure := range []error{syscall.EROFS, fs.ErrPermission, syscall.EIO, syscall.ENOENT} {
		for _, kind := range savingOps {
			for _, once := range []bool{true, false} {
				failed := false
				require.NoError(t, crashcheck.CheckFailedSave(func(d *disk.Disk) {
					d.InjectError = func(_ int, op disk.Op) error {
						if op.Kind == kind && !failed || failed && !once {
							failed = true
							return failure
						}
						return nil
					}
				}, failure), "%v at %v, once: %v", failure, kind, once)
			}
		}
	}
}

// An operation fails in several Saves. After each a valid state remains, and the first Save after the fault succeeds.
func TestSave_diskRecovers(t *testing.T) {
	t.Parallel()
	for _, failure := range []error{syscall.ENOSPC, syscall.EIO} {
		for _, kind := range savingOps {
			t.Run(fmt.Sprintf("%v at %v", failure, kind), func(t *testing.T) {
				d := disk.New(disk.Image{"/": nil})
				store, err := crashcheck.Open(crashcheck.Dir, d)
				require.NoError(t, err)
				defer store.Close()
				saved := []*snapshot.Snapshot{crashcheck.State(1, 1)}
				require.NoError(t, store.Save(t.Context(), saved[0]))
				d.InjectError = func(_ int, op disk.Op) error {
					if op.Kind == kind {
						return failure
					}
					return nil
				}
				for number := range 3 {
					next := crashcheck.State(number+2, 1)
					require.ErrorIs(t, store.Save(t.Context(), next), failure)
					saved = append(saved, next)
				}
				requireAllowed(t, d, crashcheck.AllowedStates{States: saved, MinSeq: saved[0].Seq})
				d.InjectError = nil
				last := crashcheck.State(9, 1)
				require.NoError(t, store.Save(t.Context(), last))
				loaded, unused := store.Load()
				assert.Empty(t, unused)
				assert.Equal(t, last, loaded)
			})
		}
	}
}
