package snapshot

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"marblelane/internal/fsys"
)

// Finding is what was found of one file.
type Finding struct {
	File  string
	Bytes int64
	State *Snapshot // nil: it is not sound
	Err   error     // why; a DamageError where it is damaged, and ErrNewer where only a newer program may read it
}

// Inspect reads a file, or both generations of a folder, whoever's they are. Its error says that there is none.
func Inspect(path string, most int64) ([]Finding, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []Finding{inspect(path, most)}, nil
	}
	var list []Finding
	for _, name := range generations {
		if f := inspect(filepath.Join(path, name), most); !errors.Is(f.Err, fs.ErrNotExist) {
			list = append(list, f)
		}
	}
	if len(list) == 0 {
		return nil, &fs.PathError{Op: "read state", Path: path, Err: errors.New("there is none in this folder")}
	}
	return list, nil
}

func inspect(name string, most int64) Finding {
	b, err := readFile(fsys.OS{}, name, most, -1)
	if err != nil {
		return Finding{File: name, Err: err}
	}
	s, err := Decode(b)
	return Finding{File: name, Bytes: int64(len(b)), State: s, Err: err}
}
