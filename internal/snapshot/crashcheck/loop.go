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

// Loop plays restarts, each of which ends by a loss of power at an operation by chance, with any of what may be left.
func Loop(seed uint64, restarts int) error {
	rng := rand.New(rand.NewPCG(seed, 13))
	im := disk.Image{"/": nil}
	var allowed Allowed
	for restart := range restarts {
		got, err := allowed.Judge(im)
		if err != nil {
			return fmt.Errorf("seed %d, restart %d: %w", seed, restart, err)
		}
		allowed = After(got)
		d := disk.New(im)
		last := rng.IntN(12) // opening and two saves
		d.Fail = func(done int, _ disk.Op) error {
			if done >= last {
				return errors.New("power is lost")
			}
			return nil
		}
		st, _ := Open(Dir, d)
		for i := range 2 {
			snap := State(10*restart+i, rng.IntN(5))
			if err = st.Save(context.Background(), snap); snap.Seq > 0 {
				allowed.States = append(allowed.States, snap)
			}
			if err != nil {
				break
			}
			allowed.Least = snap.Seq
		}
		im = d.Sample(d.Ops(), rng)
	}
	return nil
}

// Refuse saves a state, lets the disk be spoilt, and saves another, which has to fail as want: its error names the
// folder, the state before stays over a loss of power, and once the disk is well again the next save goes through.
func Refuse(spoil func(d *disk.Disk), want error) error {
	d := disk.New(disk.Image{"/": nil})
	st, err := Open(Dir, d)
	if err != nil {
		return err
	}
	first, second, third := State(1, 1), State(2, 1), State(3, 1)
	if err := st.Save(context.Background(), first); err != nil {
		return err
	}
	spoil(d)
	if err := st.Save(context.Background(), second); !errors.Is(err, want) {
		return fmt.Errorf("the save ends with %w, and not with %w", err, want)
	}
	d.Fail, d.Space = nil, -1
	for im := range d.Exhaust(d.Ops()) {
		if _, err := (Allowed{[]*snapshot.Snapshot{first, second}, first.Seq}).Judge(im); err != nil {
			return err
		}
	}
	if err := st.Save(context.Background(), third); err != nil {
		return fmt.Errorf("once the disk is well: %w", err)
	}
	if got, asides := st.Load(); len(asides) > 0 || !cmp.Equal(third, got) {
		return fmt.Errorf("once the disk is well: another state is read (%v)", asides)
	}
	return nil
}
