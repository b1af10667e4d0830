// Package crashcheck holds the store of package snapshot to its promise on a simulated disk: after a loss of power at any
// moment the newest state whose Save returned is there, or one that was begun after it, whole.
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

// Dir is the folder that states are kept in.
const Dir = "/s"

// Own is whose states they are.
func Own() snapshot.Identity {
	return snapshot.Identity{Site: "stock", Name: "one", Settings: "abc", Program: "test"}
}

// Open opens a store for states of Own; a nil file system is the real one.
func Open(dir string, on fsys.FS) (*snapshot.Store, error) {
	return snapshot.Open(dir, snapshot.Options{Identity: Own(), FS: on})
}

// State is a state that is unlike that of each other n in all its parts.
func State(n, servers int) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Identity: Own(), Written: time.UnixMilli(1_700_000_000_000 + int64(n)).UTC()}
	s.Learned.Kinds = map[string]float64{"big": float64(n) + 0.5}
	s.Learned.Rates = snapshot.Rates{Asked: float64(n),
		Classes: map[string]snapshot.Class{"read": {Answers: 3, Mean: float64(n), Dev: 1}}}
	for i := range servers {
		uid := fmt.Sprintf("server-%d", i)
		s.Learned.Servers = append(s.Learned.Servers,
			snapshot.Server{UID: uid, Size: float64(n) / 8, Errors: n, ErrorAge: 5})
		s.List.Servers = append(s.List.Servers,
			snapshot.Entry{UID: uid, Endpoint: "127.0.0.1:1", State: "Ready", Capacity: float64(n)})
	}
	s.List.Rev, s.List.Epoch = int64(n), 7
	return s
}

// Allowed are the states that may be found.
type Allowed struct {
	States []*snapshot.Snapshot
	Least  uint64 // seq of the last whose Save returned; 0: none has
}

// Judge says what is wrong with what a disk holds, if anything, and else what is loaded from it.
func (a Allowed) Judge(im disk.Image) (*snapshot.Snapshot, error) {
	st, _ := Open(Dir, disk.New(im)) // a store that cannot save can load
	got, asides := st.Load()
	switch {
	case got == nil && a.Least > 0:
		return nil, fmt.Errorf("lost: seq %d had returned (%v)", a.Least, asides)
	case got == nil:
		return nil, nil
	case got.Seq < a.Least:
		return nil, fmt.Errorf("older: seq %d, and %d had returned (%v)", got.Seq, a.Least, asides)
	case !slices.ContainsFunc(a.States, func(s *snapshot.Snapshot) bool { return cmp.Equal(s, got) }):
		return nil, fmt.Errorf("mixture: seq %d is not what was written", got.Seq)
	case len(asides) > 0:
		return nil, fmt.Errorf("a generation is damaged: %v", asides)
	}
	return got, nil
}

// After is what may be found once a state was loaded and a process begins from there.
func After(got *snapshot.Snapshot) Allowed {
	if got == nil {
		return Allowed{}
	}
	return Allowed{States: []*snapshot.Snapshot{got}, Least: got.Seq}
}

// Exhaust plays four saves of a process, whole and with the process killed before each operation of the last and
// another one going on. It judges all that may be left by a loss of power after each operation; and from each of these
// states the save of a process that recovers, in the same way. It returns how many different images it judged.
func Exhaust(through func(*disk.Disk) fsys.FS) (int, error) {
	p := &prover{seen: map[string]bool{}, through: through}
	for kill := -1; kill <= saveOps; kill++ {
		if err := p.play(disk.New(disk.Image{"/": nil}), Allowed{}, 4, kill, true); err != nil {
			return len(p.seen), fmt.Errorf("killed before operation %d of the last save (-1: never): %w", kill, err)
		}
	}
	return len(p.seen), nil
}

// saveOps is how many operations a save has at most: remove, create, write, sync, rename, sync of the folder.
const saveOps = 6

type prover struct {
	seen    map[string]bool // images by what was allowed at the least
	through func(*disk.Disk) fsys.FS
	number  int // of states
}

// play saves states and then judges what each loss of power leaves.
func (p *prover) play(d *disk.Disk, from Allowed, saves, kill int, deeper bool) error {
	on := p.through(d)
	at, err := p.process(d, on, []Allowed{from}, saves, kill) // by the operations done
	if err == nil && kill >= 0 {
		at, err = p.process(d, on, at, 1, -1)
	}
	if err != nil {
		return err
	}
	for n, allowed := range at {
		for im := range d.Exhaust(n) {
			key := fmt.Sprint(allowed.Least, deeper) + im.Key()
			if p.seen[key] {
				continue
			}
			p.seen[key] = true
			got, err := allowed.Judge(im)
			if err == nil && deeper {
				err = p.play(disk.New(im), After(got), 1, -1, false)
			}
			if err != nil {
				return fmt.Errorf("power lost after operation %d: %w", n, err)
			}
		}
	}
	return nil
}

// process opens the folder, loads and saves, and is killed before an operation of its last save (-1: it ends). It notes
// what is allowed from each operation on.
func (p *prover) process(d *disk.Disk, on fsys.FS, at []Allowed, saves, kill int) ([]Allowed, error) {
	until := func(a Allowed) {
		for len(at) <= d.Ops() {
			at = append(at, a)
		}
	}
	st, err := Open(Dir, on)
	if err != nil {
		return nil, err
	}
	st.Load()
	for i := range saves {
		if last := d.Ops() + kill; i == saves-1 && kill >= 0 {
			d.Fail = func(done int, op disk.Op) error {
				if op.Kind != disk.Open && done >= last {
					return errors.New("killed")
				}
				return nil
			}
		}
		now := at[len(at)-1]
		until(now)
		p.number++
		snap := State(p.number, 6*(i%2)) // of one sector, and of three
		err := st.Save(context.Background(), snap)
		now.States = append(slices.Clip(now.States), snap)
		until(now)
		if err == nil {
			now.Least = snap.Seq
			at[len(at)-1] = now
		}
	}
	d.Fail = nil
	return at, st.Close()
}
