package requestcost

// This file has the servers, the clients and the processor clock of the measured sidecars.

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// processCPU returns the processor time that a process has used so far, from its CPU clock: /proc rounds to ticks of 10 ms.
func processCPU(pid int) (time.Duration, error) {
	const cpuClockSched = 2 // CPUCLOCK_SCHED of a process, as clock_getcpuclockid makes it
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|cpuClockSched), &t); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// server answers each request at once.
type server struct {
	addr             string
	inSubset         bool
	received, routed atomic.Int64
	http             *http.Server
	done             chan struct{}
}

func startServer(inSubset bool) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	s := &server{addr: l.Addr().String(), inSubset: inSubset, done: make(chan struct{})}
	body := []byte(strings.Repeat("x", 256))
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.received.Add(1)
		if r.Header.Get("X-Route-Rev") != "" {
			s.routed.Add(1)
		}
		_, _ = w.Write(body) // fails if the sidecar has ended
	})}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // until it is closed
	}()
	return s, nil
}

func (s *server) close() {
	s.http.Close()
	<-s.done
}
