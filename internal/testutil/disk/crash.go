package disk

import (
	"cmp"
	"iter"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

// Exhaust gives every image that may be left when the power fails after the first n operations. Their number grows as
// two to the unsynced sectors and names: it is for small files.
func (d *Disk) Exhaust(n int) iter.Seq[Image] {
	return func(yield func(Image) bool) {
		var path, width []int // the choices taken, and out of how many
		for {
			step := 0
			im := d.crash(n, func(of int) int {
				if step == len(path) {
					path, width = append(path, 0), append(width, of)
				}
				step++
				return path[step-1]
			})
			if !yield(im) {
				return
			}
			for len(path) > 0 && path[len(path)-1] == width[len(path)-1]-1 {
				path, width = path[:len(path)-1], width[:len(width)-1]
			}
			if len(path) == 0 {
				return
			}
			path[len(path)-1]++
		}
	}
}

// Sample gives one image that may be left when the power fails after the first n operations, by chance.
func (d *Disk) Sample(n int, rng *rand.Rand) Image { return d.crash(n, rng.IntN) }

// kept is a file as the disk has it: what is synced, and what was written since.
type kept struct {
	synced []byte
	since  []Op
}

// crash plays the first n operations and lets choose say what of the unsynced ones is left.
func (d *Disk) crash(n int, choose func(of int) int) Image {
	d.mu.Lock()
	defer d.mu.Unlock()
	names, files := map[string]int{}, map[int]*kept{}
	for i, name := range d.from.names() {
		names[name], files[i] = i, &kept{synced: d.from[name]}
	}
	var since []Op // changes of names that are not synced
	for _, op := range d.ops[:n] {
		switch op.Kind {
		case Create, Lock:
			files[op.file] = &kept{synced: []byte{}}
			since = append(since, op)
		case Mkdir:
			files[op.file] = &kept{}
			since = append(since, op)
		case Rename, Remove:
			since = append(since, op)
		case Write:
			files[op.file].since = append(files[op.file].since, op)
		case Sync:
			f := files[op.file]
			f.synced, f.since = f.after(f.since), nil
		case SyncDir:
			since = slices.DeleteFunc(since, func(c Op) bool {
				if filepath.Dir(c.Name) != op.Name {
					return false
				}
				name(names, c, 1)
				return true
			})
		}
	}
	for _, op := range since {
		of := 2
		if op.Kind == Rename {
			of = 3 // the new name may be there while the old one is still
		}
		name(names, op, choose(of))
	}
	im := Image{}
	for _, name := range slices.Sorted(maps.Keys(names)) { // a folder comes before what is in it
		if _, there := im[filepath.Dir(name)]; there || name == filepath.Dir(name) {
			im[name] = files[names[name]].left(choose)
		}
	}
	return im
}

// name plays a change of a name: not at all (0), whole (1), or of a rename the new name alone (2).
func name(names map[string]int, op Op, how int) {
	switch {
	case how == 0:
	case op.Kind == Remove:
		delete(names, op.Name)
	case op.Kind == Rename:
		names[op.To] = op.file
		if how == 1 && names[op.Name] == op.file {
			delete(names, op.Name)
		}
	default:
		names[op.Name] = op.file
	}
}

// after is the content when all of some writes have come.
func (f *kept) after(writes []Op) []byte {
	content := slices.Clone(f.synced)
	for _, op := range writes {
		content = over(content, op)
	}
	return content
}

// left is a content that may be on the disk: each sector as after any of the writes to it, the length as before, as
// far as sectors came, or whole.
func (f *kept) left(choose func(of int) int) []byte {
	if len(f.since) == 0 {
		return slices.Clone(f.synced)
	}
	whole := f.after(f.since)
	content := make([]byte, len(whole))
	copy(content, f.synced)
	reached := len(f.synced)
	for at := 0; at < len(whole); at += Sector {
		end := min(at+Sector, len(whole))
		var here []Op
		for _, op := range f.since {
			if op.off < int64(end) && op.off+int64(len(op.data)) > int64(at) {
				here = append(here, op)
			}
		}
		if len(here) == 0 {
			continue
		}
		if n := choose(len(here) + 1); n > 0 {
			state := f.after(here[:n])
			end = min(end, len(state))
			copy(content[at:end], state[at:end])
			reached = max(reached, end)
		}
	}
	lengths := []int{len(f.synced), reached, len(whole)}
	slices.Sort(lengths)
	lengths = slices.Compact(lengths)
	return content[:lengths[choose(len(lengths))]]
}

// names are the paths, in order.
func (im Image) names() []string { return slices.SortedFunc(maps.Keys(im), cmp.Compare[string]) }

// Key tells images apart: equal ones have the same.
func (im Image) Key() string {
	var b []byte
	for _, name := range im.names() {
		b = append(append(b, name...), 0)
		b = append(append(b, im[name]...), 0)
	}
	return string(b)
}
