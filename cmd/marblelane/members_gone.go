package main

import (
	"fmt"
	"strconv"
	"strings"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

// membersGone reports to a process that another one is gone.
type membersGone struct {
	memberProcess
	Name  string `arg:"" help:"Name of the process that is gone."`
	Start int64  `arg:"" help:"Start number of the process, as list shows it."`
	Yes   bool   `help:"Report it even if the process is not silent there: one that is alive rejoins as a new member."`
}

func (c *membersGone) Run(a *app) error {
	client, r, err := c.report(a)
	if err != nil {
		return err
	}
	id := roster.ID{Name: c.Name, Start: c.Start}
	var starts []string
	index := -1
	for i, m := range r.Members {
		if m.Name == c.Name {
			starts = append(starts, strconv.FormatInt(m.Start, 10))
			if m.Start == c.Start {
				index = i
			}
		}
	}
	switch {
	case len(starts) == 0:
		return fmt.Errorf("NAME %s: no process of this name at %s", c.Name, c.Addr)
	case index < 0:
		return fmt.Errorf("START %d: %s lists %s with the starts %s", c.Start, c.Addr, c.Name, strings.Join(starts, ", "))
	case r.Members[index].State == membership.Gone:
		fmt.Fprintf(a.out, "%s is already gone (%s)\n", idText(id), orDash(r.Members[index].Proof))
		return nil
	case r.Members[index].State != membership.Unreachable && !c.Yes:
		return fmt.Errorf("--yes: required because %s is %s at %s, not silent", idText(id), r.Members[index].State,
			c.Addr)
	}
	if err := client.ConfirmGone(a.ctx, c.Addr, id); err != nil {
		return c.withAddr(err)
	}
	fmt.Fprintf(a.out, "%s reported as gone\n", idText(id))
	return nil
}
