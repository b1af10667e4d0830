package rollouts

import (
	"math"
	"slices"
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/report"
)

// firstPermissionTime is the time that sidecars may take after the first table to request their first permission.
const firstPermissionTime = time.Second

// Result computes the outcome of the rollouts from the records and the verdict of the invariants.
func (d *Driver) Result(all []record.Event, facts *invariant.Routes, v *invariant.Verdict) *report.RoutesResult {
	result := &report.RoutesResult{AuditAnswers: d.auditQueries, Verdicts: map[string]int{}, Revisions: len(d.revisions), Missed: d.failures}
	for _, a := range d.auditAnswers {
		result.Verdicts[string(a.Verdict)]++
	}
	for i := range d.run.Scenario.Rollouts {
		p := &d.run.Scenario.Rollouts[i]
		one := report.RolloutResult{Name: p.Name, Tenant: p.Tenant, Phase: d.finalPhases[i], Step: d.rolloutViews[i].Step, Reason: d.rolloutViews[i].Why, Budget: p.Budget, Spent: d.rolloutViews[i].Spent}
		if d.rejections[i] != "" {
			one.Phase, one.Reason = "refused", d.rejections[i]
		}
		if i < len(v.Failures) {
			one.Failures = v.Failures[i]
		}
		result.Rollouts = append(result.Rollouts, one)
	}
	d.countFractions(result, all, facts)
	return result
}

// publishedStep is a step of a rollout with the canary fraction that a table published for it.
type publishedStep struct {
	rollout, step int
	fraction      float64
}

// fractionCount counts the first attempts of requests by the canary fractions of their revision.
type fractionCount struct {
	published map[int64][]publishedStep // by revision
	running   map[int]invariant.Span    // by tenant: the span in which a rollout is running
	closed    int64
}

// countFractions adds the measured canary fraction of each step to the result, and the fraction of held attempts.
func (d *Driver) countFractions(result *report.RoutesResult, events []record.Event, facts *invariant.Routes) {
	counter := &fractionCount{published: map[int64][]publishedStep{}, running: map[int]invariant.Span{}}
	counter.readTables(events, facts)
	result.Closed = max(result.Closed, counter.closed)
	result.UnleasedFraction = d.heldFraction(counter.running, events)
	sums := map[publishedStep]*report.StepFraction{}
	counted := map[uint64]bool{} // requests whose first attempt was counted
	for i := range events {
		e := &events[i]
		if e.Kind != record.FirstByte || counted[e.Request] {
			continue
		}
		counted[e.Request] = true
		for _, step := range counter.published[e.Rev] {
			if r := &facts.Rollouts[step.rollout]; r.Tenant == int(e.Tenant) && r.Classes[e.Class] {
				addAttempt(sums, step, e.Canary)
				if e.Canary {
					result.Rollouts[step.rollout].CanaryAttempts++
				}
			}
		}
	}
	for t, fraction := range sums {
		fraction.Measured /= float64(fraction.Attempts)
		r := &result.Rollouts[t.rollout]
		r.Steps = append(r.Steps, *fraction)
		slices.SortFunc(r.Steps, func(a, b report.StepFraction) int { return a.Step - b.Step })
	}
}

// addAttempt counts an attempt for its step, with the first fraction published for the step.
func addAttempt(sums map[publishedStep]*report.StepFraction, t publishedStep, canary bool) {
	key := publishedStep{rollout: t.rollout, step: t.step}
	s := sums[key]
	if s == nil {
		s = &report.StepFraction{Step: t.step, Fraction: t.fraction}
		sums[key] = s
	}
	s.Attempts++
	if canary {
		s.Measured++
	}
}

// readTables reads the fractions published with each revision and the span in which each tenant's rollouts were
// running.
func (c *fractionCount) readTables(events []record.Event, facts *invariant.Routes) {
	for i := range events {
		switch e := &events[i]; e.Kind {
		case record.RevisionClosed:
			c.closed = max(c.closed, e.Rev)
		case record.RolloutFraction:
			if e.Work <= 0 {
				continue
			}
			tenant := facts.Rollouts[e.Status].Tenant
			if _, ok := c.running[tenant]; !ok {
				c.running[tenant] = invariant.Span{From: e.T + firstPermissionTime, To: math.MaxInt64}
			}
			if t := (publishedStep{int(e.Status), int(e.Attempt), e.Work}); !slices.Contains(c.published[e.Rev], t) {
				c.published[e.Rev] = append(c.published[e.Rev], t)
			}
		case record.RolloutPhase:
			tenant := facts.Rollouts[e.Status].Tenant
			if s, ok := c.running[tenant]; ok && e.Note != "running" {
				c.running[tenant] = invariant.Span{From: s.From, To: min(s.To, e.T)}
			}
		}
	}
}

// heldFraction returns the fraction of attempts sent without permission while a rollout of their tenant was running.
func (d *Driver) heldFraction(running map[int]invariant.Span, events []record.Event) float64 {
	held, attempts := 0, 0
	for i := range events {
		e := &events[i]
		span, ok := running[int(e.Tenant)]
		if e.Kind != record.FirstByte || !ok || e.T < span.From || span.To < e.T || d.run.Scenario.RunsOlderProgram(int(e.Sidecar)) {
			continue
		}
		if attempts++; e.Rev == 0 {
			held++
		}
	}
	if attempts == 0 {
		return 0
	}
	return float64(held) / float64(attempts)
}
