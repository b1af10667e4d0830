package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marblelane/internal/lab/client"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
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
func Scale(ctx context.Context, s *scenario.Scenario, sidecars, servers []int, o Options) ([]ScalePoint, error) {
	var points []ScalePoint
	progress := o.Progress
	o.Progress = nil
	for _, n := range sidecars {
		for _, m := range servers {
			sized := *s
			sized.Sidecars.Count, sized.Servers.Count = n, m
			runtime.GC() // what the size before left is not this one's
			before, err := process.Measure(os.Getpid())
			if err != nil {
				return nil, fmt.Errorf("scale: %w", err)
			}
			rep, err := Run(ctx, &sized, o)
			if err != nil {
				return nil, fmt.Errorf("%d sidecars, %d servers: %w", n, m, err)
			}
			end, _ := rep.Outcome()
			p := ScalePoint{Sidecars: n, Servers: m, Requests: rep.Result.Figures.Requests, Outcome: end,
				LabRSS: rep.Result.Lab.PeakRSS, Descriptors: rep.Result.Lab.Descriptors, LatenessP99: rep.Lateness.P99MS}
			per := 1e6 / float64(max(p.Requests, 1))
			p.LabCPU = (rep.Result.Lab.CPU - before.CPU) * per
			for _, party := range rep.Result.Sidecars {
				p.SidecarCPU += party.CPU * per
				p.SidecarRSS = max(p.SidecarRSS, party.PeakRSS)
			}
			p.LabRSSPerProcess = p.LabRSS * 1024 / float64(n+m)
			points = append(points, p)
			if progress != nil {
				fmt.Fprintf(progress, "%d sidecars, %d servers: %s, %.0f us of the lab's CPU a request\n", n, m, end, p.LabCPU)
			}
		}
	}
	return points, nil
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
	a, b := points[0], points[len(points)-1]
	growth := func(x, y float64) float64 {
		return math.Log(y/x) / math.Log(float64(b.Sidecars+b.Servers)/float64(a.Sidecars+a.Servers))
	}
	fmt.Fprintf(w, "growth from %d to %d parties: the lab's CPU a request as their number to the power of %.2f, its memory %.2f\n",
		a.Sidecars+a.Servers, b.Sidecars+b.Servers, growth(a.LabCPU, b.LabCPU), growth(a.LabRSS, b.LabRSS))
}

// Overhead is what three ways of asking add to the servers' own work, in milliseconds.
type Overhead struct {
	Path     string  `json:"way"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Requests int     `json:"requests"`
}

// MeasureOverhead plays fixed work three ways, in one process and in turn: by a plain client that talks to the
// stand-ins and writes nothing down, by the lab's clients without sidecars, and by the lab's clients through the
// sidecars. The difference of the first two is the lab's own overhead.
func MeasureOverhead(ctx context.Context, s *scenario.Scenario, o Options) ([]Overhead, error) {
	work := s.Classes[0].Work.Milliseconds() / s.Traffic.Speedup / s.Servers.Kinds[0].Speed[0]
	plain, err := measurePlainClient(ctx, s, o)
	if err != nil {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	out := []Overhead{{Path: "plain client", Requests: int(plain.TotalCount()),
		P50: float64(plain.ValueAtQuantile(50))/1000 - work, P99: float64(plain.ValueAtQuantile(99))/1000 - work}}
	for _, way := range []struct{ name, program string }{{"the lab's clients", NoProgram}, {"through sidecars", s.Sidecars.Program}} {
		sized := *s
		sized.Sidecars.Program = way.program
		rep, err := Run(ctx, &sized, o)
		if err != nil {
			return nil, fmt.Errorf("overhead: %s: %w", way.name, err)
		}
		f := &rep.Result.Figures
		out = append(out, Overhead{Path: way.name, P50: f.P50 - work, P99: f.P99 - work, Requests: f.Requests})
	}
	return out, nil
}

// plainClient asks the stand-ins at the planned times over kept connections, and measures from those times.
func measurePlainClient(ctx context.Context, s *scenario.Scenario, o Options) (*hdrhistogram.Histogram, error) {
	sized := *s
	sized.Sidecars.Program = NoProgram
	r := &run{s: &sized, plan: sized.Plan(o.Seed), o: o, links: map[[2]int]*relay.Link{}, book: client.NewRequestLog(), program: NoProgram,
		out: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.close(cancel)
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	h := hdrhistogram.New(1, 60e6, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	idle := make(map[string][]net.Conn)
	start := time.Now()
	for i := range r.plan.Arrivals {
		a := &r.plan.Arrivals[i]
		time.Sleep(time.Until(start.Add(a.At)))
		if ctx.Err() != nil {
			break
		}
		id := uint64(i + 1)
		r.book.Add(id, stock.ClientRequest{Method: http.MethodGet, Class: a.Class, Sum: record.Sum(nil), Work: a.Work, Answer: sized.Traffic.AnswerBytes})
		addr := r.addr(a.Sidecar)
		wg.Go(func() {
			mu.Lock()
			var c net.Conn
			if n := len(idle[addr]); n > 0 {
				c, idle[addr] = idle[addr][n-1], idle[addr][:n-1]
			}
			mu.Unlock()
			if c == nil {
				var err error
				if c, err = net.DialTimeout("tcp4", addr, time.Second); err != nil {
					return
				}
			}
			fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %016x\r\n\r\n", id)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				c.Close()
				return
			}
			_, err = io.Copy(io.Discard, resp.Body)
			took := time.Since(start.Add(a.At))
			mu.Lock()
			defer mu.Unlock()
			if err == nil && a.At >= sized.WarmUp.Duration() {
				_ = h.RecordValue(took.Microseconds()) // over a minute: not here
			}
			idle[addr] = append(idle[addr], c)
		})
	}
	wg.Wait()
	for _, conns := range idle {
		for _, c := range conns {
			c.Close()
		}
	}
	return h, ctx.Err()
}

// PrintOverhead writes the three ways as a table.
func PrintOverhead(w io.Writer, ways []Overhead) {
	fmt.Fprintf(w, "%-20s %9s %12s %12s   (beyond the servers' own work)\n", "asked by", "requests", "p50 ms", "p99 ms")
	for _, o := range ways {
		fmt.Fprintf(w, "%-20s %9d %12.3f %12.3f\n", o.Path, o.Requests, o.P50, o.P99)
	}
}
