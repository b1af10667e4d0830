package main

import (
	"errors"
	"fmt"

	"marblelane/internal/snapshot"
)

// stateCmd groups the commands for the state that processes keep on disk.
type stateCmd struct {
	Show   stateShow   `cmd:"" help:"Print a saved state as JSON; for a folder, the newest sound one."`
	Verify stateVerify `cmd:"" help:"Check whether a state file, or each one in a folder, is sound. The exit code is 0 if all are, 1 if not, 2 if there is none."`
}

// stateFiles are the arguments that select the state files to inspect.
type stateFiles struct {
	Path     string `arg:"" help:"State file, or the folder with the state files of a process." type:"path" placeholder:"FILE|DIR"`
	MaxBytes int64  `name:"most" help:"Maximum size in bytes of a file that is read." default:"8388608"`
}

// inspect reads the files and returns a finding for each.
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
