package crashcheck

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/google/go-cmp/cmp"

	"marblelane/internal/snapshot"
	"marblelane/internal/testutil/disk"
)

// maxOpsPerProcess limits the number of operations of a process before the power fails. It covers the opening of the
// store and two saves.
const maxOpsPerProcess = 12

// CheckRestarts runs processes one after the other. The power fails at a random operation of each process, and the next
// process starts from a random one of the images that the loss of power may leave.
func CheckRestarts(seed uint64, restarts int) error {
	rng := rand.New(rand.NewPCG(seed, 13))
	image := disk.Image{"/": nil}
	var allowed AllowedStates
	for restart := range restarts {
		loaded, err := allowed.Check(image)
		if err != nil {
			return fmt.Errorf("seed %d, restart %d: %w", seed, restart, err)
		}
		allowed = AllowedAfterLoad(loaded)
		d := disk.New(image)
		losePowerAfter(d, rng.IntN(maxOpsPerProcess))
		store, _ := Open(Dir, d) // each Save retries a failed Open
		for save := range 2 {
			state := State(10*restart+save, rng.IntN(5))
			err := store.Save(context.Background(), state)
			if state.Seq > 0 { // the save has started
				allowed.States = append(allowed.States, state)
			}
			if err != nil {
				break
			}
			allowed.MinSeq = state.Seq
		}
		image = d.SampleCrash(d.OpCount(), rng)
	}
	return nil
}

// losePowerAfter makes all operations after the first opCount ones fail.
func losePowerAfter(d *disk.Disk, opCount int) {
	d.InjectError = func(done int, _ disk.Op) error {
		if done >= opCount {
			return errPowerLost
		}
		return nil
	}
}

// CheckFailedSave saves a state, calls breakDisk, and checks that saving another state fails with the error want. It
// then checks that the first state survives a loss of power, and that the next save succeeds once the disk works again.
func CheckFailedSave(breakDisk func(d *disk.Disk), want error) error {
	d := disk.New(disk.Image{"/": nil})
	store, err := Open(Dir, d)
	if err != nil {
		return err
	}
	first, second, third := State(1, 1), State(2, 1), State(3, 1)
	if err := store.Save(context.Background(), first); err != nil {
		return err
	}
	breakDisk(d)
	if err := store.Save(context.Background(), second); !errors.Is(err, want) {
		return fmt.Errorf("save returned %w, want %w", err, want)
	}
	d.InjectError, d.FreeBytes = nil, disk.Unlimited
	allowed := AllowedStates{States: []*snapshot.Snapshot{first, second}, MinSeq: first.Seq}
	for image := range d.CrashImages(d.OpCount()) {
		if _, err := allowed.Check(image); err != nil {
			return err
		}
	}
	if err := store.Save(context.Background(), third); err != nil {
		return fmt.Errorf("save after the disk recovered: %w", err)
	}
	if loaded, unused := store.Load(); len(unused) > 0 || !cmp.Equal(third, loaded) {
		return fmt.Errorf("load after the disk recovered: wrong state, unused files %v", unused)
	}
	return nil
}
