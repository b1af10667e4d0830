package report

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

// A run does not count when the lab itself was late: the machine was busy, and what parties did at which time is
// not known well enough to hold it against the sidecars.
const (
	MaxLatenessP99 = 20 * time.Millisecond
	MaxLateness    = 400 * time.Millisecond
)

// The three ends of a run.
const (
	Pass = "PASS"
	Fail = "FAIL"
	Late = "LATE" // it does not count
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
	Registry *RegistryResult    `json:"registry,omitempty"` // of a run of the registry alone
	Routes   *RoutesResult      `json:"routes,omitempty"`
	Members  *MembersResult     `json:"members,omitempty"`
	// ZoneFaults tell how zones were left and came back; of simulated runs, where each send is seen.
	ZoneFaults []simulate.ZoneFault `json:"zone_faults,omitempty"`
}

// Lateness is how well the lab kept its own times.
type Lateness struct {
	P99MS        float64 `json:"p99_ms"` // of arrivals behind their plan
	MaxMS        float64 `json:"max_ms"`
	LagMS        float64 `json:"lag_p99_ms"` // of a timer of the lab's process
	ExceedsLimit bool    `json:"too_big"`
}

// NewLateness sums up how late arrivals were sent, and by how much a timer of the lab's process was late.
func NewLateness(arrivals, timerLag []time.Duration) Lateness {
	p99, worst, lag := quantile(arrivals, 0.99), quantile(arrivals, 1), quantile(timerLag, 0.99)
	return Lateness{P99MS: milliseconds(p99), MaxMS: milliseconds(worst), LagMS: milliseconds(lag),
		ExceedsLimit: p99 > MaxLatenessP99 || worst > MaxLateness || lag > MaxLatenessP99}
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	list = slices.Clone(list)
	slices.Sort(list)
	return list[int(math.Ceil(q*float64(len(list)-1)))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Outcome is how the run ended, with the reason.
func (r *Report) Outcome() (end, reason string) {
	if r.Lateness.ExceedsLimit {
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

// New measures a run by its records and holds it to the rules; routes is nil where there are none, and stalls are the times
// in which the lab got no processor time.
func New(p *scenario.Plan, all []record.Event, worked float64, routes *invariant.Routes, stalls []invariant.Span) *Report {
	s := p.Scenario
	facts := invariant.Facts{
		MaxAttempts: s.Rules.MaxAttempts, DrainGrace: s.Rules.DrainGrace.Duration(),
		MemoryMB: s.Sidecars.MemoryMB, Sockets: s.Sidecars.MaxSockets, ServiceAfterTerm: scenario.ServiceAfterTerm,
		Routes: routes, Latency: p.MaxLatency(), DelayedLinks: delayedLinks(p), Stalls: stalls, ReadyWithin: s.Rules.ReadyWithin.Duration(),
		SlowStart: slowStartLimits(p),
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

// CheckExpectations lists what the scenario expects and the run did not show.
func (r *Report) CheckExpectations(s *scenario.Scenario) {
	r.CheckFigures(&s.Expect)
	r.Missed = append(r.Missed, missedRouteExpectations(s, r)...)
	if r.Members != nil {
		r.Missed = append(r.Missed, r.Members.MissedExpectations(&s.Expect)...)
	}
}

// CheckFigures lists the expected figures that the run did not reach. A simulated run has no others.
func (r *Report) CheckFigures(e *scenario.Expect) { r.Missed = missedFigures(e, r) }

// missedFigures compares the figures of a run with those expected.
func missedFigures(e *scenario.Expect, r *Report) []string {
	var out []string
	f := &r.Result.Figures
	requireMin := func(name string, want *float64, got float64) {
		if want != nil && got < *want {
			out = append(out, fmt.Sprintf("%s is %.3f, expected at least %.3f", name, got, *want))
		}
	}
	requireMax := func(name string, want *float64, got float64) {
		if want != nil && got > *want {
			out = append(out, fmt.Sprintf("%s is %.3f, expected at most %.3f", name, got, *want))
		}
	}
	requireMin("in_aim", e.InObjective, f.InObjective)
	requireMin("worst_in_aim", e.WorstInObjective, f.WorstInObjective)
	requireMax("refused", e.Rejected, f.Rejected)
	requireMax("failed", e.Failed, f.Failed)
	requireMax("attempts", e.Attempts, f.ServerAttempts)
	requireMax("cross_zone", e.CrossZone, f.CrossZone)
	requireMax("waste", e.WastedWork, f.Waste)
	if e.P99 != nil {
		want := e.P99.Milliseconds()
		requireMax("p99 (ms)", &want, f.P99)
	}
	for _, p := range r.Result.Sidecars {
		requireMax("memory_growth of "+p.Name, e.MemoryGrowth, p.RSSGrowth)
	}
	return out
}
