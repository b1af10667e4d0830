// Package crashcheck checks the promise of package snapshot on a simulated disk: after a loss of power at any moment, the
// newest state whose Save returned can be loaded, or one whose save began later, and it is complete.
package crashcheck

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/go-cmp/cmp"

	"marblelane/internal/fsys"
	"marblelane/internal/snapshot"
	"marblelane/internal/testutil/disk"
)

// Dir is the state folder on the simulated disk.
const Dir = "/s"

// The reasons for which operations of the simulated disk fail.
var (
	errKilled    = errors.New("killed")
	errPowerLost = errors.New("power is lost")
)

// Identity is the identity of all states here.
func Identity() snapshot.Identity {
	return snapshot.Identity{Site: "stock", Name: "one", Settings: "abc", Program: "test"}
}

// Open opens a store for states of Identity. A nil file system is the operating system's.
func Open(dir string, files fsys.FS) (*snapshot.Store, error) {
	return snapshot.Open(dir, snapshot.Options{Identity: Identity(), FS: files})
}

// State returns a state of which each part differs from that of other numbers.
func State(number, servers int) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Identity: Identity(), Written: time.UnixMilli(1_700_000_000_000 + int64(number)).UTC()}
	s.Learned.Kinds = map[string]float64{"big": float64(number) + 0.5}
	s.Learned.Rates = snapshot.Rates{Requests: float64(number),
		Classes: map[string]snapshot.Class{"read": {Responses: 3, Mean: float64(number), Deviation: 1}}}
	for i := range servers {
		uid := fmt.Sprintf("server-%d", i)
		s.Learned.Servers = append(s.Learned.Servers,
			snapshot.Server{UID: uid, Size: float64(number) / 8, ConsecutiveErrors: number, ErrorAge: 5})
		s.List.Servers = append(s.List.Servers,
			snapshot.Entry{UID: uid, Endpoint: "127.0.0.1:1", State: "Ready", Capacity: float64(number)})
	}
	s.List.Rev, s.List.Epoch = int64(number), 7
	return s
}

// AllowedStates describes the states that may be loaded after a crash.
type AllowedStates struct {
	States []*snapshot.Snapshot
	MinSeq uint64 // of the last state whose Save returned; 0: none has
}

// AllowedAfterLoad returns what may be loaded once a process has loaded a state, or nil, and has not saved another.
func AllowedAfterLoad(loaded *snapshot.Snapshot) AllowedStates {
	if loaded == nil {
		return AllowedStates{}
	}
	return AllowedStates{States: []*snapshot.Snapshot{loaded}, MinSeq: loaded.Seq}
}

// Check loads a state from a disk with this image. It returns the state, or how the image breaks the promise.
func (a AllowedStates) Check(image disk.Image) (*snapshot.Snapshot, error) {
	store, _ := Open(Dir, disk.New(image)) // a store that cannot save can load
	loaded, unused := store.Load()
	switch {
	case loaded == nil && a.MinSeq > 0:
		return nil, fmt.Errorf("lost: seq %d had returned (%v)", a.MinSeq, unused)
	case loaded == nil:
		return nil, nil
	case loaded.Seq < a.MinSeq:
		return nil, fmt.Errorf("older: seq %d, and %d had returned (%v)", loaded.Seq, a.MinSeq, unused)
	case !slices.ContainsFunc(a.States, func(s *snapshot.Snapshot) bool { return cmp.Equal(s, loaded) }):
		return nil, fmt.Errorf("mixture: seq %d is not what was written", loaded.Seq)
	case len(unused) > 0:
		return nil, fmt.Errorf("a generation is damaged: %v", unused)
	}
	return loaded, nil
}

const (
	// savesPerProcess is how many states a process saves before the crash: each generation is written twice.
	savesPerProcess = 4
	// maxSaveOps is the highest number of operations of a save: remove, create, write, sync, rename, sync of the folder.
	maxSaveOps = 6
	// neverKilled as a number of operations is a process that ends by itself.
	neverKilled = -1
)

// CheckEveryCrash runs a process that saves several states, once to its end and once for each operation of the last save
// with the process killed before that operation and another process after it. It checks all images that a loss of power
// may leave after each operation. From each of these images it runs a process that recovers and saves once more, and
// checks that in the same way. It returns the number of different images that it checked. Processes use the disk through
// the file system that wrap returns.
func CheckEveryCrash(wrap func(*disk.Disk) fsys.FS) (images int, err error) {
	c := &checker{checkedImages: map[string]bool{}, wrap: wrap}
	for killedBefore := neverKilled; killedBefore <= maxSaveOps; killedBefore++ {
		run := processRun{saves: savesPerProcess, killedBefore: killedBefore}
		if err := c.checkCrashes(disk.New(disk.Image{"/": nil}), AllowedStates{}, run, true); err != nil {
			return len(c.checkedImages), fmt.Errorf("killed before operation %d of the last save (-1: never): %w", killedBefore, err)
		}
	}
	return len(c.checkedImages), nil
}

// processRun is what a process does: it opens the folder, loads and saves.
type processRun struct {
	saves        int
	killedBefore int // operation of the last save, or neverKilled
}

type checker struct {
	checkedImages map[string]bool // images by imageKey
	wrap          func(*disk.Disk) fsys.FS
	stateCount    int // states saved so far
}

// checkCrashes runs a process and checks each image that a loss of power may leave. If recovers is true, it continues
// with a process that starts from the image.
func (c *checker) checkCrashes(d *disk.Disk, before AllowedStates, run processRun, withRecovery bool) error {
	allowedAt, err := c.runProcesses(d, before, run)
	if err != nil {
		return err
	}
	for opCount, allowed := range allowedAt {
		for image := range d.CrashImages(opCount) {
			key := imageKey(image, allowed, withRecovery)
			if c.checkedImages[key] {
				continue
			}
			c.checkedImages[key] = true
			loaded, err := allowed.Check(image)
			if err == nil && withRecovery {
				recovery := processRun{saves: 1, killedBefore: neverKilled}
				err = c.checkCrashes(disk.New(image), AllowedAfterLoad(loaded), recovery, false)
			}
			if err != nil {
				return fmt.Errorf("power lost after operation %d: %w", opCount, err)
			}
		}
	}
	return nil
}

// imageKey identifies an image and what is checked of it.
func imageKey(image disk.Image, allowed AllowedStates, recovers bool) string {
	return fmt.Sprint(allowed.MinSeq, recovers) + image.Key()
}

// runProcesses runs a process and, if it is killed, another one that saves once. It returns what is allowed after each
// number of operations.
func (c *checker) runProcesses(d *disk.Disk, before AllowedStates, run processRun) ([]AllowedStates, error) {
	files := c.wrap(d)
	allowedAt, err := c.runProcess(d, files, []AllowedStates{before}, run)
	if err != nil || run.killedBefore == neverKilled {
		return allowedAt, err
	}
	return c.runProcess(d, files, allowedAt, processRun{saves: 1, killedBefore: neverKilled})
}

// runProcess runs a process and extends allowedAt by the operations that it does.
func (c *checker) runProcess(d *disk.Disk, files fsys.FS, allowedAt []AllowedStates, run processRun) ([]AllowedStates, error) {
	extend := func(allowed AllowedStates) {
		for len(allowedAt) <= d.OpCount() {
			allowedAt = append(allowedAt, allowed)
		}
	}
	store, err := Open(Dir, files)
	if err != nil {
		return nil, err
	}
	store.Load()
	for save := range run.saves {
		if save == run.saves-1 && run.killedBefore != neverKilled {
			killBefore(d, d.OpCount()+run.killedBefore)
		}
		allowed := allowedAt[len(allowedAt)-1]
		extend(allowed)
		c.stateCount++
		state := State(c.stateCount, 6*(save%2)) // files of one and of three sectors
		err := store.Save(context.Background(), state)
		allowed.States = append(slices.Clip(allowed.States), state)
		extend(allowed)
		if err == nil {
			allowed.MinSeq = state.Seq
			allowedAt[len(allowedAt)-1] = allowed
		}
	}
	d.Fail = nil
	return allowedAt, store.Close()
}

// killBefore lets each operation fail that follows the first opCount ones, as if the process were killed. Open goes on.
func killBefore(d *disk.Disk, opCount int) {
	d.Fail = func(done int, op disk.Op) error {
		if op.Kind != disk.Open && done >= opCount {
			return errKilled
		}
		return nil
	}
}
