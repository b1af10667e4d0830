package disk

import (
	"iter"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

// outcomeChooser picks one of a number of outcomes, from 0 on.
type outcomeChooser func(outcomes int) int

// CrashImages returns every image that may be left when the power fails after the first opCount operations. Their number
// is exponential in the unsynced sectors and names: it is for small files.
func (d *Disk) CrashImages(opCount int) iter.Seq[Image] {
	return func(yield func(Image) bool) {
		var choices choiceSequence
		for {
			if !yield(d.crash(opCount, choices.chooser())) {
				return
			}
			if !choices.advance() {
				return
			}
		}
	}
}

// SampleCrash returns a random one of the images that may be left when the power fails after the first opCount
// operations.
func (d *Disk) SampleCrash(opCount int, rng *rand.Rand) Image { return d.crash(opCount, rng.IntN) }

// choiceSequence enumerates all sequences of choices, depth first.
type choiceSequence struct {
	chosen        []int
	outcomeCounts []int // number of outcomes that each choice was out of
}

// chooser returns a chooser that repeats the path and goes on with the first outcome of each choice beyond it.
func (p *choiceSequence) chooser() outcomeChooser {
	step := 0
	return func(outcomes int) int {
		if step == len(p.chosen) {
			p.chosen, p.outcomeCounts = append(p.chosen, 0), append(p.outcomeCounts, outcomes)
		}
		step++
		return p.chosen[step-1]
	}
}

// advance goes to the next path. It returns false after the last one.
func (p *choiceSequence) advance() bool {
	last := len(p.chosen) - 1
	for last >= 0 && p.chosen[last] == p.outcomeCounts[last]-1 {
		last--
	}
	p.chosen, p.outcomeCounts = p.chosen[:last+1], p.outcomeCounts[:last+1]
	if last < 0 {
		return false
	}
	p.chosen[last]++
	return true
}

// durableState is what is certainly on a disk, and the changes that may be.
type durableState struct {
	names               map[string]fileID
	files               map[fileID]*durableFile
	unsyncedNameChanges []Op // changes of names
}

// durableFile is the synced content of a file, and the writes since. A folder has no content.
type durableFile struct {
	synced         []byte
	unsyncedWrites []Op
}

// crash replays the first operations and lets choose decide which unsynced changes are left.
func (d *Disk) crash(opCount int, choose outcomeChooser) Image {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := newDurableState(d.initial)
	for _, op := range d.ops[:opCount] {
		state.applyOp(op)
	}
	return state.imageAfterCrash(choose)
}

func newDurableState(initial Image) *durableState {
	state := &durableState{names: map[string]fileID{}, files: map[fileID]*durableFile{}}
	for i, name := range initial.names() {
		state.names[name], state.files[fileID(i)] = fileID(i), &durableFile{synced: initial[name]}
	}
	return state
}

func (s *durableState) applyOp(op Op) {
	switch op.Kind {
	case Create, Lock:
		s.files[op.file] = &durableFile{synced: []byte{}}
		s.unsyncedNameChanges = append(s.unsyncedNameChanges, op)
	case Mkdir:
		s.files[op.file] = &durableFile{}
		s.unsyncedNameChanges = append(s.unsyncedNameChanges, op)
	case Rename, Remove:
		s.unsyncedNameChanges = append(s.unsyncedNameChanges, op)
	case Write:
		s.files[op.file].unsyncedWrites = append(s.files[op.file].unsyncedWrites, op)
	case Sync:
		file := s.files[op.file]
		file.synced, file.unsyncedWrites = file.withWrites(file.unsyncedWrites), nil
	case SyncDir:
		s.syncNames(op.Name)
	}
}

// syncNames makes the changes of names in a folder durable.
func (s *durableState) syncNames(folder string) {
	s.unsyncedNameChanges = slices.DeleteFunc(s.unsyncedNameChanges, func(op Op) bool {
		if filepath.Dir(op.Name) != folder {
			return false
		}
		s.applyNameChange(op, changeApplied)
		return true
	})
}

// nameChangeOutcome is what is left of a change of a name.
type nameChangeOutcome int

const (
	changeLost nameChangeOutcome = iota
	changeApplied
	renameKeptOldName // of a Rename: the new name is there, and the old one still is
)

// nameChangeOutcomeCount returns how many outcomes a change of a name has.
func nameChangeOutcomeCount(kind Kind) int {
	if kind == Rename {
		return int(renameKeptOldName) + 1
	}
	return int(changeApplied) + 1
}

// applyNameChange applies a change of a name with an outcome.
func (s *durableState) applyNameChange(op Op, outcome nameChangeOutcome) {
	switch {
	case outcome == changeLost:
	case op.Kind == Remove:
		delete(s.names, op.Name)
	case op.Kind == Rename:
		s.names[op.NewName] = op.file
		if outcome == changeApplied && s.names[op.Name] == op.file {
			delete(s.names, op.Name)
		}
	default:
		s.names[op.Name] = op.file
	}
}

// imageAfterCrash returns an image that may be left. It uses up the state.
func (s *durableState) imageAfterCrash(choose outcomeChooser) Image {
	for _, op := range s.unsyncedNameChanges {
		s.applyNameChange(op, nameChangeOutcome(choose(nameChangeOutcomeCount(op.Kind))))
	}
	image := Image{}
	for _, name := range slices.Sorted(maps.Keys(s.names)) { // a folder comes before what is in it
		folder := filepath.Dir(name)
		if _, exists := image[folder]; exists || name == folder {
			image[name] = s.files[s.names[name]].contentAfterCrash(choose)
		}
	}
	return image
}

// withWrites returns the synced content after some writes.
func (f *durableFile) withWrites(writes []Op) []byte {
	content := slices.Clone(f.synced)
	for _, op := range writes {
		content = applyWrite(content, op)
	}
	return content
}

// contentAfterCrash returns a content that may be left. Each sector is as after any of the unsynced writes to it, or as synced.
// The length is that of the synced content, that up to the last sector that was written, or that after all writes.
func (f *durableFile) contentAfterCrash(choose outcomeChooser) []byte {
	if len(f.unsyncedWrites) == 0 {
		return slices.Clone(f.synced)
	}
	written := f.withWrites(f.unsyncedWrites)
	content := make([]byte, len(written))
	copy(content, f.synced)
	writtenLength := len(f.synced)
	for start := 0; start < len(written); start += SectorBytes {
		end := min(start+SectorBytes, len(written))
		writes := f.unsyncedWritesIn(start, end)
		if len(writes) == 0 {
			continue
		}
		if n := choose(len(writes) + 1); n > 0 {
			partial := f.withWrites(writes[:n])
			end = min(end, len(partial))
			copy(content[start:end], partial[start:end])
			writtenLength = max(writtenLength, end)
		}
	}
	lengths := []int{len(f.synced), writtenLength, len(written)}
	slices.Sort(lengths)
	lengths = slices.Compact(lengths)
	return content[:lengths[choose(len(lengths))]]
}

// unsyncedWritesIn returns the unsynced writes to a range of bytes.
func (f *durableFile) unsyncedWritesIn(start, end int) []Op {
	var writes []Op
	for _, op := range f.unsyncedWrites {
		if op.offset < int64(end) && op.end() > int64(start) {
			writes = append(writes, op)
		}
	}
	return writes
}
