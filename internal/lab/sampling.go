package lab

// This file samples the resource usage of the processes of a run.

import (
	"context"
	"os"
	"time"

	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
)

// sampleInterval is the time between two measurements of the processes.
const sampleInterval = 500 * time.Millisecond

// sampleProcesses records the usage of all processes at each interval until ctx is done.
func (r *run) sampleProcesses(ctx context.Context) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.sampleAll()
		case <-ctx.Done():
			return
		}
	}
}

// sampleAll records the current memory, descriptors and CPU time of the lab and of each sidecar.
func (r *run) sampleAll() {
	addSample := func(sidecar int, cpu float64, pids ...int) {
		e := record.Event{Kind: record.Sample, Sidecar: int32(sidecar), Server: record.None, Class: record.None, Work: cpu}
		for _, pid := range pids {
			u, err := process.Measure(pid)
			if err != nil {
				return // the process has just ended; awaitEnd records the end
			}
			e.N, e.Status, e.Work = e.N+u.RSS, e.Status+int32(u.Descriptors), e.Work+u.CPU
		}
		if len(pids) > 0 {
			r.Events.Add(e)
		}
	}
	addSample(record.None, 0, os.Getpid())
	for i, s := range r.sidecars { // one sample per sidecar: the limits apply to both processes of an upgrade together
		pids, past := s.processes()
		addSample(i, past, pids...)
	}
}
