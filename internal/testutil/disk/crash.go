package disk

import (
	"iter"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

// outcomeChooser selects one of several possible outcomes. It returns a number from 0 to outcomeCount-1.
type outcomeChooser func(outcomeCount int) int

// CrashImages returns all images that a power failure after the first opCount operations may leave. Their number grows
// exponentially with the number of unsynced sectors and name changes, so it is only suitable for small files.
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

// SampleCrash returns a random image that a power failure after the first opCount operations may leave.
func (d *Disk) SampleCrash(opCount int, rng *rand.Rand) Image { return d.crash(opCount, rng.IntN) }

// choiceSequence enumerates all sequences of choices, depth first. It holds the current sequence.
type choiceSequence struct {
	chosen        []int
	outcomeCounts []int // number of possible outcomes of each choice
}

// chooser returns an outcomeChooser that replays the sequence. For each choice beyond its end it chooses the first
// outcome and appends it to the sequence.
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

// advance moves on to the next sequence. It returns false if there is none.
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

// durableState is the synced state of a disk, plus the unsynced changes that a power failure may keep or lose.
type durableState struct {
	names               map[string]fileID
	files               map[fileID]*durableFile
	unsyncedNameChanges []Op // name changes, oldest first
}

// durableFile is the synced content of a file, plus the unsynced writes to it. A directory has no content.
type durableFile struct {
	synced         []byte
	unsyncedWrites []Op
}

// crash replays the first opCount operations. It returns the image with the unsynced changes that choose selects.
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

// syncNames makes the name changes in a directory durable.
func (s *durableState) syncNames(directory string) {
	s.unsyncedNameChanges = slices.DeleteFunc(s.unsyncedNameChanges, func(op Op) bool {
		if filepath.Dir(op.Name) != directory {
			return false
		}
		s.applyNameChange(op, changeApplied)
		return true
	})
}

// nameChangeOutcome is the effect of an unsynced name change after a power failure.
type nameChangeOutcome int

const (
	changeLost nameChangeOutcome = iota
	changeApplied
	renameKeptOldName // both the new and the old name exist; only for a Rename
)

// nameChangeOutcomeCount returns the number of possible outcomes of a name change.
func nameChangeOutcomeCount(kind Kind) int {
	if kind == Rename {
		return int(renameKeptOldName) + 1
	}
	return int(changeApplied) + 1
}

// applyNameChange applies a name change with the given outcome.
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

// imageAfterCrash returns the image with the unsynced changes that choose selects. It modifies the state, which must
// not be used afterwards.
func (s *durableState) imageAfterCrash(choose outcomeChooser) Image {
	for _, op := range s.unsyncedNameChanges {
		s.applyNameChange(op, nameChangeOutcome(choose(nameChangeOutcomeCount(op.Kind))))
	}
	image := Image{}
	for _, name := range slices.Sorted(maps.Keys(s.names)) { // a directory comes before its entries
		directory := filepath.Dir(name)
		if _, exists := image[directory]; exists || name == directory {
			image[name] = s.files[s.names[name]].contentAfterCrash(choose)
		}
	}
	return image
}

// withWrites returns a copy of the synced content with the given writes applied.
func (f *durableFile) withWrites(writes []Op) []byte {
	content := slices.Clone(f.synced)
	for _, op := range writes {
		content = applyWrite(content, op)
	}
	return content
}

// contentAfterCrash returns the content with the unsynced writes that choose selects. Each sector has its synced
// content or its content after any one of the unsynced writes to it. The length is that of the synced content, that up
// to the end of the last sector that was written, or that after all writes.
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

// unsyncedWritesIn returns the unsynced writes that overlap the bytes from start up to, but not including, end.
func (f *durableFile) unsyncedWritesIn(start, end int) []Op {
	var writes []Op
	for _, op := range f.unsyncedWrites {
		if op.offset < int64(end) && op.end() > int64(start) {
			writes = append(writes, op)
		}
	}
	return writes
}
