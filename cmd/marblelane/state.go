package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"marblelane/internal/snapshot"
)

type stateCmd struct {
	Show   stateShow   `cmd:"" help:"Print a state in JSON; of a folder the newest sound one."`
	Verify stateVerify `cmd:"" help:"Say of a file, or each in a folder, whether it is sound; exit 1 where one is not."`
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
	if errors.Is(f.Err, snapshot.ErrNewer) {
		return fmt.Sprintf("%s: refused: %v", f.File, f.Err)
	}
	return fmt.Sprintf("%s: unsound: %v", f.File, f.Err)
}

type stateVerify struct{ stateFiles }

func (c *stateVerify) Run(a *app) error {
	list, err := c.inspect()
	if err != nil {
		return err
	}
	var end error
	for _, f := range list {
		if f.Err != nil {
			fmt.Fprintln(a.out, findingText(f))
			end = errExit(exitFail)
			continue
		}
		s := f.State
		fmt.Fprintf(a.out, "%s: sound seq=%d written=%s bytes=%d site=%q name=%q settings=%q program=%q",
			f.File, s.Seq, s.Written.Format(time.RFC3339Nano), f.Bytes,
			s.Identity.Site, s.Identity.Name, s.Identity.Settings, s.Identity.Program)
		fmt.Fprintf(a.out, " servers=%d list_rev=%d listed=%d\n", len(s.Learned.Servers), s.List.Rev, len(s.List.Servers))
	}
	return end
}

type stateShow struct{ stateFiles }

func (c *stateShow) Run(a *app) error {
	list, err := c.inspect()
	if err != nil {
		return err
	}
	var end error
	var newest *snapshot.Finding
	for i, f := range list {
		if f.Err != nil {
			fmt.Fprintln(a.errOut, findingText(f))
			end = errExit(exitFail)
		} else if newest == nil || f.State.Seq > newest.State.Seq {
			newest = &list[i]
		}
	}
	if newest == nil {
		return end
	}
	s := newest.State
	out := json.NewEncoder(a.out)
	out.SetIndent("", "  ")
	if err := out.Encode(map[string]any{"file": newest.File, "bytes": newest.Bytes, "seq": s.Seq, "written": s.Written,
		"identity": s.Identity, "learned": s.Learned, "list": s.List}); err != nil {
		return fmt.Errorf("state show: %w", err)
	}
	return end
}
