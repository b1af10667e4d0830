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
	File  string    // path of the file
	Bytes int64     // size of the file; 0 if it could not be read
	State *Snapshot // nil if the file is invalid
	// Err is nil for a valid file, a *DamageError for a damaged one, ErrNewerVersion for one that only a newer version
	// of this program may read, or an error of the file system.
	Err error
}

var errNoState = errors.New("no state file in this folder")

// Inspect reads a state file, or both generations of a state folder, of any user and identity. It returns an error only
// if there is no file to read. Errors of a single file are in its finding.
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

// inspectFile reads and decodes one state file of any user.
func inspectFile(name string, maxBytes int64) Finding {
	content, err := readFile(fsys.OS{}, name, maxBytes, AnyUser)
	if err != nil {
		return Finding{File: name, Err: err}
	}
	state, err := Decode(content)
	return Finding{File: name, Bytes: int64(len(content)), State: state, Err: err}
}
