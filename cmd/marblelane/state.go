package main

import (
	"errors"
	"fmt"

	"marblelane/internal/snapshot"
)

// stateCmd groups the commands for what processes keep on disk.
type stateCmd struct {
	Show   stateShow   `cmd:"" help:"Print a state in JSON; of a folder the newest sound one."`
	Verify stateVerify `cmd:"" help:"Say of a file, or each in a folder, whether it is sound. Ends with 0 if each is, 1 if not, 2 if there is none."`
}

// stateFiles are the files to inspect.
type stateFiles struct {
	Path     string `arg:"" help:"A state's file, or the folder of a process's states." type:"path" placeholder:"FILE|DIR"`
	MaxBytes int64  `name:"most" help:"Longest file that is read, in bytes." default:"8388608"`
}

func (f *stateFiles) inspect() ([]snapshot.Finding, error) {
	list, err := snapshot.Inspect(f.Path, f.MaxBytes)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return list, nil
}

// findingText describes what is wrong with a file.
func findingText(f snapshot.Finding) string {
	if errors.Is(f.Err, snapshot.ErrNewerVersion) {
		return fmt.Sprintf("%s: refused: %v", f.File, f.Err)
	}
	return fmt.Sprintf("%s: unsound: %v", f.File, f.Err)
}
