// Package scale measures how the cost of the lab and of the sidecars grows with the number of sidecars and servers. It
// runs one scenario with each fleet size and the same traffic, and measures the processor time per request and the
// memory. The command is `marblelane lab scale`.
package scale

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"

	"marblelane/internal/lab"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/scenario"
)

// Point is the measured cost of one fleet size.
type Point struct {
	Sidecars         int     `json:"sidecars"`
	Servers          int     `json:"servers"`
	Requests         int     `json:"requests"`
	LabCPU           float64 `json:"lab_cpu_us_per_request"`
	SidecarCPU       float64 `json:"sidecar_cpu_us_per_request"` // of all sidecars, with their idle work
	LabRSS           float64 `json:"lab_rss_mb"`
	SidecarRSS       float64 `json:"sidecar_rss_mb"` // peak memory of the sidecar that used the most
	Descriptors      int     `json:"lab_descriptors"`
	LatenessP99      float64 `json:"lateness_p99_ms"`
	Outcome          string  `json:"outcome"`
	LabRSSPerProcess float64 `json:"lab_rss_kb_per_party"`
}

// Measure runs the scenario with each combination of the numbers of sidecars and servers, with the same traffic.
func Measure(ctx context.Context, s *scenario.Scenario, sidecars, servers []int, o harness.Options) ([]Point, error) {
	var points []Point
	progress := o.Progress
	o.Progress = nil
	for _, sidecarCount := range sidecars {
		for _, serverCount := range servers {
			p, err := measurePoint(ctx, s, sidecarCount, serverCount, o)
			if err != nil {
				return nil, err
			}
			points = append(points, *p)
			if progress != nil {
				fmt.Fprintf(progress, "%d sidecars, %d servers: %s, %.0f us of the lab's CPU per request\n",
					sidecarCount, serverCount, p.Outcome, p.LabCPU)
			}
		}
	}
	return points, nil
}

// measurePoint runs the scenario with one fleet size.
func measurePoint(ctx context.Context, s *scenario.Scenario, sidecars, servers int, o harness.Options) (*Point, error) {
	sized := *s
	sized.Sidecars.Count, sized.Servers.Count = sidecars, servers
	runtime.GC() // frees the memory of the previous run
	before, err := process.Measure(os.Getpid())
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	report, err := lab.Run(ctx, &sized, o)
	if err != nil {
		return nil, fmt.Errorf("run with %d sidecars, %d servers: %w", sidecars, servers, err)
	}
	outcome, _ := report.Outcome()
	result := report.Result
	p := &Point{Sidecars: sidecars, Servers: servers, Requests: result.Figures.Requests, Outcome: outcome,
		LabRSS: result.Lab.PeakRSS, Descriptors: result.Lab.Descriptors, LatenessP99: report.Lateness.P99MS}
	microsPerRequest := 1e6 / float64(max(p.Requests, 1))
	p.LabCPU = (result.Lab.CPU - before.CPU) * microsPerRequest
	for _, sidecar := range result.Sidecars {
		p.SidecarCPU += sidecar.CPU * microsPerRequest
		p.SidecarRSS = max(p.SidecarRSS, sidecar.PeakRSS)
	}
	p.LabRSSPerProcess = p.LabRSS * 1024 / float64(sidecars+servers)
	return p, nil
}

// Print writes the points as a table. Below the table it writes how the lab's cost grows from the first point to the
// last: the exponent k of cost ~ parties^k, where parties are the sidecars and servers.
func Print(w io.Writer, points []Point) {
	fmt.Fprintf(w, "%8s %8s %9s %14s %14s %9s %11s %12s %9s %s\n", "sidecars", "servers", "requests", "lab us/request",
		"sidecars us/r", "lab MB", "sidecar MB", "descriptors", "late ms", "run")
	for _, p := range points {
		fmt.Fprintf(w, "%8d %8d %9d %14.0f %14.0f %9.1f %11.1f %12d %9.1f %s\n", p.Sidecars, p.Servers, p.Requests, p.LabCPU,
			p.SidecarCPU, p.LabRSS, p.SidecarRSS, p.Descriptors, p.LatenessP99, p.Outcome)
	}
	if len(points) < 2 {
		return
	}
	first, last := points[0], points[len(points)-1]
	from, to := first.Sidecars+first.Servers, last.Sidecars+last.Servers
	exponent := func(a, b float64) float64 { return math.Log(b/a) / math.Log(float64(to)/float64(from)) }
	fmt.Fprintf(w, "growth from %d to %d parties: the lab's CPU per request as parties to the power of %.2f, its memory to the power of %.2f\n",
		from, to, exponent(first.LabCPU, last.LabCPU), exponent(first.LabRSS, last.LabRSS))
}
