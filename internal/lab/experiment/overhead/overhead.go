// Package overhead measures how much latency the lab's own clients and the sidecars add to a request. It runs a
// scenario in which every request takes the same server time, over three paths in turn: from a plain client directly
// to the stand-in servers, from the lab's clients without sidecars, and from the lab's clients through sidecars. The
// command is `marblelane lab overhead`.
package overhead

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marblelane/internal/lab"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/scenario"
)

// Result is the latency that one request path adds to the servers' processing time, in milliseconds.
type Result struct {
	Path     string  `json:"way"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Requests int     `json:"requests"`
}

// Measure sends requests with a fixed server time over three paths, in one process and in turn: from a plain client to
// the stand-in servers, without recording events; from the lab's clients without sidecars; and from the lab's clients
// through sidecars. The difference between the first two results is the lab's own overhead.
func Measure(ctx context.Context, s *scenario.Scenario, o harness.Options) ([]Result, error) {
	work := s.Classes[0].Work.Milliseconds() / s.Traffic.Speedup / s.Servers.Kinds[0].Speed[0]
	plain, err := measurePlainClient(ctx, s, o)
	if err != nil {
		return nil, fmt.Errorf("overhead: plain client: %w", err)
	}
	results := []Result{{Path: "plain client", Requests: int(plain.TotalCount()),
		P50: float64(plain.ValueAtQuantile(50))/1000 - work, P99: float64(plain.ValueAtQuantile(99))/1000 - work}}
	paths := []struct{ name, program string }{{"the lab's clients", lab.NoProgram}, {"through sidecars", s.Sidecars.Program}}
	for _, path := range paths {
		variant := *s
		variant.Sidecars.Program = path.program
		report, err := lab.Run(ctx, &variant, o)
		if err != nil {
			return nil, fmt.Errorf("overhead: %s: %w", path.name, err)
		}
		f := &report.Result.Figures
		results = append(results, Result{Path: path.name, P50: f.P50 - work, P99: f.P99 - work, Requests: f.Requests})
	}
	return results, nil
}

// measurePlainClient sends the planned requests directly to the stand-in servers over persistent connections. It
// measures each latency from the request's planned time.
func measurePlainClient(ctx context.Context, s *scenario.Scenario, o harness.Options) (*hdrhistogram.Histogram, error) {
	servers, err := lab.StartServers(ctx, s, o)
	if err != nil {
		return nil, err
	}
	defer servers.Close()
	c := &plainClient{start: time.Now(), warmUp: s.WarmUp.Duration(), idle: make(map[string][]net.Conn),
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
	var requests sync.WaitGroup
	for i := range servers.Arrivals() {
		arrival := &servers.Arrivals()[i]
		time.Sleep(time.Until(c.start.Add(arrival.At)))
		if ctx.Err() != nil {
			break
		}
		id := uint64(i + 1)
		addr := servers.Expect(id, arrival)
		requests.Go(func() { c.send(addr, id, arrival.At) })
	}
	requests.Wait()
	c.close()
	return c.latency, ctx.Err()
}

// maxLatency is the longest latency that the histogram records.
const maxLatency = time.Minute

// plainClient sends requests over persistent connections and records their latency.
type plainClient struct {
	start   time.Time     // time from which planned times count
	warmUp  time.Duration // requests planned before the end of this time are not recorded
	mu      sync.Mutex
	idle    map[string][]net.Conn   // connections without a request, by address
	latency *hdrhistogram.Histogram // latencies in microseconds
}

// send sends a request and records its latency since its planned time, which counts from the start. A failed request
// is not recorded.
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
		_ = c.latency.RecordValue(latency.Microseconds()) // fails only above maxLatency, which no request reaches
	}
	c.idle[addr] = append(c.idle[addr], conn)
}

// conn returns an idle connection to an address, or opens one.
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

// close closes the idle connections.
func (c *plainClient) close() {
	for _, conns := range c.idle {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// Print writes the results as a table, one line for each path.
func Print(w io.Writer, paths []Result) {
	fmt.Fprintf(w, "%-20s %9s %12s %12s   (beyond the servers' own work)\n", "asked by", "requests", "p50 ms", "p99 ms")
	for _, result := range paths {
		fmt.Fprintf(w, "%-20s %9d %12.3f %12.3f\n", result.Path, result.Requests, result.P50, result.P99)
	}
}
