package report

import (
	"fmt"
	"io"
	"marblelane/internal/lab/measure"
)

// RegistryResult is the result of a run of the list service without sidecars. Times are in milliseconds.
type RegistryResult struct {
	Replicas          int               `json:"copies"`
	Watchers          int               `json:"watchers"`
	Writes            int               `json:"writes"`     // acknowledged writes
	Conflicts         int               `json:"conflicts"`  // writes rejected because their condition did not hold
	Rejected          int               `json:"refused"`    // writes rejected without a leader; certainly not applied
	Unknown           int               `json:"unknown"`    // writes without a response; applied or not
	Gets              int               `json:"gets"`       // reads of single entries
	Reads             int               `json:"reads"`      // reads of whole lists, from any replica
	FailedReads       int               `json:"reads_lost"` // reads to which no replica responded
	Lines             int64             `json:"lines"`      // lines received by watchers
	RestartedWatches  int64             `json:"rejoins"`    // watches that ended and were restarted
	NotifyP50         float64           `json:"tell_p50_ms"`
	NotifyP99         float64           `json:"tell_p99_ms"` // from a write's call until the last watcher has the write
	NotifyMax         float64           `json:"tell_max_ms"`
	WriteGaps         []float64         `json:"gaps_ms"`    // from each fault until a later write is acknowledged
	RestartTimes      []float64         `json:"returns_ms"` // from a killed replica's restart until it had the list
	DiskRecoveryTimes []float64         `json:"heals_ms"`   // from a disk's repair until its replica had the list
	MaxListAgeMS      float64           `json:"oldest_ms"`  // greatest age that a replica stated for a list
	Processes         []measure.Process `json:"parties"`
}

// print writes the result as lines of text and a table of the processes.
func (o *RegistryResult) print(w io.Writer, r *Report) {
	fmt.Fprintf(w, "%s (seed %d): %d replicas of the list service, %d watchers, %.0f s\n\n", r.Scenario, r.Seed, o.Replicas, o.Watchers, r.LengthS)
	fmt.Fprintf(w, "writes    %d acknowledged, %d rejected by their condition, %d rejected without a leader, %d without a response; %d single reads\n",
		o.Writes, o.Conflicts, o.Rejected, o.Unknown, o.Gets)
	fmt.Fprintf(w, "lists     %d read from any replica, %d reads without a response; greatest stated age %.0f ms\n", o.Reads, o.FailedReads, o.MaxListAgeMS)
	fmt.Fprintf(w, "watches   %d lines, %d restarts; from the call of a write to the last watcher p50 %.1f  p99 %.1f  max %.1f ms\n",
		o.Lines, o.RestartedWatches, o.NotifyP50, o.NotifyP99, o.NotifyMax)
	if len(o.WriteGaps) > 0 {
		fmt.Fprintf(w, "time without writes after each fault: %.0f ms\n", o.WriteGaps)
	}
	if len(o.RestartTimes) > 0 {
		fmt.Fprintf(w, "from the restart of a replica until it had the list: %.0f ms\n", o.RestartTimes)
	}
	if len(o.DiskRecoveryTimes) > 0 {
		fmt.Fprintf(w, "from when a failed disk works again until its replica had the list: %.0f ms\n", o.DiskRecoveryTimes)
	}
	fmt.Fprintf(w, "\n%-8s %8s %9s %9s %12s\n", "copy", "CPU s", "RSS MB", "peak MB", "descriptors")
	for _, p := range o.Processes {
		fmt.Fprintf(w, "%-8s %8.2f %9.1f %9.1f %12d\n", p.Name, p.CPU, p.LastRSS, p.PeakRSS, p.Descriptors)
	}
	fmt.Fprintln(w)
}
