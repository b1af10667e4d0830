package main

import (
	"fmt"
	"time"
)

// stateVerify checks whether state files are sound.
type stateVerify struct{ stateFiles }

func (c *stateVerify) Run(a *app) error {
	list, err := c.inspect()
	if err != nil {
		return err
	}
	var outcome error
	for _, f := range list {
		if f.Err != nil {
			fmt.Fprintln(a.out, findingText(f))
			outcome = exitError(exitFail)
			continue
		}
		s := f.State
		fmt.Fprintf(a.out, "%s: sound seq=%d written=%s bytes=%d site=%q name=%q settings=%q program=%q",
			f.File, s.Seq, s.Written.Format(time.RFC3339Nano), f.Bytes,
			s.Identity.Site, s.Identity.Name, s.Identity.Settings, s.Identity.Program)
		fmt.Fprintf(a.out, " servers=%d list_rev=%d listed=%d\n", len(s.Learned.Servers), s.List.Rev, len(s.List.Servers))
	}
	return outcome
}
