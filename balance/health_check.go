package balance

// This file decides which servers are health-checked, and what their load reports say.

import "math"

const (
	maxHealthCheckCost = 0.03 // part of the result that probes for each request may cost
	reportValidity     = 0.05 // part of the objective for which a first send waits, and a report is valid
	allBusyChance      = 0.01 // chance that all probed servers are busy, at which no more are probed
)

// probeCandidates asks those next in turn before a first send, where servers tell only when probed: so many
// that hardly ever all are busy, within what it may cost.
func (b *Balancer) checkCandidates(r *request) {
	if !b.cfg.HealthChecks || b.cfg.Reports != ReportHealthCheck {
		return
	}
	fan := math.Ceil(math.Log(allBusyChance) / math.Log(bound(b.busy, 0.01, 0.99)))
	fan = math.Min(fan, maxHealthCheckCost/math.Max(b.cfg.Prices.HealthCheck, 1e-3))
	for len(r.checked) < int(fan) {
		var next *server
		for _, s := range b.servers {
			free := b.eligible(r, s) && !b.ejected(s) && !r.hasChecked(s)
			if free && (next == nil || s.running > next.running) {
				next = s
			}
		}
		if next == nil {
			break
		}
		r.checked = append(r.checked, next)
		b.healthCheck(next)
		r.holdUntil = b.now + reportValidity*r.class.LatencyObjective
	}
	if len(r.checked) > 0 {
		b.waitingForChecks = append(b.waitingForChecks, r)
	}
}

func (b *Balancer) recordHealthCheck(s *server, ev HealthCheckResult) {
	if ev.Result != OK { // out of reach, though the process may run
		b.eject(s)
		s.healthCheckFailed = true
	} else if b.takeLoadReport(s, ev.Report); s.healthCheckFailed {
		s.healthCheckFailed, s.ejections, s.ejectedUntil = false, 0, 0
	}
}

// takeLoadReport takes in a load report and returns the wait that it tells of: what waits, times the service
// time.
func (b *Balancer) takeLoadReport(s *server, report []float32) float64 {
	queue, took := 0.0, 0.0
	for i, f := range b.cfg.Fields {
		if i >= len(report) {
			continue
		}
		switch v := float64(report[i]); f {
		case FieldInFlight:
			s.reported, s.reportedAt, s.sentSince = v, b.now, 0
			b.busy += (math.Min(s.reported, 1) - b.busy) / meanWindow
		case FieldQueue:
			queue = v
		case FieldLatency:
			took = v
		}
	}
	return queue * took
}

// probe asks a server, unless an answer is still to come.
func (b *Balancer) healthCheck(s *server) {
	if !s.checkPending {
		s.checkPending = true
		b.emit(Action{Kind: HealthCheck, Server: s.ID})
	}
}

// stepHeld takes up the requests that wait for probes and keeps those that still do.
func (b *Balancer) advanceWaiting() {
	held := b.waitingForChecks
	b.waitingForChecks = held[:0]
	for _, r := range held {
		b.advance(r)
		if !r.done && r.holdUntil > b.now {
			b.waitingForChecks = append(b.waitingForChecks, r)
		}
	}
}

func (b *Balancer) waitsForChecks(r *request) bool {
	for _, s := range r.checked {
		if s.checkPending && b.now < r.holdUntil { // never for long
			return true
		}
	}
	r.holdUntil = 0
	return false
}

func (b *Balancer) onHealthCheckResult(ev HealthCheckResult) {
	if s := b.byID[ev.Server]; s != nil {
		s.checkPending = false
		if ev.Result != LocalFailure {
			b.recordHealthCheck(s, ev)
		}
		b.advanceWaiting()
	}
}

func (r *request) hasChecked(s *server) bool {
	for _, p := range r.checked {
		if p == s {
			return true
		}
	}
	return false
}
