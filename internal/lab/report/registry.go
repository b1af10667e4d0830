package report

import (
	"fmt"
	"io"
	"marblelane/internal/lab/measure"
)

// RegistryResult is what a run of the list service shows. Times are in milliseconds.
type RegistryResult struct {
	Replicas          int               `json:"copies"`
	Watchers          int               `json:"watchers"`
	Writes            int               `json:"writes"`    // acknowledged
	Conflicts         int               `json:"conflicts"` // refused on their condition
	Rejected          int               `json:"refused"`   // certainly not done: there was no leader
	Unknown           int               `json:"unknown"`   // no answer: done or not
	Gets              int               `json:"gets"`
	Reads             int               `json:"reads"`      // whole lists, of any copy
	FailedReads       int               `json:"reads_lost"` // no copy answered
	Lines             int64             `json:"lines"`      // that watchers took
	RestartedWatches  int64             `json:"rejoins"`    // watches that ended and began again
	NotifyP50         float64           `json:"tell_p50_ms"`
	NotifyP99         float64           `json:"tell_p99_ms"` // from a write's call until the last watcher has it
	NotifyMax         float64           `json:"tell_max_ms"`
	WriteGaps         []float64         `json:"gaps_ms"`    // after each fault: until a write called since is acknowledged
	RestartTimes      []float64         `json:"returns_ms"` // of copies that were killed: from their start until they had the list
	DiskRecoveryTimes []float64         `json:"heals_ms"`   // of disks that failed: from when one works until its copy had the list
	MaxListAgeMS      float64           `json:"oldest_ms"`  // the greatest age that a copy has stated with a list
	Processes         []measure.Process `json:"parties"`
}

// print writes the result as a table.
func (o *RegistryResult) print(w io.Writer, r *Report) {
	fmt.Fprintf(w, "%s (seed %d): %d copies of the list service, %d watchers, %.0f s\n\n", r.Scenario, r.Seed, o.Replicas, o.Watchers, r.LengthS)
	fmt.Fprintf(w, "writes    %d acknowledged, %d refused on their condition, %d refused as nobody led, %d without an answer; %d single reads\n",
		o.Writes, o.Conflicts, o.Rejected, o.Unknown, o.Gets)
	fmt.Fprintf(w, "lists     %d read of any copy, %d times no copy answered; the oldest was said to be of %.0f ms ago\n", o.Reads, o.FailedReads, o.MaxListAgeMS)
	fmt.Fprintf(w, "watches   %d lines, begun again %d times; from a write's call to the last watcher p50 %.1f  p99 %.1f  max %.1f ms\n",
		o.Lines, o.RestartedWatches, o.NotifyP50, o.NotifyP99, o.NotifyMax)
	if len(o.WriteGaps) > 0 {
		fmt.Fprintf(w, "without writes after each fault: %.0f ms\n", o.WriteGaps)
	}
	if len(o.RestartTimes) > 0 {
		fmt.Fprintf(w, "from a copy's start until it had the list: %.0f ms\n", o.RestartTimes)
	}
	if len(o.DiskRecoveryTimes) > 0 {
		fmt.Fprintf(w, "from when a failed disk works again until its copy had the list: %.0f ms\n", o.DiskRecoveryTimes)
	}
	fmt.Fprintf(w, "\n%-8s %8s %9s %9s %12s\n", "copy", "CPU s", "RSS MB", "peak MB", "descriptors")
	for _, p := range o.Processes {
		fmt.Fprintf(w, "%-8s %8.2f %9.1f %9.1f %12d\n", p.Name, p.CPU, p.LastRSS, p.PeakRSS, p.Descriptors)
	}
	fmt.Fprintln(w)
}
