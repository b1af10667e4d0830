package main

import (
	"fmt"
	"strconv"
	"time"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

func idText(id roster.ID) string { return id.Name + "@" + strconv.FormatInt(id.Start, 10) }

func viewText(r *membership.Report) string {
	admitted := "not admitted yet"
	if r.View.Admitted {
		admitted = "admitted"
	}
	if r.View.Forced {
		admitted += " by time alone"
	}
	return fmt.Sprintf("%d known, %d heard, %s", r.View.Known, r.View.Reachable, admitted)
}

// durationText is a time in milliseconds as it is read.
func durationText(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	if d >= time.Minute {
		d = d.Round(time.Second)
	}
	return d.String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
