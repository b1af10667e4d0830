package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
	"marblelane/internal/membership/view"
)

// membersWatch prints each change that a process sees.
type membersWatch struct {
	memberProcess
	JSON bool `help:"Print the process's report as JSON at each change, one report per line." name:"json"`
}

func (c *membersWatch) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var last *membership.Report
	err = client.Watch(a.ctx, c.Addr, func(r *membership.Report, line []byte) error {
		if c.JSON {
			_, err := fmt.Fprintf(a.out, "%s\n", line)
			return err
		}
		err := printChanges(a.out, last, r)
		last = r
		return err
	}, func(err error, delay time.Duration) {
		fmt.Fprintf(a.errOut, "ADDR %s: %v; retrying in %v\n", c.Addr, err, delay.Round(time.Millisecond))
	})
	return c.withAddr(err)
}

// printChanges writes the changes since the last report. If last is nil, all members are new.
func printChanges(w io.Writer, last, r *membership.Report) error {
	at := time.UnixMilli(r.UnixMS).Format("15:04:05.000")
	var text strings.Builder
	var before []membership.Member
	if last != nil {
		before = last.Members
		if last.Self != r.Self {
			fmt.Fprintf(&text, "%s different process at this address: %s instead of %s\n", at, idText(r.Self), idText(last.Self))
		}
	}
	for _, ch := range view.Changes(before, r.Members) {
		proof := ""
		if ch.To == membership.Gone && ch.Member.Proof != "" {
			proof = " (" + ch.Member.Proof + ")"
		}
		fmt.Fprintf(&text, "%s %s: %s -> %s%s\n", at, idText(roster.ID{Name: ch.Member.Name, Start: ch.Member.Start}),
			ch.From, ch.To, proof)
	}
	if last == nil || last.View != r.View {
		fmt.Fprintf(&text, "%s %s\n", at, viewText(r))
	}
	_, err := io.WriteString(w, text.String())
	return err
}
