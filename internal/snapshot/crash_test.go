package snapshot_test

import (
	"context"
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

func TestEachCrashGivesTheNewestOrTheOneBefore(t *testing.T) {
	t.Parallel()
	images, err := crashcheck.CheckEveryCrash(func(d *disk.Disk) fsys.FS { return d })
	require.NoError(t, err)
	assert.Greater(t, images, 500)
	t.Logf("%d different images", images)
}

func TestPlantedDefectsAreFound(t *testing.T) {
	for say, defect := range map[string]disk.UnsafeFS{
		"lost: seq 1 had returned ([/s": {NoFileSync: true},
		"lost: seq 1 had returned ([])": {NoDirSync: true},
		"a generation is damaged":       {LateSync: true},
	} {
		images, err := crashcheck.CheckEveryCrash(func(d *disk.Disk) fsys.FS { f := defect; f.FS = d; return &f })
		require.ErrorContains(t, err, say)
		t.Logf("%+v: at image %d: %v", defect, images, err)
	}
}

// A process that made the folder was killed before it synced its parent; the next one has to.
func TestFolderOfAKilledProcess(t *testing.T) {
	d := disk.New(disk.Image{"/": nil})
	require.NoError(t, d.Mkdir("/s"))
	st, err := crashcheck.Open(crashcheck.Dir, d)
	require.NoError(t, err)
	snap := crashcheck.State(1, 0)
	require.NoError(t, st.Save(context.Background(), snap))
	w := crashcheck.Allowed{States: []*snapshot.Snapshot{snap}, MinSeq: 1}
	for im := range d.CrashImages(d.OpCount()) {
		_, err := w.Check(im)
		require.NoError(t, err)
	}
}

func TestCrashLoop(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		require.NoError(t, crashcheck.CheckRestarts(seed, 10))
	}
}

func TestFullDisk(t *testing.T) {
	t.Parallel()
	for space := range int64(len(encoded(t, 2))) {
		require.NoError(t, crashcheck.CheckFailedSave(func(d *disk.Disk) { d.FreeBytes = space }, syscall.ENOSPC), "%d bytes", space)
	}
}

// The disk refuses an operation once, or from then on.
func TestRefusingDisk(t *testing.T) {
	for _, refusal := range []error{syscall.EROFS, fs.ErrPermission, syscall.EIO, syscall.ENOENT} {
		for _, kind := range []disk.Kind{disk.Create, disk.Write, disk.Sync, disk.Rename, disk.SyncDir} {
			for _, once := range []bool{true, false} {
				refused := false
				require.NoError(t, crashcheck.CheckFailedSave(func(d *disk.Disk) {
					d.Fail = func(_ int, op disk.Op) error {
						if op.Kind == kind && !refused || refused && !once {
							refused = true
							return refusal
						}
						return nil
					}
				}, refusal), "%v at %v, once: %v", refusal, kind, once)
			}
		}
	}
}

// The disk refuses an operation for several Saves. Each leaves a sound state, and the first one after it works.
func TestDiskThatFailsForAWhile(t *testing.T) {
	t.Parallel()
	for _, refusal := range []error{syscall.ENOSPC, syscall.EIO} {
		for _, kind := range []disk.Kind{disk.Create, disk.Write, disk.Sync, disk.Rename, disk.SyncDir} {
			t.Run(fmt.Sprintf("%v at %v", refusal, kind), func(t *testing.T) {
				d := disk.New(disk.Image{"/": nil})
				st, err := crashcheck.Open(crashcheck.Dir, d)
				require.NoError(t, err)
				defer st.Close()
				saved := []*snapshot.Snapshot{crashcheck.State(1, 1)}
				require.NoError(t, st.Save(t.Context(), saved[0]))
				d.Fail = func(_ int, op disk.Op) error {
					if op.Kind == kind {
						return refusal
					}
					return nil
				}
				for number := range 3 {
					next := crashcheck.State(number+2, 1)
					require.ErrorIs(t, st.Save(t.Context(), next), refusal)
					saved = append(saved, next)
				}
				allowed := crashcheck.Allowed{States: saved, MinSeq: saved[0].Seq}
				for image := range d.CrashImages(d.OpCount()) {
					_, err := allowed.Check(image)
					require.NoError(t, err)
				}
				d.Fail = nil
				last := crashcheck.State(9, 1)
				require.NoError(t, st.Save(t.Context(), last))
				got, asides := st.Load()
				assert.Empty(t, asides)
				assert.Equal(t, last, got)
			})
		}
	}
}
