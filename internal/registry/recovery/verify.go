package recovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/hashicorp/raft"

	"marblelane/internal/registry/state"
	"marblelane/internal/registry/storage"
)

// Verified describes the content of a data directory, and the revision to which its log leads.
type Verified struct {
	*storage.Inspection
	Rev   int64 // revision after the newest valid snapshot and the whole log, as if all entries were committed
	Epoch int64 // epoch of Rev
}

// Verify reads the data directory of a stopped replica and changes nothing. The error reports that it could not be
// read. Faults of its content are in Faults.
func Verify(dir string) (*Verified, error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, err
	}
	var all []*raft.Log
	found, err := storage.Inspect(dir, func(l *raft.Log) {
		all = append(all, &raft.Log{Index: l.Index, Term: l.Term, Type: l.Type, Data: l.Data})
	})
	if err != nil {
		return nil, err
	}
	out := &Verified{Inspection: found}
	if out.Entries == 0 && len(out.Snapshots) == 0 && out.Term == 0 && len(out.Faults) == 0 {
		out.Notes = append(out.Notes, "the data directory is empty: a replica that starts from it is new")
	}
	if len(out.Faults) > 0 {
		return out, nil // the revision of a faulty log would be a guess
	}
	restored := state.NewState(1)
	for _, s := range found.Snapshots {
		if s.Fault == nil {
			if restored, err = loadSnapshot(filepath.Join(dir, storage.SnapshotsDir, s.Name, storage.StateFile)); err != nil {
				out.AddFault(filepath.Join(dir, storage.SnapshotsDir, s.Name), err)
				return out, nil
			}
			break
		}
	}
	covered := found.Covered()
	for _, l := range all {
		if l.Type != raft.LogCommand || l.Index <= covered {
			continue
		}
		var c state.Command
		if err := json.Unmarshal(l.Data, &c); err != nil {
			out.AddFault(fmt.Sprintf("%s: bucket log, entry %d", filepath.Join(dir, storage.StoreFile), l.Index), err)
			continue
		}
		if c.Term == 0 || c.Term == l.Term {
			_, _ = restored.Apply(&c) // the cluster rejects some commands, which is no fault of the directory
		}
	}
	out.Rev, out.Epoch = restored.Rev(), state.EpochOf(restored.Rev())
	return out, nil
}

func loadSnapshot(path string) (*state.State, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var in state.Snapshot
	if err := json.NewDecoder(f).Decode(&in); err != nil {
		return nil, err
	}
	s := state.NewState(1)
	return s, s.Restore(&in)
}

// Sound reports whether a replica may start from the directory.
func (v *Verified) Sound() bool { return len(v.Faults) == 0 }

// Print writes the findings, one line each.
func (v *Verified) Print(w io.Writer) error {
	var failed error
	printLine := func(form string, of ...any) {
		_, err := fmt.Fprintf(w, form+"\n", of...)
		failed = errors.Join(failed, err)
	}
	printLine("log: %d entries, index %d to %d, terms %d to %d", v.Entries, v.First, v.Last, v.LowTerm, v.HighTerm)
	printLine("replica: in term %d, last voted in term %d for %q", v.Term, v.VotedTerm, v.VotedFor)
	for _, s := range v.Snapshots {
		verdict := "sound"
		if s.Fault != nil {
			verdict = s.Fault.Error()
		}
		printLine("snapshot %s: index %d, term %d, revision %d, %d bytes: %s", s.Name, s.Index, s.Term, s.Rev, s.Bytes, verdict)
	}
	if v.Sound() {
		printLine("revision %d of epoch %d, if all of the log was committed", v.Rev, v.Epoch)
	}
	for _, c := range v.Unfinished {
		printLine("unfinished, the next start removes it: %s", c)
	}
	for _, n := range v.Notes {
		printLine("note: %s", n)
	}
	for _, f := range v.Faults {
		printLine("UNSOUND: %v", f)
	}
	if v.Sound() {
		printLine("sound")
	}
	return failed
}
