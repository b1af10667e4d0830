package model

// This file is the baseline that a simulation compares with: sidecars count failures, and a leader sums their counters.

type baselineSidecar struct {
	stopped bool
	failed  int64
}

type baselineService struct {
	sums    []int64 // as last reported, by sidecar
	stopped bool
}

// attemptBaseline is an attempt to the canary in the baseline.
func (s *simulation) attemptBaseline(sidecar *simSidecar, outcome float64, takes int64) {
	if sidecar.baseline.stopped {
		return
	}
	s.result.BaselineLastAttempt = s.now
	s.after(takes, func() {
		if outcome >= s.CanaryFailureRate {
			return
		}
		sidecar.baseline.failed++
		s.result.BaselineFailures++
		if s.result.BaselineFailures == s.Budget {
			s.result.BaselineLastUnit = s.now
		}
	})
}

// scheduleBaselineReport has a sidecar report its counter in each interval.
func (s *simulation) scheduleBaselineReport(i int) {
	s.after(1+s.rng.Int64N(s.ReportInterval), func() {
		s.every(s.ReportInterval, func() {
			failed := s.sidecars[i].baseline.failed
			s.send(func() { s.baseline.sums[i] = max(s.baseline.sums[i], failed) })
		})
	})
}

// checkBaseline stops the sidecars once the sum of their counters has reached the budget.
func (s *simulation) checkBaseline() {
	total := int64(0)
	for _, failed := range s.baseline.sums {
		total += failed
	}
	if total < s.Budget || s.baseline.stopped {
		return
	}
	s.baseline.stopped = true
	for _, sidecar := range s.sidecars {
		s.after(s.CommitTime+s.randomTime(s.MeanLatency), func() { sidecar.baseline.stopped = true })
	}
}
