package main

import (
	"fmt"
	"strconv"
	"time"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

// idText formats a member's identity as NAME@START.
func idText(id roster.ID) string { return id.Name + "@" + strconv.FormatInt(id.Start, 10) }

// viewText summarizes a view: members known and heard, and whether the process is admitted.
func viewText(r *membership.Report) string {
	admitted := "not admitted yet"
	if r.View.Admitted {
		admitted = "admitted"
	}
	if r.View.Forced {
		admitted += " by timeout"
	}
	return fmt.Sprintf("%d known, %d heard, %s", r.View.Known, r.View.Reachable, admitted)
}

// durationText formats a duration in milliseconds, from one minute on rounded to seconds.
func durationText(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	if d >= time.Minute {
		d = d.Round(time.Second)
	}
	return d.String()
}

// orDash returns "-" for an empty string.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
