package snapshot

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"marblelane/internal/fsys"
)

// Finding is the result of reading one state file.
type Finding struct {
	File  string
	Bytes int64
	State *Snapshot // nil: the file is not sound
	Err   error     // a *DamageError if the file is damaged, ErrNewer if only a newer program may read it, or another
}

var errNoState = errors.New("there is none in this folder")

// Inspect reads a state file, or both generations of a state folder, of any user and identity. It returns an error if
// there is no file to read; what is wrong with a file is in its finding.
func Inspect(path string, maxBytes int64) ([]Finding, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []Finding{inspectFile(path, maxBytes)}, nil
	}
	var findings []Finding
	for _, name := range generations {
		finding := inspectFile(filepath.Join(path, name), maxBytes)
		if !errors.Is(finding.Err, fs.ErrNotExist) {
			findings = append(findings, finding)
		}
	}
	if len(findings) == 0 {
		return nil, &fs.PathError{Op: "read state", Path: path, Err: errNoState}
	}
	return findings, nil
}

func inspectFile(name string, maxBytes int64) Finding {
	content, err := readFile(fsys.OS{}, name, maxBytes, AnyUser)
	if err != nil {
		return Finding{File: name, Err: err}
	}
	state, err := Decode(content)
	return Finding{File: name, Bytes: int64(len(content)), State: state, Err: err}
}
