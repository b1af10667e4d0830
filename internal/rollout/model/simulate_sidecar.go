package model

// This file models the sidecars of a simulation, with their reports, budget requests and routed requests.

import "marblelane/internal/route"

// simSidecar is one sidecar. It keeps its identity when its process restarts.
type simSidecar struct {
	Sidecar
	budgetRequestedAt int64            // time of the last budget request
	revisionCounts    []revisionCounts // counts per revision, newest revision last
	baseline          baselineSidecar
}

// revisionCounts holds the numbers of a sidecar's attempts under one revision.
type revisionCounts struct {
	rev          int64
	canary, base outcomeCounts
}

type outcomeCounts struct{ ended, failed int64 }

func (c *outcomeCounts) add(failed bool) {
	c.ended++
	if failed {
		c.failed++
	}
}

// startPeriodicRequests starts the periodic reports and budget requests of a process. Each begins at a random point of
// its interval, which spreads the messages of a fleet.
func (s *simulation) startPeriodicRequests(sidecar *simSidecar) {
	start := sidecar.Start
	var report, requestBudget func()
	report = func() {
		if sidecar.Start == start {
			s.sendReport(sidecar)
			s.scheduleAfter(s.ReportInterval, report)
		}
	}
	requestBudget = func() {
		if sidecar.Start == start {
			s.requestUnits(sidecar)
			s.scheduleAfter(s.BudgetInterval, requestBudget)
		}
	}
	s.scheduleAfter(1+s.rng.Int64N(s.ReportInterval), report)
	s.scheduleAfter(1+s.rng.Int64N(s.BudgetInterval), requestBudget)
	s.sendTable(sidecar)
}

// kill restarts a random sidecar. The new process has no table, lease, budget or counts.
func (s *simulation) kill() {
	sidecar := s.sidecars[s.rng.IntN(len(s.sidecars))]
	sidecar.Sidecar = newSimProcess(sidecar.Name, sidecar.Start+1)
	sidecar.revisionCounts = nil
	s.startPeriodicRequests(sidecar)
}

func (s *simulation) scheduleRequest(sidecar *simSidecar) {
	s.scheduleAfter(1+int64(s.rng.ExpFloat64()*1000/s.RequestRate), func() {
		s.attempt(sidecar)
		s.scheduleRequest(sidecar)
	})
}

// attempt simulates one request, here and in the baseline. Both use the same random target and the same random outcome,
// so that their results are comparable.
func (s *simulation) attempt(sidecar *simSidecar) {
	targetSample, outcomeSample, duration := s.rng.Float64(), s.rng.Float64(), s.randomTime(s.MeanAttemptTime)
	picksCanary := targetSample < s.canaryFraction
	if picksCanary {
		s.attemptBaseline(sidecar, outcomeSample, duration)
	}
	canary := false
	if sidecar.MayUseCanary(s.now) {
		s.leasedRequests++
		canary = picksCanary && sidecar.Budget.Reserve()
		if picksCanary && !canary {
			s.requestUnitsEarly(sidecar)
		}
	}
	if canary {
		s.result.Attempts++
		s.result.LastAttempt = s.now
	}
	rev, start := int64(0), sidecar.Start
	if s.now < sidecar.LeaseUntil {
		rev = sidecar.TableRev
	}
	s.scheduleAfter(duration, func() { s.endAttempt(sidecar, start, rev, canary, outcomeSample) })
}

// endAttempt records the outcome of an attempt under the revision rev. The parameter start identifies the process that
// made the attempt.
func (s *simulation) endAttempt(sidecar *simSidecar, start, rev int64, canary bool, outcomeSample float64) {
	failed := outcomeSample < s.BaseFailureRate
	if canary {
		failed = outcomeSample < s.CanaryFailureRate
		if failed {
			s.countFailure()
		}
	}
	if sidecar.Start != start {
		return // The process was killed. The simulation has counted the failure, but the sidecar cannot.
	}
	if canary {
		sidecar.Budget.Settle(failed)
	}
	sidecar.addCount(rev, canary, failed)
}

func (s *simulation) countFailure() {
	s.result.Failures++
	if s.result.Failures == s.Budget {
		s.result.LastUnitSpent = s.now
	}
}

// addCount counts an attempt under a revision. It ignores attempts made without a lease, whose rev is 0.
func (n *simSidecar) addCount(rev int64, canary, failed bool) {
	if rev == 0 {
		return
	}
	if len(n.revisionCounts) == 0 || n.revisionCounts[len(n.revisionCounts)-1].rev < rev {
		n.revisionCounts = append(n.revisionCounts, revisionCounts{rev: rev})
	}
	for i := range n.revisionCounts {
		counts := &n.revisionCounts[i]
		switch {
		case counts.rev != rev:
		case canary:
			counts.canary.add(failed)
		default:
			counts.base.add(failed)
		}
	}
}

// reportCounts returns the counts for a load report.
func (n *simSidecar) reportCounts() []route.Count {
	var counts []route.Count
	for _, c := range n.revisionCounts {
		counts = append(counts, c.canary.routeCount(c.rev, true), c.base.routeCount(c.rev, false))
	}
	return counts
}

func (c outcomeCounts) routeCount(rev int64, canary bool) route.Count {
	return route.Count{Rev: rev, Tenant: simTenant, Canary: canary, Started: c.ended, Ended: c.ended, Failed: c.failed}
}

func (s *simulation) sendReport(sidecar *simSidecar) {
	sentAt, report := s.now, sidecar.NextReport(sidecar.reportCounts())
	s.send(func() {
		if s.service.controller == nil {
			return
		}
		s.result.Reports++
		response := s.service.controller.Report(s.now, s.service.state, &report)
		table := s.service.state.Table()
		s.sendTo(sidecar, report.Start, func() {
			sidecar.ApplyReportResponse(sentAt, &response)
			if response.Resync {
				sidecar.ApplyTable(&table)
				s.recordCanaryStopped()
			}
		})
	})
}

// requestUnitsEarly sends a budget request before the interval has passed, for a sidecar without a free unit. It does
// nothing if the last request is less than BatchTime old.
func (s *simulation) requestUnitsEarly(sidecar *simSidecar) {
	if s.now-sidecar.budgetRequestedAt >= max(s.BatchTime, 1) {
		s.requestUnits(sidecar)
	}
}

func (s *simulation) requestUnits(sidecar *simSidecar) {
	sidecar.budgetRequestedAt = s.now
	request := sidecar.BudgetRequest(s.WantedUnits)
	s.send(func() { s.receiveBudgetRequest(sidecar, request) })
}
