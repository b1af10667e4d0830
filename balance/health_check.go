package balance

import (
	"math"
	"slices"
)

const (
	maxHealthCheckCost = 0.03 // part of the result that the health checks of a request may cost
	reportValidity     = 0.05 // part of the objective for which a load report is valid, or is waited for
	allBusyChance      = 0.01 // accepted chance that all servers that are checked are busy
)

// healthChecker decides which servers are health-checked, and records load reports.
type healthChecker struct {
	*shared
	outliers *outlierDetector
	busy     float64    // mean part of the reports in which a server had requests in flight
	waiting  []*request // that wait for health checks before their first attempt
}

// healthReport is what health checks and load reports say about a server.
type healthReport struct {
	checkPending    bool
	reportedLoad    float64      // requests in flight at the last load report
	reportedAt      milliseconds // 0: never
	sentSinceReport float64      // attempts of this process since
}

// checkCandidates checks the next servers in turn before a first attempt, where servers report their load
// only to health checks. With n checks all are busy in busy^n of cases; n is so large that this is rare,
// within the cost allowed.
func (h *healthChecker) checkCandidates(r *request, eligible func(*request, *server) bool) {
	if !h.cfg.HealthChecks || h.cfg.Reports != ReportHealthCheck {
		return
	}
	count := math.Ceil(math.Log(allBusyChance) / math.Log(bound(h.busy, 0.01, 0.99)))
	count = math.Min(count, maxHealthCheckCost/math.Max(h.cfg.Prices.HealthCheck, 1e-3))
	for len(r.healthChecked) < int(count) {
		var next *server
		for _, s := range h.servers {
			free := eligible(r, s) && !h.outliers.ejected(s) && !slices.Contains(r.healthChecked, s)
			if free && (next == nil || s.running > next.running) {
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

// check starts a health check, unless one is pending.
func (h *healthChecker) check(s *server) {
	if !s.checkPending {
		s.checkPending = true
		h.emit(Action{Kind: HealthCheck, Server: s.ID})
	}
}

// onResult records the result of a health check and reports whether requests may wait for it.
func (h *healthChecker) onResult(ev HealthCheckResult) bool {
	s := h.byID[ev.Server]
	if s == nil {
		return false
	}
	s.checkPending = false
	switch {
	case ev.Result == LocalFailure:
	case ev.Result != OK: // it cannot be reached, though the process may run
		h.outliers.eject(s)
		s.healthCheckFailed = true
	default:
		h.takeReport(s, ev.Report)
		if s.healthCheckFailed {
			s.healthCheckFailed, s.ejections, s.ejectedUntil = false, 0, 0
		}
	}
	return true
}

// takeReport records a load report and returns the wait that follows from it: queue length times service
// time.
func (h *healthChecker) takeReport(s *server, report []float32) milliseconds {
	queue, serviceTime := 0.0, 0.0
	for i, f := range h.cfg.Fields {
		if i >= len(report) {
			continue
		}
		switch v := float64(report[i]); f {
		case FieldInFlight:
			s.reportedLoad, s.reportedAt, s.sentSinceReport = v, h.now, 0
			h.busy += (math.Min(s.reportedLoad, 1) - h.busy) / meanWindow
		case FieldQueue:
			queue = v
		case FieldLatency:
			serviceTime = v
		}
	}
	return queue * serviceTime
}

// fresh reports whether the last load report of a server is still valid.
func (h *healthChecker) fresh(s *server) bool {
	return s.reportedAt > 0 && h.now-s.reportedAt <= reportValidity*h.maxObjective
}

// holds reports whether a request still waits for a health check.
func (h *healthChecker) holds(r *request) bool {
	for _, s := range r.healthChecked {
		if s.checkPending && h.now < r.healthChecksUntil {
			return true
		}
	}
	r.healthChecksUntil = 0
	return false
}

// advanceWaiting calls advance for the requests that wait, and keeps those that still do.
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
