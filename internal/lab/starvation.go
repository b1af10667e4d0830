package lab

import (
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/process"
)

// minStarvation is the shortest wait for a processor that is kept: on an idle machine there are as long ones.
const minStarvation = time.Millisecond

// starvationSampler measures how long the threads of sidecars wait for a processor. Its samples are taken one after the other.
type starvationSampler struct {
	last  map[int]threadDelays // by process
	found []invariant.Starvation
}

// threadDelays is the run delay of each thread of a process at a time.
type threadDelays struct {
	at     time.Duration
	delays map[int]time.Duration
}

// sample compares the run delays of a sidecar's process with those at its sample before.
func (s *starvationSampler) sample(sidecar, pid int, now func() time.Duration) {
	delays, err := process.ThreadRunDelays(pid)
	if err != nil {
		return // it has just ended
	}
	at := now()
	before, known := s.last[pid]
	if s.last == nil {
		s.last = map[int]threadDelays{}
	}
	s.last[pid] = threadDelays{at, delays}
	if !known {
		return
	}
	maxDelay := time.Duration(0)
	for thread, delay := range delays {
		maxDelay = max(maxDelay, delay-before.delays[thread])
	}
	if maxDelay >= minStarvation {
		s.found = append(s.found, invariant.Starvation{Sidecar: int32(sidecar), From: before.at, To: at, MaxDelay: maxDelay})
	}
}

// since gives what was found on the clock of a run that began at this time of its records.
func (s *starvationSampler) since(start time.Duration) []invariant.Starvation {
	out := make([]invariant.Starvation, len(s.found))
	for i, f := range s.found {
		f.From -= start
		f.To -= start
		out[i] = f
	}
	return out
}
