package model

// This file models the baseline that a simulation compares with. Its sidecars count failures without reserving units,
// and a leader sums the reported counters.

type baselineSidecar struct {
	stopped  bool
	failures int64
}

type baselineService struct {
	reportedFailures []int64 // last reported failure counter of each sidecar
	stopped          bool
}

// attemptBaseline simulates an attempt to the canary in the baseline, unless the sidecar has stopped using the canary.
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

// scheduleBaselineReport schedules the periodic reports of sidecar i. The first one starts at a random point.
func (s *simulation) scheduleBaselineReport(i int) {
	s.scheduleAfter(1+s.rng.Int64N(s.ReportInterval), func() {
		s.scheduleEvery(s.ReportInterval, func() {
			failed := s.sidecars[i].baseline.failures
			s.send(func() { s.baseline.reportedFailures[i] = max(s.baseline.reportedFailures[i], failed) })
		})
	})
}

// stopSpentBaseline notifies all sidecars to stop using the canary once the sum of the reported failures reaches the
// budget.
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
