package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/harness"
)

// Tenant is the tenant ID of all requests that a Load sends.
const Tenant = "cost"

// Load sends requests to a sidecar over persistent connections.
type Load struct {
	addr  string
	class string
	rate  float64        // requests per second over all connections; 0: closed loop
	ids   *atomic.Uint64 // last request ID
	conns []*conn        // open connections; nil: not connected
}

// NewLoad returns a load of one class at a rate of requests per second over all connections. At rate 0 it is a closed
// loop: each connection sends the next request after the response to the previous one. Request IDs come from ids.
func NewLoad(addr, class string, rate float64, connections int, ids *atomic.Uint64) *Load {
	return &Load{addr: addr, class: class, rate: rate, ids: ids, conns: make([]*conn, connections)}
}

// conn is a persistent connection to the sidecar.
type conn struct {
	net.Conn
	in *bufio.Reader
}

// LoadResult is the outcome of the requests that a Load sent.
type LoadResult struct {
	Sent, Failed  int64         // numbers of requests
	FailureReason string        // error text of one failed request; empty if none failed
	Duration      time.Duration // time until the last response
}

// Drive sends requests for a duration and waits for the last responses. An error means that a connection failed to
// open or that ctx ended.
func (l *Load) Drive(ctx context.Context, length time.Duration) (LoadResult, error) {
	start := time.Now()
	results := make([]LoadResult, len(l.conns))
	errs := make([]error, len(l.conns))
	var wg sync.WaitGroup
	for i := range l.conns {
		wg.Go(func() { results[i], errs[i] = l.driveConnection(ctx, i, start, length) })
	}
	wg.Wait()
	total := LoadResult{Duration: time.Since(start)}
	for _, p := range results {
		total.Sent, total.Failed = total.Sent+p.Sent, total.Failed+p.Failed
		if p.FailureReason != "" {
			total.FailureReason = p.FailureReason
		}
	}
	return total, errors.Join(append(errs, ctx.Err())...)
}

// driveConnection sends requests over one connection. In the closed loop each request follows the response to the
// previous one. At a rate, connection i of n sends every n-th request when it is due, or after the response to the
// previous request if that is later.
func (l *Load) driveConnection(ctx context.Context, i int, start time.Time, length time.Duration) (result LoadResult, err error) {
	for k := 0; ctx.Err() == nil; k++ {
		if l.rate > 0 {
			due := time.Duration(float64(i+k*len(l.conns)) / l.rate * float64(time.Second))
			if due >= length || !harness.Sleep(ctx, time.Until(start.Add(due))) {
				return result, nil
			}
		}
		if time.Since(start) >= length {
			return result, nil
		}
		if l.conns[i] == nil {
			c, err := net.DialTimeout("tcp4", l.addr, time.Second)
			if err != nil {
				return result, err
			}
			l.conns[i] = &conn{Conn: c, in: bufio.NewReader(c)}
		}
		result.Sent++
		if reason := l.sendRequest(i); reason != "" {
			result.Failed, result.FailureReason = result.Failed+1, reason
		}
	}
	return result, nil
}

// sendRequest sends a request over connection i and reads the response. It returns the reason of a failure, or an
// empty string if the request succeeded.
func (l *Load) sendRequest(i int) (reason string) {
	c := l.conns[i]
	keepOpen := false
	defer func() {
		if !keepOpen {
			c.Close()
			l.conns[i] = nil
		}
	}()
	id := l.ids.Add(1)
	head := fmt.Appendf(nil,
		"GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %016x\r\nX-Priority-Class: %s\r\nX-Tenant-Id: %s\r\n"+
			"X-Timeout-Ms: 2000\r\nX-Route-Key: %x\r\n\r\n", id, l.class, Tenant, id)
	_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // fails only on a closed connection; then the write fails, too
	if _, err := c.Write(head); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error()
	}
	keepOpen = !resp.Close
	if resp.StatusCode != http.StatusOK {
		return resp.Status
	}
	return ""
}

// Close closes the connections.
func (l *Load) Close() {
	for _, c := range l.conns {
		if c != nil {
			c.Close()
		}
	}
}
