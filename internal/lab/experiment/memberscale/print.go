package memberscale

import (
	"fmt"
	"io"
)

// Print writes the measurements as tables.
func Print(w io.Writer, r *Result) {
	if len(r.Sizes) > 0 {
		printSizes(w, r)
	}
	if len(r.Processes) > 0 {
		fmt.Fprintf(w, "Real processes, idle\n%8s %8s %12s %8s %9s\n", "members", "section", "us/member s", "MB", "joined s")
	}
	for _, p := range r.Processes {
		fmt.Fprintf(w, "%8d %8v %12.0f %8.1f %9s\n", p.Members, p.WithMembers, p.CPU, p.RSS, formatSeconds(p.JoinSeconds))
	}
	for _, u := range r.Unmeasured {
		fmt.Fprintln(w, "NOT MEASURED:", u)
	}
	fmt.Fprintf(w, "took %.0f s\n", r.ElapsedSeconds)
}

// formatSeconds formats a time, or "never" for a negative one, which means that the event did not come.
func formatSeconds(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%.2f", seconds)
}

// printSizes writes a table of the idle costs and one for each kind of fault.
func printSizes(w io.Writer, r *Result) {
	fmt.Fprintf(w, "Idle\n%8s %9s %7s %6s %15s %11s %12s %10s\n", "members", "joined s", "forced", "quiet",
		"bytes/member s", "packets/ms", "us/member s", "KB/member")
	for _, p := range r.Sizes {
		if i := p.Idle; i != nil {
			fmt.Fprintf(w, "%8d %9s %7d %6v %15.0f %11.1f %12.0f %10.0f\n", p.Members, formatSeconds(i.JoinSeconds), i.ForcedAdmissions,
				i.Quiet, i.Bytes, i.Packets, i.CPU, i.Memory)
		}
	}
	fmt.Fprintf(w, "the cost of one member grows as the fleet's size to the power of %.2f (bytes), %.2f (CPU)\n",
		r.BytesExponent, r.CPUExponent)
	fmt.Fprintf(w, "\nCrash of some at once\n%8s %8s %21s %8s %21s %8s\n", "members", "crashed",
		"detected p50, p99 s", "all s", "counted out p50, p99", "all s")
	for _, p := range r.Sizes {
		if c := p.Crash; c != nil {
			fmt.Fprintf(w, "%8d %8d %10s %10s %8s %10s %10s %8s\n", p.Members, c.Crashed, formatSeconds(c.DetectP50),
				formatSeconds(c.DetectP99), formatSeconds(c.DetectAll), formatSeconds(c.RemovedP50), formatSeconds(c.RemovedP99), formatSeconds(c.RemovedAll))
		}
	}
	fmt.Fprintf(w, "\nLiving members taken for dead, and counted out\n%8s %8s %9s %10s %10s %8s %8s %9s %8s\n",
		"members", "lost", "member h", "deaths/h", "out/h", "deaths", "out", "unheard", "agree s")
	for _, p := range r.Sizes {
		for _, l := range p.Losses {
			fault := fmt.Sprintf("%.0f%%", 100*l.Loss)
			if l.Starved {
				fault = "starved"
			}
			fmt.Fprintf(w, "%8d %8s %9.2f %10.2f %10.2f %8d %8d %9d %8s\n", p.Members, fault, l.MemberHours, l.UnreachablePerHour, l.RemovedPerHour,
				l.UnreachableEvents, l.RemovedEvents, l.MaxUnreachable, formatSeconds(l.AgreeSeconds))
		}
	}
	fmt.Fprintf(w, "\nSplit and healed\n%8s %18s %10s %12s %12s %10s\n", "members", "parts",
		"noticed s", "still hears", "counted out", "agree s")
	for _, p := range r.Sizes {
		for _, x := range p.Splits {
			fmt.Fprintf(w, "%8d %18s %10s %12d %12d %10s\n", p.Members, x.Parts, formatSeconds(x.NoticeSeconds), x.StillReachable, x.MaxRemoved, formatSeconds(x.AgreeSeconds))
		}
	}
	fmt.Fprintf(w, "\nlag of a timer, p99: %.1f ms\n", r.LagP99MS)
	if r.TooBusy {
		fmt.Fprintln(w, "LATE: the processor was short, what was measured side by side does not count")
	}
}
