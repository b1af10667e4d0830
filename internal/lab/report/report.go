// Package report builds the report of a lab run from its recorded events: the figures, the broken rules, the
// expectations that were not met, and whether the run counts. It prints, saves and plots the report.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"marblelane/internal/lab/measure"
	"marblelane/internal/lab/simulate"
)

// MaxRows is the maximum number of rows of a table with one row per sidecar.
const MaxRows = 10

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	if r.Registry != nil {
		r.Registry.print(w, r)
		r.printRules(w)
		return
	}
	f, res := &r.Result.Figures, r.Result
	fmt.Fprintf(w, "%s (seed %d): %d sidecars, %d servers, %.0f requests/s for %.0f s\n",
		r.Scenario, r.Seed, r.Sidecars, r.Servers, r.Rate, r.LengthS)
	fmt.Fprintf(w, "\nserved in aim %6.2f%% of the worth (worst 5 s: %.2f%%) of %d requests\n", 100*f.InObjective, 100*f.WorstInObjective, f.Requests)
	fmt.Fprintf(w, "tries         %6.2f%% refused, %.2f%% failed, %.3f per request; %.3f attempts per try that reached a server\n",
		100*f.Rejected, 100*f.Failed, f.ClientAttempts, f.ServerAttempts)
	fmt.Fprintf(w, "cost          %6.2f%% of attempts left their zone (capacity alone requires %.2f%%), %.2f%% of the servers' work led to no correct response\n",
		100*f.CrossZone, 100*f.MinCrossZone, 100*f.Waste)
	fmt.Fprintf(w, "latency       p50 %.1f  p90 %.1f  p99 %.1f  p99.9 %.1f  max %.1f ms, from the planned time\n", f.P50, f.P90, f.P99, f.P999, f.Max)
	fmt.Fprintf(w, "\n%-18s %9s %8s %9s %9s\n", "class", "requests", "in aim", "p50 ms", "p99 ms")
	for _, c := range res.Classes {
		fmt.Fprintf(w, "%-18s %9d %7.2f%% %9.1f %9.1f\n", c.Name, c.Requests, 100*c.InObjective, c.P50, c.P99)
	}
	fmt.Fprintf(w, "\n%-18s %9s %8s %9s %9s %12s\n", "process", "requests", "CPU s", "RSS MB", "peak MB", "descriptors")
	party := func(p *measure.Process) {
		fmt.Fprintf(w, "%-18s %9d %8.2f %9.1f %9.1f %12d\n", p.Name, p.Requests, p.CPU, p.LastRSS, p.PeakRSS, p.Descriptors)
	}
	busiest := slices.Clone(res.Sidecars)
	slices.SortStableFunc(busiest, func(a, b measure.Process) int { return b.Requests - a.Requests })
	for i := range busiest[:min(len(busiest), MaxRows)] {
		party(&busiest[i])
	}
	if more := len(busiest) - MaxRows; more > 0 {
		fmt.Fprintf(w, "(and %d sidecars with fewer requests)\n", more)
	}
	party(&res.Lab)
	if r.Routes != nil {
		r.Routes.print(w)
	}
	if r.Members != nil {
		r.Members.print(w)
	}
	if len(res.Faults) > 0 {
		fmt.Fprintf(w, "\nfaults:")
		for _, s := range res.Faults {
			if s.To > s.From {
				fmt.Fprintf(w, " %s %.1f-%.1f s;", s.Text, s.From, s.To)
			} else {
				fmt.Fprintf(w, " %s %.1f s;", s.Text, s.From)
			}
		}
		fmt.Fprintln(w)
	}
	r.printRules(w)
}

// printRules writes how many cases each rule was checked on, the lab's lateness, and the breaches.
func (r *Report) printRules(w io.Writer) {
	simulate.PrintZoneFaults(w, r.ZoneFaults)
	fmt.Fprintf(w, "rules:")
	for _, rule := range sortedKeys(r.Verdict.Checked) {
		fmt.Fprintf(w, " %s %d;", rule, r.Verdict.Checked[rule])
	}
	fmt.Fprintf(w, " cases checked of each\nthe lab: arrivals %.1f ms late at the 99th percentile, %.1f ms at most\n", r.Lateness.P99MS, r.Lateness.MaxMS)
	for _, b := range r.Verdict.Breaches {
		fmt.Fprintf(w, "\nRULE BROKEN %s at %.3f s: %s\n", b.Rule, b.At, b.Text)
		if b.Request != "" {
			fmt.Fprintf(w, "the events of request %s:\n  %s\n", b.Request, strings.Join(b.Path, "\n  "))
		}
	}
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Save writes report.json, report.txt and the plots to a folder. A report of the list service has no plots.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create report folder: %w", err)
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("save report: %w", err)
	}
	var text strings.Builder
	r.Print(&text)
	if err := os.WriteFile(filepath.Join(dir, "report.txt"), []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("save report: %w", err)
	}
	if r.Registry != nil {
		return nil
	}
	if err := r.savePlots(dir); err != nil {
		return fmt.Errorf("save report: %w", err)
	}
	return nil
}
