package main

import (
	"encoding/json"
	"fmt"

	"marblelane/internal/snapshot"
)

// stateShow prints the newest sound state.
type stateShow struct{ stateFiles }

func (c *stateShow) Run(a *app) error {
	list, err := c.inspect()
	if err != nil {
		return err
	}
	var outcome error
	var newest *snapshot.Finding
	for i, f := range list {
		if f.Err != nil {
			fmt.Fprintln(a.errOut, findingText(f))
			outcome = exitError(exitFail)
		} else if newest == nil || f.State.Seq > newest.State.Seq {
			newest = &list[i]
		}
	}
	if newest == nil {
		return outcome
	}
	s := newest.State
	out := json.NewEncoder(a.out)
	out.SetIndent("", "  ")
	if err := out.Encode(map[string]any{"file": newest.File, "bytes": newest.Bytes, "seq": s.Seq, "written": s.Written,
		"identity": s.Identity, "learned": s.Learned, "list": s.List}); err != nil {
		return fmt.Errorf("state show: %w", err)
	}
	return outcome
}
