// Package crashcheck checks the durability guarantee of package snapshot on a simulated disk: after a loss of power at
// any time, a complete state can be loaded. It is the newest state whose Save returned, or one whose Save began later.
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

// Errors of operations of the simulated disk.
var (
	errKilled    = errors.New("process killed")
	errPowerLost = errors.New("power lost")
)

// Identity returns the identity of all states of this package.
func Identity() snapshot.Identity {
	return snapshot.Identity{Site: "stock", Name: "one", Settings: "abc", Program: "test"}
}

// Open opens a store for states of Identity. If files is nil, the store uses the operating system's file system.
func Open(dir string, files fsys.FS) (*snapshot.Store, error) {
	return snapshot.Open(dir, snapshot.Options{Identity: Identity(), FS: files})
}

// State returns a state with the given number of servers. Each part of it differs between numbers.
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
	MinSeq uint64 // sequence number of the last state whose Save returned; 0 if none has
}

// AllowedAfterLoad returns the states that may be loaded after a process has loaded a state (nil if it found none) and
// before it saves another.
func AllowedAfterLoad(loaded *snapshot.Snapshot) AllowedStates {
	if loaded == nil {
		return AllowedStates{}
	}
	return AllowedStates{States: []*snapshot.Snapshot{loaded}, MinSeq: loaded.Seq}
}

// Check loads a state from a disk with the given image. It returns the state, or nil if there is none and none is
// required. The error describes how the image violates the guarantee.
func (a AllowedStates) Check(image disk.Image) (*snapshot.Snapshot, error) {
	store, _ := Open(Dir, disk.New(image)) // a store whose Open fails can still load
	loaded, unused := store.Load()
	switch {
	case loaded == nil && a.MinSeq > 0:
		return nil, fmt.Errorf("state lost: save of seq %d had returned, unused files %v", a.MinSeq, unused)
	case loaded == nil:
		return nil, nil
	case loaded.Seq < a.MinSeq:
		return nil, fmt.Errorf("outdated state: loaded seq %d, save of seq %d had returned, unused files %v",
			loaded.Seq, a.MinSeq, unused)
	case !slices.ContainsFunc(a.States, func(s *snapshot.Snapshot) bool { return cmp.Equal(s, loaded) }):
		return nil, fmt.Errorf("mixed state: seq %d differs from each written state", loaded.Seq)
	case len(unused) > 0:
		return nil, fmt.Errorf("damaged generation: %v", unused)
	}
	return loaded, nil
}

const (
	// savesPerProcess is the number of states that a process saves before the crash. It writes each generation twice.
	savesPerProcess = 4
	// maxSaveOps is the maximum number of operations of a save: remove, create, write, sync, rename, sync of the
	// folder.
	maxSaveOps = 6
	// neverKilled is the value of processRun.killedBefore for a process that is not killed.
	neverKilled = -1
)

// CheckEveryCrash runs a process that saves several states: once to its end, and once per operation of the last save,
// in which case the process is killed before that operation and another process follows. It checks all disk images that
// a loss of power may leave after each operation. From each image it runs a process that recovers and saves once, and
// checks the images of that process in the same way. It returns the number of different images checked. The processes
// access the disk through the file system that wrap returns.
func CheckEveryCrash(wrap func(*disk.Disk) fsys.FS) (images int, err error) {
	c := &checker{checkedImages: map[string]bool{}, wrap: wrap}
	for killedBefore := neverKilled; killedBefore <= maxSaveOps; killedBefore++ {
		run := processRun{saves: savesPerProcess, killedBefore: killedBefore}
		if err := c.checkCrashes(disk.New(disk.Image{"/": nil}), AllowedStates{}, run, true); err != nil {
			return len(c.checkedImages), fmt.Errorf("process killed before operation %d of its last save (-1: never): %w",
				killedBefore, err)
		}
	}
	return len(c.checkedImages), nil
}

// processRun describes a process that opens the folder, loads and saves.
type processRun struct {
	saves        int
	killedBefore int // operation of the last save before which the process is killed, or neverKilled
}

// checker is the state of one CheckEveryCrash.
type checker struct {
	checkedImages map[string]bool // images that were checked, by imageKey
	wrap          func(*disk.Disk) fsys.FS
	stateCount    int // number of states saved so far
}

// checkCrashes runs a process and checks each image that a loss of power may leave. If withRecovery is
// true, it then runs a recovering process from each image and checks that process as well.
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

// imageKey returns a key for an image and the checks that apply to it.
func imageKey(image disk.Image, allowed AllowedStates, withRecovery bool) string {
	return fmt.Sprint(allowed.MinSeq, withRecovery) + image.Key()
}

// runProcesses runs a process and, if it is killed, another one that saves once. The result has the allowed states
// after each number of operations.
func (c *checker) runProcesses(d *disk.Disk, before AllowedStates, run processRun) ([]AllowedStates, error) {
	files := c.wrap(d)
	allowedAt, err := c.runProcess(d, files, []AllowedStates{before}, run)
	if err != nil || run.killedBefore == neverKilled {
		return allowedAt, err
	}
	return c.runProcess(d, files, allowedAt, processRun{saves: 1, killedBefore: neverKilled})
}

// runProcess runs a process and appends to allowedAt the states allowed after each of its operations.
func (c *checker) runProcess(d *disk.Disk, files fsys.FS, allowedAt []AllowedStates, run processRun) (
	[]AllowedStates, error) {
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
		state := State(c.stateCount, 6*(save%2)) // alternates files of one and of three sectors
		err := store.Save(context.Background(), state)
		allowed.States = append(slices.Clip(allowed.States), state)
		extend(allowed)
		if err == nil {
			allowed.MinSeq = state.Seq
			allowedAt[len(allowedAt)-1] = allowed
		}
	}
	d.InjectError = nil
	return allowedAt, store.Close()
}

// killBefore makes all operations after the first opCount ones fail, as if the process were killed. Open still works.
func killBefore(d *disk.Disk, opCount int) {
	d.InjectError = func(done int, op disk.Op) error {
		if op.Kind != disk.Open && done >= opCount {
			return errKilled
		}
		return nil
	}
}
