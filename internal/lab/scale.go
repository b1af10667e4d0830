package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// ScalePoint is what one size of fleet cost.
type ScalePoint struct {
	Sidecars         int     `json:"sidecars"`
	Servers          int     `json:"servers"`
	Requests         int     `json:"requests"`
	LabCPU           float64 `json:"lab_cpu_us_per_request"`
	SidecarCPU       float64 `json:"sidecar_cpu_us_per_request"` // all sidecars together, their idle work included
	LabRSS           float64 `json:"lab_rss_mb"`
	SidecarRSS       float64 `json:"sidecar_rss_mb"` // of the largest
	Descriptors      int     `json:"lab_descriptors"`
	LatenessP99      float64 `json:"lateness_p99_ms"`
	Outcome          string  `json:"outcome"`
	LabRSSPerProcess float64 `json:"lab_rss_kb_per_party"`
}

// Scale plays the scenario with each size of fleet and the same traffic.
func Scale(ctx context.Context, s *scenario.Scenario, sidecars, servers []int, o harness.Options) ([]ScalePoint, error) {
	var points []ScalePoint
	progress := o.Progress
	o.Progress = nil
	for _, sidecarCount := range sidecars {
		for _, serverCount := range servers {
			p, err := measureScalePoint(ctx, s, sidecarCount, serverCount, o)
			if err != nil {
				return nil, err
			}
			points = append(points, *p)
			if progress != nil {
				fmt.Fprintf(progress, "%d sidecars, %d servers: %s, %.0f us of the lab's CPU a request\n",
					sidecarCount, serverCount, p.Outcome, p.LabCPU)
			}
		}
	}
	return points, nil
}

// measureScalePoint plays the scenario with one size of fleet.
func measureScalePoint(ctx context.Context, s *scenario.Scenario, sidecars, servers int, o harness.Options) (*ScalePoint, error) {
	sized := *s
	sized.Sidecars.Count, sized.Servers.Count = sidecars, servers
	runtime.GC() // frees what the size before left
	before, err := process.Measure(os.Getpid())
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	report, err := Run(ctx, &sized, o)
	if err != nil {
		return nil, fmt.Errorf("%d sidecars, %d servers: %w", sidecars, servers, err)
	}
	outcome, _ := report.Outcome()
	result := report.Result
	p := &ScalePoint{Sidecars: sidecars, Servers: servers, Requests: result.Figures.Requests, Outcome: outcome,
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

// PrintScale writes the sizes as a table, with how the lab's cost grows from the smallest to the largest: the
// exponent k of cost ~ parties^k.
func PrintScale(w io.Writer, points []ScalePoint) {
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
	fmt.Fprintf(w, "growth from %d to %d parties: the lab's CPU a request as their number to the power of %.2f, its memory %.2f\n",
		from, to, exponent(first.LabCPU, last.LabCPU), exponent(first.LabRSS, last.LabRSS))
}

// Overhead is the latency that one request path adds to the servers' own work, in milliseconds.
type Overhead struct {
	Path     string  `json:"way"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Requests int     `json:"requests"`
}

// MeasureOverhead sends requests of fixed work over three paths, in one process and in turn: from a plain client to the
// stand-ins, without any record; from the lab's clients, without sidecars; and from the lab's clients through the
// sidecars. The difference of the first two is the lab's own overhead.
func MeasureOverhead(ctx context.Context, s *scenario.Scenario, o harness.Options) ([]Overhead, error) {
	work := s.Classes[0].Work.Milliseconds() / s.Traffic.Speedup / s.Servers.Kinds[0].Speed[0]
	plain, err := measurePlainClient(ctx, s, o)
	if err != nil {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	out := []Overhead{{Path: "plain client", Requests: int(plain.TotalCount()),
		P50: float64(plain.ValueAtQuantile(50))/1000 - work, P99: float64(plain.ValueAtQuantile(99))/1000 - work}}
	paths := []struct{ name, program string }{{"the lab's clients", NoProgram}, {"through sidecars", s.Sidecars.Program}}
	for _, path := range paths {
		sized := *s
		sized.Sidecars.Program = path.program
		report, err := Run(ctx, &sized, o)
		if err != nil {
			return nil, fmt.Errorf("overhead: %s: %w", path.name, err)
		}
		f := &report.Result.Figures
		out = append(out, Overhead{Path: path.name, P50: f.P50 - work, P99: f.P99 - work, Requests: f.Requests})
	}
	return out, nil
}

// measurePlainClient sends the planned requests straight to the stand-ins over kept connections, and measures from their
// planned times.
func measurePlainClient(ctx context.Context, s *scenario.Scenario, o harness.Options) (*hdrhistogram.Histogram, error) {
	sized := *s
	sized.Sidecars.Program = NoProgram
	o.Log = nil
	base, err := harness.New(&sized, o)
	if err != nil {
		return nil, err
	}
	defer base.Close()
	r := newRun(base)
	ctx, cancel := context.WithCancel(ctx)
	defer r.Close()
	defer cancel()
	if err := r.Start(ctx); err != nil {
		return nil, err
	}
	c := &plainClient{start: time.Now(), warmUp: sized.WarmUp.Duration(), idle: make(map[string][]net.Conn),
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
	var requests sync.WaitGroup
	for i := range r.Plan.Arrivals {
		arrival := &r.Plan.Arrivals[i]
		time.Sleep(time.Until(c.start.Add(arrival.At)))
		if ctx.Err() != nil {
			break
		}
		id := uint64(i + 1)
		r.book.Add(id, stock.ClientRequest{Method: http.MethodGet, Class: arrival.Class, Sum: record.Sum(nil),
			Work: arrival.Work, Answer: sized.Traffic.AnswerBytes})
		addr := r.addr(arrival.Sidecar)
		requests.Go(func() { c.send(addr, id, arrival.At) })
	}
	requests.Wait()
	c.close()
	return c.latency, ctx.Err()
}

// maxLatency is the longest that the histogram records.
const maxLatency = time.Minute

// plainClient sends requests over connections that it keeps.
type plainClient struct {
	start   time.Time
	warmUp  time.Duration
	mu      sync.Mutex
	idle    map[string][]net.Conn // by address
	latency *hdrhistogram.Histogram
}

// send sends a request, and records its latency from the time it was planned for, counted from the start. A request that
// fails is not recorded.
func (c *plainClient) send(addr string, id uint64, planned time.Duration) {
	conn, err := c.conn(addr)
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %016x\r\n\r\n", id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		conn.Close()
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	latency := time.Since(c.start.Add(planned))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && planned >= c.warmUp {
		_ = c.latency.RecordValue(latency.Microseconds()) // fails beyond maxLatency, which no request takes
	}
	c.idle[addr] = append(c.idle[addr], conn)
}

// conn takes an idle connection or opens one.
func (c *plainClient) conn(addr string) (net.Conn, error) {
	c.mu.Lock()
	if n := len(c.idle[addr]); n > 0 {
		conn := c.idle[addr][n-1]
		c.idle[addr] = c.idle[addr][:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return net.DialTimeout("tcp4", addr, time.Second)
}

func (c *plainClient) close() {
	for _, conns := range c.idle {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// PrintOverhead writes the paths as a table.
func PrintOverhead(w io.Writer, paths []Overhead) {
	fmt.Fprintf(w, "%-20s %9s %12s %12s   (beyond the servers' own work)\n", "asked by", "requests", "p50 ms", "p99 ms")
	for _, o := range paths {
		fmt.Fprintf(w, "%-20s %9d %12.3f %12.3f\n", o.Path, o.Requests, o.P50, o.P99)
	}
}
