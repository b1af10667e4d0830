package requestcost

// This file has the servers behind the measured sidecars, and reads the CPU clock of processes.

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// processCPU returns the CPU time that a process has used. It reads the process's CPU clock, as /proc rounds to ticks
// of 10 ms.
func processCPU(pid int) (time.Duration, error) {
	const cpuClockSched = 2 // CPUCLOCK_SCHED, as in the clock ids of clock_getcpuclockid
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|cpuClockSched), &t); err != nil {
		return 0, fmt.Errorf("read CPU time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// server responds to each request at once.
type server struct {
	addr             string
	inSubset         bool         // true: the route selects this server
	received, routed atomic.Int64 // requests in this slice, and requests with a route in this slice
	http             *http.Server
	done             chan struct{} // closed when the server has stopped
}

func startServer(inSubset bool) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start server: %w", err)
	}
	s := &server{addr: l.Addr().String(), inSubset: inSubset, done: make(chan struct{})}
	body := []byte(strings.Repeat("x", 256))
	s.http = &http.Server{DisableGeneralOptionsHandler: true, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.received.Add(1)
		if r.Header.Get("X-Route-Rev") != "" {
			s.routed.Add(1)
		}
		_, _ = w.Write(body) // fails if the sidecar has disconnected
	})}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // returns when the server is closed
	}()
	return s, nil
}

func (s *server) close() {
	s.http.Close()
	<-s.done
}
