package lab

// This file is the report of a run and its outcome.

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/measure"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simulate"
)

// Report is what came of a run.
type Report struct {
	Scenario string             `json:"scenario"`
	Title    string             `json:"title"`
	Seed     uint64             `json:"seed"`
	Sidecars int                `json:"sidecars"`
	Servers  int                `json:"servers"`
	Rate     float64            `json:"rate_per_s"`
	LengthS  float64            `json:"length_s"`
	Result   *measure.Result    `json:"result"`
	Verdict  *invariant.Verdict `json:"rules"`
	Missed   []string           `json:"missed"` // expectations that were not met
	Lateness Lateness           `json:"lateness"`
	Events   int                `json:"events"`
	Registry *RegistryResult    `json:"registry,omitempty"` // of a run of the list service
	Routes   *RoutesResult      `json:"routes,omitempty"`
	Members  *MembersResult     `json:"members,omitempty"`
	// ZoneFaults tell how zones were left and came back; of simulated runs, where each send is seen.
	ZoneFaults []simulate.ZoneFault `json:"zone_faults,omitempty"`
}

// Lateness is how well the lab kept its own times.
type Lateness struct {
	P99MS  float64 `json:"p99_ms"` // of arrivals behind their plan
	MaxMS  float64 `json:"max_ms"`
	LagMS  float64 `json:"lag_p99_ms"` // of a timer of the lab's process
	TooBig bool    `json:"too_big"`
}

// Outcome is how the run ended, with the reason.
func (r *Report) Outcome() (end, reason string) {
	if r.Lateness.TooBig {
		return Late, fmt.Sprintf("the lab could not keep its times (arrivals %.0f ms late at the 99th percentile, %.0f ms at most; timers %.0f ms), so the run does not count",
			r.Lateness.P99MS, r.Lateness.MaxMS, r.Lateness.LagMS)
	}
	var reasons []string
	for _, rule := range r.Verdict.Broken() {
		reasons = append(reasons, fmt.Sprintf("rule %s broken %d times", rule, r.Verdict.Counts[rule]))
	}
	reasons = append(reasons, r.Missed...)
	if len(reasons) > 0 {
		return Fail, strings.Join(reasons, "; ")
	}
	return Pass, ""
}

// newReport measures a run by its records and holds it to the rules; routes is nil where there are none, stalls are the times
// in which the lab got no processor time, and starved those in which sidecars' threads waited for it.
func newReport(p *scenario.Plan, all []record.Event, worked float64, routes *invariant.Routes, stalls []invariant.Span,
	starved []invariant.Starvation) *Report {
	s := p.Scenario
	facts := invariant.Facts{
		MaxAttempts: s.Rules.MaxAttempts, DrainGrace: s.Rules.DrainGrace.Duration(),
		MemoryMB: s.Sidecars.MemoryMB, Sockets: s.Sidecars.MaxSockets, ServiceAfterTerm: scenario.ServiceAfterTerm,
		Routes: routes, Latency: p.MaxLatency(), HeldBack: heldBack(p), Stalls: stalls, Starvation: starved, ReadyWithin: s.Rules.ReadyWithin.Duration(),
		SlowStart: coldStart(p),
	}
	for _, c := range s.Classes {
		facts.NonIdempotent = append(facts.NonIdempotent, c.Effect == scenario.EffectNonIdempotent)
	}
	return &Report{
		Scenario: s.Name, Title: s.Title, Seed: p.Seed, Sidecars: len(p.Sidecars), Servers: s.Servers.Count,
		Rate: p.Rate, LengthS: s.Length.Duration().Seconds(), Events: len(all),
		Result: measure.Compute(p, all, worked), Verdict: invariant.Check(all, facts),
	}
}

func (r *run) report(all []record.Event, worked float64, lates, lag []time.Duration, stalls []invariant.Span,
	starved []invariant.Starvation) *Report {
	var routes *invariant.Routes
	if o := r.rollouts.Load(); o != nil {
		routes = o.facts()
	}
	rep := newReport(r.plan, all, worked, routes, stalls, starved)
	if r.members != nil { // before the rules of routes ask which were held to some case
		facts := r.members.facts()
		invariant.CheckMembers(all, facts, rep.Verdict)
		rep.Members = membersResult(all, facts, r.s)
	}
	if o := r.rollouts.Load(); o != nil {
		rep.Routes = o.result(all, routes, rep.Verdict)
	}
	quantile := func(d []time.Duration, q float64) time.Duration {
		if len(d) == 0 {
			return 0
		}
		d = slices.Clone(d)
		slices.Sort(d)
		return d[int(math.Ceil(q*float64(len(d)-1)))]
	}
	p99, most, lagP99 := quantile(lates, 0.99), quantile(lates, 1), quantile(lag, 0.99)
	inMS := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	rep.Lateness = Lateness{P99MS: inMS(p99), MaxMS: inMS(most), LagMS: inMS(lagP99),
		TooBig: p99 > lateP99 || most > lateMax || lagP99 > lateP99}
	if r.service != nil {
		r.service.rr.addTo(rep.Verdict)
	}
	rep.Missed = append(missed(&r.s.Expect, rep), missedRoutes(r.s, rep)...)
	if r.members != nil {
		rep.Missed = append(rep.Missed, rep.Members.missed(&r.s.Expect)...)
	}
	return rep
}

// missed compares what came out with what was expected.
func missed(e *scenario.Expect, r *Report) []string {
	var out []string
	f := &r.Result.Figures
	least := func(name string, want *float64, got float64) {
		if want != nil && got < *want {
			out = append(out, fmt.Sprintf("%s is %.3f, expected at least %.3f", name, got, *want))
		}
	}
	most := func(name string, want *float64, got float64) {
		if want != nil && got > *want {
			out = append(out, fmt.Sprintf("%s is %.3f, expected at most %.3f", name, got, *want))
		}
	}
	least("in_aim", e.InObjective, f.InObjective)
	least("worst_in_aim", e.WorstInObjective, f.WorstInObjective)
	most("refused", e.Rejected, f.Rejected)
	most("failed", e.Failed, f.Failed)
	most("attempts", e.Attempts, f.ServerAttempts)
	most("cross_zone", e.CrossZone, f.CrossZone)
	most("waste", e.WastedWork, f.Waste)
	if e.P99 != nil {
		want := e.P99.Milliseconds()
		most("p99 (ms)", &want, f.P99)
	}
	for _, p := range r.Result.Sidecars {
		most("memory_growth of "+p.Name, e.MemoryGrowth, p.RSSGrowth)
	}
	return out
}
