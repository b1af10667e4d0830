package lab

// This file is what stands around the sidecars whose cost is measured: servers, clients and a clock.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// cpuOf is the processor time that a process has taken so far. The clock is the kernel's own sum, to the nanosecond;
// /proc rounds it to ticks of 10 ms, a percent and more of what is measured here.
func processCPU(pid int) (time.Duration, error) {
	const cpuClockSched = 2 // CPUCLOCK_SCHED of a process, as clock_getcpuclockid makes it
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|cpuClockSched), &t); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// costServer answers at once.
type costServer struct {
	addr             string
	inSubset         bool
	received, routed atomic.Int64
	srv              *http.Server
	done             chan struct{}
}

func startCostServer(inSubset bool) (*costServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	s := &costServer{addr: l.Addr().String(), inSubset: inSubset, done: make(chan struct{})}
	answer := []byte(strings.Repeat("x", 256))
	s.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.received.Add(1)
		if r.Header.Get("X-Route-Rev") != "" {
			s.routed.Add(1)
		}
		_, _ = w.Write(answer) // a sidecar that has ended reads it no more
	})}
	go func() {
		defer close(s.done)
		_ = s.srv.Serve(l) // until it is closed
	}()
	return s, nil
}

func (s *costServer) close() {
	s.srv.Close()
	<-s.done
}

// costLoad drives a sidecar over connections that are kept.
type costLoad struct {
	addr, class string
	rate        float64
	ids         *atomic.Uint64
	conns       []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// driven is what a drive came to.
type driveResult struct {
	sent, failed int64
	reason       string // of a failure
	took         time.Duration
}

// drive sends requests for so long and waits for the last answers. An error means that it could not connect.
func (l *costLoad) drive(ctx context.Context, length time.Duration) (driveResult, error) {
	began := time.Now()
	parts := make([]driveResult, len(l.conns))
	errs := make([]error, len(l.conns))
	var wg sync.WaitGroup
	for i := range l.conns {
		wg.Go(func() { parts[i], errs[i] = l.driveConnection(ctx, i, began, length) })
	}
	wg.Wait()
	all := driveResult{took: time.Since(began)}
	for _, p := range parts {
		all.sent, all.failed = all.sent+p.sent, all.failed+p.failed
		if p.reason != "" {
			all.reason = p.reason
		}
	}
	return all, errors.Join(append(errs, ctx.Err())...)
}

// one drives a connection: as fast as it answers, or with every n-th of the requests of the rate, each at its time
// or as soon after it as the one before has its answer.
func (l *costLoad) driveConnection(ctx context.Context, i int, began time.Time, length time.Duration) (d driveResult, err error) {
	for k := 0; ctx.Err() == nil; k++ {
		if l.rate > 0 {
			due := time.Duration(float64(i+k*len(l.conns)) / l.rate * float64(time.Second))
			if due >= length || !sleep(ctx, time.Until(began.Add(due))) {
				return d, nil
			}
		}
		if time.Since(began) >= length {
			return d, nil
		}
		if l.conns[i] == nil {
			c, err := net.DialTimeout("tcp4", l.addr, time.Second)
			if err != nil {
				return d, err
			}
			l.conns[i] = &clientConn{Conn: c, in: bufio.NewReader(c)}
		}
		d.sent++
		if reason := l.sendRequest(i); reason != "" {
			d.failed, d.reason = d.failed+1, reason
		}
	}
	return d, nil
}

// ask sends a request and reads its answer. It gives the reason why it failed; empty: it did not.
func (l *costLoad) sendRequest(i int) (reason string) {
	c := l.conns[i]
	keep := false
	defer func() {
		if !keep {
			c.Close()
			l.conns[i] = nil
		}
	}()
	id := l.ids.Add(1)
	head := fmt.Appendf(nil,
		"GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %016x\r\nX-Priority-Class: %s\r\nX-Tenant-Id: %s\r\n"+
			"X-Timeout-Ms: 2000\r\nX-Route-Key: %x\r\n\r\n", id, l.class, costTenant, id)
	_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // a closed connection says so below
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
	keep = !resp.Close
	if resp.StatusCode != http.StatusOK {
		return resp.Status
	}
	return ""
}

func (l *costLoad) close() {
	for _, c := range l.conns {
		if c != nil {
			c.Close()
		}
	}
}
