package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"marblelane/internal/membership"
)

// membersList prints a process's view of its fleet.
type membersList struct {
	memberProcess
	JSON bool `help:"Print the process's report as JSON instead of the table." name:"json"`
}

func (c *membersList) Run(a *app) error {
	_, r, err := c.report(a)
	if err != nil {
		return err
	}
	return printResult(a, c.JSON, r, printMembers)
}

// printMembers writes the view's summary and a table of the members.
func printMembers(w io.Writer, r *membership.Report) {
	estimate := ""
	if r.EstimatedSize > 0 {
		estimate = fmt.Sprintf(", estimated size %.3g", r.EstimatedSize)
	}
	fmt.Fprintf(w, "%s in fleet %q: %s%s; %d changes, %d dropped\n", idText(r.Self), r.Fleet, viewText(r), estimate,
		r.Changes, r.Dropped)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTART\tSTATE\tFOR\tHEARD\tROLE\tZONE\tVERSION\tADDRESS\tNOTE")
	for _, m := range r.Members {
		lastAlive := "never"
		if m.LastAliveMS >= 0 {
			lastAlive = durationText(m.LastAliveMS) + " ago"
		}
		var notes []string
		if m.Proof != "" {
			notes = append(notes, m.Proof)
		}
		if m.Duplicate {
			notes = append(notes, "twin")
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Start, m.State, durationText(m.SinceMS), lastAlive,
			orDash(m.Role), orDash(m.Zone), orDash(m.Version), orDash(m.Addr), orDash(strings.Join(notes, ", ")))
	}
	_ = t.Flush() // commands do not check write errors of their output
}
