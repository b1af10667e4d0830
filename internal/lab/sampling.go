package lab

// This file records what the processes of a run use.

import (
	"context"
	"os"
	"time"

	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
)

// sampleInterval is the time between two measurements of the processes.
const sampleInterval = 500 * time.Millisecond

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

// sampleAll records what each process uses now.
func (r *run) sampleAll() {
	addSample := func(sidecar int, cpu float64, pids ...int) {
		e := record.Event{Kind: record.Sample, Sidecar: int32(sidecar), Server: record.None, Class: record.None, Work: cpu}
		for _, pid := range pids {
			u, err := process.Measure(pid)
			if err != nil {
				return // it has just ended, which is recorded elsewhere
			}
			e.N, e.Status, e.Work = e.N+u.RSS, e.Status+int32(u.Descriptors), e.Work+u.CPU
		}
		if len(pids) > 0 {
			r.Events.Add(e)
		}
	}
	addSample(record.None, 0, os.Getpid())
	for i, s := range r.sidecars { // during an upgrade two processes are one sidecar, to its limits too
		pids, past := s.processes()
		addSample(i, past, pids...)
	}
}
