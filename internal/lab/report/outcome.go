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

// The limits of the lab's own lateness. A run that exceeds one does not count: the machine was busy, and event times are
// too inaccurate to judge the sidecars by them.
const (
	MaxLatenessP99 = 20 * time.Millisecond
	MaxLateness    = 400 * time.Millisecond
)

// The outcomes of a run.
const (
	Pass = "PASS"
	Fail = "FAIL"
	Late = "LATE" // the lab exceeded its lateness limits, so the run does not count
)

// Report is the result of a run.
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
	Missed   []string           `json:"missed"` // expectations that were not met, as sentences
	Lateness Lateness           `json:"lateness"`
	Events   int                `json:"events"`
	Registry *RegistryResult    `json:"registry,omitempty"` // set only for a run of the list service without sidecars
	Routes   *RoutesResult      `json:"routes,omitempty"`
	Members  *MembersResult     `json:"members,omitempty"`
	// ZoneFaults report how traffic left zones with faults and returned. Only simulated runs, which record each send, have
	// them.
	ZoneFaults []simulate.ZoneFault `json:"zone_faults,omitempty"`
}

// Lateness is how late the lab itself was in a run, in milliseconds.
type Lateness struct {
	P99MS        float64 `json:"p99_ms"`     // lateness of arrivals at the 99th percentile
	MaxMS        float64 `json:"max_ms"`     // lateness of arrivals at most
	LagMS        float64 `json:"lag_p99_ms"` // lateness of a timer in the lab's process at the 99th percentile
	ExceedsLimit bool    `json:"too_big"`    // whether the run does not count
}

// NewLateness summarizes by how much arrivals were sent late, and by how much a timer of the lab's process was late.
func NewLateness(arrivals, timerLag []time.Duration) Lateness {
	p99, worst, lag := quantile(arrivals, 0.99), quantile(arrivals, 1), quantile(timerLag, 0.99)
	return Lateness{P99MS: milliseconds(p99), MaxMS: milliseconds(worst), LagMS: milliseconds(lag),
		ExceedsLimit: p99 > MaxLatenessP99 || worst > MaxLateness || lag > MaxLatenessP99}
}

// quantile returns the q-quantile of a list that need not be sorted, or 0 if it is empty.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	list = slices.Clone(list)
	slices.Sort(list)
	return list[int(math.Ceil(q*float64(len(list)-1)))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Outcome returns Pass, Fail or Late, with the reason unless the run passed.
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

// New computes the figures of a run from its events and checks them against the rules. routes is nil if the run has no
// rollouts. worked is the total work of the servers. stalls are the periods in which the lab got no processor time.
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

// CheckExpectations sets Missed to the scenario's expectations that the run did not meet.
func (r *Report) CheckExpectations(s *scenario.Scenario) {
	r.CheckFigures(&s.Expect)
	r.Missed = append(r.Missed, missedRouteExpectations(s, r)...)
	if r.Members != nil {
		r.Missed = append(r.Missed, r.Members.MissedExpectations(&s.Expect)...)
	}
}

// CheckFigures sets Missed to the expected figures that the run did not reach. A simulated run has no others.
func (r *Report) CheckFigures(e *scenario.Expect) { r.Missed = missedFigures(e, r) }

// missedFigures returns the expected figures that the run did not reach.
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
