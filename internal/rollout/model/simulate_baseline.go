package model

// This file is the baseline that a simulation compares with: sidecars count failures, and a leader sums their counters.

type baselineSidecar struct {
	stopped  bool
	failures int64
}

type baselineService struct {
	reportedFailures []int64 // as last reported, by sidecar
	stopped          bool
}

// attemptBaseline is an attempt to the canary in the baseline.
func (s *simulation) attemptBaseline(sidecar *simSidecar, outcomeSample float64, duration int64) {
	if sidecar.baseline.stopped {
		return
	}
	s.result.BaselineLastAttempt = s.now
	s.scheduleAfter(duration, func() {
		if outcomeSample >= s.CanaryFailureRate {
			return
		}
		sidecar.baseline.failures++
		s.result.BaselineFailures++
		if s.result.BaselineFailures == s.Budget {
			s.result.BaselineLastUnit = s.now
		}
	})
}

// scheduleBaselineReport has a sidecar report its counter in each interval.
func (s *simulation) scheduleBaselineReport(i int) {
	s.scheduleAfter(1+s.rng.Int64N(s.ReportInterval), func() {
		s.scheduleEvery(s.ReportInterval, func() {
			failed := s.sidecars[i].baseline.failures
			s.send(func() { s.baseline.reportedFailures[i] = max(s.baseline.reportedFailures[i], failed) })
		})
	})
}

// stopSpentBaseline stops the sidecars once the sum of their counters has reached the budget.
func (s *simulation) stopSpentBaseline() {
	total := int64(0)
	for _, failed := range s.baseline.reportedFailures {
		total += failed
	}
	if total < s.Budget || s.baseline.stopped {
		return
	}
	s.baseline.stopped = true
	for _, sidecar := range s.sidecars {
		s.scheduleAfter(s.CommitTime+s.randomTime(s.MeanLatency), func() { sidecar.baseline.stopped = true })
	}
}
