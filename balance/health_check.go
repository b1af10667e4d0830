package balance

import (
	"math"
	"slices"
)

const (
	// Limit of the cost of one request's health checks, in the unit of Config.Prices.
	maxHealthCheckCost = 0.03
	// Fraction of the latency objective for which a load report is valid, and for which requests wait for
	// one.
	reportValidity = 0.05
	allBusyChance  = 0.01 // accepted probability that all servers checked are busy
)

// healthChecker decides which servers are health-checked, and records load reports.
type healthChecker struct {
	*shared
	outliers     *outlierDetector
	busyFraction float64    // mean fraction of load reports in which a server had requests in flight
	waiting      []*request // requests that wait for health checks before their first attempt
}

// healthReport holds the results of a server's health checks and its last load report.
type healthReport struct {
	checkPending    bool
	reportedLoad    float64      // requests in flight in the last load report
	reportedAt      milliseconds // 0: there was no report
	sentSinceReport float64      // attempts of this process since the last report
}

// checkCandidates health-checks the servers that are next in the rotation before a first attempt, if
// servers report their load only in health checks. With n checks, all of them are busy with the
// probability busyFraction^n. n is chosen so that this is rare, within the allowed cost.
func (h *healthChecker) checkCandidates(r *request, eligible func(*request, *server) bool) {
	if !h.cfg.HealthChecks || h.cfg.Reports != ReportHealthCheck {
		return
	}
	count := math.Ceil(math.Log(allBusyChance) / math.Log(bound(h.busyFraction, 0.01, 0.99)))
	count = math.Min(count, maxHealthCheckCost/math.Max(h.cfg.Prices.HealthCheck, 1e-3))
	for len(r.healthChecked) < int(count) {
		var next *server
		for _, s := range h.servers {
			available := eligible(r, s) && !h.outliers.ejected(s) && !slices.Contains(r.healthChecked, s)
			if available && (next == nil || s.currentWeight > next.currentWeight) {
				next = s
			}
		}
		if next == nil {
			break
		}
		r.healthChecked = append(r.healthChecked, next)
		h.check(next)
		r.healthChecksUntil = h.now + reportValidity*r.class.LatencyObjective
	}
	if len(r.healthChecked) > 0 {
		h.waiting = append(h.waiting, r)
	}
}

// check starts a health check of a server, unless one is pending.
func (h *healthChecker) check(s *server) {
	if !s.checkPending {
		s.checkPending = true
		h.emit(Action{Kind: HealthCheck, Server: s.ID})
	}
}

// onResult records the result of a health check. It reports whether the server is known; only then can
// requests be waiting for the result.
func (h *healthChecker) onResult(ev HealthCheckResult) bool {
	s := h.byID[ev.Server]
	if s == nil {
		return false
	}
	s.checkPending = false
	switch {
	case ev.Result == LocalFailure:
	case ev.Result != OK: // it cannot be reached, but its process may run
		h.outliers.eject(s)
		s.healthCheckFailed = true
	default:
		h.recordReport(s, ev.Report)
		if s.healthCheckFailed {
			s.healthCheckFailed, s.consecutiveEjections, s.ejectedUntil = false, 0, 0
		}
	}
	return true
}

// recordReport records a load report and returns the expected wait at the server: queue length times
// service time.
func (h *healthChecker) recordReport(s *server, report []float32) milliseconds {
	queue, serviceTime := 0.0, 0.0
	for i, f := range h.cfg.Fields {
		if i >= len(report) {
			continue
		}
		switch v := float64(report[i]); f {
		case FieldInFlight:
			s.reportedLoad, s.reportedAt, s.sentSinceReport = v, h.now, 0
			h.busyFraction += (math.Min(s.reportedLoad, 1) - h.busyFraction) / meanWindow
		case FieldQueue:
			queue = v
		case FieldLatency:
			serviceTime = v
		}
	}
	return queue * serviceTime
}

// hasFreshReport reports whether the last load report of a server is still valid.
func (h *healthChecker) hasFreshReport(s *server) bool {
	return s.reportedAt > 0 && h.now-s.reportedAt <= reportValidity*h.maxObjective
}

// awaitsCheck reports whether a request still waits for a health check.
func (h *healthChecker) awaitsCheck(r *request) bool {
	for _, s := range r.healthChecked {
		if s.checkPending && h.now < r.healthChecksUntil {
			return true
		}
	}
	r.healthChecksUntil = 0
	return false
}

// advanceWaiting calls advance for each waiting request, and keeps those that have to wait further.
func (h *healthChecker) advanceWaiting(advance func(*request)) {
	requests := h.waiting
	h.waiting = requests[:0]
	for _, r := range requests {
		advance(r)
		if r.state != requestDone && r.healthChecksUntil > h.now {
			h.waiting = append(h.waiting, r)
		}
	}
}
